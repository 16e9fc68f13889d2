"""Counts of violated guarantees, which must be 0 after each run."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from trefoilpulley_standins.figures.part import Finding

if TYPE_CHECKING:
    from trefoilpulley_standins.demo.checker import Checker


def count_violations(checker: Checker, when: str) -> Iterator[Finding]:
    """Yield the count of each kind of violation in a run."""
    yield Finding(f'lost, {when}', checker.count_lost())
    yield Finding(f'doubled, {when}', checker.count_doubled())
    yield Finding(f'mixed, {when}', checker.count_mixed())
    yield Finding(f'false not run, {when}', checker.count_false_not_run())
    yield Finding(
        f'read-your-writes violations, {when}',
        checker.count_ryw_violations(),
    )
    yield Finding(f'stale beyond age, {when}', checker.count_stale())
