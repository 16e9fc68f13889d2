"""Monitors one database and changes its primary when necessary."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.coordination import commands
from trefoilpulley_core.coordination.commands import EditRecord
from trefoilpulley_core.coordination.commands import Purpose
from trefoilpulley_core.coordination.detection import FailureDetector
from trefoilpulley_core.coordination.detection import Verdict
from trefoilpulley_core.coordination.edits import ClaimTerms
from trefoilpulley_core.coordination.edits import EndHandover
from trefoilpulley_core.coordination.edits import RecordPrimary
from trefoilpulley_core.coordination.edits import ResetRelapses
from trefoilpulley_core.coordination.handover import Handover
from trefoilpulley_core.coordination.handover import HandoverStage
from trefoilpulley_core.coordination.handover_policy import HandoverPolicy
from trefoilpulley_core.coordination.layout import ranked_members
from trefoilpulley_core.coordination.probe_schedule import ProbeSchedule
from trefoilpulley_core.coordination.promotion import Promotion
from trefoilpulley_core.coordination.promotion import PromotionStage
from trefoilpulley_core.coordination.redirector import ReplicaRedirector
from trefoilpulley_core.coordination.shard import HandoverRecord
from trefoilpulley_core.coordination.terms import has_grants
from trefoilpulley_core.coordination.terms import usable_term
from trefoilpulley_core.peer import StatusReport

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.commands import CallDone
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.coordination.shard import DatabaseRecord

BUSY_TICK_INTERVAL_S = 0.005
"""Interval between ticks during a promotion or handover, in seconds."""

ALERT_TICK_INTERVAL_S = 0.05
"""Interval between ticks while a failure is suspected, in seconds.

Also the shortest interval between ticks in normal operation.
"""

MAX_TICK_INTERVAL_S = 0.25
"""Longest interval between ticks in normal operation, in seconds."""

TICKS_PER_PROBE = 6
"""Ticks per probe interval in normal operation."""

MAX_TICK_GAP_S = 1.0
"""Maximum gap between ticks, in seconds.

After a longer gap, the evidence is discarded as outdated.
"""


@dataclass(frozen=True, slots=True)
class TickContext:
    """Inputs of one tick of a database's coordinator."""

    entry: DatabaseEntry
    """Database and its members, from the platform's current list."""

    stopped: frozenset[str] = frozenset()
    """Zones whose members are in a planned stop."""

    probe_interval_s: float = 0.3
    """Interval between probes of the same member, in seconds."""

    is_service_up: bool = True
    """Whether the platform's service answers calls."""


