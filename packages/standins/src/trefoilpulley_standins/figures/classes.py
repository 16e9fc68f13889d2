"""Promptness of the classes of work during a phase of a run."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from trefoilpulley_standins.figures.part import Finding

if TYPE_CHECKING:
    from trefoilpulley_standins.figures.scene import Scene


def judge_classes(
    scene: Scene, phase: str, began_s: float, ended_s: float
) -> Iterator[Finding]:
    """Yield the share of prompt answers of each class during a phase.

    Parameters
    ----------
    scene : Scene
        Run to evaluate.
    phase : str
        Name of the phase in the figures.
    began_s : float
        Start of the phase, in seconds since the start of the load.
    ended_s : float
        End of the phase, in seconds since the start of the load.

    Yields
    ------
    Finding
        Share of each class that had requests sent during the phase.
    """
    sent = [e for e in scene.journal.entries if began_s <= e.began_s < ended_s]
    found = scene.make_checker(sent).class_reports()
    for name, done in found.items():
        if done.requests:
            yield Finding(
                f'in time, {phase}, {name}', done.in_time, done.requests
            )
