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

LINGER_S = 1.0
"""Time for which the member keeps a dead host's connections, seconds."""

DEATH_S = 4.0
"""Time at which the first pooler's host dies, in seconds."""

RUN_S = 12.0
"""Virtual time of one replay, in seconds."""


class FakeMemberDoor:
    """Counts the connections open at one member over time."""

    def __init__(self, loop: VirtualLoop, limit: int) -> None:
        self._loop = loop
        self._limit = limit
        self._over_since: float | None = None
        self.open = 0
        """Connections open."""

        self.peak = 0
        """Most connections open at once."""

        self.longest_over_s = 0.0
        """Longest time over the limit, in seconds."""

    def add(self, count: int) -> None:
        """Open connections, or close them where negative."""
        self.open += count
        self.peak = max(self.peak, self.open)
        is_over = self.open > self._limit
        if is_over and self._over_since is None:
            self._over_since = self._loop.now
        if not is_over:
            self.end()

    def end(self) -> None:
        """Take the time over the limit as ended."""
        if self._over_since is None:
            return
        over_s = self._loop.now - self._over_since
        self.longest_over_s = max(self.longest_over_s, over_s)
        self._over_since = None


class FakePoolerConnections:
    """One host that takes itself for the member's pooler.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    door : FakeMemberDoor
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
        door: FakeMemberDoor,
        budget: ConnectionBudget | None,
        rng: random.Random,
        slots: int,
        connect_s: float,
    ) -> None:
        self._loop = loop
        self._door = door
        self._budget = budget
        self._pacer = ConnectionRateLimiter(rng)
        self._wanted = slots + 1
        self._connect_s = connect_s
        self._started_at = 0.0
        self.open = 0
        """Connections open or under way."""

        self.is_alive = True
        """Whether the host runs."""

        self.warm_after_s: float | None = None
        """Time from the start until the first three were open."""

    def run(self, start_s: float) -> Generator[Any, Any, None]:
        """Hold the connections, as a process."""
        yield start_s
        self._started_at = self._loop.now
        yield from self._open()
        self._loop.spawn(self._watch())
        while self.is_alive:
            if self._may_open():
                pause_s = self._pacer.try_open(self._loop.now)
                if pause_s == 0:
                    self._loop.spawn(self._open_paced())
                    continue
                yield pause_s
            else:
                yield STATUS_INTERVAL_S / 4

    def die(self) -> None:
        """Stop; the member notices later."""
        self.is_alive = False
        left = self.open
        at = self._loop.now + LINGER_S
        self._loop.call_at(at, lambda: self._door.add(-left))

    def _may_open(self) -> bool:
        if self.open >= self._wanted + CONTROL_CONNECTIONS:
            return False
        if self._budget is None:
            return True
        return self._budget.may_open(self.open, self._loop.now)

    def _watch(self) -> Generator[Any, Any, None]:
        while self.is_alive:
            if self._budget is not None:
                self._budget.on_status(
                    self._door.open, self.open, self._loop.now
                )
                self._close_surplus()
            yield STATUS_INTERVAL_S

    def _close_surplus(self) -> None:
        plan = self._budget.plan(self.open, self.open - 1, self._loop.now)
        if plan.surplus:
            self.open -= plan.surplus
            self._door.add(-plan.surplus)

    def _open_paced(self) -> Generator[Any, Any, None]:
        yield from self._open()
        self._pacer.on_opened()

    def _open(self) -> Generator[Any, Any, None]:
        self.open += 1
        self._door.add(1)
        yield self._connect_s
        if self.open >= 3 and self.warm_after_s is None:
            self.warm_after_s = self._loop.now - self._started_at


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
        self.door = FakeMemberDoor(self._loop, limit)
        """Counts at the member."""

        self.poolers = tuple(
            FakePoolerConnections(
                self._loop,
                self.door,
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
            start_s = DEATH_S + self._rng.uniform(-0.3, 0.3)
            self._loop.spawn(pooler.run(start_s))
        self._loop.call_at(DEATH_S, first.die)
        self._loop.run_until(RUN_S)
        self.door.end()
