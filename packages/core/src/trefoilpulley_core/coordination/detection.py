"""Detects the failure of a primary from the answers of all members."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.upstream import MemberStatus

PRIMARY_CONTACT_TIMEOUT_S = 0.4
"""Age of a replica's contact that counts as lost, in seconds.

The contact is the replica's last contact to the primary.
"""

LEADERLESS_TIMEOUT_S = 0.3
"""Time without a primary before a promotion, in seconds.

Applies while all members answer.
"""

POOLER_REPORT_TIMEOUT_S = 1.0
"""Time for which poolers must report a primary unreachable, in seconds.

A promotion begins after this time even though replicas still hear from
the primary. Only time during which a majority of the members answers
counts.
"""

UNREACHABLE_TIMEOUT_S = 3.0
"""Time without an answer of the primary before a promotion, in seconds.

Applies if replicas still hear from the primary and the primary's pooler
does not report the primary unreachable.
"""

ISOLATED_TIMEOUT_S = 1.0
"""Time without a majority before a promotion, in seconds.

The primary answers, but has contact to too few replicas.
"""

DISPUTED_TIMEOUT_S = 1.0
"""Time for which members must refuse the primary's term, in seconds.

A promotion begins after this time.
"""


class Verdict(StrEnum):
    """State of the primary, derived from the members' answers."""

    HEALTHY = 'healthy'
    """The primary answers, and there is no evidence against it."""

    SUSPECT = 'suspect'
    """The primary may have failed; the evidence is not sufficient yet."""

    CUT_OFF = 'cut-off'
    """This coordinator reaches no majority and must not act."""

    SILENT = 'silent'
    """Neither this coordinator nor a majority hears from the primary."""

    UNREACHABLE = 'unreachable'
    """The primary does not answer, but a replica may still hear from it."""

    LEADERLESS = 'leaderless'
    """All members answer, and none of them is the primary."""

    ISOLATED = 'isolated'
    """The primary has contact to too few replicas to acknowledge a write."""

    DISPUTED = 'disputed'
    """Members know a higher term and refuse the primary's."""

    @property
    def is_lost(self) -> bool:
        """Whether a new term must begin."""
        return self in _LOST_VERDICTS


_LOST_VERDICTS = frozenset(
    (
        Verdict.SILENT,
        Verdict.UNREACHABLE,
        Verdict.LEADERLESS,
        Verdict.ISOLATED,
        Verdict.DISPUTED,
    )
)


@dataclass(slots=True)
class MemberEvidence:
    """Results of the probes of one member."""

    status: MemberStatus | None = None
    """Last status that the member returned, or ``None``."""

    answered_at: float = 0.0
    """Monotonic time at which the last answered probe was sent, in seconds."""

    failed_at: float | None = None
    """Time of the first failed probe since the last answer, in seconds."""

    pooler_report_since: float | None = None
    """Time since which the pooler reports the member unreachable.

    In seconds; ``None`` where the pooler does not report that."""

    @property
    def is_answering(self) -> bool:
        """Whether the last probe was answered."""
        return self.status is not None and self.failed_at is None

    @property
    def contact_age_s(self) -> float:
        """Age of the member's contact to the primary, in seconds.

        The age at the member's last answer; the time since that answer
        is not added, because the member may have heard from the primary
        in the meantime.
        """
        age_ms = self.status.primary_contact_age_ms
        return float('inf') if age_ms is None else age_ms / 1000


