"""Shares of a member's connection limit between poolers."""

from __future__ import annotations

from dataclasses import dataclass

CONTROL_CONNECTIONS = 1
"""Connections of a pooler that carry status and control alone."""

SPARE_CONNECTIONS = 1
"""Idle connections kept beyond the slots."""

RESERVED_CONNECTIONS = 2
"""Connections left free for the control connections of newcomers."""

EXCLUSIVE_USE_DELAY_S = 2.0
"""Time for which no other pooler's connection may be seen before a
pooler takes more than half of the limit, in seconds."""

IDLE_TIMEOUT_S = 10.0
"""Time after which an idle connection beyond the warm ones is closed."""


@dataclass(frozen=True, slots=True)
class ConnectionPlan:
    """What a pooler should do about its connections to a member."""

    allowance: int
    """Most connections that the pooler may hold, control included."""

    warm: int
    """Connections for work that should be open."""

    surplus: int
    """Idle connections to close at once."""


class ConnectionBudget:
    """Keeps several poolers of one member within its connection limit.

    A pooler holds at most half of the limit until the member has shown
    no connection but the pooler's own for a while. Between two counts
    of the member it takes at most half of the room that is left, so
    that two newcomers stay within the limit as well.

    Parameters
    ----------
    limit : int
        Connections that the member allows.
    slots : int
        Pieces of work that the member runs at once.
    """

    def __init__(self, limit: int, slots: int) -> None:
        self._usable = limit - RESERVED_CONNECTIONS
        self._slots = slots
        self._own = 0
        self._available = 0
        self._exclusive_since: float | None = None
        self._counted_at = float('-inf')

    def on_status(
        self, connections_open: int, own_open: int, now: float
    ) -> None:
        """Take the member's count of its open connections.

        Parameters
        ----------
        connections_open : int
            Connections open at the member, by its own count.
        own_open : int
            Connections that this pooler had open when it asked.
        now : float
            Monotonic time of the answer, in seconds.
        """
        self._own = own_open
        self._available = self._usable - connections_open
        self._counted_at = now
        if connections_open > own_open:
            self._exclusive_since = None
        elif self._exclusive_since is None:
            self._exclusive_since = now

    def on_other_pooler(self) -> None:
        """Note that another host may pool the member as well."""
        self._exclusive_since = None

    def allowance(self, now: float) -> int:
        """Return the most connections that the pooler may hold."""
        if self._is_exclusive(now):
            return self._usable
        shared = min(self._usable // 2, self._own + self._available // 2)
        return max(CONTROL_CONNECTIONS, shared)

    def may_open(self, own_open: int, now: float) -> bool:
        """Return whether one more connection may be opened."""
        return own_open < self.allowance(now)

    def plan(self, own_open: int, idle: int, now: float) -> ConnectionPlan:
        """Return what to open and what to close.

        Parameters
        ----------
        own_open : int
            Connections open, control included.
        idle : int
            Connections open without work.
        now : float
            Monotonic time in seconds.
        """
        allowance = self.allowance(now)
        for_work = max(0, allowance - CONTROL_CONNECTIONS)
        warm = min(self._slots + SPARE_CONNECTIONS, for_work)
        excess = max(0, own_open - allowance)
        return ConnectionPlan(allowance, warm, min(idle, excess))

    def may_close_idle(self, open_for_work: int, idle_s: float) -> bool:
        """Return whether a connection idle for a time may be closed."""
        if open_for_work <= self._slots + SPARE_CONNECTIONS:
            return False
        return idle_s >= IDLE_TIMEOUT_S

    def _is_exclusive(self, now: float) -> bool:
        if self._exclusive_since is None:
            return False
        if now - self._counted_at > EXCLUSIVE_USE_DELAY_S:
            return False
        return (
            self._counted_at - self._exclusive_since >= EXCLUSIVE_USE_DELAY_S
        )
