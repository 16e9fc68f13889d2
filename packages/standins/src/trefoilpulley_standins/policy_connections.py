"""Simulates several poolers that share one member's connection limit."""

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
"""Time between two status reports of the member, in seconds."""

DISCONNECT_DELAY_S = 1.0
"""Time until the member closes a crashed host's connections, in seconds."""

CRASH_TIME_S = 4.0
"""Virtual time at which the first pooler's host crashes, in seconds."""

RUN_DURATION_S = 12.0
"""Virtual duration of one simulation, in seconds."""


class FakeMemberConnections:
    """Counts the open connections of one member over virtual time."""

    def __init__(self, loop: VirtualLoop, limit: int) -> None:
        self._loop = loop
        self._limit = limit
        self._excess_since: float | None = None
        self.open_count = 0
        """Number of open connections."""

        self.peak_count = 0
        """Highest number of connections open at once."""

        self.max_excess_s = 0.0
        """Longest period above the connection limit, in seconds."""

    def add(self, count: int) -> None:
        """Add opened connections; a negative count closes connections."""
        self.open_count += count
        self.peak_count = max(self.peak_count, self.open_count)
        is_above_limit = self.open_count > self._limit
        if is_above_limit and self._excess_since is None:
            self._excess_since = self._loop.now
        if not is_above_limit:
            self.end_excess()

    def end_excess(self) -> None:
        """End the current period above the connection limit, if any."""
        if self._excess_since is None:
            return
        excess_s = self._loop.now - self._excess_since
        self.max_excess_s = max(self.max_excess_s, excess_s)
        self._excess_since = None


class FakePoolerConnections:
    """Connections of one host that acts as the member's pooler.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    member_connections : FakeMemberConnections
        Connections of the member, shared by all poolers.
    budget : ConnectionBudget | None
        Connection budget to test; ``None`` for poolers without a budget.
    rng : random.Random
        Source of the jitter.
    slots : int
        Slots of the member. The pooler opens one work connection more than
        the member has slots.
    connect_s : float
        Time to open a connection, in seconds.
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
        """Number of connections that are open or being opened."""

        self.is_alive = True
        """Whether the host is running."""

        self.warm_up_s: float | None = None
        """Time from the start until three connections were open."""

    def run(self, start_s: float) -> Generator[Any, Any, None]:
        """Open and keep connections, as a process of the virtual loop."""
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
        """Crash the host; the member closes its connections after a delay."""
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
    """Simulates poolers that overlap around the crash of the first one.

    Parameters
    ----------
    limit : int
        Connection limit of the member.
    slots : int
        Slots of the member.
    connect_s : float
        Time to open a connection, in seconds.
    poolers : int
        Number of hosts that act as the member's pooler.
    budget : type[ConnectionBudget] | None
        Connection budget of each pooler; ``None`` for no budget.
    seed : int
        Seed of the random number generator.
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
        """Open connections of the member."""

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
        """Hosts that act as the member's pooler."""

    def run(self) -> None:
        """Start the first pooler, and the others close to its crash."""
        first, *others = self.poolers
        self._loop.spawn(first.run(0.0))
        for pooler in others:
            start_s = CRASH_TIME_S + self._rng.uniform(-0.3, 0.3)
            self._loop.spawn(pooler.run(start_s))
        self._loop.call_at(CRASH_TIME_S, first.crash)
        self._loop.run_until(RUN_DURATION_S)
        self.member_connections.end_excess()
