"""Planned change of a database's primary, without failed requests.

The handover may be abandoned at any step before the members are fenced.
From the fence on, the change is a promotion and is not reverted. The
pause of writes ends at its time limit. A coordinator that crashes thus
leaves only the handover's record, which the next coordinator removes.
"""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.coordination.commands import EditRecord
from trefoilpulley_core.coordination.edits import PutHandover
from trefoilpulley_core.coordination.shard import HandoverStep
from trefoilpulley_core.peer import GetStatus
from trefoilpulley_core.peer import PauseReport
from trefoilpulley_core.peer import PauseWrites
from trefoilpulley_core.peer import ResumeWrites
from trefoilpulley_core.peer import StatusReport
from trefoilpulley_core.peer import WarmConnections

if TYPE_CHECKING:
    from typing import Any

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.commands import CallDone
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.coordination.shard import DatabaseRecord
    from trefoilpulley_core.coordination.shard import HandoverRecord
    from trefoilpulley_core.upstream import MemberStatus

MAX_WRITE_PAUSE_S = 0.2
"""Maximum pause of writes; the pooler then resumes the writes, in seconds."""

SWITCH_RESERVE_S = 0.08
"""Part of the pause that is reserved for the promotion, in seconds.

Source and target must have equal logs before this part begins.
"""

STORE_TIMEOUT_S = 2.0
"""Time limit for storing the record of a step, in seconds."""

WARMUP_S = 0.5
"""Time for the pooler to connect to the target, in seconds."""

STEP_TIMEOUT_S = 0.1
"""Time limit for the reply to one call, in seconds."""

CHECK_INTERVAL_S = 0.01
"""Interval between checks of running writes and of logs, in seconds."""


class HandoverStage(StrEnum):
    """Stages of a handover before the fence."""

    RECORDING = 'recording'
    """The record of the handover is being stored."""

    WARMING = 'warming'
    """The target's pooler opens connections to the target."""

    MARKING = 'marking'
    """The start of the switch is being stored in the record."""

    DRAINING = 'draining'
    """Writes are paused; the running writes have not ended yet."""

    COMPARING = 'comparing'
    """The logs of source and target are compared."""

    READY = 'ready'
    """The logs are equal, and the target can be promoted."""

    ABANDONED = 'abandoned'
    """The handover has ended without a promotion."""


