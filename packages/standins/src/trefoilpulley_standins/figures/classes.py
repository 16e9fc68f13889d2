"""Promptness of the classes of work during a phase of a run."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from trefoilpulley_standins.figures.part import Measurement

if TYPE_CHECKING:
    from trefoilpulley_standins.figures.testbed import Testbed


def measure_classes(
    testbed: Testbed, phase: str, began_s: float, ended_s: float
) -> Iterator[Measurement]:
    """Yield the share of prompt answers of each class during a phase.

    Parameters
    ----------
    testbed : Testbed
        Run to evaluate.
    phase : str
        Name of the phase in the figures.
    began_s : float
        Start of the phase, in seconds since the start of the load.
    ended_s : float
        End of the phase, in seconds since the start of the load.

    Yields
    ------
    Measurement
        Share of each class that had requests sent during the phase.
    """
    sent = [
        e for e in testbed.journal.entries if began_s <= e.began_s < ended_s
    ]
    reports = testbed.make_checker(sent).class_reports()
    for name, report in reports.items():
        if report.requests:
            yield Measurement(
                f'in time, {phase}, {name}', report.in_time, report.requests
            )
