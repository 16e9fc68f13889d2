"""How many statements of one host may be at a member at once.

Load pattern: a group's replicas are far behind, and all its reads press on
a primary that can't carry them. Its own queue then fills up: everybody waits
in it for longer than the statements take, transactions are refused half way,
and the important work waits behind the rest. Statements wait at the hosts
instead, where the most important goes first and what would come too late is
turned away at once; transactions that have begun go on.
"""

from __future__ import annotations

MIN_LIMIT = 1.0
"""Statements that a host may always have at a member."""

DECREASE_FACTOR = 0.7
"""Part of the limit that is left after the member refused for load."""

MIN_DECREASE_INTERVAL_S = 0.1
"""Time in which one shrinking counts, in seconds.

The refusals of one full queue come together.
"""


INCREASE_PER_FULL_LIMIT = 0.1
"""Growth for each full limit of statements served.

Slow, since a member that is full shows it only after a while.
"""

OVERLOAD_LATENCY_S = 0.08
"""Mean time of a statement that shows a queue at the member, in seconds.

Some times what statements take without one.
"""


class ConcurrencyLimit:
    """Grows while the member is quick, shrinks where its queue is long."""

    def __init__(self) -> None:
        self._max_limit = MIN_LIMIT
        self._limit: float | None = None
        self._decreased_at = float('-inf')

    @property
    def value(self) -> int:
        """Statements that may be at the member at once."""
        return int(self._max_limit if self._limit is None else self._limit)

    def update(self, max_limit: int) -> None:
        """Take the number of connections that bounds it anyway."""
        self._max_limit = max(MIN_LIMIT, float(max_limit))
        if self._limit is not None:
            self._limit = min(self._limit, self._max_limit)

    def on_served(self, expected_s: float, now: float) -> None:
        """Note a statement that the member took.

        Parameters
        ----------
        expected_s : float
            Recent mean time of a statement, in seconds.
        now : float
            Present time in seconds.
        """
        if expected_s > OVERLOAD_LATENCY_S:
            self._decrease(self._limit or self._max_limit, now)
        elif self._limit is not None:
            self._limit += INCREASE_PER_FULL_LIMIT / self._limit
            if self._limit >= self._max_limit:
                self._limit = None

    def on_busy(self, in_flight: int, now: float) -> None:
        """Note that the member refused a statement for load.

        Parameters
        ----------
        in_flight : int
            Statements of this host that were at the member.
        now : float
            Present time in seconds.
        """
        reached = float(max(1, in_flight))
        self._decrease(min(self._limit or self._max_limit, reached), now)

    def _decrease(self, limit: float, now: float) -> None:
        if now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._limit = max(MIN_LIMIT, limit * DECREASE_FACTOR)
