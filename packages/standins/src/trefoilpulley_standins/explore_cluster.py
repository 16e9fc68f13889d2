"""Model of a small cluster on a virtual clock.

Members, the platform service, the callers' writes and the links between
zones are models. The coordination decisions are the production code.
"""

from __future__ import annotations

from dataclasses import dataclass
import heapq
import itertools
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import StaleTerm
from trefoilpulley_core.peer import FenceMember
from trefoilpulley_core.peer import FollowMember
from trefoilpulley_core.peer import GetStatus
from trefoilpulley_core.peer import PauseReport
from trefoilpulley_core.peer import PauseWrites
from trefoilpulley_core.peer import PooledDone
from trefoilpulley_core.peer import PromoteMember
from trefoilpulley_core.peer import ResumeWrites
from trefoilpulley_core.peer import StatusReport
from trefoilpulley_standins.explore_history import WriteHistory
from trefoilpulley_standins.explore_member import ModelMember
from trefoilpulley_standins.explore_service import ModelService

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from trefoilpulley_core.position import Position

REPLICATION_INTERVAL_S = 0.02
"""Time between two messages from a primary to a replica, in seconds."""

MEMBER_DELAY_S = 0.001
"""One-way delay between a pooler and its member, in seconds."""

WRITE_DURATION_S = 0.004
"""Time for which a write occupies its slot, in seconds."""

_UNUSED_ENDPOINT = Endpoint('127.0.0.1', 1)


@dataclass(slots=True)
class WritePause:
    """Pause of one member's writes during a handover."""

    handover_id: str = ''
    """Id of the handover that paused the writes."""

    ends_at: float = 0.0
    """Virtual time at which the pause ends, in seconds."""


