"""Promotes a member to primary in a term granted to this process alone.

First a majority of the members is fenced at the term, then the fenced
member with the most advanced log is promoted. Every step may be
repeated. Members that know a higher term refuse a delayed step.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.failure import StaleTerm
from trefoilpulley_core.peer import FenceMember
from trefoilpulley_core.peer import FollowMember
from trefoilpulley_core.peer import GetStatus
from trefoilpulley_core.peer import PromoteMember
from trefoilpulley_core.peer import StatusReport

if TYPE_CHECKING:
    from typing import Any

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.commands import CallDone
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.upstream import MemberStatus

CALL_TIMEOUT_S = 0.3
"""Time limit for the reply to one call, in seconds."""

STEP_RETRY_INTERVAL_S = 0.1
"""Interval between attempts of the same step at a member, in seconds."""

CONFIRM_INTERVAL_S = 0.02
"""Interval between checks of the first record's copies, in seconds."""

MAX_EXTRA_FENCE_WAIT_S = 0.03
"""Wait for further members after a majority is fenced, in seconds.

More fenced members give a better chance to find the longest log.
"""

PROMOTE_TIMEOUT_S = 2.0
"""Time limit for fencing and promotion, in seconds.

After the limit, a new term is tried.
"""

CONFIRM_TIMEOUT_S = 5.0
"""Time limit for copies of the first record, in seconds.

A majority must hold the first record of the term by then.
"""


class PromotionStage(StrEnum):
    """Stages of a promotion."""

    FENCING = 'fencing'
    """A majority of the members is being fenced at the term."""

    PROMOTING = 'promoting'
    """The chosen member is being promoted."""

    CONFIRMING = 'confirming'
    """Replicas must hold the first record of the term."""

    DONE = 'done'
    """A majority holds the first record of the term."""

    SUPERSEDED = 'superseded'
    """A member knows a higher term."""

    FAILED = 'failed'
    """A time limit has passed."""

    @property
    def is_over(self) -> bool:
        """Whether the promotion has ended."""
        return self in (
            PromotionStage.DONE,
            PromotionStage.SUPERSEDED,
            PromotionStage.FAILED,
        )


