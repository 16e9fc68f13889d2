"""Order in which waiting work gets the slots of a member."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure


@dataclass(frozen=True, slots=True)
class Ticket:
    """One piece of work that waits for a slot."""

    ticket_id: int
    """Identifier, unique at the pooler."""

    tenant: str
    """Tenant of the caller."""

    work_class: str
    """Class of work."""

    deadline: float
    """Monotonic time at which the answer is due, in seconds."""

    is_write: bool
    """Whether a hold of writes applies."""


class SlotQueue(abc.ABC):
    """Queue of the work that waits for the slots of one member."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket, now: float) -> Result[None, Failure]:
        """Queue work, or refuse it with ``Overloaded``."""

    @abc.abstractmethod
    def take(self, now: float, is_writable: bool) -> Ticket | None:
        """Return the work to run next, or ``None``.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        is_writable : bool
            Whether writes may be taken; false during a hold.
        """

    @abc.abstractmethod
    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return work that can no longer be in time."""

    @abc.abstractmethod
    def cancel(self, ticket_id: int) -> None:
        """Remove work whose caller has gone."""

    @abc.abstractmethod
    def record_service(
        self, work_class: str, service_s: float, is_in_time: bool
    ) -> None:
        """Learn how long a piece of work held its slot."""

    @abc.abstractmethod
    def record_connection_lost(self) -> None:
        """Count work as ended whose connection broke.

        How long it held its slot says nothing of the work.
        """

    @abc.abstractmethod
    def expected_wait_ms(self, now: float) -> int:
        """Return the expected wait of new work, in milliseconds."""