class Handover:
    """One attempt to make another member the primary.

    Parameters
    ----------
    entry : DatabaseEntry
        Database and its members.
    record : HandoverRecord
        Identifier, source and target of the handover.
    now : float
        Monotonic time in seconds.
    max_pause_s : float
        Longest pause of writes, in seconds.
    """

    def __init__(
        self,
        entry: DatabaseEntry,
        record: HandoverRecord,
        now: float,
        max_pause_s: float = MAX_WRITE_PAUSE_S,
    ) -> None:
        self._entry = entry
        self._max_pause_s = max_pause_s
        self._deadline = now + STORE_TIMEOUT_S
        self._next_at = now
        self._paused_at: float | None = None
        self._compared_at = now
        self._statuses: dict[str, MemberStatus] = {}
        self._pending: set[str] = set()
        self.record = record
        """Record of the handover for the platform's service."""

        self.stage = HandoverStage.RECORDING
        """Current stage."""

        self.outcome = ''
        """Reason for which the handover was abandoned, or empty."""

    def pause_ms(self, now: float) -> int:
        """Return the time since writes were paused, in milliseconds."""
        if self._paused_at is None:
            return 0
        return round((now - self._paused_at) * 1000)

    def begin(self) -> Commands:
        """Store the handover's record."""
        return (EditRecord(PutHandover(self._entry.name, self.record)),)

    def abandon(self, reason: str) -> Commands:
        """Abandon the handover and resume paused writes."""
        self.outcome = reason
        was_paused = self._paused_at is not None
        self.stage = HandoverStage.ABANDONED
        return (self._resume_writes(),) if was_paused else ()

    def resume_writes(self) -> Commands:
        """Resume writes at the source after the promotion."""
        return (self._resume_writes(),)

    def on_record(self, record: DatabaseRecord, now: float) -> Commands:
        """Process a new version of the database's record."""
        current = record.handover
        if current is None and self.stage is HandoverStage.RECORDING:
            return ()
        if current is None or current.handover_id != self.record.handover_id:
            return self.abandon('superseded')
        if self.stage is HandoverStage.RECORDING:
            return self._warm_target(now)
        is_switch_recorded = current.step is HandoverStep.SWITCHING
        if self.stage is HandoverStage.MARKING and is_switch_recorded:
            return self._begin_drain(now)
        return ()

    def on_tick(self, now: float) -> Commands:
        """Continue the handover, or abandon it after a timeout."""
        match self.stage:
            case HandoverStage.WARMING if now >= self._next_at:
                return self._record_switch(now)
            case HandoverStage.DRAINING | HandoverStage.COMPARING:
                return self._continue_switch(now)
            case HandoverStage.RECORDING | HandoverStage.MARKING:
                if now >= self._deadline:
                    return self.abandon('service too slow')
        return ()

    def on_call_done(self, done: CallDone, now: float) -> Commands:
        """Process the result of a call to a member."""
        if self.stage is HandoverStage.DRAINING:
            return self._on_drain_reply(done, now)
        if self.stage is HandoverStage.COMPARING:
            return self._on_compare_reply(done)
        return ()

    def _warm_target(self, now: float) -> Commands:
        self.stage = HandoverStage.WARMING
        self._next_at = now + WARMUP_S
        member = self._entry.find_member(self.record.target)
        count = max(member.slots, member.connections // 2)
        message = WarmConnections(member.name, count)
        return (self._call(member.name, message),)

    def _record_switch(self, now: float) -> Commands:
        self.stage = HandoverStage.MARKING
        self._deadline = now + STORE_TIMEOUT_S
        self.record = replace(self.record, step=HandoverStep.SWITCHING)
        return (EditRecord(PutHandover(self._entry.name, self.record)),)

    def _begin_drain(self, now: float) -> Commands:
        self.stage = HandoverStage.DRAINING
        self._pending.clear()
        self._paused_at = now
        return self._pause_writes(now)

    def _pause_writes(self, now: float) -> Commands:
        self._next_at = now + CHECK_INTERVAL_S
        source = self.record.source
        left_s = self._max_pause_s - (now - self._paused_at)
        max_pause_ms = max(1, round(left_s * 1000))
        message = PauseWrites(source, self.record.handover_id, max_pause_ms)
        return (self._call(source, message),)

    def _continue_switch(self, now: float) -> Commands:
        if now >= self._paused_at + self._max_pause_s - SWITCH_RESERVE_S:
            return self.abandon('writes did not drain')
        if self._pending or now < self._next_at:
            return ()
        if self.stage is HandoverStage.DRAINING:
            return self._pause_writes(now)
        return self._compare_logs(now)

    def _on_drain_reply(self, done: CallDone, now: float) -> Commands:
        message = done.call.message
        if not isinstance(message, PauseWrites):
            return ()
        if message.handover_id != self.record.handover_id:
            return ()
        self._pending.discard(done.call.member)
        match done.result:
            case Success(PauseReport(writes_running=0)):
                self.stage = HandoverStage.COMPARING
                return self._compare_logs(now)
            case Success():
                return ()
        return self.abandon('source does not answer')

    def _compare_logs(self, now: float) -> Commands:
        self._next_at = now + CHECK_INTERVAL_S
        self._compared_at = now
        self._statuses.clear()
        self._pending.clear()
        members = (self.record.source, self.record.target)
        return tuple(self._call(m, GetStatus(m)) for m in members)

    def _on_compare_reply(self, done: CallDone) -> Commands:
        if not isinstance(done.call.message, GetStatus):
            return ()
        if done.sent_at < self._compared_at:
            return ()
        self._pending.discard(done.call.member)
        match done.result:
            case Success(StatusReport(status)):
                self._statuses[status.member] = status
            case _:
                return self.abandon('member does not answer')
        if self._are_logs_equal():
            self.stage = HandoverStage.READY
        return ()

    def _are_logs_equal(self) -> bool:
        source = self._statuses.get(self.record.source)
        target = self._statuses.get(self.record.target)
        if source is None or target is None:
            return False
        return source.history.last == target.history.last

    def _resume_writes(self) -> CallMember:
        source = self.record.source
        message = ResumeWrites(source, self.record.handover_id)
        return CallMember(self._entry.name, source, message, STEP_TIMEOUT_S)

    def _call(self, member: str, message: Any) -> CallMember:
        self._pending.add(member)
        return CallMember(self._entry.name, member, message, STEP_TIMEOUT_S)
