"""Share of a member's connections that one host may open."""

from __future__ import annotations

MAX_SHARE_FACTOR = 2
"""Connections that a host may hold at most, in shares."""

REFUSAL_BACKOFF_S = 0.5
"""Time without growth after the member refused a connection."""

EXCESS_IDLE_TIMEOUT_S = 0.4
"""Time after which an idle connection above the share is closed."""


class ConnectionShare:
    """Equal share of each host, with room above it while it is free.

    A host opens connections above its share only where work waits and
    the member has refused none for a while. It keeps half of its share
    open and gives the rest back as soon as it is idle: the connections
    of hosts that lost power stay open at the member for seconds, and
    those hosts need room for new ones when they are back.
    """

    def __init__(self) -> None:
        self._share = 1
        self._refused_until = float('-inf')

    @property
    def equal_share(self) -> int:
        """Connections that fall to this host."""
        return self._share

    @property
    def min_idle(self) -> int:
        """Connections that stay open while idle."""
        return max(1, self._share // 2)

    @property
    def max_open(self) -> int:
        """Connections that may ever be open at once."""
        return self._share * MAX_SHARE_FACTOR

    def update(self, max_connections: int, hosts: int) -> None:
        """Take the member's limit and the number of live hosts."""
        self._share = max(1, max_connections // max(1, hosts))

    def on_refused(self, now: float) -> None:
        """Note that the member has as many connections as it allows."""
        self._refused_until = now + REFUSAL_BACKOFF_S

    def limit(self, now: float) -> int:
        """Return the connections that may be open now."""
        if now < self._refused_until:
            return self._share
        return self.max_open
