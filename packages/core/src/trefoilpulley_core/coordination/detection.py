"""Suspicion of a primary from the evidence of several members."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.upstream import MemberStatus

SILENCE_S = 0.4
"""Time without the primary after which a replica counts as cut off."""

LEADERLESS_S = 0.3
"""Time without any leader before a promotion, where none is silent."""

WITNESSED_S = 1.0
"""Time for which a pooler reports a primary unreachable that replicas
still hear, before a promotion. It counts while a majority answers."""

UNREACHABLE_S = 3.0
"""The same where the primary's pooler cannot be reached either."""

ISOLATED_S = 1.0
"""Time for which a reachable primary lacks a majority of replicas."""

DISPUTED_S = 1.0
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
        return self in _LOST


_LOST = frozenset(
    (
        Verdict.SILENT,
        Verdict.UNREACHABLE,
        Verdict.LEADERLESS,
        Verdict.ISOLATED,
        Verdict.DISPUTED,
    )
)


@dataclass(slots=True)
class MemberWatch:
    """Evidence about one member."""

    status: MemberStatus | None = None
    """Last status heard."""

    answered_at: float = 0.0
    """Time at which the last answered probe left, in seconds."""

    failed_at: float | None = None
    """Time at which the first failed probe since then left."""

    witnessed_at: float | None = None
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


class Detector:
    """Weighs the evidence about the members of one database.

    Parameters
    ----------
    entry : DatabaseEntry
        Members of the database.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._majority = entry.majority
        self.watches = {m.name: MemberWatch() for m in entry.members}
        """Evidence by the name of the member."""

        self._since: dict[Verdict, float] = {}

    def on_status(self, status: MemberStatus, sent_at: float) -> None:
        """Take a member's answer."""
        watch = self.watches[status.member]
        if watch.status is not None and sent_at < watch.answered_at:
            return
        watch.status = status
        watch.answered_at = sent_at
        watch.failed_at = None
        watch.witnessed_at = None

    def on_silence(
        self, member: str, sent_at: float, is_witnessed: bool
    ) -> None:
        """Take a probe that went unanswered."""
        watch = self.watches[member]
        if sent_at < watch.answered_at:
            return
        if watch.failed_at is None:
            watch.failed_at = sent_at
        if not is_witnessed:
            watch.witnessed_at = None
        elif watch.witnessed_at is None:
            watch.witnessed_at = sent_at

    @property
    def answering(self) -> list[MemberWatch]:
        """Members whose last probe was answered."""
        return [w for w in self.watches.values() if w.is_answering]

    @property
    def highest_term(self) -> int:
        """Highest term that any member was heard to know."""
        statuses = [w.status for w in self.watches.values() if w.status]
        return max((max(s.term, s.fenced_term) for s in statuses), default=0)

    @property
    def leader(self) -> MemberStatus | None:
        """Answering member that leads the highest term."""
        return _highest(w.status for w in self.answering)

    @property
    def last_leader(self) -> MemberStatus | None:
        """Member last heard to lead the highest term, answering or not."""
        return _highest(w.status for w in self.watches.values() if w.status)

    @property
    def has_newer_doubt(self) -> bool:
        """Whether a replica has lost the leader since it answered."""
        leader = self.leader
        if leader is None:
            return True
        heard_at = self.watches[leader.member].answered_at
        return any(
            w.answered_at > heard_at and w.contact_age_s >= SILENCE_S
            for w in self.answering
        )

    def verdict(self, now: float) -> Verdict:
        """Return what the evidence says at a time."""
        raw = self._weigh()
        if raw not in _PATIENCE_S:
            self._since.clear()
            return raw
        since = self._since.setdefault(raw, now)
        is_due = now - since >= _PATIENCE_S[raw]
        if raw is Verdict.UNREACHABLE and self._is_witnessed(since, now):
            is_due = True
        return raw if is_due else Verdict.SUSPECT

    def _is_witnessed(self, since: float, now: float) -> bool:
        witnessed = [
            w.witnessed_at is not None
            and now - max(since, w.witnessed_at) >= WITNESSED_S
            for w in self._away
        ]
        return all(witnessed)

    @property
    def _away(self) -> list[MemberWatch]:
        return [w for w in self.watches.values() if not w.is_answering]

    def _weigh(self) -> Verdict:
        if len(self.answering) < self._majority:
            return Verdict.CUT_OFF
        leader = self.leader
        if leader is None:
            return self._weigh_absence()
        if self.highest_term > leader.term:
            return self._weigh_higher_term(leader)
        if self._reach_of(leader) < self._majority:
            return Verdict.ISOLATED
        return Verdict.HEALTHY

    def _weigh_higher_term(self, leader: MemberStatus) -> Verdict:
        known = self.last_leader
        if known is not None and known.term > leader.term:
            return self._weigh_absence()
        return Verdict.DISPUTED

    def _weigh_absence(self) -> Verdict:
        away = self._away
        if not away:
            return Verdict.LEADERLESS
        if any(w.failed_at is None for w in away):
            return Verdict.SUSPECT
        # An observer that is cut off itself misses its answers one by
        # one: those from before the first loss prove no majority.
        first_failed_at = min(w.failed_at for w in away)
        if any(w.answered_at < first_failed_at for w in self.answering):
            return Verdict.SUSPECT
        if all(w.contact_age_s >= SILENCE_S for w in self.answering):
            return Verdict.SILENT
        return Verdict.UNREACHABLE

    def _reach_of(self, leader: MemberStatus) -> int:
        cut_off = [
            w
            for w in self.answering
            if w.status.member != leader.member
            and w.contact_age_s >= SILENCE_S
        ]
        return len(self.watches) - len(cut_off)


_PATIENCE_S = {
    Verdict.ISOLATED: ISOLATED_S,
    Verdict.DISPUTED: DISPUTED_S,
    Verdict.LEADERLESS: LEADERLESS_S,
    Verdict.UNREACHABLE: UNREACHABLE_S,
}


def _highest(statuses: Iterable[MemberStatus]) -> MemberStatus | None:
    leaders = [s for s in statuses if s.is_primary]
    return max(leaders, key=lambda s: s.term, default=None)