class DatabaseCoordinator:
    """Coordinates one database while this process has the shard's duty.

    Parameters
    ----------
    entry : DatabaseEntry
        Database and its members.
    holder : str
        Name of this process in term grants.
    record : DatabaseRecord
        Record of the database in the platform's service.
    """

    def __init__(
        self, entry: DatabaseEntry, holder: str, record: DatabaseRecord
    ) -> None:
        self._entry = entry
        self.holder = holder
        """Name of this process in term grants."""

        self._last_used_term = 0
        self._handovers_begun = 0
        self._context = TickContext(entry)
        self._ticked_at: float | None = None
        self.record = record
        """Record of the database when it was last read or written."""

        self.promotion: Promotion | None = None
        """Promotion in progress, or ``None``."""

        self.handover: Handover | None = None
        """Handover in progress, or ``None``."""

        self.verdict = Verdict.CUT_OFF
        """Verdict of the failure detector at the last tick."""

        self._reset()

    @property
    def database(self) -> str:
        """Name of the database."""
        return self._entry.name

    @property
    def is_busy(self) -> bool:
        """Whether a promotion or handover is in progress."""
        return self.promotion is not None or self.handover is not None

    @property
    def tick_interval_s(self) -> float:
        """Time until the next tick is due, in seconds."""
        if self.is_busy:
            return BUSY_TICK_INTERVAL_S
        if self._probe_schedule.is_urgent:
            return ALERT_TICK_INTERVAL_S
        tick_interval_s = self._context.probe_interval_s / TICKS_PER_PROBE
        return min(
            max(tick_interval_s, ALERT_TICK_INTERVAL_S), MAX_TICK_INTERVAL_S
        )

    def deactivate(self) -> None:
        """Drop all evidence and operations when this process loses the duty.

        If a handover has paused writes, the pooler resumes them at the time
        limit of the pause.
        """
        self._ticked_at = None
        self._reset()

    def on_tick(self, context: TickContext, now: float) -> Commands:
        """Probe members, update the verdict, advance pending operations."""
        self._update_context(context, now)
        probes = self._probe_schedule.on_tick(context.probe_interval_s, now)
        self.verdict = self.detector.verdict(now)
        is_healthy = self.verdict is Verdict.HEALTHY
        has_contact_loss = self.detector.has_primary_contact_loss
        self._probe_schedule.is_urgent = has_contact_loss or not is_healthy
        return probes + self._advance(now)

    def on_call_done(self, done: CallDone, now: float) -> Commands:
        """Process the result of a call to a member."""
        self._record_evidence(done)
        if done.call.purpose is not Purpose.STEP:
            return ()
        if self.promotion is not None:
            steps = self.promotion.on_call_done(done, now)
            return steps + self._apply_promotion_stage(now)
        if self.handover is not None:
            steps = self.handover.on_call_done(done, now)
            return steps + self._apply_handover_stage(now)
        return ()

    def on_record(self, record: DatabaseRecord, now: float) -> Commands:
        """Process a new version of the database's record."""
        self.record = record
        if self.handover is None or self.promotion is not None:
            return ()
        steps = self.handover.on_record(record, now)
        return steps + self._apply_handover_stage(now)

    def _update_context(self, context: TickContext, now: float) -> None:
        last_ticked_at = self._ticked_at
        self._ticked_at = now
        self._context = context
        is_changed = context.entry.members != self._entry.members
        self._entry = context.entry
        if (
            is_changed
            or last_ticked_at is None
            or now - last_ticked_at > MAX_TICK_GAP_S
        ):
            self._reset()

    def _reset(self) -> None:
        self.detector = FailureDetector(self._entry)
        self._probe_schedule = ProbeSchedule(self._entry)
        self._replica_redirector = ReplicaRedirector(self._entry)
        self._handover_policy = HandoverPolicy(self._entry)
        self._is_retry_needed = False
        self.verdict = Verdict.CUT_OFF
        self.promotion = None
        self.handover = None

    def _record_evidence(self, done: CallDone) -> None:
        self._probe_schedule.on_call_done(done)
        member = done.call.member
        if member not in self.detector.evidence:
            return
        match done.result:
            case Success(StatusReport(status)):
                self.detector.on_status(status, done.sent_at)
            case Success():
                return
            case _ if done.call.purpose is Purpose.PROBE:
                self.detector.on_probe_failed(
                    member, done.sent_at, done.is_from_pooler
                )

    def _advance(self, now: float) -> Commands:
        if self.promotion is not None:
            steps = self.promotion.on_tick(now)
            return steps + self._apply_promotion_stage(now)
        if self._is_primary_lost:
            return self._replace_primary(now)
        if self.handover is not None:
            return self._continue_handover(now)
        if self.verdict is Verdict.HEALTHY:
            return self._maintain_layout(now)
        return ()

    @property
    def _is_primary_lost(self) -> bool:
        if self.verdict is Verdict.CUT_OFF:
            return False
        return self.verdict.is_lost or self._is_retry_needed

    def _replace_primary(self, now: float) -> Commands:
        ended: Commands = ()
        if self.handover is not None:
            ended = self.handover.abandon('primary lost')
            ended += self._apply_handover_stage(now)
        ranked = ranked_members(self._entry, self._context.stopped)
        return ended + self._begin_promotion(ranked, now)

    def _begin_promotion(self, ranked: list[str], now: float) -> Commands:
        above = self._highest_known_term
        term = usable_term(self.record, self.holder, above)
        if term is None:
            return (self._term_claim(above),)
        self._last_used_term = term
        is_planned = self.handover is not None
        self.promotion = Promotion(self._entry, term, ranked, now, is_planned)
        reason = 'handover' if is_planned else self.verdict.value
        began = commands.PromotionBegan(self.database, term, reason)
        return (began, *self.promotion.on_tick(now))

    @property
    def _highest_known_term(self) -> int:
        return max(self._last_used_term, self.detector.highest_term)

    def _term_claim(self, above: int) -> EditRecord:
        return EditRecord(ClaimTerms(self.database, self.holder, above))

    def _apply_promotion_stage(self, now: float) -> Commands:
        current = self.promotion
        out: Commands = ()
        if current.has_primary and not current.is_primary_recorded:
            out += self._record_primary(current, now)
        if not current.stage.is_over:
            return out
        self.promotion = None
        self._is_retry_needed = current.stage is PromotionStage.FAILED
        outcome = current.stage.value
        out += (commands.PromotionEnded(self.database, current.term, outcome),)
        if self.handover is not None:
            out += self.handover.abandon(outcome) + self._apply_handover_stage(
                now
            )
        return out

    def _record_primary(self, current: Promotion, now: float) -> Commands:
        current.is_primary_recorded = True
        edit = RecordPrimary(
            self.database, current.term, current.primary, current.is_planned
        )
        notice = commands.PrimaryPromoted(
            self.database,
            current.term,
            current.primary,
            current.elapsed_ms(now),
        )
        out: Commands = (EditRecord(edit), notice)
        if self.handover is not None:
            out += self.handover.resume_writes() + self._end_handover(
                'done', now
            )
        return out

    def _continue_handover(self, now: float) -> Commands:
        current = self.handover.record
        stopped = self._context.stopped
        if not self._handover_policy.is_wanted(
            current.target, current.source, stopped
        ):
            steps = self.handover.abandon(_CANCELLED)
        else:
            steps = self.handover.on_tick(now)
        return steps + self._apply_handover_stage(now)

    def _apply_handover_stage(self, now: float) -> Commands:
        current = self.handover
        if current.stage is HandoverStage.ABANDONED:
            return self._end_handover(current.outcome, now)
        if current.stage is HandoverStage.READY:
            return self._promote_target(current, now)
        return ()

    def _promote_target(self, current: Handover, now: float) -> Commands:
        ranked = ranked_members(self._entry, self._context.stopped)
        ranked.remove(current.record.target)
        ranked.insert(0, current.record.target)
        steps = self._begin_promotion(ranked, now)
        if self.promotion is not None:
            return steps
        released = current.abandon('no term granted')
        return steps + released + self._apply_handover_stage(now)

    def _end_handover(self, outcome: str, now: float) -> Commands:
        current = self.handover
        self.handover = None
        is_failed = outcome not in ('done', _CANCELLED)
        handover_id = current.record.handover_id
        notice = commands.HandoverEnded(
            self.database, handover_id, outcome, current.pause_ms(now)
        )
        edit = EndHandover(self.database, handover_id, is_failed)
        return (EditRecord(edit), notice)

    def _maintain_layout(self, now: float) -> Commands:
        primary = self.detector.primary
        out = self._replica_redirector.on_tick(self.detector, now)
        if primary.term > self.record.term:
            edit = RecordPrimary(self.database, primary.term, primary.member)
            out += (EditRecord(edit),)
        above = self._highest_known_term
        if not has_grants(self.record, self.holder, above):
            # A handover pauses writes, so its term must be granted before
            # the pause begins.
            return (*out, self._term_claim(above))
        if not self._context.is_service_up:
            return out
        return out + self._manage_handovers(now)

    def _manage_handovers(self, now: float) -> Commands:
        primary = self.detector.primary
        stopped = self._context.stopped
        orphan = self.record.handover
        if orphan is not None:
            edit = EndHandover(self.database, orphan.handover_id, True)
            return (EditRecord(edit),)
        if self.record.relapses:
            if self._handover_policy.is_layout_stable(primary, stopped, now):
                return (EditRecord(ResetRelapses(self.database)),)
        target = self._handover_policy.choose_target(
            self.detector, self.record, stopped, now
        )
        if target is None:
            return ()
        return self._begin_handover(primary.member, target, now)

    def _begin_handover(
        self, source: str, target: str, now: float
    ) -> Commands:
        self._handovers_begun += 1
        handover_id = f'{self.holder}/{self._handovers_begun}'
        record = HandoverRecord(handover_id, self.holder, source, target)
        max_pause_s = self._handover_policy.max_pause_s(
            source, self.record, self._context.stopped
        )
        self.handover = Handover(self._entry, record, now, max_pause_s)
        began = commands.HandoverBegan(
            self.database, handover_id, source, target
        )
        return (began, *self.handover.begin())


_CANCELLED = 'cancelled'
"""Outcome of a handover that is no longer needed."""
