"""Connections and slots of one member."""

from __future__ import annotations

from dataclasses import dataclass
import itertools
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.slots import Ticket
from trefoilpulley_node.pooler.write_hold import WriteHold

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.peer import WorkScope
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_node.pooler.member_connections import MemberConnections
    from trefoilpulley_node.pooler.member_link import MemberLink


@dataclass(eq=False, slots=True)
class SlotLease:
    """A slot and a connection, held by one piece of work."""

    link: MemberLink
    """Connection to use."""

    ticket: Ticket
    """Work that holds the slot."""

    taken_at: float
    """Monotonic time at which the slot was taken, in seconds."""


class MemberPool:
    """Gives the slots of a member to the work that waits.

    Parameters
    ----------
    member : MemberEntry
        Member and its limits.
    queue : SlotQueue
        Order of the waiting work.
    connections : MemberConnections
        Connections for work.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        member: MemberEntry,
        queue: SlotQueue,
        connections: MemberConnections,
        clock: Clock,
    ) -> None:
        self._member = member
        self._queue = queue
        self._clock = clock
        self._connections = connections
        self._granted: dict[int, AsyncResult] = {}
        self._ids = itertools.count(1)
        self._slots_in_use = 0
        self.hold = WriteHold(clock)
        """Hold of writes during a handover."""

        self.writes_running = 0
        """Writes and transactions that hold a slot."""

    @property
    def slots_in_use(self) -> int:
        """Number of slots held by work."""
        return self._slots_in_use

    @property
    def waiting(self) -> int:
        """Number of pieces of work that wait for a slot."""
        return len(self._granted)

    @property
    def connections(self) -> int:
        """Number of connections open for work."""
        return self._connections.open_for_work

    @property
    def expected_wait_ms(self) -> int:
        """Expected wait of new work for a slot, in milliseconds."""
        return self._queue.expected_wait_ms(self._clock.now())

    def acquire(
        self, scope: WorkScope, is_write: bool
    ) -> Result[SlotLease, Failure]:
        """Wait for a slot and a connection.

        Returns
        -------
        Result[SlotLease, Failure]
            The lease, `Overloaded` where the work can't be in time, or
            `NoUpstream` where no connection could be opened.
        """
        now = self._clock.now()
        deadline = now + scope.remaining_ms / 1000
        ticket = Ticket(
            next(self._ids),
            scope.tenant,
            scope.work_class,
            deadline,
            is_write,
        )
        offered = self._queue.offer(ticket, now)
        if not isinstance(offered, Success):
            return offered
        granted = self._granted[ticket.ticket_id] = AsyncResult()
        self._dispatch()
        granted.wait(max(0.0, deadline - now))
        if not granted.ready():
            self._withdraw(ticket)
            return Failed(Overloaded('no slot became free in time'))
        if not granted.get():
            return Failed(Overloaded('work could not be in time'))
        return self._connect(ticket)

    def release(self, lease: SlotLease, is_in_time: bool = True) -> None:
        """Return a slot, and its connection where it still works."""
        held_s = self._clock.now() - lease.taken_at
        work_class = lease.ticket.work_class
        if lease.link.is_open:
            self._queue.record_service(work_class, held_s, is_in_time)
        else:
            self._queue.record_connection_lost()
        self._connections.give_back(lease.link)
        self._free_slot(lease.ticket)

    def warm(self, count: int) -> int:
        """Open idle connections ahead of work.

        Returns
        -------
        int
            Connections that are open for work.
        """
        self._connections.warm(count)
        return self.connections

    def begin_hold(self, handover_id: str, hold_s: float) -> bool:
        """Hold new writes; those running go on."""
        if not self.hold.begin(handover_id, hold_s):
            return False
        gevent.spawn_later(hold_s, self._dispatch)
        return True

    def end_hold(self, handover_id: str) -> None:
        """End a hold and let the queued writes run."""
        self.hold.end(handover_id)
        self._dispatch()

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def _dispatch(self) -> None:
        now = self._clock.now()
        for ticket in self._queue.expire(now):
            self._grant(ticket, False)
        while self._slots_in_use < self._member.slots:
            ticket = self._queue.take(now, not self.hold.is_active)
            if ticket is None:
                return
            self._slots_in_use += 1
            self.writes_running += ticket.is_write
            if not self._grant(ticket, True):
                self._free_slot(ticket)

    def _grant(self, ticket: Ticket, is_granted: bool) -> bool:
        granted = self._granted.pop(ticket.ticket_id, None)
        if granted is None:
            return False
        granted.set(is_granted)
        return True

    def _withdraw(self, ticket: Ticket) -> None:
        self._granted.pop(ticket.ticket_id, None)
        self._queue.cancel(ticket.ticket_id)

    def _free_slot(self, ticket: Ticket) -> None:
        self._slots_in_use -= 1
        self.writes_running -= ticket.is_write
        self._dispatch()

    def _connect(self, ticket: Ticket) -> Result[SlotLease, Failure]:
        lent = self._connections.lend(ticket.deadline)
        if not isinstance(lent, Success):
            self._queue.record_connection_lost()
            self._free_slot(ticket)
            return Failed(NoUpstream('member can not be connected'))
        return Success(SlotLease(lent.unwrap(), ticket, self._clock.now()))
