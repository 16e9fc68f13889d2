"""Queue of work for the connections to a member.

Load pattern: a burst, or a recent change of the primary, requires more
connections at once than a host holds. Many long reads of a low priority wait
together with a few short postings of a high one, which need a twentieth of
the slots. Work that can only be late must not hold up work that can still
meet its goal.

Work that can meet its goal is served first, by priority and then by goal
time; then late work, by priority and deadline. A tenth of the time of the
connections goes to the work that has waited longest, so that no class
starves. Statements of an open transaction have their connection already and
do not wait here. Work that would miss its admission time or its deadline is
refused immediately, so that its caller can try another host.

While more work arrives than can be served, each piece would be served just
before its goal, and new work would wait behind the queue for some time after
the overload has ended. The newest work of a kind is then served first. The
oldest work becomes late, and is served as soon as a connection is free.
"""

from __future__ import annotations

import bisect
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import heapq
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from trefoilpulley_core.direct.connection_request import ConnectionRequest

HOLD_TIME_WEIGHT = 0.1
"""Weight of a new value in the moving averages of the hold time."""

INITIAL_HOLD_S = 0.03
"""Hold time that is assumed before the first measurement, in seconds."""

MAX_QUEUE_LENGTH = 200
"""Maximum number of queued pieces of work for one member at one host."""

FLOOR_SHARE = 0.1
"""Share of the hold time that goes to the work that has waited longest."""

NEWEST_FIRST_FACTOR = 0.5
"""Part of the time to its goal that the oldest work in time may wait.

Above, the newest work is served first. Below, all work meets its goal in the
order of the goals.
"""

MAX_KINDS = 128
"""Kinds of work whose hold time is kept; the most recently used."""


@dataclass(order=True, slots=True)
class QueuedWork:
    """One queued piece of work."""

    goal_at: float
    """Time by which the work must be done to meet its goal, in seconds."""

    sequence: int
    """Sequence number in the order of arrival."""

    queued_at: float = field(compare=False)
    """Time of arrival, in seconds."""

    request: ConnectionRequest = field(compare=False)
    """What the work declares."""

    handle: Any = field(compare=False)
    """Object by which the user of the queue resumes the work."""

    is_done: bool = field(default=False, compare=False)
    """Whether the work was served or removed."""


