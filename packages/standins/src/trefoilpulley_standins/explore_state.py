"""State of a bounded exploration: members, two coordinators, messages.

Time advances only by a coordinator's ticks. Different orders of the same
events can therefore lead to the same state, which is visited only once.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.coordination.commands import CallDone
from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.coordination.handover import Handover
from trefoilpulley_core.coordination.handover import HandoverStage
from trefoilpulley_core.coordination.promotion import Promotion
from trefoilpulley_core.coordination.shard import DatabaseRecord
from trefoilpulley_core.coordination.shard import HandoverRecord
from trefoilpulley_core.coordination.shard import HandoverStep
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import StaleTerm
from trefoilpulley_core.peer import FenceMember
from trefoilpulley_core.peer import FollowMember
from trefoilpulley_core.peer import PauseReport
from trefoilpulley_core.peer import PauseWrites
from trefoilpulley_core.peer import PooledDone
from trefoilpulley_core.peer import PromoteMember
from trefoilpulley_core.peer import ResumeWrites
from trefoilpulley_core.peer import StatusReport
from trefoilpulley_core.peer import WarmConnections
from trefoilpulley_standins.explore_copies import clone_member
from trefoilpulley_standins.explore_copies import clone_operation
from trefoilpulley_standins.explore_copies import member_key
from trefoilpulley_standins.explore_copies import operation_key

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.position import Position
    from trefoilpulley_standins.explore_member import ModelMember

TICK_S = 0.2
"""Time by which one tick advances a coordinator's clock, in seconds."""

ATTEMPT_TIMEOUT_S = 2.1
"""Time after which a coordinator abandons an attempt, in seconds."""


@dataclass(frozen=True, slots=True)
class InFlightCall:
    """Call from a coordinator to a member, or the reply, in transit."""

    coordinator: int
    """Index of the coordinator that sent the call."""

    call: CallMember
    """Call to the member."""

    sent_at: float
    """Time on the coordinator's clock when the call was sent, in seconds."""

    reply: Any = None
    """Result in transit to the coordinator; ``None`` before execution."""

    is_late: bool = False
    """Whether the call has already timed out at the coordinator."""


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Confirmation from a replica to its primary, in transit."""

    primary: str
    """Name of the primary."""

    member: str
    """Name of the replica."""

    term: int
    """Term that the replica follows."""

    position: Position
    """End of the replica's log."""


@dataclass(frozen=True, slots=True)
class EventBudget:
    """Number of events of each kind that may still happen."""

    starts: tuple[int, int] = (1, 1)
    """Promotions that each coordinator may begin."""

    handovers: int = 0
    """Handovers that the first coordinator may begin."""

    writes: int = 1
    """Writes that the callers may send."""

    call_timeouts: int = 1
    """Calls that may time out at the coordinator."""

    outages: int = 1
    """Outages that may cut off the first primary."""

    ticks: int = 1
    """Ticks that the coordinators may make."""

    delays: int = 0
    """Replies and confirmations that other events may overtake."""

    attempt_timeouts: int = 0
    """Attempts that a coordinator may abandon for taking too long."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write that a primary has appended to its log."""

    member: str
    """Name of the primary."""

    position: Position
    """Position of the write in the primary's log."""

    value: str
    """Content of the write."""


