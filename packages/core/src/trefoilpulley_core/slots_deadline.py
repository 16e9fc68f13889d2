"""Slot queue ordered by deadline, with precedence for critical classes."""

from __future__ import annotations

from collections import deque
import heapq
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.class_queue import ClassQueue
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.slots import SlotQueue
from trefoilpulley_core.targets import ClassTargets

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.slots import Ticket

MAX_QUEUE_LENGTH = 10_000
"""Number of statements and transactions that may wait."""

TARGETS_REFRESH_INTERVAL_S = 0.1
"""Interval at which the classes' targets are read again, in seconds."""

MAX_RUNNING_S = 20.0
"""Time after which running work is assumed to have ended, in seconds."""

_MAX_LOAD = 0.9
"""Maximum load by higher priorities that is assumed for a wait."""

_MAX_STALE_ENTRIES = 64
"""Number of removed entries that may stay in the heap of expiries."""


class DeadlineQueue(SlotQueue):
    """Runs the earliest deadline first, except for critical classes.

    Critical work of a class with higher priority runs before all other
    work. New work is refused at once if the measured service times show
    that the queued work would delay the new work beyond its deadline.

    Parameters
    ----------
    slots : int
        Number of statements that the member runs concurrently.
    targets : ClassTargets
        Declared classes and their results at this host. The queue also
        keeps separate results for its own member.
    """

    def __init__(self, slots: int, targets: ClassTargets) -> None:
        self._slots = slots
        self._targets = targets
        self._member_targets = ClassTargets()
        self._class_queues: list[ClassQueue] = []
        self._queue_by_class: dict[tuple[str, bool], ClassQueue] = {}
        self._queue_by_ticket: dict[int, ClassQueue] = {}
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._expired: list[Ticket] = []
        self._started_at: deque[float] = deque(maxlen=slots)
        self._max_service_s = 0.0
        self._refreshed_at = float('-inf')
        self._now = float('-inf')

    def __len__(self) -> int:
        return len(self._queue_by_ticket)

    def offer(self, ticket: Ticket, now: float) -> Result[None, Failure]:
        """Add work to the queue, or refuse it with ``Overloaded``."""
        self._refresh(now)
        if len(self._queue_by_ticket) >= MAX_QUEUE_LENGTH:
            return self._refuse(ticket, 'the queue is full')
        class_queue = self._find_class_queue(ticket)
        wait_s = self._wait_s(class_queue, class_queue.sort_key(ticket, now))
        if (
            now + wait_s + class_queue.service.upper_estimate_s
            > ticket.deadline
        ):
            wait_ms = round(1000 * wait_s)
            return self._refuse(ticket, f'expected wait {wait_ms} ms')
        class_queue.push(ticket, now)
        self._queue_by_ticket[ticket.ticket_id] = class_queue
        latest_start_at = (
            ticket.deadline - class_queue.service.lower_estimate_s
        )
        heapq.heappush(
            self._expiries, (latest_start_at, ticket.ticket_id, ticket)
        )
        return Success(None)

    def take(self, now: float, is_writable: bool) -> Ticket | None:
        """Remove and return the work to run next, or ``None``."""
        self._refresh(now)
        while True:
            class_queue = self._next_class_queue(now, is_writable)
            if class_queue is None:
                return None
            ticket = class_queue.pop()
            del self._queue_by_ticket[ticket.ticket_id]
            if now + class_queue.service.lower_estimate_s <= ticket.deadline:
                self._started_at.append(now)
                return ticket
            self._expired.append(ticket)

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return work that can't meet its deadline any more."""
        late, self._expired = self._expired, []
        expiries = self._expiries
        while expiries and expiries[0][0] < now:
            ticket = heapq.heappop(expiries)[2]
            if self._remove(ticket.ticket_id):
                late.append(ticket)
        for ticket in late:
            self._member_targets.record_refusal(ticket.work_class, now)
        return tuple(late)

    def cancel(self, ticket_id: int) -> None:
        """Remove work whose caller has disconnected."""
        self._remove(ticket_id)

    def record_service(
        self, work_class: str, service_s: float, is_in_time: bool
    ) -> None:
        """Record the service time of completed work."""
        self.record_connection_lost()
        self._member_targets.record_outcome(work_class, is_in_time, self._now)
        for class_queue in self._class_queues:
            if class_queue.work_class == work_class:
                class_queue.service.record(service_s, self._now)

    def record_connection_lost(self) -> None:
        """Record the end of work whose connection was lost."""
        if self._started_at:
            self._started_at.popleft()

    def expected_wait_ms(self, now: float) -> int:
        """Return the expected queueing time of new work, in milliseconds."""
        self._refresh(now)
        backlog_s = sum(
            class_queue.backlog_s for class_queue in self._class_queues
        )
        wait_s = backlog_s / self._slots + self._residual_s()
        return round(1000 * wait_s)

    def _refuse(self, ticket: Ticket, reason: str) -> Result[None, Failure]:
        self._member_targets.record_refusal(ticket.work_class, self._now)
        return Failed(Overloaded(reason))

    def _refresh(self, now: float) -> None:
        self._now = max(now, self._now)
        if now - self._refreshed_at < TARGETS_REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        if self._member_targets.declared is not self._targets.declared:
            self._member_targets.declare(self._targets.declared)
        started_at = self._started_at
        while started_at and now - started_at[0] > MAX_RUNNING_S:
            started_at.popleft()
        for class_queue in self._class_queues:
            self._refresh_class_queue(class_queue)
        self._sort_class_queues()
        if (
            len(self._expiries)
            > 2 * len(self._queue_by_ticket) + _MAX_STALE_ENTRIES
        ):
            self._compact()

    def _refresh_class_queue(self, class_queue: ClassQueue) -> None:
        targets = self._targets
        class_queue.priority = targets.priority(class_queue.work_class)
        class_queue.danger = max(
            targets.danger(class_queue.work_class, self._now),
            self._member_targets.danger(class_queue.work_class, self._now),
        )
        class_queue.within_s = targets.within_s(class_queue.work_class)
        class_queue.load = class_queue.service.load(self._now)
        class_queue.service.decay_estimate(self._now)

    def _sort_class_queues(self) -> None:
        self._class_queues.sort(
            key=lambda class_queue: class_queue.priority, reverse=True
        )
        priorities = sorted(
            {class_queue.priority for class_queue in self._class_queues}
        )
        for class_queue in self._class_queues:
            class_queue.rank = priorities.index(class_queue.priority)
        estimates = [
            class_queue.service.upper_estimate_s
            for class_queue in self._class_queues
        ]
        self._max_service_s = max(estimates, default=0.0)

    def _find_class_queue(self, ticket: Ticket) -> ClassQueue:
        existing = self._queue_by_class.get(
            (ticket.work_class, ticket.is_write)
        )
        if existing is not None:
            return existing
        class_queue = ClassQueue(
            ticket.work_class, ticket.is_write, self._slots
        )
        self._queue_by_class[ticket.work_class, ticket.is_write] = class_queue
        self._class_queues.append(class_queue)
        self._refresh_class_queue(class_queue)
        self._sort_class_queues()
        return class_queue

    def _next_class_queue(
        self, now: float, is_writable: bool
    ) -> ClassQueue | None:
        """Return the queue whose first work should run next.

        The class of highest priority with critical work goes first;
        among equal priorities the earliest deadline decides. Without
        critical work only the deadline decides.
        """
        critical: ClassQueue | None = None
        critical_at = earliest_at = float('inf')
        earliest: ClassQueue | None = None
        for class_queue in self._class_queues:
            if critical and class_queue.rank < critical.rank:
                return critical
            if class_queue.is_write and not is_writable:
                continue
            head = class_queue.peek()
            if head is None:
                continue
            if head.deadline < earliest_at:
                earliest, earliest_at = class_queue, head.deadline
            if head.deadline >= critical_at:
                continue
            if class_queue.is_critical(now, self._max_service_s):
                critical, critical_at = class_queue, head.deadline
        return critical or earliest

    def _wait_s(self, class_queue: ClassQueue, key: float) -> float:
        """Return the expected wait for a slot at a sort key, in seconds."""
        work_before_s = class_queue.work_before_s(key)
        higher_load = 0.0
        for other in self._class_queues:
            if other is class_queue or other.rank < class_queue.rank:
                continue
            work_before_s += max(
                other.work_before_s(key), other.work_due_s(key)
            )
            if other.rank > class_queue.rank:
                higher_load += other.load
        load = min(_MAX_LOAD, higher_load / self._slots)
        wait_s = work_before_s / self._slots + self._residual_s()
        return wait_s / (1 - load)

    def _residual_s(self) -> float:
        """Return the expected time until a slot is free, in seconds."""
        if len(self._started_at) < self._slots:
            return 0.0
        return self._max_service_s / (2 * self._slots)

    def _remove(self, ticket_id: int) -> bool:
        class_queue = self._queue_by_ticket.pop(ticket_id, None)
        return class_queue is not None and class_queue.remove(ticket_id)

    def _compact(self) -> None:
        self._expiries = [
            e for e in self._expiries if e[1] in self._queue_by_ticket
        ]
        heapq.heapify(self._expiries)
