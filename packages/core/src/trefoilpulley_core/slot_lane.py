"""Waiting work of one class, in the order in which it gets slots."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from trefoilpulley_core.slot_service import ServiceTime
from trefoilpulley_core.slot_shares import TenantShares
from trefoilpulley_core.targets import ClassPriority

if TYPE_CHECKING:
    from trefoilpulley_core.slots import Ticket

CRITICAL_TIME_SHARE = 0.5
"""Part of the promptness target left when work becomes critical."""

_MAX_STALE_ENTRIES = 64


class ClassQueue:
    """Waiting work of one class by deadline, fair between tenants.

    Parameters
    ----------
    work_class : str
        Class of work.
    is_write : bool
        Whether a hold of writes applies.
    slots : int
        Pieces of work that the member runs at once.
    """

    def __init__(self, work_class: str, is_write: bool, slots: int) -> None:
        self.work_class = work_class
        """Class of work."""

        self.is_write = is_write
        """Whether a hold of writes applies."""

        self.priority = ClassPriority()
        """How little the class can spare."""

        self.rank = 0
        """Rank of the strictness among the lanes, the loosest 0."""

        self.danger = 0.0
        """Part of the allowed late answers that is used up."""

        self.within_s = 0.0
        """Promptness target in seconds."""

        self.load = 0.0
        """Slots that the class has kept busy of late."""

        self.service = ServiceTime()
        """Service times of the class."""

        self._slots = slots
        self._shares = TenantShares(slots)
        self._heap: list[tuple[float, int, Ticket]] = []
        self._waiting: dict[int, float] = {}
        self._last_key = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def backlog_s(self) -> float:
        """Service time of all that waits, in seconds."""
        return len(self._waiting) * self.service.mean_s

    def sort_key(self, ticket: Ticket, now: float) -> float:
        """Return the deadline put back by the tenant's lead."""
        return ticket.deadline + self._shares.lead_s(ticket.tenant, now)

    def push(self, ticket: Ticket, now: float) -> None:
        """Add admitted work."""
        key = self.sort_key(ticket, now)
        self._shares.charge(ticket.tenant, self.service.mean_s, now)
        self._last_key = max(key, self._last_key) if self._waiting else key
        self._waiting[ticket.ticket_id] = key
        heapq.heappush(self._heap, (key, ticket.ticket_id, ticket))

    def peek(self) -> Ticket | None:
        """Return the work that is next, or ``None``."""
        heap = self._heap
        while heap:
            if heap[0][1] in self._waiting:
                return heap[0][2]
            heapq.heappop(heap)
        return None

    def pop(self) -> Ticket | None:
        """Remove and return the work that is next, or ``None``."""
        ticket = self.peek()
        if ticket is not None:
            heapq.heappop(self._heap)
            del self._waiting[ticket.ticket_id]
        return ticket

    def remove(self, ticket_id: int) -> bool:
        """Remove work by its identifier; return whether it waited."""
        if self._waiting.pop(ticket_id, None) is None:
            return False
        if len(self._heap) > 2 * len(self._waiting) + _MAX_STALE_ENTRIES:
            self._compact()
        return True

    def work_before_s(self, key: float) -> float:
        """Return the service time of the work before a key, in seconds.

        Work between the first and the last key is taken as evenly
        spread.
        """
        if self.peek() is None:
            return 0.0
        first = self._heap[0][0]
        if key <= first:
            return 0.0
        if key >= self._last_key:
            return self.backlog_s
        fraction = (key - first) / (self._last_key - first)
        return max(self.service.mean_s, fraction * self.backlog_s)

    def work_due_s(self, until: float) -> float:
        """Return the service time that must pass before a time.

        Left for later, this much of the work would be late.
        """
        if not self._waiting:
            return 0.0
        capacity_s = self._slots * max(0.0, self._last_key - until)
        return max(0.0, self.backlog_s - capacity_s)

    def is_critical(self, now: float, max_service_s: float) -> bool:
        """Return whether the lane must go before looser ones.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        max_service_s : float
            Time that other work may hold a slot, in seconds.
        """
        head = self.peek()
        if head is None:
            return False
        latest_start = head.deadline - self.service.upper_estimate_s
        latest_drain_start = self._last_key - self.backlog_s / self._slots
        time_share = max(CRITICAL_TIME_SHARE, self.danger)
        margin_s = max_service_s + time_share * self.within_s
        return now + margin_s >= min(latest_start, latest_drain_start)

    def _compact(self) -> None:
        self._heap = [e for e in self._heap if e[1] in self._waiting]
        heapq.heapify(self._heap)
