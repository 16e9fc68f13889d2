"""Messages by which hosts share proved positions."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.position import Position
from trefoilpulley_core.proxy.evidence import Evidence


@dataclass(frozen=True, slots=True)
class EvidenceQuestion:
    """Asks another host for its newest evidence of a group."""

    group: str
    """Name of the group."""


@dataclass(frozen=True, slots=True)
class EvidenceReport:
    """Newest evidence of a host."""

    term: int = 0
    """Term of the position; 0 where the host has no evidence."""

    index: int = 0
    """Index of the position."""

    age_s: float = 0.0
    """Time since the proving request left, in seconds."""


def make_report(evidence: Evidence | None, now: float) -> EvidenceReport:
    """Return the report on a host's newest evidence."""
    if evidence is None:
        return EvidenceReport()
    position = evidence.position
    return EvidenceReport(position.term, position.index, now - evidence.at)


def read_report(report: EvidenceReport, asked_at: float) -> Evidence | None:
    """Return a report as evidence of this host.

    The other host answered after it was asked, so that the proof is no
    older than its age counted back from the question.

    Parameters
    ----------
    report : EvidenceReport
        Answer of the other host.
    asked_at : float
        Time at which the question left this host, in seconds.
    """
    if report.index == 0 or report.age_s < 0:
        return None
    position = Position(report.term, report.index)
    return Evidence(asked_at - report.age_s, position)