class ExploredState:
    """All values that a step of the exploration may change.

    Parameters
    ----------
    entry : DatabaseEntry
        Members of the database.
    members : dict[str, ModelMember]
        Models of the members, by name.
    budget : EventBudget
        Bound on the events.
    """

    def __init__(
        self,
        entry: DatabaseEntry,
        members: dict[str, ModelMember],
        budget: EventBudget,
    ) -> None:
        self.entry = entry
        """Members of the database."""

        self.members = members
        """Models of the members, by name."""

        self.budget = budget
        """Bound on the events that may still happen."""

        self.cut_off_members: frozenset[str] = frozenset()
        """Members that no message can reach."""

        self.in_flight_calls: frozenset[InFlightCall] = frozenset()
        """Calls and replies in transit."""

        self.confirmations: frozenset[Confirmation] = frozenset()
        """Confirmations in transit."""

        self.coordinator_times = [0.0, 0.0]
        """Clock of each coordinator, in seconds."""

        self.promotion_counts = [0, 0]
        """Number of promotions that each coordinator has begun."""

        self.promotions: list[Promotion | None] = [None, None]
        """Current promotion of each coordinator."""

        self.handover: Handover | None = None
        """Current handover of the first coordinator."""

        self.are_writes_paused = False
        """Whether the first primary's writes are paused."""

        self.writes: tuple[Write, ...] = ()
        """Writes that primaries have appended to their logs."""

        self.acknowledged: frozenset[Write] = frozenset()
        """Writes that were acknowledged to the callers."""

        self.late_acknowledged: frozenset[Write] = frozenset()
        """Writes that were acknowledged after a later term had a majority."""

        self.majorities: frozenset[tuple[int, str]] = frozenset()
        """Terms with a majority, each with the member that leads the term."""

    def clone(self) -> ExploredState:
        """Return an independent copy of the state."""
        copied = copy.copy(self)
        copied.members = {n: clone_member(m) for n, m in self.members.items()}
        copied.coordinator_times = list(self.coordinator_times)
        copied.promotion_counts = list(self.promotion_counts)
        copied.promotions = [clone_operation(p) for p in self.promotions]
        copied.handover = clone_operation(self.handover)
        return copied

    def key(self) -> tuple[Any, ...]:
        """Return a hashable key that identifies the state."""
        return (
            tuple(member_key(m) for m in self.members.values()),
            self.cut_off_members,
            self.in_flight_calls,
            self.confirmations,
            tuple(self.coordinator_times),
            tuple(operation_key(p) for p in self.promotions),
            operation_key(self.handover),
            self.are_writes_paused,
            self.writes,
            self.acknowledged,
            self.late_acknowledged,
            self.majorities,
            self.budget,
        )

    def consume_budget(self, **changes: Any) -> None:
        """Change the numbers of events that may still happen."""
        self.budget = replace(self.budget, **changes)

    def send(self, coordinator: int, commands: tuple[Any, ...]) -> None:
        """Send a coordinator's calls to members."""
        sent_at = self.coordinator_times[coordinator]
        for command in commands:
            if isinstance(command, CallMember):
                in_flight = InFlightCall(coordinator, command, sent_at)
                self.in_flight_calls |= {in_flight}

    def apply_call(self, call: CallMember) -> Any:
        """Execute a call at its member; return the result."""
        member = self.members[call.member]
        match call.message:
            case FenceMember(_, term):
                is_done = member.fence(term, 0.0)
            case PromoteMember(_, term):
                is_done = member.promote(term)
            case FollowMember(_, term, primary):
                is_done = member.follow(term, primary, 0.0)
            case PauseWrites():
                self.are_writes_paused = True
                return Success(PauseReport(0))
            case ResumeWrites():
                self.are_writes_paused = False
                return Success(PooledDone())
            case WarmConnections():
                return Success(PooledDone())
            case _:
                is_done = True
        if not is_done:
            return Failed(StaleTerm())
        return Success(StatusReport(member.status(0.0)))

    def complete_call(self, in_flight: InFlightCall, result: Any) -> None:
        """Deliver the result of a call to its coordinator."""
        self.in_flight_calls -= {in_flight}
        index = in_flight.coordinator
        now = self.coordinator_times[index]
        done = CallDone(in_flight.call, in_flight.sent_at, result)
        promotion = self.promotions[index]
        if promotion is not None:
            self.send(index, promotion.on_call_done(done, now))
        elif index == 0 and self.handover is not None:
            self.send(0, self.handover.on_call_done(done, now))
        self.advance(index)

    def time_out_call(self, in_flight: InFlightCall) -> None:
        """Let a call time out at its coordinator.

        A call that its member has not yet executed stays in transit and
        may still be executed.
        """
        self.complete_call(in_flight, Failed(PeerUnreachable()))
        if in_flight.reply is None:
            self.in_flight_calls |= {replace(in_flight, is_late=True)}

    def advance(self, index: int) -> None:
        """Remove a finished promotion, and advance the handover."""
        promotion = self.promotions[index]
        if promotion is not None and promotion.stage.is_over:
            self.promotions[index] = None
        if index == 0 and self.handover is not None:
            self._advance_handover()

    def _advance_handover(self) -> None:
        stage = self.handover.stage
        if stage is HandoverStage.ABANDONED:
            self.handover = None
        elif stage is HandoverStage.READY and self.promotions[0] is None:
            target = self.handover.record.target
            self.handover = None
            self.begin_promotion(0, target)

    def begin_promotion(self, index: int, preferred: str) -> None:
        """Begin a promotion with a coordinator's next term."""
        term = self.next_term(index)
        self.promotion_counts[index] += 1
        names = [m.name for m in self.entry.members]
        names.sort(key=lambda n: n != preferred)
        promotion = self.make_promotion(
            term, names, self.coordinator_times[index]
        )
        self.promotions[index] = promotion
        self.send(index, promotion.on_tick(self.coordinator_times[index]))

    def next_term(self, index: int) -> int:
        """Return a coordinator's next term; no term is used by both."""
        return 2 + index + 2 * self.promotion_counts[index]

    def make_promotion(
        self, term: int, names: list[str], now: float
    ) -> Promotion:
        """Return a promotion with the production rules."""
        return Promotion(self.entry, term, names, now)

    def begin_handover(self, target: str) -> None:
        """Begin a handover by the first coordinator."""
        source = self.entry.members[0].name
        record = HandoverRecord('h', 'c0', source, target)
        self.handover = Handover(self.entry, record, self.coordinator_times[0])
        self.handover.begin()
        self._record_handover(record)
        self.coordinator_times[0] += ATTEMPT_TIMEOUT_S
        self.handover.on_tick(self.coordinator_times[0])
        switching = replace(record, step=HandoverStep.SWITCHING)
        self._record_handover(switching)

    def _record_handover(self, record: HandoverRecord) -> None:
        stored = DatabaseRecord(self.entry.name, handover=record)
        self.send(
            0, self.handover.on_record(stored, self.coordinator_times[0])
        )

    def tick(self, index: int, elapsed_s: float) -> None:
        """Advance a coordinator's clock by a time in seconds."""
        self.coordinator_times[index] = round(
            self.coordinator_times[index] + elapsed_s, 3
        )
        now = self.coordinator_times[index]
        promotion = self.promotions[index]
        if promotion is not None:
            self.send(index, promotion.on_tick(now))
        elif index == 0 and self.handover is not None:
            self.send(0, self.handover.on_tick(now))
        self.advance(index)

    def confirm(self, message: Confirmation) -> None:
        """Deliver a replica's confirmation to its primary."""
        self.confirmations -= {message}
        primary = self.members[message.primary]
        primary.confirm(message.member, message.term, message.position)
        if primary.is_primary:
            self.update_acknowledged(primary)

    def copies_needed(self) -> int:
        """Return the number of members that must hold a write."""
        return self.entry.majority

    def on_write(self, primary: ModelMember) -> None:
        """Handle a write that a primary has appended to its log."""

    def update_acknowledged(self, primary: ModelMember) -> None:
        """Acknowledge the writes of a primary that have enough copies."""
        copies = self.copies_needed()
        has_term = any(
            p.term == primary.term for p in primary.confirmed.values()
        )
        if has_term or copies == 1:
            self.majorities |= {(primary.term, primary.name)}
        ready = frozenset(
            w
            for w in self.writes
            if w.member == primary.name
            and w.position.term == primary.term
            and primary.copy_count(w.position) >= copies
        )
        newly_acknowledged = ready - self.acknowledged
        if newly_acknowledged and any(
            term > primary.term for term, _ in self.majorities
        ):
            self.late_acknowledged |= newly_acknowledged
        self.acknowledged |= ready
