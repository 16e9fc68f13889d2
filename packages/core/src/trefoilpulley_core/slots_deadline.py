"""Slots by earliest deadline, classes in danger first."""

from __future__ import annotations

from collections import deque
import heapq
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.slot_lane import SlotLane
from trefoilpulley_core.slots import SlotQueue
from trefoilpulley_core.targets import ClassTargets

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.slots import Ticket

QUEUE_LIMIT = 10_000
"""Pieces of work that may wait at once."""

REFRESH_INTERVAL_S = 0.1
"""Time between two looks at the targets of the classes, in seconds."""

RUNNING_LIMIT_S = 20.0
"""Time after which work that never ended counts as gone, in seconds."""

_HIGHEST_LOAD = 0.9
_SPARE_ENTRIES = 64


class DeadlineSlots(SlotQueue):
    """Earliest deadline first, but stricter classes in danger before.

    Work that could not be in time is refused at once: what must run
    before it, at the service times seen, would end too late.

    Parameters
    ----------
    slots : int
        Pieces of work that the member runs at once.
    targets : ClassTargets
        Declared classes, and how they do at this host. The queue keeps
        counts of its own member beside them.
    """

    def __init__(self, slots: int, targets: ClassTargets) -> None:
        self._slots = slots
        self._targets = targets
        self._own = ClassTargets()
        self._lanes: list[SlotLane] = []
        self._by_class: dict[tuple[str, bool], SlotLane] = {}
        self._lane_of: dict[int, SlotLane] = {}
        self._expiries: list[tuple[float, int, Ticket]] = []
        self._hopeless: list[Ticket] = []
        self._taken_at: deque[float] = deque(maxlen=slots)
        self._guard_s = 0.0
        self._refreshed_at = float('-inf')
        self._now = float('-inf')

    def __len__(self) -> int:
        return len(self._lane_of)

    def offer(self, ticket: Ticket, now: float) -> Result[None, Failure]:
        """Queue work, or refuse it with ``Overloaded``."""
        self._refresh(now)
        if len(self._lane_of) >= QUEUE_LIMIT:
            return self._refuse(ticket, 'the queue is full')
        lane = self._find_lane(ticket)
        wait_s = self._wait_s(lane, lane.key_of(ticket, now))
        if now + wait_s + lane.service.careful_s > ticket.deadline:
            wait_ms = round(1000 * wait_s)
            return self._refuse(ticket, f'expected wait {wait_ms} ms')
        lane.push(ticket, now)
        self._lane_of[ticket.ticket_id] = lane
        latest = ticket.deadline - lane.service.least_s
        heapq.heappush(self._expiries, (latest, ticket.ticket_id, ticket))
        return Success(None)

    def take(self, now: float, is_writable: bool) -> Ticket | None:
        """Return the work to run next, or ``None``."""
        self._refresh(now)
        while True:
            lane = self._next_lane(now, is_writable)
            if lane is None:
                return None
            ticket = lane.pop()
            del self._lane_of[ticket.ticket_id]
            if now + lane.service.least_s <= ticket.deadline:
                self._taken_at.append(now)
                return ticket
            self._hopeless.append(ticket)

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return work that can no longer be in time."""
        late, self._hopeless = self._hopeless, []
        expiries = self._expiries
        while expiries and expiries[0][0] < now:
            ticket = heapq.heappop(expiries)[2]
            if self._remove(ticket.ticket_id):
                late.append(ticket)
        for ticket in late:
            self._own.record_refusal(ticket.work_class, now)
        return tuple(late)

    def cancel(self, ticket_id: int) -> None:
        """Remove work whose caller has gone."""
        self._remove(ticket_id)

    def record_service(
        self, work_class: str, service_s: float, is_in_time: bool
    ) -> None:
        """Learn how long a piece of work held its slot."""
        self.record_broken()
        self._own.record_outcome(work_class, is_in_time, self._now)
        for lane in self._lanes:
            if lane.work_class == work_class:
                lane.service.record(service_s, self._now)

    def record_broken(self) -> None:
        """Count work as ended whose connection broke."""
        if self._taken_at:
            self._taken_at.popleft()

    def expected_wait_ms(self, now: float) -> int:
        """Return the expected wait of new work, in milliseconds."""
        self._refresh(now)
        backlog_s = sum(lane.backlog_s for lane in self._lanes)
        wait_s = backlog_s / self._slots + self._residual_s()
        return round(1000 * wait_s)

    def _refuse(self, ticket: Ticket, why: str) -> Result[None, Failure]:
        self._own.record_refusal(ticket.work_class, self._now)
        return Failed(Overloaded(why))

    def _refresh(self, now: float) -> None:
        self._now = max(now, self._now)
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        if self._own.declared is not self._targets.declared:
            self._own.declare(self._targets.declared)
        taken_at = self._taken_at
        while taken_at and now - taken_at[0] > RUNNING_LIMIT_S:
            taken_at.popleft()
        for lane in self._lanes:
            self._refresh_lane(lane)
        self._sort_lanes()
        if len(self._expiries) > 2 * len(self._lane_of) + _SPARE_ENTRIES:
            self._compact()

    def _refresh_lane(self, lane: SlotLane) -> None:
        targets = self._targets
        lane.strictness = targets.strictness(lane.work_class)
        lane.danger = max(
            targets.danger(lane.work_class, self._now),
            self._own.danger(lane.work_class, self._now),
        )
        lane.within_s = targets.within_s(lane.work_class)
        lane.load = lane.service.load(self._now)
        lane.service.fade(self._now)

    def _sort_lanes(self) -> None:
        self._lanes.sort(key=lambda lane: lane.strictness, reverse=True)
        levels = sorted({lane.strictness for lane in self._lanes})
        for lane in self._lanes:
            lane.level = levels.index(lane.strictness)
        longest = [lane.service.careful_s for lane in self._lanes]
        self._guard_s = max(longest, default=0.0)

    def _find_lane(self, ticket: Ticket) -> SlotLane:
        found = self._by_class.get((ticket.work_class, ticket.is_write))
        if found is not None:
            return found
        lane = SlotLane(ticket.work_class, ticket.is_write, self._slots)
        self._by_class[ticket.work_class, ticket.is_write] = lane
        self._lanes.append(lane)
        self._refresh_lane(lane)
        self._sort_lanes()
        return lane

    def _next_lane(self, now: float, is_writable: bool) -> SlotLane | None:
        """Return the lane whose head is next.

        The strictest class with critical work goes first, by deadline
        among equals; without critical work the deadline alone counts.
        """
        critical: SlotLane | None = None
        critical_at = earliest_at = float('inf')
        earliest: SlotLane | None = None
        for lane in self._lanes:
            if critical and lane.level < critical.level:
                return critical
            if lane.is_write and not is_writable:
                continue
            head = lane.peek()
            if head is None:
                continue
            if head.deadline < earliest_at:
                earliest, earliest_at = lane, head.deadline
            if head.deadline >= critical_at:
                continue
            if lane.is_critical(now, self._guard_s):
                critical, critical_at = lane, head.deadline
        return critical or earliest

    def _wait_s(self, lane: SlotLane, key: float) -> float:
        """Return the time until work of a lane would get a slot."""
        ahead_s = lane.ahead_s(key)
        stricter_load = 0.0
        for other in self._lanes:
            if other is lane or other.level < lane.level:
                continue
            ahead_s += max(other.ahead_s(key), other.due_s(key))
            if other.level > lane.level:
                stricter_load += other.load
        load = min(_HIGHEST_LOAD, stricter_load / self._slots)
        wait_s = ahead_s / self._slots + self._residual_s()
        return wait_s / (1 - load)

    def _residual_s(self) -> float:
        """Return the time until a busy member frees a slot."""
        if len(self._taken_at) < self._slots:
            return 0.0
        return self._guard_s / (2 * self._slots)

    def _remove(self, ticket_id: int) -> bool:
        lane = self._lane_of.pop(ticket_id, None)
        return lane is not None and lane.remove(ticket_id)

    def _compact(self) -> None:
        self._expiries = [e for e in self._expiries if e[1] in self._lane_of]
        heapq.heapify(self._expiries)
