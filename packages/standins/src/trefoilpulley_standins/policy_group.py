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
"""Term of the primary; the primary never changes in a simulation."""

LAG_SPREAD_FACTOR = 0.3
"""Largest relative deviation of one record's lag from the mean."""

REPLICA_COUNT = 2
"""Number of replicas of the group."""


class FakeGroup:
    """Arrival time of each record at each member; member 0 is the primary.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    rng : random.Random
        Random number generator of the replication lags.
    lag_s : float
        Mean replication lag, in seconds.
    one_way_delay_s : float
        One-way delay between the members, in seconds.
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
        """Append a record.

        Returns
        -------
        tuple[Position, float]
            Position of the record, and the virtual time at which the
            primary learns of the second copy, in seconds.
        """
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
        """Return the end of a member's log, now or at a given time."""
        when = self._loop.now if at is None else at
        count = bisect.bisect_right(self._arrivals[member], when)
        return Position(TERM, count)

    def arrival_time(self, member: int, position: Position) -> float:
        """Return the virtual time at which a record reaches a member."""
        if position.index == 0:
            return 0.0
        return self._arrivals[member][position.index - 1]

    def acknowledgements(self, names: tuple[str, ...]) -> tuple:
        """Return the replicas' positions that the primary knows of."""
        seen_at = self._loop.now - self._one_way_delay_s
        return tuple(
            Acknowledgement(names[i], self.position(i, seen_at))
            for i in range(1, REPLICA_COUNT + 1)
        )

    def true_lag_s(self, member: int) -> float:
        """Return the replication lag of the last record, in seconds."""
        return self._arrivals[member][-1] - self._arrivals[0][-1]

    def true_age_s(self, member: int) -> float:
        """Return the true age of a member's data, in seconds.

        The age is the time since the primary wrote the first record that
        the member lacks.
        """
        index = self.position(member).index
        writes = self._arrivals[0]
        if index >= len(writes):
            return 0.0
        return self._loop.now - writes[index]
