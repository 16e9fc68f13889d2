"""Replay of several poolers that share one member's connections."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.connection_budget import CONTROL_CONNECTIONS
from trefoilpulley_core.connection_pacer import ConnectionRateLimiter
from trefoilpulley_standins.policy_loop import VirtualLoop

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.connection_budget import ConnectionBudget

STATUS_INTERVAL_S = 0.1
"""Time between two reports of the member, in seconds."""

DISCONNECT_DELAY_S = 1.0
"""Time for which the member keeps a dead host's connections, seconds."""

CRASH_TIME_S = 4.0
"""Time at which the first pooler's host dies, in seconds."""

RUN_DURATION_S = 12.0
"""Virtual time of one replay, in seconds."""


class FakeMemberConnections:
    """Counts the connections open at one member over time."""

    def __init__(self, loop: VirtualLoop, limit: int) -> None:
        self._loop = loop
        self._limit = limit
        self._excess_since: float | None = None
        self.open_count = 0
        """Connections open."""

        self.peak_count = 0
        """Most connections open at once."""

        self.max_excess_s = 0.0
        """Longest time over the limit, in seconds."""

    def add(self, count: int) -> None:
        """Open connections, or close them where negative."""
        self.open_count += count
        self.peak_count = max(self.peak_count, self.open_count)
        is_above_limit = self.open_count > self._limit
        if is_above_limit and self._excess_since is None:
            self._excess_since = self._loop.now
        if not is_above_limit:
            self.end_excess()

    def end_excess(self) -> None:
        """Take the time over the limit as ended."""
        if self._excess_since is None:
            return
        excess_s = self._loop.now - self._excess_since
        self.max_excess_s = max(self.max_excess_s, excess_s)
        self._excess_since = None


class FakePoolerConnections:
    """One host that takes itself for the member's pooler.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    door : FakeMemberConnections
        Member to connect to.
    budget : ConnectionBudget | None
        Budget to replay; ``None`` opens all that is wanted.
    rng : random.Random
        Source of the jitter.
    slots : int
        Connections for work that the pooler wants, less one.
    connect_s : float
        Time that a connection takes, in seconds.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        member_connections: FakeMemberConnections,
        budget: ConnectionBudget | None,
        rng: random.Random,
        slots: int,
        connect_s: float,
    ) -> None:
        self._loop = loop
        self._member_connections = member_connections
        self._budget = budget
        self._rate_limiter = ConnectionRateLimiter(rng)
        self._max_work_connections = slots + 1
        self._connect_s = connect_s
        self._started_at = 0.0
        self.open_count = 0
        """Connections open or under way."""

        self.is_alive = True
        """Whether the host runs."""

        self.warm_up_s: float | None = None
        """Time from the start until the first three were open."""

    def run(self, start_s: float) -> Generator[Any, Any, None]:
        """Hold the connections, as a process."""
        yield start_s
        self._started_at = self._loop.now
        yield from self._open()
        self._loop.spawn(self._poll_status())
        while self.is_alive:
            if self._may_open():
                pause_s = self._rate_limiter.try_open(self._loop.now)
                if pause_s == 0:
                    self._loop.spawn(self._open_paced())
                    continue
                yield pause_s
            else:
                yield STATUS_INTERVAL_S / 4

    def crash(self) -> None:
        """Stop; the member notices later."""
        self.is_alive = False
        remaining = self.open_count
        at = self._loop.now + DISCONNECT_DELAY_S
        self._loop.call_at(
            at, lambda: self._member_connections.add(-remaining)
        )

    def _may_open(self) -> bool:
        if self.open_count >= self._max_work_connections + CONTROL_CONNECTIONS:
            return False
        if self._budget is None:
            return True
        return self._budget.may_open(self.open_count, self._loop.now)

    def _poll_status(self) -> Generator[Any, Any, None]:
        while self.is_alive:
            if self._budget is not None:
                self._budget.on_status(
                    self._member_connections.open_count,
                    self.open_count,
                    self._loop.now,
                )
                self._close_surplus()
            yield STATUS_INTERVAL_S

    def _close_surplus(self) -> None:
        plan = self._budget.plan(
            self.open_count, self.open_count - 1, self._loop.now
        )
        if plan.surplus:
            self.open_count -= plan.surplus
            self._member_connections.add(-plan.surplus)

    def _open_paced(self) -> Generator[Any, Any, None]:
        yield from self._open()
        self._rate_limiter.on_opened()

    def _open(self) -> Generator[Any, Any, None]:
        self.open_count += 1
        self._member_connections.add(1)
        yield self._connect_s
        if self.open_count >= 3 and self.warm_up_s is None:
            self.warm_up_s = self._loop.now - self._started_at


class ConnectionRun:
    """Replays poolers with different views and the death of one.

    Parameters
    ----------
    limit : int
        Connections that the member allows.
    slots : int
        Slots of the member.
    connect_s : float
        Time that a connection takes, in seconds.
    poolers : int
        Hosts that take themselves for the member's pooler.
    budget : type[ConnectionBudget] | None
        Budget of each pooler; ``None`` opens all that is wanted.
    seed : int
        Seed of all randomness.
    """

    def __init__(
        self,
        limit: int,
        slots: int,
        connect_s: float,
        poolers: int,
        budget: type[ConnectionBudget] | None,
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._loop = VirtualLoop()
        self.member_connections = FakeMemberConnections(self._loop, limit)
        """Counts at the member."""

        self.poolers = tuple(
            FakePoolerConnections(
                self._loop,
                self.member_connections,
                budget(limit, slots) if budget else None,
                self._rng,
                slots,
                connect_s,
            )
            for _ in range(poolers)
        )
        """Hosts that take themselves for the pooler."""

    def run(self) -> None:
        """Start the first alone, the others together around its death."""
        first, *others = self.poolers
        self._loop.spawn(first.run(0.0))
        for pooler in others:
            start_s = CRASH_TIME_S + self._rng.uniform(-0.3, 0.3)
            self._loop.spawn(pooler.run(start_s))
        self._loop.call_at(CRASH_TIME_S, first.crash)
        self._loop.run_until(RUN_DURATION_S)
        self.member_connections.end_excess()
