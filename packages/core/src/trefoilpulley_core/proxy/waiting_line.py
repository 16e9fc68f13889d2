"""Work that waits for a connection of a member.

Load pattern: a burst, or a primary that has just changed, asks for more
connections at once than a host holds. The most important work goes first,
then the earliest deadline; what can't get its turn in time is turned away
at once, so that its caller may try another host.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import heapq
from typing import Any

HOLD_TIME_WEIGHT = 0.1
"""Weight of a new hold in the mean time that work holds a connection."""

INITIAL_HOLD_S = 0.03
"""Time that work is taken to hold a connection at first, in seconds."""

MAX_QUEUE_LENGTH = 200
"""Pieces of work that may wait for one member at one host."""


@dataclass(order=True, slots=True)
class QueuedWork:
    """One piece of work that waits."""

    priority: int
    """Importance; 0 is the highest."""

    deadline: float
    """Time by which it must have its connection, in seconds."""

    sequence: int
    """Order of arrival."""

    handle: Any = field(compare=False)
    """What the caller of the line needs to go on."""

    is_done: bool = field(default=False, compare=False)
    """Whether it was served or gave up."""


class ConnectionQueue:
    """Line of work for the connections of one member."""

    def __init__(self) -> None:
        self._heap: list[QueuedWork] = []
        self._count = 0
        self._waiting = 0
        self.mean_hold_s = INITIAL_HOLD_S
        """Mean time that work holds a connection, in seconds."""

    def __len__(self) -> int:
        return self._waiting

    def on_released(self, held_s: float) -> None:
        """Learn how long a piece of work held its connection."""
        self.mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self.mean_hold_s)

    def expected_wait_s(
        self, priority: int, servers: int, mean_hold_s: float
    ) -> float:
        """Return the expected wait of new work, in seconds."""
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
        """Add work, or return ``None`` where it would come too late.

        Parameters
        ----------
        priority : int
            Importance; 0 is the highest.
        deadline : float
            Time by which its turn must come, in seconds.
        now : float
            Present time in seconds.
        servers : int
            Pieces of work that are served at once.
        mean_hold_s : float
            Mean time that serving one takes, in seconds.
        handle : Any
            What the caller of the line needs to go on.
        """
        if self._waiting >= MAX_QUEUE_LENGTH:
            return None
        wait_s = self.expected_wait_s(priority, servers, mean_hold_s)
        if now + wait_s > deadline:
            return None
        self._count += 1
        work = QueuedWork(priority, deadline, self._count, handle)
        heapq.heappush(self._heap, work)
        self._waiting += 1
        return work

    def remove(self, work: QueuedWork) -> None:
        """Take work out that has given up."""
        if not work.is_done:
            work.is_done = True
            self._waiting -= 1

    def pop(self, now: float) -> QueuedWork | None:
        """Return the next work that is still in time, or ``None``."""
        while self._heap:
            work = heapq.heappop(self._heap)
            if work.is_done:
                continue
            work.is_done = True
            self._waiting -= 1
            if work.deadline >= now:
                return work
        return None

    def drain(self) -> tuple[QueuedWork, ...]:
        """Remove and return all work."""
        left = [w for w in self._heap if not w.is_done]
        for work in left:
            work.is_done = True
        self._heap.clear()
        self._waiting = 0
        return tuple(left)