class ModelCluster:
    """Members, platform service, links and callers on a virtual clock.

    Parameters
    ----------
    zones : tuple[str, ...]
        Availability zones; each of the first three has a member.
    one_way_delay_s : float
        One-way delay between two zones, in seconds.
    rng : random.Random
        Random number generator of the delays' jitter.
    lag_s : float
        Additional replication lag, in seconds.
    write_interval_s : float
        Time between two writes of the callers, in seconds.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        one_way_delay_s: float,
        rng: random.Random,
        lag_s: float = 0.0,
        write_interval_s: float = 0.01,
    ) -> None:
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._one_way_delay_s = one_way_delay_s
        self._rng = rng
        self._lag_s = lag_s
        self._write_interval_s = write_interval_s
        self._write_numbers = itertools.count(1)
        self._running_writes: dict[str, int] = {}
        self.now = 0.0
        """Current virtual time, in seconds."""

        self.service = ModelService()
        """Platform service."""

        self.cut_links: set[frozenset[str]] = set()
        """Pairs of zones that cannot reach each other."""

        self.isolated: set[str] = set()
        """Members that no message can reach."""

        self.cut_from_pooler: set[str] = set()
        """Members that their pooler cannot reach; replication still works."""

        self.cut_from_service: set[str] = set()
        """Zones that cannot reach the platform service."""

        self.entry = _make_database(zones)
        """Catalog entry of the database."""

        self.declarations = Declarations()
        """Declarations in force."""

        self.live_hosts: tuple[HostEntry, ...] = ()
        """Live hosts in the view of all hosts."""

        self.write_pauses = {m.name: WritePause() for m in self.entry.members}
        """Write pauses by member."""

        self.members = _make_members(self.entry)
        """Members by name."""

        self.history = WriteHistory()
        """Writes of the callers and their acknowledgements."""

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        event = (max(time, self.now), next(self._order), action)
        heapq.heappush(self._events, event)

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.call_at(self.now + delay_s, action)

    def run_until(self, time: float) -> None:
        """Run all actions that are due up to a virtual time."""
        while self._events and self._events[0][0] <= time:
            self.now, _, action = heapq.heappop(self._events)
            self.service.expire(self.now)
            action()
        self.now = time

    def start_traffic(self) -> None:
        """Start the replication and the callers' writes."""
        self._replicate()
        self._write()

    def is_linked(self, one: str, other: str) -> bool:
        """Return whether two zones can reach each other."""
        return frozenset((one, other)) not in self.cut_links

    def delay_s(self, one: str, other: str) -> float:
        """Return a random delay between two zones, in seconds."""
        base_s = MEMBER_DELAY_S if one == other else self._one_way_delay_s
        return base_s * (1 + 0.3 * self._rng.random())

    def call_member(
        self,
        zone: str,
        member: str,
        message: Any,
        timeout_s: float,
        reply: Callable[[Any], None],
    ) -> None:
        """Deliver a control message to a member; reply at most once.

        Parameters
        ----------
        zone : str
            Zone of the calling host.
        member : str
            Name of the member.
        message : Any
            Control message.
        timeout_s : float
            Timeout in seconds; unused, because the calling host applies it.
        reply : Callable[[Any], None]
            Callback for the result.
        """
        target = self.members[member]
        if not self.is_linked(zone, target.zone):
            return
        request_delay_s = self.delay_s(zone, target.zone) + MEMBER_DELAY_S

        def arrive() -> None:
            if not self.is_linked(zone, target.zone):
                return
            if target.name in self.isolated:
                return
            result = self._handle_message(target, message)
            reply_delay_s = MEMBER_DELAY_S + self.delay_s(target.zone, zone)
            self.call_later(reply_delay_s, make_reply(result))

        def make_reply(result: Any) -> Callable[[], None]:
            return lambda: (
                reply(result) if self.is_linked(zone, target.zone) else None
            )

        self.call_later(request_delay_s, arrive)

    def leader(self) -> ModelMember | None:
        """Return the primary with the highest term, or ``None``."""
        leaders = [m for m in self.members.values() if m.is_primary]
        return max(leaders, key=lambda m: m.term, default=None)

    def _handle_message(self, target: ModelMember, message: Any) -> Any:
        pause = self.write_pauses[target.name]
        match message:
            case PauseWrites(_, handover_id, hold_ms):
                pause.handover_id = handover_id
                pause.ends_at = self.now + hold_ms / 1000
                return Success(
                    PauseReport(self._running_writes.get(target.name, 0))
                )
            case ResumeWrites(_, handover_id):
                if pause.handover_id == handover_id:
                    pause.ends_at = 0.0
                return Success(PooledDone())
        if not self._is_reachable_by_pooler(target):
            return Failed(NoUpstream())
        if not self._apply(target, message):
            return Failed(StaleTerm())
        if isinstance(
            message, GetStatus | FenceMember | PromoteMember | FollowMember
        ):
            return Success(StatusReport(target.status(self.now)))
        return Success(PooledDone())

    def _apply(self, target: ModelMember, message: Any) -> bool:
        match message:
            case FenceMember(_, term):
                return target.fence(term, self.now)
            case PromoteMember(_, term):
                return target.promote(term)
            case FollowMember(_, term, primary):
                return target.follow(term, primary, self.now)
        return True

    def _is_reachable_by_pooler(self, member: ModelMember) -> bool:
        is_unreachable = member.name in self.isolated | self.cut_from_pooler
        return member.is_up and not is_unreachable

    def _is_replicating(self, one: ModelMember, other: ModelMember) -> bool:
        if not one.is_up or not other.is_up:
            return False
        if self.isolated & {one.name, other.name}:
            return False
        return self.is_linked(one.zone, other.zone)

    def _replicate(self) -> None:
        for primary in self.members.values():
            if primary.is_primary:
                self._send_log(primary)
        self.call_later(REPLICATION_INTERVAL_S, self._replicate)

    def _send_log(self, primary: ModelMember) -> None:
        term, log = primary.term, primary.log
        for other in self.members.values():
            if other is primary or not self._is_replicating(primary, other):
                continue
            delay_s = self.delay_s(primary.zone, other.zone)
            self.call_later(
                delay_s,
                lambda o=other: self._deliver_contact(primary, o, term),
            )
            self.call_later(
                delay_s + self._lag_s,
                lambda o=other: self._deliver_log(primary, o, term, log),
            )

    def _deliver_contact(
        self, primary: ModelMember, other: ModelMember, term: int
    ) -> None:
        if self._is_replicating(primary, other):
            other.record_contact(term, primary.name, self.now)

    def _deliver_log(
        self, primary: ModelMember, other: ModelMember, term: int, log: Any
    ) -> None:
        if not self._is_replicating(primary, other):
            return
        position = other.append(term, primary.name, log, self.now)
        if position is None:
            return
        delay_s = self.delay_s(other.zone, primary.zone)
        self.call_later(
            delay_s,
            lambda: self._deliver_confirmation(primary, other, term, position),
        )

    def _deliver_confirmation(
        self,
        primary: ModelMember,
        other: ModelMember,
        term: int,
        position: Position,
    ) -> None:
        if self._is_replicating(primary, other):
            primary.confirm(other.name, term, position)
            self._acknowledge(primary)

    def _acknowledge(self, primary: ModelMember) -> None:
        if primary.name in self.cut_from_pooler:
            return
        self.history.acknowledge(primary, self.entry.majority, self.now)

    def _write(self) -> None:
        self.call_later(self._write_interval_s, self._write)
        value = f'w{next(self._write_numbers)}'
        for primary in list(self.members.values()):
            if self._accepts_writes(primary):
                self._begin_write(primary, primary.term, value)

    def _accepts_writes(self, primary: ModelMember) -> bool:
        is_paused = self.now < self.write_pauses[primary.name].ends_at
        return (
            primary.is_primary
            and self._is_reachable_by_pooler(primary)
            and not is_paused
        )

    def _begin_write(
        self, primary: ModelMember, term: int, value: str
    ) -> None:
        name = primary.name
        self._running_writes[name] = self._running_writes.get(name, 0) + 1

        def finish() -> None:
            self._running_writes[name] -= 1
            if not self._is_reachable_by_pooler(primary):
                return
            position = primary.write(term, f'{value}@{name}')
            if position is not None:
                self.history.begin(f'{value}@{name}', position)

        self.call_later(WRITE_DURATION_S, finish)


def _make_database(zones: tuple[str, ...]) -> DatabaseEntry:
    members = tuple(
        MemberEntry(f'ledger/0/{zone}', zone, _UNUSED_ENDPOINT, 2, 16)
        for zone in zones[:3]
    )
    return DatabaseEntry('ledger/0', 'ledger', members)


def _make_members(entry: DatabaseEntry) -> dict[str, ModelMember]:
    home = entry.members[0].name
    members = {
        m.name: ModelMember(m.name, m.zone, primary=home, last_contact_at=0.0)
        for m in entry.members
    }
    members[home].start_term(1)
    return members
