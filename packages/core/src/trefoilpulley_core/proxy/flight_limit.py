"""How many statements of one host may be at a member at once.

Load pattern: a group's replicas are far behind, and all its reads press on
a primary that can't carry them. Its own queue then fills up: everybody waits
in it for longer than the statements take, transactions are refused half way,
and the important work waits behind the rest. Statements wait at the hosts
instead, where the most important goes first and what would come too late is
turned away at once; transactions that have begun go on.
"""

from __future__ import annotations

LEAST = 1.0
"""Statements that a host may always have at a member."""

SHRINK_FACTOR = 0.7
"""Part of the limit that is left after the member refused for load."""

SHRINK_PAUSE_S = 0.1
"""Time in which one shrinking counts, in seconds.

The refusals of one full queue come together.
"""


GROWTH = 0.1
"""Growth for each full limit of statements served.

Slow, since a member that is full shows it only after a while.
"""

CROWDED_S = 0.08
"""Mean time of a statement that shows a queue at the member, in seconds.

Some times what statements take without one.
"""


class FlightLimit:
    """Grows while the member is quick, shrinks where its queue is long."""

    def __init__(self) -> None:
        self._most = LEAST
        self._limit: float | None = None
        self._shrunk_at = float('-inf')

    @property
    def value(self) -> int:
        """Statements that may be at the member at once."""
        return int(self._most if self._limit is None else self._limit)

    def update(self, most: int) -> None:
        """Take the number of connections that bounds it anyway."""
        self._most = max(LEAST, float(most))
        if self._limit is not None:
            self._limit = min(self._limit, self._most)

    def on_served(self, expected_s: float, now: float) -> None:
        """Note a statement that the member took.

        Parameters
        ----------
        expected_s : float
            Recent mean time of a statement, in seconds.
        now : float
            Present time in seconds.
        """
        if expected_s > CROWDED_S:
            self._shrink(self._limit or self._most, now)
        elif self._limit is not None:
            self._limit += GROWTH / self._limit
            if self._limit >= self._most:
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
        self._shrink(min(self._limit or self._most, reached), now)

    def _shrink(self, limit: float, now: float) -> None:
        if now - self._shrunk_at >= SHRINK_PAUSE_S:
            self._shrunk_at = now
            self._limit = max(LEAST, limit * SHRINK_FACTOR)
