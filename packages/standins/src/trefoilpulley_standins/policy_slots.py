"""Fake slots of one member on a virtual clock, around a real queue."""

from __future__ import annotations

import itertools
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.slots import Ticket
from trefoilpulley_standins.policy_loop import Signal

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_standins.policy_loop import VirtualLoop


class FakeSlots:
    """Runs work in the order of a queue, a number at once.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    queue : SlotQueue
        Order of the waiting work.
    count : int
        Pieces of work that run at once.
    """

    def __init__(
        self, loop: VirtualLoop, queue: SlotQueue, count: int
    ) -> None:
        self._loop = loop
        self._queue = queue
        self._free = count
        self._ids = itertools.count(1)
        self._granted: dict[int, Signal] = {}
        self.served = 0
        """Pieces of work that have run."""

    @property
    def expected_wait_ms(self) -> int:
        """Expected wait of new work, in milliseconds."""
        return self._queue.expected_wait_ms(self._loop.now)

    def run(
        self,
        tenant: str,
        work_class: str,
        deadline: float,
        is_write: bool,
        held_s: float,
    ) -> Generator[Any, Any, bool]:
        """Wait for a slot and hold it; return whether the work ran."""
        ticket = Ticket(
            next(self._ids), tenant, work_class, deadline, is_write
        )
        is_granted = yield from self._acquire(ticket)
        if not is_granted:
            return False
        yield held_s
        self.served += 1
        self.release(ticket, held_s)
        return True

    def acquire(
        self, work_class: str, deadline: float, is_write: bool
    ) -> Generator[Any, Any, Ticket | None]:
        """Wait for a slot that is held until `release`."""
        ticket = Ticket(
            next(self._ids), 'caller', work_class, deadline, is_write
        )
        is_granted = yield from self._acquire(ticket)
        return ticket if is_granted else None

    def release(self, ticket: Ticket, held_s: float) -> None:
        """Free the slot of a piece of work."""
        self._free += 1
        is_in_time = self._loop.now <= ticket.deadline
        self._queue.record_service(ticket.work_class, held_s, is_in_time)
        self._dispatch()

    def _acquire(self, ticket: Ticket) -> Generator[Any, Any, bool]:
        if not isinstance(self._queue.offer(ticket, self._loop.now), Success):
            return False
        granted = Signal(self._loop)
        self._granted[ticket.ticket_id] = granted
        self._loop.call_at(ticket.deadline, self._dispatch)
        self._dispatch()
        return (yield granted)

    def _dispatch(self) -> None:
        now = self._loop.now
        for ticket in self._queue.expire(now):
            self._granted.pop(ticket.ticket_id).set(False)
        while self._free:
            ticket = self._queue.take(now, True)
            if ticket is None:
                return
            self._free -= 1
            self._granted.pop(ticket.ticket_id).set(True)
