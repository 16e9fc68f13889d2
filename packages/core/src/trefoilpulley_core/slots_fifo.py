"""Slot queue in the order of arrival."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.slots import SlotQueue

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.slots import Ticket

MAX_QUEUE_LENGTH = 10_000
"""Number of statements and transactions that may wait."""

INITIAL_SERVICE_S = 0.005
"""Service time assumed before the first sample, in seconds."""

_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of the service time."""


class FifoQueue(SlotQueue):
    """Runs work in the order of arrival and refuses only when full.

    Parameters
    ----------
    slots : int
        Number of statements that the member runs concurrently.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._waiting: OrderedDict[int, Ticket] = OrderedDict()
        self._service_s = INITIAL_SERVICE_S

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(self, ticket: Ticket, now: float) -> Result[None, Failure]:
        """Add work to the queue, or refuse it with ``Overloaded``."""
        if len(self._waiting) >= MAX_QUEUE_LENGTH:
            return Failed(Overloaded('the queue is full'))
        self._waiting[ticket.ticket_id] = ticket
        return Success(None)

    def take(self, now: float, is_writable: bool) -> Ticket | None:
        """Remove and return the oldest work that may run, or ``None``."""
        for ticket in self._waiting.values():
            if is_writable or not ticket.is_write:
                return self._waiting.pop(ticket.ticket_id)
        return None

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return work whose deadline has passed."""
        late = [t for t in self._waiting.values() if t.deadline <= now]
        for ticket in late:
            del self._waiting[ticket.ticket_id]
        return tuple(late)

    def cancel(self, ticket_id: int) -> None:
        """Remove work whose caller has disconnected."""
        self._waiting.pop(ticket_id, None)

    def record_service(
        self, work_class: str, service_s: float, is_in_time: bool
    ) -> None:
        """Record the service time of completed work."""
        self._service_s += _SMOOTHING * (service_s - self._service_s)

    def record_connection_lost(self) -> None:
        """Do nothing, since this queue does not track running work."""

    def expected_wait_ms(self, now: float) -> int:
        """Return the expected queueing time of new work, in milliseconds."""
        share = len(self._waiting) / self._slots
        return round(1000 * share * self._service_s)
