"""Slots and connections of one member."""

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
from trefoilpulley_node.pooler.write_pause import WritePause

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.peer import WorkScope
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_node.pooler.member_connections import MemberConnections
    from trefoilpulley_node.pooler.member_link import MemberLink


@dataclass(eq=False, slots=True)
class SlotLease:
    """Slot and connection held by one request or transaction."""

    link: MemberLink
    """Connection to the member."""

    ticket: Ticket
    """Queue ticket of the work that holds the slot."""

    taken_at: float
    """Monotonic time at which the slot was taken, in seconds."""


class MemberPool:
    """Assigns the slots of a member to waiting work.

    Parameters
    ----------
    member : MemberEntry
        Catalogue entry of the member with its limits.
    queue : SlotQueue
        Queue that decides the order of the waiting work.
    connections : MemberConnections
        Connections to the member for work.
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
        self._pending_grants: dict[int, AsyncResult] = {}
        self._ids = itertools.count(1)
        self._slots_in_use = 0
        self.write_pause = WritePause(clock)
        """Pauses writes during a handover."""

        self.writes_running = 0
        """Number of writes and transactions that hold a slot."""

    @property
    def slots_in_use(self) -> int:
        """Number of slots held by work."""
        return self._slots_in_use

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._pending_grants)

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
            The lease, `Overloaded` if the work can't finish in time, or
            `NoUpstream` if no connection could be opened.
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
        grant = self._pending_grants[ticket.ticket_id] = AsyncResult()
        self._dispatch()
        grant.wait(max(0.0, deadline - now))
        if not grant.ready():
            self._withdraw(ticket)
            return Failed(Overloaded('no slot became free in time'))
        if not grant.get():
            return Failed(Overloaded('work could not finish in time'))
        return self._connect(ticket)

    def release(self, lease: SlotLease, is_in_time: bool = True) -> None:
        """Free a slot and give back its connection."""
        held_s = self._clock.now() - lease.taken_at
        work_class = lease.ticket.work_class
        if lease.link.is_open:
            self._queue.record_service(work_class, held_s, is_in_time)
        else:
            self._queue.record_connection_lost()
        self._connections.release(lease.link)
        self._free_slot(lease.ticket)

    def warm(self, count: int) -> int:
        """Open idle connections ahead of work.

        Returns
        -------
        int
            Number of connections that are open for work.
        """
        self._connections.warm(count)
        return self.connections

    def try_pause_writes(self, handover_id: str, pause_s: float) -> bool:
        """Pause new writes; running writes continue.

        Returns
        -------
        bool
            False if another handover has paused the writes.
        """
        if not self.write_pause.try_begin(handover_id, pause_s):
            return False
        gevent.spawn_later(pause_s, self._dispatch)
        return True

    def resume_writes(self, handover_id: str) -> None:
        """End the pause of a handover and run the queued writes."""
        self.write_pause.end(handover_id)
        self._dispatch()

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def _dispatch(self) -> None:
        now = self._clock.now()
        for ticket in self._queue.expire(now):
            self._grant(ticket, False)
        while self._slots_in_use < self._member.slots:
            ticket = self._queue.take(now, not self.write_pause.is_active)
            if ticket is None:
                return
            self._slots_in_use += 1
            self.writes_running += ticket.is_write
            if not self._grant(ticket, True):
                self._free_slot(ticket)

    def _grant(self, ticket: Ticket, is_granted: bool) -> bool:
        grant = self._pending_grants.pop(ticket.ticket_id, None)
        if grant is None:
            return False
        grant.set(is_granted)
        return True

    def _withdraw(self, ticket: Ticket) -> None:
        self._pending_grants.pop(ticket.ticket_id, None)
        self._queue.cancel(ticket.ticket_id)

    def _free_slot(self, ticket: Ticket) -> None:
        self._slots_in_use -= 1
        self.writes_running -= ticket.is_write
        self._dispatch()

    def _connect(self, ticket: Ticket) -> Result[SlotLease, Failure]:
        acquired = self._connections.acquire(ticket.deadline)
        if not isinstance(acquired, Success):
            self._queue.record_connection_lost()
            self._free_slot(ticket)
            return Failed(NoUpstream('member could not be connected'))
        return Success(SlotLease(acquired.unwrap(), ticket, self._clock.now()))
