"""Classes of work against their targets in a time of a run."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from trefoilpulley_standins.figures.part import Finding

if TYPE_CHECKING:
    from trefoilpulley_standins.figures.scene import Scene


def judge_classes(
    scene: Scene, phase: str, began_s: float, ended_s: float
) -> Iterator[Finding]:
    """Give the share in time of each class for requests sent in a time."""
    sent = [e for e in scene.journal.entries if began_s <= e.began_s < ended_s]
    found = scene.make_checker(sent).class_reports()
    for name, done in found.items():
        if done.requests:
            yield Finding(
                f'in time, {phase}, {name}', done.in_time, done.requests
            )