class FailureDetector:
    """Derives a verdict on the primary from probes of all members.

    Parameters
    ----------
    entry : DatabaseEntry
        Database and its members.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._majority = entry.majority
        self.evidence = {m.name: MemberEvidence() for m in entry.members}
        """Probe results by the name of the member."""

        self._verdict_since: dict[Verdict, float] = {}

    def on_status(self, status: MemberStatus, sent_at: float) -> None:
        """Record the status that a member returned."""
        evidence = self.evidence[status.member]
        if evidence.status is not None and sent_at < evidence.answered_at:
            return
        evidence.status = status
        evidence.answered_at = sent_at
        evidence.failed_at = None
        evidence.pooler_report_since = None

    def on_probe_failed(
        self, member: str, sent_at: float, is_pooler_report: bool
    ) -> None:
        """Record a failed probe.

        Parameters
        ----------
        member : str
            Name of the member.
        sent_at : float
            Monotonic time at which the probe was sent, in seconds.
        is_pooler_report : bool
            Whether the member's pooler answered and reported the member
            unreachable.
        """
        evidence = self.evidence[member]
        if sent_at < evidence.answered_at:
            return
        if evidence.failed_at is None:
            evidence.failed_at = sent_at
        if not is_pooler_report:
            evidence.pooler_report_since = None
        elif evidence.pooler_report_since is None:
            evidence.pooler_report_since = sent_at

    @property
    def answering(self) -> list[MemberEvidence]:
        """Members whose last probe was answered."""
        return [e for e in self.evidence.values() if e.is_answering]

    @property
    def highest_term(self) -> int:
        """Highest term in any status received so far."""
        statuses = [e.status for e in self.evidence.values() if e.status]
        return max((max(s.term, s.fenced_term) for s in statuses), default=0)

    @property
    def primary(self) -> MemberStatus | None:
        """Status of the answering primary of the highest term."""
        return _find_highest_primary(e.status for e in self.answering)

    @property
    def last_primary(self) -> MemberStatus | None:
        """Status of the last known primary, even if it does not answer."""
        return _find_highest_primary(
            e.status for e in self.evidence.values() if e.status
        )

    @property
    def has_primary_contact_loss(self) -> bool:
        """Whether a replica has lost the primary since its last answer.

        Also true where no primary answers.
        """
        primary = self.primary
        if primary is None:
            return True
        heard_at = self.evidence[primary.member].answered_at
        return any(
            e.answered_at > heard_at
            and e.contact_age_s >= PRIMARY_CONTACT_TIMEOUT_S
            for e in self.answering
        )

    def verdict(self, now: float) -> Verdict:
        """Return the state of the primary at a monotonic time."""
        current = self._evaluate()
        if current not in _VERDICT_TIMEOUTS_S:
            self._verdict_since.clear()
            return current
        since = self._verdict_since.setdefault(current, now)
        is_due = now - since >= _VERDICT_TIMEOUTS_S[current]
        if current is Verdict.UNREACHABLE and self._is_confirmed_by_poolers(
            since, now
        ):
            is_due = True
        return current if is_due else Verdict.SUSPECT

    def _is_confirmed_by_poolers(self, since: float, now: float) -> bool:
        reports = [
            e.pooler_report_since is not None
            and now - max(since, e.pooler_report_since)
            >= POOLER_REPORT_TIMEOUT_S
            for e in self._unreachable
        ]
        return all(reports)

    @property
    def _unreachable(self) -> list[MemberEvidence]:
        return [e for e in self.evidence.values() if not e.is_answering]

    def _evaluate(self) -> Verdict:
        if len(self.answering) < self._majority:
            return Verdict.CUT_OFF
        primary = self.primary
        if primary is None:
            return self._evaluate_missing_primary()
        if self.highest_term > primary.term:
            return self._evaluate_higher_term(primary)
        if self._count_connected(primary) < self._majority:
            return Verdict.ISOLATED
        return Verdict.HEALTHY

    def _evaluate_higher_term(self, primary: MemberStatus) -> Verdict:
        last_primary = self.last_primary
        if last_primary is not None and last_primary.term > primary.term:
            return self._evaluate_missing_primary()
        return Verdict.DISPUTED

    def _evaluate_missing_primary(self) -> Verdict:
        unreachable = self._unreachable
        if not unreachable:
            return Verdict.LEADERLESS
        if any(e.failed_at is None for e in unreachable):
            return Verdict.SUSPECT
        # When this coordinator itself is cut off, its probes fail one
        # after another. Answers from before the first failed probe thus
        # don't prove that a majority is reachable now.
        first_failed_at = min(e.failed_at for e in unreachable)
        if any(e.answered_at < first_failed_at for e in self.answering):
            return Verdict.SUSPECT
        if all(
            e.contact_age_s >= PRIMARY_CONTACT_TIMEOUT_S
            for e in self.answering
        ):
            return Verdict.SILENT
        return Verdict.UNREACHABLE

    def _count_connected(self, primary: MemberStatus) -> int:
        cut_off = [
            e
            for e in self.answering
            if e.status.member != primary.member
            and e.contact_age_s >= PRIMARY_CONTACT_TIMEOUT_S
        ]
        return len(self.evidence) - len(cut_off)


_VERDICT_TIMEOUTS_S = {
    Verdict.ISOLATED: ISOLATED_TIMEOUT_S,
    Verdict.DISPUTED: DISPUTED_TIMEOUT_S,
    Verdict.LEADERLESS: LEADERLESS_TIMEOUT_S,
    Verdict.UNREACHABLE: UNREACHABLE_TIMEOUT_S,
}


def _find_highest_primary(
    statuses: Iterable[MemberStatus],
) -> MemberStatus | None:
    primaries = [s for s in statuses if s.is_primary]
    return max(primaries, key=lambda s: s.term, default=None)
