"""Fake slots of one member on a virtual clock that use a real queue."""

from __future__ import annotations

import itertools
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.slots import Ticket
from trefoilpulley_standins.policy_loop import Future

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_standins.policy_loop import VirtualLoop


class FakeSlots:
    """Runs a limited number of requests at once, in the order of a queue.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    queue : SlotQueue
        Queue that orders the waiting requests.
    count : int
        Number of requests that run concurrently.
    """

    def __init__(
        self, loop: VirtualLoop, queue: SlotQueue, count: int
    ) -> None:
        self._loop = loop
        self._queue = queue
        self._free = count
        self._ids = itertools.count(1)
        self._grants: dict[int, Future] = {}
        self.served = 0
        """Number of executed requests."""

    @property
    def expected_wait_ms(self) -> int:
        """Expected wait of a new request, in milliseconds."""
        return self._queue.expected_wait_ms(self._loop.now)

    def run(
        self,
        tenant: str,
        work_class: str,
        deadline: float,
        is_write: bool,
        service_s: float,
    ) -> Generator[Any, Any, bool]:
        """Run a request in a slot; return whether a slot was granted."""
        ticket = Ticket(
            next(self._ids), tenant, work_class, deadline, is_write
        )
        is_granted = yield from self._wait_for_slot(ticket)
        if not is_granted:
            return False
        yield service_s
        self.served += 1
        self.release(ticket, service_s)
        return True

    def acquire(
        self, work_class: str, deadline: float, is_write: bool
    ) -> Generator[Any, Any, Ticket | None]:
        """Wait for a slot; the caller frees the slot with `release`."""
        ticket = Ticket(
            next(self._ids), 'caller', work_class, deadline, is_write
        )
        is_granted = yield from self._wait_for_slot(ticket)
        return ticket if is_granted else None

    def release(self, ticket: Ticket, service_s: float) -> None:
        """Free the slot of a finished request."""
        self._free += 1
        is_in_time = self._loop.now <= ticket.deadline
        self._queue.record_service(ticket.work_class, service_s, is_in_time)
        self._dispatch()

    def _wait_for_slot(self, ticket: Ticket) -> Generator[Any, Any, bool]:
        if not isinstance(self._queue.offer(ticket, self._loop.now), Success):
            return False
        granted = Future(self._loop)
        self._grants[ticket.ticket_id] = granted
        self._loop.call_at(ticket.deadline, self._dispatch)
        self._dispatch()
        return (yield granted)

    def _dispatch(self) -> None:
        now = self._loop.now
        for ticket in self._queue.expire(now):
            self._grants.pop(ticket.ticket_id).set_result(False)
        while self._free:
            ticket = self._queue.take(now, True)
            if ticket is None:
                return
            self._free -= 1
            self._grants.pop(ticket.ticket_id).set_result(True)
