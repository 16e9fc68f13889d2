"""State of a bounded exploration: members, two coordinators, messages.

Time stands still but for the ticks that a coordinator is given, so that
a state is reached by any order of the same events once only.
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
"""Time that a tick lets pass for a coordinator."""

ATTEMPT_TIMEOUT_S = 2.1
"""Time after which a coordinator gives its attempt up."""


@dataclass(frozen=True, slots=True)
class InFlightCall:
    """One message on its way."""

    coordinator: int
    """Coordinator that sent it."""

    call: CallMember
    """The call."""

    sent_at: float
    """The coordinator's time when it left."""

    reply: Any = None
    """Result on its way back; ``None`` on the way there."""

    is_late: bool = False
    """Whether the coordinator has given up waiting for it."""


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Progress of a replica on its way to its primary."""

    primary: str
    """Primary."""

    member: str
    """Replica."""

    term: int
    """Term that the replica follows."""

    position: Position
    """End of the replica's log."""


@dataclass(frozen=True, slots=True)
class EventBudget:
    """Events that may still happen."""

    starts: tuple[int, int] = (1, 1)
    """Promotions that each coordinator may begin."""

    handovers: int = 0
    """Handovers that the first coordinator may begin."""

    writes: int = 1
    """Writes of the callers."""

    call_timeouts: int = 1
    """Messages whose sender gives up waiting."""

    outages: int = 1
    """Times at which the first primary is cut off."""

    ticks: int = 1
    """Ticks of the coordinators."""

    delays: int = 0
    """Replies that other events may overtake."""

    attempt_timeouts: int = 0
    """Attempts that are given up for taking too long."""


@dataclass(frozen=True, slots=True)
class Write:
    """One write that a primary has taken."""

    member: str
    """Primary."""

    position: Position
    """Place in its log."""

    value: str
    """Content."""


class ExploredState:
    """Everything that a step of the exploration may change.

    Parameters
    ----------
    entry : DatabaseEntry
        Members of the database.
    members : dict[str, ModelMember]
        Models of the members.
    budget : Budget
        Events that may happen.
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
        """Models of the members."""

        self.budget = budget
        """Events that may still happen."""

        self.cut_off_members: frozenset[str] = frozenset()
        """Members that nothing reaches."""

        self.in_flight_calls: frozenset[InFlightCall] = frozenset()
        """Control messages on their way."""

        self.confirmations: frozenset[Confirmation] = frozenset()
        """Confirmations on their way."""

        self.coordinator_times = [0.0, 0.0]
        """Time of each coordinator."""

        self.promotion_counts = [0, 0]
        """Promotions that each coordinator has begun."""

        self.promotions: list[Promotion | None] = [None, None]
        """Promotion of each coordinator."""

        self.handover: Handover | None = None
        """Handover of the first coordinator."""

        self.are_writes_paused = False
        """Whether the first primary's writes are held."""

        self.writes: tuple[Write, ...] = ()
        """Writes that primaries have taken."""

        self.acknowledged: frozenset[Write] = frozenset()
        """Writes that callers were told of."""

        self.late_acknowledged: frozenset[Write] = frozenset()
        """Writes acknowledged after a later term had its majority."""

        self.majorities: frozenset[tuple[int, str]] = frozenset()
        """Terms and the members that collected a majority for them."""

    def clone(self) -> ExploredState:
        """Return a copy that may be changed."""
        copied = copy.copy(self)
        copied.members = {n: clone_member(m) for n, m in self.members.items()}
        copied.coordinator_times = list(self.coordinator_times)
        copied.promotion_counts = list(self.promotion_counts)
        copied.promotions = [clone_operation(p) for p in self.promotions]
        copied.handover = clone_operation(self.handover)
        return copied

    def key(self) -> tuple[Any, ...]:
        """Return what tells this state from others."""
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
        """Take events from the budget."""
        self.budget = replace(self.budget, **changes)

    def send(self, coordinator: int, commands: tuple[Any, ...]) -> None:
        """Put a coordinator's calls on their way."""
        sent_at = self.coordinator_times[coordinator]
        for command in commands:
            if isinstance(command, CallMember):
                in_flight = InFlightCall(coordinator, command, sent_at)
                self.in_flight_calls |= {in_flight}

    def apply_call(self, call: CallMember) -> Any:
        """Have a member carry out a call; return the result."""
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
        """Tell a coordinator the outcome of its call."""
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
        """Have a coordinator stop to wait for a call."""
        self.complete_call(in_flight, Failed(PeerUnreachable()))
        if in_flight.reply is None:
            self.in_flight_calls |= {replace(in_flight, is_late=True)}

    def advance(self, index: int) -> None:
        """Move a coordinator to what follows its last step."""
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
        """Have a coordinator begin its next term."""
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
        """Return the next term granted to a coordinator."""
        return 2 + index + 2 * self.promotion_counts[index]

    def make_promotion(
        self, term: int, names: list[str], now: float
    ) -> Promotion:
        """Return a promotion by the product's rule."""
        return Promotion(self.entry, term, names, now)

    def begin_handover(self, target: str) -> None:
        """Have the first coordinator begin a handover."""
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
        """Let time pass for a coordinator."""
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
        """Tell a primary of a replica's progress."""
        self.confirmations -= {message}
        primary = self.members[message.primary]
        primary.confirm(message.member, message.term, message.position)
        if primary.is_primary:
            self.update_acknowledged(primary)

    def copies_needed(self) -> int:
        """Return the members that must hold a write."""
        return self.entry.majority

    def on_write(self, primary: ModelMember) -> None:
        """Note that a primary has taken a write."""

    def update_acknowledged(self, primary: ModelMember) -> None:
        """Acknowledge the writes of a primary that have their copies."""
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
