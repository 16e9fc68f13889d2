"""Interface of the queues of work that waits for a member's slots."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure


@dataclass(frozen=True, slots=True)
class Ticket:
    """Statement or transaction that waits for a slot."""

    ticket_id: int
    """Identifier, unique within the pooler."""

    tenant: str
    """Tenant of the caller."""

    work_class: str
    """Name of the class of work."""

    deadline: float
    """Monotonic time at which the answer is due, in seconds."""

    is_write: bool
    """Whether the work must wait while writes are paused."""


class SlotQueue(abc.ABC):
    """Queue of work that waits for the slots of one member."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: float) -> Result[None, Failure]:
        """Add work to the queue, or refuse it with ``Overloaded``."""

    @abc.abstractmethod
    def take(self, now: float, is_writable: bool) -> Ticket | None:
        """Remove and return the work to run next, or ``None``.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        is_writable : bool
            Whether writes may run; false while writes are paused.
        """

    @abc.abstractmethod
    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return work that can't meet its deadline any more."""

    @abc.abstractmethod
    def cancel(self, ticket_id: int) -> None:
        """Remove work whose caller has disconnected."""

    @abc.abstractmethod
    def record_service(
        self, work_class: str, service_s: float, is_in_time: bool
    ) -> None:
        """Record the service time of completed work.

        Parameters
        ----------
        work_class : str
            Name of the class of work.
        service_s : float
            Time for which the work held its slot, in seconds.
        is_in_time : bool
            Whether the work was completed before its deadline.
        """

    @abc.abstractmethod
    def record_connection_lost(self) -> None:
        """Record the end of work whose connection was lost.

        Its service time is not used for the statistics.
        """

    @abc.abstractmethod
    def expected_wait_ms(self, now: float) -> int:
        """Return the expected queueing time of new work, in milliseconds."""
