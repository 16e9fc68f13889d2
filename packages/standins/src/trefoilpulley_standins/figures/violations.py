"""Counts of violated guarantees, which must be 0 after each run."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from trefoilpulley_standins.figures.part import Measurement

if TYPE_CHECKING:
    from trefoilpulley_standins.demo.checker import Checker


def count_violations(checker: Checker, when: str) -> Iterator[Measurement]:
    """Yield the count of each kind of violation in a run."""
    yield Measurement(f'lost, {when}', checker.count_lost())
    yield Measurement(f'doubled, {when}', checker.count_doubled())
    yield Measurement(f'mixed, {when}', checker.count_mixed())
    yield Measurement(f'false not run, {when}', checker.count_false_not_run())
    yield Measurement(
        f'read-your-writes violations, {when}',
        checker.count_ryw_violations(),
    )
    yield Measurement(f'stale beyond age, {when}', checker.count_stale())
