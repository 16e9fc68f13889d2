"""Messages in which hosts exchange proved positions."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.direct.evidence import Evidence
from trefoilpulley_core.position import Position


@dataclass(frozen=True, slots=True)
class EvidenceQuestion:
    """Request for another host's newest evidence of a group."""

    group: str
    """Name of the group."""


@dataclass(frozen=True, slots=True)
class EvidenceReport:
    """Newest evidence of a host."""

    term: int = 0
    """Term of the position; 0 if the host has no evidence."""

    index: int = 0
    """Index of the position."""

    age_s: float = 0.0
    """Time since the proving request was sent, in seconds."""


def make_report(evidence: Evidence | None, now: float) -> EvidenceReport:
    """Return a report of a host's newest evidence."""
    if evidence is None:
        return EvidenceReport()
    position = evidence.position
    return EvidenceReport(position.term, position.index, now - evidence.at)


def read_report(report: EvidenceReport, asked_at: float) -> Evidence | None:
    """Return the evidence in a report, on this host's clock.

    The other host computed the age after this host sent the question. The
    proving request was therefore sent no earlier than ``asked_at`` minus
    the reported age.

    Parameters
    ----------
    report : EvidenceReport
        Answer of the other host.
    asked_at : float
        Time at which this host sent the question, in seconds.
    """
    if report.index == 0 or report.age_s < 0:
        return None
    position = Position(report.term, report.index)
    return Evidence(asked_at - report.age_s, position)
