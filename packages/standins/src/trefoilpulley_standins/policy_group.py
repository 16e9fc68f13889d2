"""Fake database group with replication lag on a virtual clock."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import Acknowledgement

if TYPE_CHECKING:
    import random

    from trefoilpulley_standins.policy_loop import VirtualLoop

TERM = 1
"""Term of the group's primary throughout a replay."""

LAG_SPREAD_FACTOR = 0.3
"""Largest part by which the lag of one record differs from the mean."""

REPLICA_COUNT = 2
"""Replicas of the group."""


class FakeGroup:
    """Arrival times of each record at the members; member 0 leads.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    rng : random.Random
        Source of the spread of the lags.
    lag_s : float
        Mean replication lag in seconds.
    one_way_delay_s : float
        Delay between the members, in seconds.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        rng: random.Random,
        lag_s: float,
        one_way_delay_s: float,
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._lag_s = lag_s
        self._one_way_delay_s = one_way_delay_s
        self._arrivals: list[list[float]] = [
            [] for _ in range(REPLICA_COUNT + 1)
        ]

    def append(self) -> tuple[Position, float]:
        """Write a record; return it and when its second copy is known."""
        now = self._loop.now
        self._arrivals[0].append(now)
        for arrivals in self._arrivals[1:]:
            spread = self._rng.uniform(
                1 - LAG_SPREAD_FACTOR, 1 + LAG_SPREAD_FACTOR
            )
            arrives_at = now + self._lag_s * spread
            arrivals.append(
                max(arrives_at, arrivals[-1] if arrivals else arrives_at)
            )
        replicated_at = min(a[-1] for a in self._arrivals[1:])
        position = Position(TERM, len(self._arrivals[0]))
        return position, replicated_at + self._one_way_delay_s

    def position(self, member: int, at: float | None = None) -> Position:
        """Return the end of a member's log at a time."""
        when = self._loop.now if at is None else at
        count = bisect.bisect_right(self._arrivals[member], when)
        return Position(TERM, count)

    def arrival_time(self, member: int, position: Position) -> float:
        """Return when a member holds a record."""
        if position.index == 0:
            return 0.0
        return self._arrivals[member][position.index - 1]

    def acknowledgements(self, names: tuple[str, ...]) -> tuple:
        """Return what the primary knows of its replicas."""
        seen_at = self._loop.now - self._one_way_delay_s
        return tuple(
            Acknowledgement(names[i], self.position(i, seen_at))
            for i in range(1, REPLICA_COUNT + 1)
        )

    def true_lag_s(self, member: int) -> float:
        """Return the time that the last record took to a member."""
        return self._arrivals[member][-1] - self._arrivals[0][-1]

    def true_age_s(self, member: int) -> float:
        """Return the time since the primary passed a member's position."""
        index = self.position(member).index
        writes = self._arrivals[0]
        if index >= len(writes):
            return 0.0
        return self._loop.now - writes[index]