class ConnectionQueue:
    """Queue of work for the connections to one member.

    A lane holds the work of one priority and kind, by goal time. Work of a
    lane takes the same time, so that the late work is the beginning of the
    lane. A request costs O(log n) for each lane; there are few lanes.
    """

    def __init__(self) -> None:
        self._lanes: dict[tuple[int, str, bool], list[QueuedWork]] = {}
        self._hold_s: OrderedDict[tuple[str, bool], float] = OrderedDict()
        self._count = 0
        self._length = 0
        self._floor_credit_s = 0.0
        self.mean_hold_s = INITIAL_HOLD_S
        """Mean time for which work holds a connection, in seconds."""

    def __len__(self) -> int:
        return self._length

    def on_released(
        self, held_s: float, kind: str = '', is_transaction: bool = False
    ) -> None:
        """Record how long a piece of work held its connection.

        Parameters
        ----------
        held_s : float
            Hold time in seconds.
        kind : str
            Kind of the work.
        is_transaction : bool
            Whether the work was a transaction.
        """
        self.mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self.mean_hold_s)
        key = kind, is_transaction
        mean_s = self._hold_s.pop(key, held_s)
        self._hold_s[key] = mean_s + HOLD_TIME_WEIGHT * (held_s - mean_s)
        if len(self._hold_s) > MAX_KINDS:
            self._hold_s.popitem(last=False)

    def hold_time_s(self, kind: str, is_transaction: bool = False) -> float:
        """Return the mean hold time of a kind of work, in seconds."""
        return self._hold_s.get((kind, is_transaction), self.mean_hold_s)

    def expected_wait_s(
        self,
        request: ConnectionRequest,
        now: float,
        servers: int,
        mean_hold_s: float,
    ) -> float:
        """Return the expected queueing time of new work, in seconds.

        Parameters
        ----------
        request : ConnectionRequest
            What the work declares.
        now : float
            Current time in seconds.
        servers : int
            Number of pieces of work that are served concurrently.
        mean_hold_s : float
            Mean time until the work in service ends, in seconds. Where it
            differs from the mean hold time, as for statements in flight, the
            hold times of the kinds are scaled by it.
        """
        is_late = request.goal_at < now + self.hold_time_s(request.kind)
        own_lane = self._lanes.get(_lane_of(request))
        ahead_s = 0.0
        for (priority, kind, is_transaction), lane in self._lanes.items():
            late = self._count_late(kind, lane, now)
            in_time = len(lane) - late
            count = 0
            if is_late:
                count = in_time + (late if priority <= request.priority else 0)
            elif priority < request.priority:
                count = in_time
            elif lane is own_lane and _is_newest_first(lane, late, now):
                pass
            elif priority == request.priority:
                end = bisect.bisect_right(
                    lane, request.goal_at, key=lambda w: w.goal_at
                )
                count = max(0, end - late)
            ahead_s += count * self.hold_time_s(kind, is_transaction)
        scale = mean_hold_s / max(self.mean_hold_s, 1e-6)
        return (ahead_s * scale + mean_hold_s) / max(1, servers)

    def enqueue(
        self,
        request: ConnectionRequest,
        now: float,
        servers: int,
        mean_hold_s: float,
        handle: Any,
    ) -> QueuedWork | None:
        """Add work, or return ``None`` if the work must be refused.

        Work is refused if the queue is full or the work would miss its
        admission time or its deadline.

        Parameters
        ----------
        request : ConnectionRequest
            What the work declares.
        now : float
            Current time in seconds.
        servers : int
            Number of pieces of work that are served concurrently.
        mean_hold_s : float
            Mean time until the work in service ends, in seconds.
        handle : Any
            Object by which the user of the queue resumes the work.
        """
        if self._length >= MAX_QUEUE_LENGTH:
            return None
        ready_at = now + self.expected_wait_s(
            request, now, servers, mean_hold_s
        )
        if ready_at > min(request.admit_by, request.deadline):
            return None
        self._count += 1
        work = QueuedWork(request.goal_at, self._count, now, request, handle)
        bisect.insort(self._lanes.setdefault(_lane_of(request), []), work)
        self._length += 1
        return work

    def find_displaced(
        self, request: ConnectionRequest, now: float
    ) -> QueuedWork | None:
        """Return work to remove from a full queue for new work.

        Late work of the same or a lower priority is removed first, the
        oldest before others since it is the next to miss its deadline. Then
        comes the newest work of a lower priority.

        Parameters
        ----------
        request : ConnectionRequest
            What the new work declares.
        now : float
            Current time in seconds.

        Returns
        -------
        QueuedWork | None
            ``None`` while the queue has room or holds no such work.
        """
        if self._length < MAX_QUEUE_LENGTH:
            return None
        for key in sorted(self._lanes, reverse=True):
            priority, kind, _ = key
            lane = self._lanes[key]
            if priority >= request.priority and self._count_late(
                kind, lane, now
            ):
                return lane[0]
        lane = self._lanes[max(self._lanes)]
        is_lower = lane[-1].request.priority > request.priority
        return lane[-1] if is_lower else None

    def remove(self, work: QueuedWork) -> None:
        """Remove work that is no longer waiting."""
        if work.is_done:
            return
        work.is_done = True
        key = _lane_of(work.request)
        lane = self._lanes[key]
        del lane[bisect.bisect_left(lane, work)]
        if not lane:
            del self._lanes[key]
        self._length -= 1
        if not self._length:
            self._floor_credit_s = 0.0

    def pop(
        self,
        now: float,
        may_serve: Callable[[Any], bool] | None = None,
    ) -> QueuedWork | None:
        """Remove and return the next work within its time, or ``None``.

        Parameters
        ----------
        now : float
            Current time in seconds.
        may_serve : Callable[[Any], bool], optional
            Whether the work of a handle can be served now. Other work keeps
            its place.
        """
        expired: list[QueuedWork] = []
        found = None
        for work in self._in_order(now):
            if work.request.admit_by < now:
                expired.append(work)
            elif may_serve is None or may_serve(work.handle):
                found = work
                break
        for work in expired:
            self.remove(work)
        if found is None:
            return None
        oldest = min(
            (lane[0] for lane in self._lanes.values()),
            key=lambda w: w.sequence,
        )
        if oldest.sequence < found.sequence:
            found = self._apply_floor(found, oldest, now, may_serve)
        self.remove(found)
        return found

    def drain(self) -> tuple[QueuedWork, ...]:
        """Remove and return all queued work."""
        remaining = [w for lane in self._lanes.values() for w in lane]
        for work in remaining:
            work.is_done = True
        self._lanes.clear()
        self._length = 0
        self._floor_credit_s = 0.0
        return tuple(remaining)

    def _apply_floor(
        self,
        found: QueuedWork,
        oldest: QueuedWork,
        now: float,
        may_serve: Callable[[Any], bool] | None,
    ) -> QueuedWork:
        """Return the oldest work once its share of the hold time is due."""
        needed_s = self._hold_time_of(oldest)
        self._floor_credit_s += FLOOR_SHARE * self._hold_time_of(found)
        is_due = self._floor_credit_s >= needed_s
        self._floor_credit_s = min(self._floor_credit_s, needed_s)
        if not is_due or oldest.request.admit_by < now:
            return found
        if may_serve is not None and not may_serve(oldest.handle):
            return found
        self._floor_credit_s -= needed_s
        return oldest

    def _in_order(self, now: float) -> Iterator[QueuedWork]:
        """Iterate over the work in the order in which it is served."""
        heads: list[tuple[tuple, Iterator[QueuedWork], bool]] = []
        for (_, kind, _), lane in self._lanes.items():
            late = self._count_late(kind, lane, now)
            step = -1 if _is_newest_first(lane, late, now) else 1
            _push(heads, iter(lane[late:][::step]), is_late=False)
            _push(heads, iter(lane[:late]), is_late=True)
        while heads:
            rank, rest, is_late = heapq.heappop(heads)
            yield rank[-1]
            _push(heads, rest, is_late)

    def _count_late(
        self, kind: str, lane: list[QueuedWork], now: float
    ) -> int:
        """Return how many pieces of a lane can only be late.

        The goal of a transaction is that of its first statement.
        """
        return bisect.bisect_left(
            lane, now + self.hold_time_s(kind), key=lambda w: w.goal_at
        )

    def _hold_time_of(self, work: QueuedWork) -> float:
        return self.hold_time_s(work.request.kind, work.request.is_transaction)


def _lane_of(request: ConnectionRequest) -> tuple[int, str, bool]:
    return request.priority, request.kind, request.is_transaction


def _is_newest_first(lane: list[QueuedWork], late: int, now: float) -> bool:
    """Return whether the newest work of a lane is served first.

    Parameters
    ----------
    lane : list[QueuedWork]
        Work of one kind, by goal time.
    late : int
        Number of pieces that can only be late.
    now : float
        Current time in seconds.
    """
    if late >= len(lane):
        return False
    oldest = lane[late]
    allowed_s = NEWEST_FIRST_FACTOR * (oldest.goal_at - oldest.queued_at)
    return now - oldest.queued_at > allowed_s


def _push(
    heads: list[tuple[tuple, Iterator[QueuedWork], bool]],
    rest: Iterator[QueuedWork],
    is_late: bool,
) -> None:
    """Add the next work of a lane, if any, to the heap of heads."""
    work = next(rest, None)
    if work is None:
        return
    due_at = work.request.deadline if is_late else work.goal_at
    rank = is_late, work.request.priority, due_at, work.sequence, work
    heapq.heappush(heads, (rank, rest, is_late))