class Promotion:
    """One attempt to promote a member in a new term.

    Parameters
    ----------
    entry : DatabaseEntry
        Database and its members.
    term : int
        Term granted to this process alone and not used before.
    preference : list[str]
        Members' names, the preferred primary first. Decides between
        members with equally advanced logs.
    now : float
        Monotonic time in seconds.
    is_planned : bool
        Whether the promotion is part of a handover.
    """

    def __init__(
        self,
        entry: DatabaseEntry,
        term: int,
        preference: list[str],
        now: float,
        is_planned: bool = False,
    ) -> None:
        self._entry = entry
        self._preference = preference
        self._began_at = now
        self._deadline = now + PROMOTE_TIMEOUT_S
        self._majority_at: float | None = None
        self._fenced: dict[str, MemberStatus] = {}
        self._following: set[str] = set()
        self._sent_at: dict[str, float] = {}
        self._pending: set[str] = set()
        self.term = term
        """Term of the promotion."""

        self.is_planned = is_planned
        """Whether the promotion is part of a handover."""

        self.is_primary_recorded = False
        """Whether the edit that records the new primary was issued."""

        self.stage = PromotionStage.FENCING
        """Current stage."""

        self.primary = ''
        """Member chosen as primary; empty before the choice."""

    def elapsed_ms(self, now: float) -> int:
        """Return the time since the start of the promotion."""
        return round((now - self._began_at) * 1000)

    @property
    def has_primary(self) -> bool:
        """Whether the chosen member has become the primary."""
        return self.stage in (PromotionStage.CONFIRMING, PromotionStage.DONE)

    def on_tick(self, now: float) -> Commands:
        """Repeat unanswered calls and apply the time limits."""
        if self.stage.is_over:
            return ()
        if now >= self._deadline:
            self.stage = PromotionStage.FAILED
            return ()
        if self.stage is PromotionStage.FENCING:
            return self._fence(now) + self._try_promote(now)
        if self.stage is PromotionStage.PROMOTING:
            return self._promote(now)
        return self._follow(now) + self._confirm(now)

    def on_call_done(self, done: CallDone, now: float) -> Commands:
        """Process the result of a call to a member."""
        if self.stage.is_over:
            return ()
        call = done.call
        if getattr(call.message, 'term', self.term) != self.term:
            return ()
        self._pending.discard(call.member)
        match done.result:
            case Success(StatusReport(status)):
                return self._on_status(call.message, status, now)
            case Success():
                return ()
        return self._on_failure(call, done.result.failure(), now)

    def _on_status(
        self, message: Any, status: MemberStatus, now: float
    ) -> Commands:
        if max(status.fenced_term, status.term) > self.term:
            self.stage = PromotionStage.SUPERSEDED
            return ()
        if self.stage is PromotionStage.FENCING:
            return self._on_fenced(status, now)
        if self.stage is PromotionStage.PROMOTING:
            return self._on_promoting(status, now)
        if isinstance(message, FollowMember):
            self._following.add(status.member)
        return self._on_confirming(status)

    def _on_failure(
        self, call: CallMember, failure: Any, now: float
    ) -> Commands:
        if not isinstance(failure, StaleTerm):
            return self._try_promote(now)
        return (self._call(call.member, GetStatus(call.member), now),)

    def _on_fenced(self, status: MemberStatus, now: float) -> Commands:
        if status.fenced_term != self.term:
            return ()
        self._fenced[status.member] = status
        if len(self._fenced) == self._entry.majority:
            self._majority_at = now
        return self._try_promote(now)

    def _try_promote(self, now: float) -> Commands:
        if self.stage is not PromotionStage.FENCING:
            return ()
        if not self._is_fenced_enough(now):
            return ()
        self.primary = self._most_advanced()
        self.stage = PromotionStage.PROMOTING
        self._sent_at.clear()
        self._pending.clear()
        return self._promote(now)

    def _is_fenced_enough(self, now: float) -> bool:
        if len(self._fenced) < self._entry.majority:
            return False
        if len(self._fenced) == len(self._entry.members):
            return True
        return (
            not self._pending
            or now >= self._majority_at + MAX_EXTRA_FENCE_WAIT_S
        )

    def _most_advanced(self) -> str:
        last_position = max(s.history.last for s in self._fenced.values())
        candidates = [
            m
            for m, s in self._fenced.items()
            if s.history.last == last_position
        ]
        return min(candidates, key=self._preference.index)

    def _on_promoting(self, status: MemberStatus, now: float) -> Commands:
        if status.member != self.primary:
            return ()
        if not status.is_primary or status.term != self.term:
            return ()
        self.stage = PromotionStage.CONFIRMING
        self._deadline = now + CONFIRM_TIMEOUT_S
        return self._follow(now) + self._confirm(now)

    def _on_confirming(self, status: MemberStatus) -> Commands:
        if status.member != self.primary or not status.is_primary:
            return ()
        holders = [
            a
            for a in status.acknowledgements
            if a.position.term == self.term and a.member != self.primary
        ]
        if len(holders) + 1 >= self._entry.majority:
            self.stage = PromotionStage.DONE
        return ()

    def _fence(self, now: float) -> Commands:
        missing = [
            m.name for m in self._entry.members if m.name not in self._fenced
        ]
        return tuple(
            self._call(m, FenceMember(m, self.term), now)
            for m in missing
            if self._is_due(m, STEP_RETRY_INTERVAL_S, now)
        )

    def _promote(self, now: float) -> Commands:
        if not self._is_due(self.primary, STEP_RETRY_INTERVAL_S, now):
            return ()
        message = PromoteMember(self.primary, self.term)
        return (self._call(self.primary, message, now),)

    def _follow(self, now: float) -> Commands:
        others = [
            m.name
            for m in self._entry.members
            if m.name != self.primary and m.name not in self._following
        ]
        return tuple(
            self._call(m, FollowMember(m, self.term, self.primary), now)
            for m in others
            if self._is_due(m, STEP_RETRY_INTERVAL_S, now)
        )

    def _confirm(self, now: float) -> Commands:
        if not self._is_due(self.primary, CONFIRM_INTERVAL_S, now):
            return ()
        return (self._call(self.primary, GetStatus(self.primary), now),)

    def _is_due(self, member: str, retry_s: float, now: float) -> bool:
        if member in self._pending:
            return False
        sent_at = self._sent_at.get(member)
        return sent_at is None or now >= sent_at + retry_s

    def _call(self, member: str, message: Any, now: float) -> CallMember:
        self._sent_at[member] = now
        self._pending.add(member)
        return CallMember(self._entry.name, member, message, CALL_TIMEOUT_S)
