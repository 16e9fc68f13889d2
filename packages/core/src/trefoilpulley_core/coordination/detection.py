"""Suspicion of a primary from the evidence of several members."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.upstream import MemberStatus

PRIMARY_CONTACT_TIMEOUT_S = 0.4
"""Time without the primary after which a replica counts as cut off."""

LEADERLESS_TIMEOUT_S = 0.3
"""Time without any leader before a promotion, where none is silent."""

POOLER_REPORT_TIMEOUT_S = 1.0
"""Time for which a pooler reports a primary unreachable that replicas
still hear, before a promotion. It counts while a majority answers."""

UNREACHABLE_TIMEOUT_S = 3.0
"""The same where the primary's pooler cannot be reached either."""

ISOLATED_TIMEOUT_S = 1.0
"""Time for which a reachable primary lacks a majority of replicas."""

DISPUTED_TIMEOUT_S = 1.0
"""Time for which members refuse the primary's term."""


class Verdict(StrEnum):
    """What the evidence says of the primary."""

    HEALTHY = 'healthy'
    """A primary leads and nothing speaks against it."""

    SUSPECT = 'suspect'
    """Something speaks against the primary; more evidence is needed."""

    CUT_OFF = 'cut-off'
    """The observer reaches no majority and decides nothing."""

    SILENT = 'silent'
    """Neither the observer nor a majority hears from the primary."""

    UNREACHABLE = 'unreachable'
    """Nobody can reach the primary through its pooler."""

    LEADERLESS = 'leaderless'
    """No member leads."""

    ISOLATED = 'isolated'
    """The primary reaches too few replicas to acknowledge a write."""

    DISPUTED = 'disputed'
    """Members refuse the primary's term."""

    @property
    def is_lost(self) -> bool:
        """Whether another term must begin."""
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
    """Evidence about one member."""

    status: MemberStatus | None = None
    """Last status heard."""

    answered_at: float = 0.0
    """Time at which the last answered probe left, in seconds."""

    failed_at: float | None = None
    """Time at which the first failed probe since then left."""

    pooler_report_since: float | None = None
    """Time since which the pooler itself reports the member away."""

    @property
    def is_answering(self) -> bool:
        """Whether the last probe was answered."""
        return self.status is not None and self.failed_at is None

    @property
    def contact_age_s(self) -> float:
        """Time without the primary when the member last answered.

        Time that has passed since then says nothing of the primary.
        """
        age_ms = self.status.primary_contact_age_ms
        return float('inf') if age_ms is None else age_ms / 1000


class FailureDetector:
    """Weighs the evidence about the members of one database.

    Parameters
    ----------
    entry : DatabaseEntry
        Members of the database.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._majority = entry.majority
        self.evidence = {m.name: MemberEvidence() for m in entry.members}
        """Evidence by the name of the member."""

        self._verdict_since: dict[Verdict, float] = {}

    def on_status(self, status: MemberStatus, sent_at: float) -> None:
        """Take a member's answer."""
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
        """Take a probe that went unanswered."""
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
        """Highest term that any member was heard to know."""
        statuses = [e.status for e in self.evidence.values() if e.status]
        return max((max(s.term, s.fenced_term) for s in statuses), default=0)

    @property
    def leader(self) -> MemberStatus | None:
        """Answering member that leads the highest term."""
        return _find_highest_leader(e.status for e in self.answering)

    @property
    def last_leader(self) -> MemberStatus | None:
        """Member last heard to lead the highest term, answering or not."""
        return _find_highest_leader(
            e.status for e in self.evidence.values() if e.status
        )

    @property
    def has_primary_contact_loss(self) -> bool:
        """Whether a replica has lost the leader since it answered."""
        leader = self.leader
        if leader is None:
            return True
        heard_at = self.evidence[leader.member].answered_at
        return any(
            e.answered_at > heard_at
            and e.contact_age_s >= PRIMARY_CONTACT_TIMEOUT_S
            for e in self.answering
        )

    def verdict(self, now: float) -> Verdict:
        """Return what the evidence says at a time."""
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
        leader = self.leader
        if leader is None:
            return self._evaluate_missing_leader()
        if self.highest_term > leader.term:
            return self._evaluate_higher_term(leader)
        if self._count_connected(leader) < self._majority:
            return Verdict.ISOLATED
        return Verdict.HEALTHY

    def _evaluate_higher_term(self, leader: MemberStatus) -> Verdict:
        known = self.last_leader
        if known is not None and known.term > leader.term:
            return self._evaluate_missing_leader()
        return Verdict.DISPUTED

    def _evaluate_missing_leader(self) -> Verdict:
        unreachable = self._unreachable
        if not unreachable:
            return Verdict.LEADERLESS
        if any(e.failed_at is None for e in unreachable):
            return Verdict.SUSPECT
        # An observer that is cut off itself misses its answers one by
        # one: those from before the first loss prove no majority.
        first_failed_at = min(e.failed_at for e in unreachable)
        if any(e.answered_at < first_failed_at for e in self.answering):
            return Verdict.SUSPECT
        if all(
            e.contact_age_s >= PRIMARY_CONTACT_TIMEOUT_S
            for e in self.answering
        ):
            return Verdict.SILENT
        return Verdict.UNREACHABLE

    def _count_connected(self, leader: MemberStatus) -> int:
        cut_off = [
            e
            for e in self.answering
            if e.status.member != leader.member
            and e.contact_age_s >= PRIMARY_CONTACT_TIMEOUT_S
        ]
        return len(self.evidence) - len(cut_off)


_VERDICT_TIMEOUTS_S = {
    Verdict.ISOLATED: ISOLATED_TIMEOUT_S,
    Verdict.DISPUTED: DISPUTED_TIMEOUT_S,
    Verdict.LEADERLESS: LEADERLESS_TIMEOUT_S,
    Verdict.UNREACHABLE: UNREACHABLE_TIMEOUT_S,
}


def _find_highest_leader(
    statuses: Iterable[MemberStatus],
) -> MemberStatus | None:
    leaders = [s for s in statuses if s.is_primary]
    return max(leaders, key=lambda s: s.term, default=None)
