"""Queue of work for the connections to a member.

Load pattern: a burst, or a recent change of the primary, requires more
connections at once than a host holds. The queue is ordered by priority and
then by deadline. Work that would miss its deadline in the queue is refused
immediately, so that its caller can try another host.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import heapq
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

HOLD_TIME_WEIGHT = 0.1
"""Weight of a new value in the moving average of the hold time."""

INITIAL_HOLD_S = 0.03
"""Hold time that is assumed before the first measurement, in seconds."""

MAX_QUEUE_LENGTH = 200
"""Maximum number of queued pieces of work for one member at one host."""


@dataclass(order=True, slots=True)
class QueuedWork:
    """One queued piece of work."""

    priority: int
    """Priority; 0 is the highest."""

    deadline: float
    """Time by which the work must have a connection, in seconds."""

    sequence: int
    """Sequence number in the order of arrival."""

    handle: Any = field(compare=False)
    """Object by which the user of the queue resumes the work."""

    is_done: bool = field(default=False, compare=False)
    """Whether the work was served or removed."""


class ConnectionQueue:
    """Priority queue of work for the connections to one member."""

    def __init__(self) -> None:
        self._heap: list[QueuedWork] = []
        self._count = 0
        self._length = 0
        self.mean_hold_s = INITIAL_HOLD_S
        """Mean time for which work holds a connection, in seconds."""

    def __len__(self) -> int:
        return self._length

    def on_released(self, held_s: float) -> None:
        """Record how long a piece of work held its connection."""
        self.mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self.mean_hold_s)

    def expected_wait_s(
        self, priority: int, servers: int, mean_hold_s: float
    ) -> float:
        """Return the expected queueing time of new work, in seconds."""
        ahead = sum(
            1 for w in self._heap if not w.is_done and w.priority <= priority
        )
        return (ahead + 1) * mean_hold_s / max(1, servers)

    def enqueue(
        self,
        priority: int,
        deadline: float,
        now: float,
        servers: int,
        mean_hold_s: float,
        handle: Any,
    ) -> QueuedWork | None:
        """Add work, or return ``None`` if the work must be refused.

        Work is refused if the queue is full or the work would miss its
        deadline.

        Parameters
        ----------
        priority : int
            Priority; 0 is the highest.
        deadline : float
            Time by which the work must have a connection, in seconds.
        now : float
            Current time in seconds.
        servers : int
            Number of pieces of work that are served concurrently.
        mean_hold_s : float
            Mean time for which work holds a connection, in seconds.
        handle : Any
            Object by which the user of the queue resumes the work.
        """
        if self._length >= MAX_QUEUE_LENGTH:
            return None
        wait_s = self.expected_wait_s(priority, servers, mean_hold_s)
        if now + wait_s > deadline:
            return None
        self._count += 1
        work = QueuedWork(priority, deadline, self._count, handle)
        heapq.heappush(self._heap, work)
        self._length += 1
        return work

    def remove(self, work: QueuedWork) -> None:
        """Remove work that is no longer waiting."""
        if not work.is_done:
            work.is_done = True
            self._length -= 1

    def pop(
        self,
        now: float,
        may_serve: Callable[[Any], bool] | None = None,
    ) -> QueuedWork | None:
        """Remove and return the next work within its deadline, or ``None``.

        Parameters
        ----------
        now : float
            Current time in seconds.
        may_serve : Callable[[Any], bool], optional
            Whether the work of a handle can be served now. Other work keeps
            its place.
        """
        passed: list[QueuedWork] = []
        found = None
        while self._heap and found is None:
            work = heapq.heappop(self._heap)
            if work.is_done:
                continue
            is_expired = work.deadline < now
            if not is_expired and may_serve and not may_serve(work.handle):
                passed.append(work)
                continue
            work.is_done = True
            self._length -= 1
            if not is_expired:
                found = work
        for work in passed:
            heapq.heappush(self._heap, work)
        return found

    def drain(self) -> tuple[QueuedWork, ...]:
        """Remove and return all queued work."""
        remaining = [w for w in self._heap if not w.is_done]
        for work in remaining:
            work.is_done = True
        self._heap.clear()
        self._length = 0
        return tuple(remaining)
