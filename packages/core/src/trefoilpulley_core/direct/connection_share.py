"""Limit of the connections that one host opens to a member."""

from __future__ import annotations

MAX_SHARE_FACTOR = 2
"""Maximum number of connections of a host, as a multiple of its share."""

REFUSAL_BACKOFF_S = 0.5
"""Time for which a host stays within its share after a refusal, in seconds.

The refusal is the member's rejection of a connection at its connection limit.
"""

REFUSED_DIAL_INTERVAL_S = 0.2
"""Time after a refusal in which a host with a connection opens no other.

In seconds. A member at its connection limit has room only once another host
has closed a connection. Requests meanwhile wait for the open connections.
"""

MAX_CONCURRENT_DIALS = 1
"""Connections that a host opens at the same time while others are open."""

EXCESS_IDLE_TIMEOUT_S = 0.4
"""Idle time before a connection above the share is closed, in seconds."""


class ConnectionShare:
    """Equal share per host that a host may temporarily exceed.

    A host opens connections above its share only if work is queued and the
    member has not refused a connection recently. A host keeps half of its
    share open and closes the other connections once they are idle. The
    closed connections leave room for hosts that restart after a power loss:
    their old connections stay open at the member for seconds, and the
    restarted hosts need new connections at once.

    Load pattern of the pace: many requests arrive at once, at the start or
    after a change of the primary. Each new connection occupies a slot of the
    member for several statements, so that a connection for each request
    blocks the member until the requests are late. A host opens one connection
    at a time, and the requests wait for the connections that are open.
    """

    def __init__(self) -> None:
        self._share = 1
        self._refused_until = float('-inf')
        self._next_dial_at = float('-inf')

    @property
    def equal_share(self) -> int:
        """Connections in this host's equal share."""
        return self._share

    @property
    def min_idle(self) -> int:
        """Number of idle connections that stay open."""
        return max(1, self._share // 2)

    @property
    def max_open(self) -> int:
        """Maximum number of open connections."""
        return self._share * MAX_SHARE_FACTOR

    def update(self, max_connections: int, hosts: int) -> None:
        """Recompute the share.

        Parameters
        ----------
        max_connections : int
            Connections that the member accepts.
        hosts : int
            Number of hosts that share these connections.
        """
        self._share = max(1, max_connections // max(1, hosts))

    def on_refused(self, now: float) -> None:
        """Record that the member refused a connection at its limit."""
        self._refused_until = now + REFUSAL_BACKOFF_S
        self._next_dial_at = now + REFUSED_DIAL_INTERVAL_S

    def limit(self, now: float) -> int:
        """Return the number of connections that may be open now."""
        if now < self._refused_until:
            return self._share
        return self.max_open

    def may_dial(self, open_count: int, dialing: int, now: float) -> bool:
        """Return whether one more connection may be opened now.

        Parameters
        ----------
        open_count : int
            Connections that are open or being opened.
        dialing : int
            Connections that are being opened.
        now : float
            Current time in seconds.
        """
        if open_count >= self.limit(now):
            return False
        if open_count and now < self._next_dial_at:
            return False
        return dialing < MAX_CONCURRENT_DIALS or open_count == dialing
