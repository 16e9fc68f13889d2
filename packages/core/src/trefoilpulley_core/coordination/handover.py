"""Moves the lead of a database to another member without a fault.

Up to the fence the handover may be abandoned at any step; from the
fence on it is a promotion, which goes forward. The hold of writes ends
by itself, so a coordinator that dies leaves nothing behind but its
record, which the next coordinator removes.
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
"""Longest hold of writes; the pooler ends it by itself."""

SWITCH_RESERVE_S = 0.08
"""Part of the hold kept for the switch, once the logs are equal."""

STORE_TIMEOUT_S = 2.0
"""Time for a step's record to be stored."""

WARMUP_S = 0.5
"""Time given to the target for its connections."""

STEP_TIMEOUT_S = 0.1
"""Longest wait for the reply to one step."""

STEP_RETRY_INTERVAL_S = 0.01
"""Time between two looks at the running writes and the logs."""


class HandoverStage(StrEnum):
    """Stages of a handover up to the fence."""

    RECORDING = 'recording'
    WARMING = 'warming'
    MARKING = 'marking'
    DRAINING = 'draining'
    COMPARING = 'comparing'
    READY = 'ready'
    ABANDONED = 'abandoned'


class Handover:
    """One attempt to hand the lead to another member.

    Parameters
    ----------
    entry : DatabaseEntry
        Members of the database.
    record : HandoverRecord
        Source, target and identifier.
    now : float
        Monotonic time in seconds.
    max_pause_s : float
        Longest hold of writes.
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
        """What the platform's service keeps of the handover."""

        self.stage = HandoverStage.RECORDING
        """Stage reached."""

        self.outcome = ''
        """Why the handover was abandoned."""

    def pause_ms(self, now: float) -> int:
        """Return the time since the hold of writes began."""
        if self._paused_at is None:
            return 0
        return round((now - self._paused_at) * 1000)

    def begin(self) -> Commands:
        """Record the handover."""
        return (EditRecord(PutHandover(self._entry.name, self.record)),)

    def abandon(self, reason: str) -> Commands:
        """Give the handover up before its fence."""
        self.outcome = reason
        was_paused = self._paused_at is not None
        self.stage = HandoverStage.ABANDONED
        return (self._resume_writes(),) if was_paused else ()

    def resume_writes(self) -> Commands:
        """End the hold of writes after the switch."""
        return (self._resume_writes(),)

    def on_record(self, record: DatabaseRecord, now: float) -> Commands:
        """Take the record as the service holds it."""
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
        """Move on, or give up where a step took too long."""
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
        """Take the outcome of a step."""
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
        self._next_at = now + STEP_RETRY_INTERVAL_S
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
        self._next_at = now + STEP_RETRY_INTERVAL_S
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
