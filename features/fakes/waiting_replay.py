"""Replay of work that waits for a member, at one host in virtual time.

The decisions are those of the core. The member serves its slots in the order
of arrival; what the limit does not let through waits at the host.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
import heapq
import random
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.concurrency_limit import ConcurrencyLimit
from trefoilpulley_core.direct.connection_queue import ConnectionQueue
from trefoilpulley_core.direct.connection_request import ConnectionRequest

from trefoilpulley_node.direct.statement_request import GOAL_RESERVE
from trefoilpulley_node.direct.statement_request import QUEUE_TIME_FACTOR

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_DURATION_FACTOR = 7.5
"""Longest duration of work as a multiple of the mean (410 of 55 ms)."""

FIXED_BOUND_S = 0.08
"""Mean latency that the limit with a fixed bound takes for a queue."""


@dataclass(frozen=True)
class Work:
    """One statement."""

    at: float
    """Time of arrival, in seconds."""

    duration_s: float
    """Time that it needs at a slot, in seconds."""

    kind: str
    """Kind of the work."""


class FixedBoundLimit(ConcurrencyLimit):
    """Limit that compares the mean latency with a fixed bound."""

    def __init__(self) -> None:
        super().__init__()
        self._mean_s = 0.025

    def record_latency(self, latency_s: float, kind: str, now: float) -> None:
        """Record the latency of a statement."""
        self._mean_s += 0.1 * (latency_s - self._mean_s)

    def on_served(self, now: float) -> None:
        """Decrease above the bound, and increase below it."""
        if self._mean_s > FIXED_BOUND_S:
            self._decrease(self._limit or self._max_limit, now)
        else:
            super().on_served(now)


@dataclass
class Outcome:
    """What a replay has shown."""

    latencies_s: list[float]
    """Time from the arrival of each statement to its end, in seconds."""

    limits: list[int]
    """Limit at the end of each statement."""


def make_work(
    seed: int,
    seconds: float,
    rate: float,
    mean_s: float,
    kind: str,
    began_at: float = 0.0,
) -> list[Work]:
    """Return work with exponential times of arrival and durations."""
    rng = random.Random(seed)
    made = []
    at = began_at + rng.expovariate(rate)
    while at < began_at + seconds:
        duration_s = rng.expovariate(1 / mean_s)
        made.append(
            Work(at, min(duration_s, MAX_DURATION_FACTOR * mean_s), kind)
        )
        at += rng.expovariate(rate)
    return made


def replay_limit(
    limit: ConcurrencyLimit, works: Sequence[Work], slots: int
) -> Outcome:
    """Send work to a member with these slots under a limit."""
    outcome = Outcome([], [])
    waiting: deque[Work] = deque()
    free_at = [0.0] * slots
    running: list[tuple[float, int, float, Work]] = []
    pending = deque(sorted(works, key=lambda w: w.at))
    count = 0
    while pending or running:
        if running and (not pending or running[0][0] <= pending[0].at):
            now, _, sent_at, work = heapq.heappop(running)
            limit.record_latency(now - sent_at, work.kind, now)
            limit.on_served(now)
            outcome.latencies_s.append(now - work.at)
            outcome.limits.append(limit.value)
        else:
            work = pending.popleft()
            now = work.at
            waiting.append(work)
        while waiting and len(running) < limit.value:
            work = waiting.popleft()
            end_at = max(now, heapq.heappop(free_at)) + work.duration_s
            heapq.heappush(free_at, end_at)
            count += 1
            heapq.heappush(running, (end_at, count, now, work))
    return outcome


@dataclass(frozen=True)
class Route:
    """What the work of one kind declares."""

    priority: int
    """Priority; 0 is the highest."""

    goal_s: float
    """Time within which the work should be done, in seconds."""

    timeout_s: float
    """Time within which the work must be done, in seconds."""


ROUTES = {
    'posting': Route(0, 0.203, 1.0),
    'viewing': Route(2, 1.503, 3.0),
}
"""Routes of the deployment with long reads."""


@dataclass
class QueueOutcome:
    """What a replay of the queue has shown."""

    waits: list[tuple[Work, float]]
    """Work that was served, with its wait in seconds."""

    refused: list[Work]
    """Work that was refused, or dropped at its admission time."""

    def count_refused(self, kind: str) -> int:
        """Return how much work of a kind was not served."""
        return sum(w.kind == kind for w in self.refused)


def replay_queue(works: Sequence[Work], servers: int) -> QueueOutcome:
    """Let work wait in a queue for these servers."""
    outcome = QueueOutcome([], [])
    queue = ConnectionQueue()
    running: list[tuple[float, int, Work]] = []
    pending = deque(sorted(works, key=lambda w: w.at))
    waiting: dict[int, Work] = {}
    count = 0
    while pending or running:
        count += 1
        if running and (not pending or running[0][0] <= pending[0].at):
            now, _, work = heapq.heappop(running)
            queue.on_released(work.duration_s, work.kind)
        else:
            work = pending.popleft()
            now = work.at
            request = _request_of(work)
            displaced = queue.find_displaced(request, now)
            if displaced is not None:
                queue.remove(displaced)
                outcome.refused.append(waiting.pop(displaced.handle))
            queued = queue.enqueue(
                request, now, servers, queue.mean_hold_s, count
            )
            if queued is None:
                outcome.refused.append(work)
            else:
                waiting[count] = work
        while len(running) < servers and (served := queue.pop(now)):
            work = waiting.pop(served.handle)
            outcome.waits.append((work, now - work.at))
            count += 1
            heapq.heappush(running, (now + work.duration_s, count, work))
    outcome.refused += waiting.values()
    return outcome


def _request_of(work: Work) -> ConnectionRequest:
    route = ROUTES[work.kind]
    return ConnectionRequest(
        route.priority,
        work.at + route.timeout_s,
        work.at + QUEUE_TIME_FACTOR * route.goal_s,
        work.at + (1 - GOAL_RESERVE) * route.goal_s,
        work.kind,
    )
