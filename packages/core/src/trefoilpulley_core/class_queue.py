"""Queue of the waiting work of one class."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from trefoilpulley_core.slot_service import ServiceTime
from trefoilpulley_core.slot_shares import TenantShares
from trefoilpulley_core.targets import ClassPriority

if TYPE_CHECKING:
    from trefoilpulley_core.slots import Ticket

CRITICAL_TIME_SHARE = 0.5
"""Share of the promptness target at which waiting work becomes critical.

Work is critical once the slack before its latest start falls below this
share of the target.
"""

_MAX_STALE_ENTRIES = 64
"""Number of removed entries that may stay in the heap."""


class ClassQueue:
    """Orders the waiting work of one class by deadline.

    The work of a tenant above its fair share is deferred.

    Parameters
    ----------
    work_class : str
        Name of the class of work.
    is_write : bool
        Whether the class's work must wait while writes are paused.
    slots : int
        Number of statements that the member runs concurrently.
    """

    def __init__(self, work_class: str, is_write: bool, slots: int) -> None:
        self.work_class = work_class
        """Name of the class of work."""

        self.is_write = is_write
        """Whether the class's work must wait while writes are paused."""

        self.priority = ClassPriority()
        """Priority of the class when its work becomes critical."""

        self.rank = 0
        """Rank of the priority among all queues; 0 is the lowest."""

        self.danger = 0.0
        """Share of the allowed late answers that is used up."""

        self.within_s = 0.0
        """Promptness target, in seconds."""

        self.load = 0.0
        """Number of slots that the class has recently kept busy."""

        self.service = ServiceTime()
        """Statistics of the class's service times."""

        self._slots = slots
        self._shares = TenantShares(slots)
        self._heap: list[tuple[float, int, Ticket]] = []
        self._waiting: dict[int, float] = {}
        self._last_key = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def backlog_s(self) -> float:
        """Expected service time of all waiting work, in seconds."""
        return len(self._waiting) * self.service.mean_s

    def sort_key(self, ticket: Ticket, now: float) -> float:
        """Return the deadline, deferred by the tenant's excess use."""
        return ticket.deadline + self._shares.lead_s(ticket.tenant, now)

    def push(self, ticket: Ticket, now: float) -> None:
        """Add work to the queue."""
        key = self.sort_key(ticket, now)
        self._shares.charge(ticket.tenant, self.service.mean_s, now)
        self._last_key = max(key, self._last_key) if self._waiting else key
        self._waiting[ticket.ticket_id] = key
        heapq.heappush(self._heap, (key, ticket.ticket_id, ticket))

    def peek(self) -> Ticket | None:
        """Return the next work without removing it, or ``None``."""
        heap = self._heap
        while heap:
            if heap[0][1] in self._waiting:
                return heap[0][2]
            heapq.heappop(heap)
        return None

    def pop(self) -> Ticket | None:
        """Remove and return the next work, or ``None``."""
        ticket = self.peek()
        if ticket is not None:
            heapq.heappop(self._heap)
            del self._waiting[ticket.ticket_id]
        return ticket

    def remove(self, ticket_id: int) -> bool:
        """Remove work by its identifier and return whether it was queued."""
        if self._waiting.pop(ticket_id, None) is None:
            return False
        if len(self._heap) > 2 * len(self._waiting) + _MAX_STALE_ENTRIES:
            self._compact()
        return True

    def work_before_s(self, key: float) -> float:
        """Return the service time of the work before a sort key, in seconds.

        Assumes that the keys of the work are evenly distributed between
        the first and the last key.
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
        """Return the service time that must be spent before a time.

        The remaining work can be done after that time without being
        late. The result is in seconds.
        """
        if not self._waiting:
            return 0.0
        capacity_s = self._slots * max(0.0, self._last_key - until)
        return max(0.0, self.backlog_s - capacity_s)

    def is_critical(self, now: float, max_service_s: float) -> bool:
        """Return whether the queue must precede those of lower priority.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        max_service_s : float
            Longest expected service time of other work, in seconds.
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
