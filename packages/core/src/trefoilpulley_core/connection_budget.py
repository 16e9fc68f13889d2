"""Division of a member's connection limit between poolers."""

from __future__ import annotations

from dataclasses import dataclass

CONTROL_CONNECTIONS = 1
"""Connections of a pooler that carry only status and control messages."""

SPARE_CONNECTIONS = 1
"""Idle connections that are kept in addition to one for each slot."""

RESERVED_CONNECTIONS = 2
"""Connections left free for the control connections of other poolers."""

EXCLUSIVE_USE_DELAY_S = 2.0
"""Time without other poolers' connections before full use, in seconds.

Until then, a pooler uses at most half of the member's connection limit.
"""

IDLE_TIMEOUT_S = 10.0
"""Time until an idle connection above the minimum closes, in seconds."""


@dataclass(frozen=True, slots=True)
class ConnectionPlan:
    """Connections to a member that a pooler should open and close."""

    allowance: int
    """Maximum number of the pooler's connections, including control."""

    warm: int
    """Connections for work that should be kept open."""

    surplus: int
    """Idle connections that must be closed now."""


class ConnectionBudget:
    """Keeps several poolers of one member within its connection limit.

    A pooler uses at most half of the limit until the member has reported
    no connections of other poolers for some time. Between two reports
    the pooler opens at most half of the free connections. Two poolers
    that start at the same time thus stay within the limit together.

    Parameters
    ----------
    limit : int
        Number of connections that the member allows.
    slots : int
        Number of statements that the member runs concurrently.
    """

    def __init__(self, limit: int, slots: int) -> None:
        self._usable = limit - RESERVED_CONNECTIONS
        self._slots = slots
        self._own_connections = 0
        self._free_connections = 0
        self._exclusive_since: float | None = None
        self._counted_at = float('-inf')

    def on_status(
        self, connections_open: int, own_open: int, now: float
    ) -> None:
        """Process the member's report of its open connections.

        Parameters
        ----------
        connections_open : int
            Open connections that the member counted.
        own_open : int
            Open connections of this pooler at the time of the request.
        now : float
            Monotonic time of the answer, in seconds.
        """
        self._own_connections = own_open
        self._free_connections = self._usable - connections_open
        self._counted_at = now
        if connections_open > own_open:
            self._exclusive_since = None
        elif self._exclusive_since is None:
            self._exclusive_since = now

    def on_other_pooler(self) -> None:
        """Record that another host may pool the member as well."""
        self._exclusive_since = None

    def allowance(self, now: float) -> int:
        """Return the maximum number of the pooler's connections."""
        if self._is_exclusive(now):
            return self._usable
        shared = min(
            self._usable // 2,
            self._own_connections + self._free_connections // 2,
        )
        return max(CONTROL_CONNECTIONS, shared)

    def may_open(self, own_open: int, now: float) -> bool:
        """Return whether one more connection may be opened."""
        return own_open < self.allowance(now)

    def plan(self, own_open: int, idle: int, now: float) -> ConnectionPlan:
        """Return the connections to open and to close.

        Parameters
        ----------
        own_open : int
            Open connections of this pooler, including control.
        idle : int
            Open connections without work.
        now : float
            Monotonic time in seconds.
        """
        allowance = self.allowance(now)
        max_for_work = max(0, allowance - CONTROL_CONNECTIONS)
        warm = min(self._slots + SPARE_CONNECTIONS, max_for_work)
        excess = max(0, own_open - allowance)
        return ConnectionPlan(allowance, warm, min(idle, excess))

    def may_close_idle(self, open_for_work: int, idle_s: float) -> bool:
        """Return whether a connection may be closed after an idle time."""
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
