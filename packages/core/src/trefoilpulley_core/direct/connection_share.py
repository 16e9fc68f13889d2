"""Limit of the connections that one host opens to a member."""

from __future__ import annotations

from trefoilpulley_core.direct.connection_need import NEED_WINDOW_S

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

    A holder keeps the connections that are needed, up to its share: the hosts
    that restart are no holders for the most part.

    Load pattern of the pace: many requests arrive at once, at the start or
    after a change of the primary. Each new connection occupies a slot of the
    member for several statements, so that a connection for each request
    blocks the member until the requests are late. A host opens one connection
    at a time, and the requests wait for the connections that are open.
    """

    def __init__(self) -> None:
        self._share = 1
        self._next_dial_at = float('-inf')
        self._is_kept_by_need = False
        self._refused_at = float('-inf')

    @property
    def equal_share(self) -> int:
        """Connections in this host's equal share."""
        return self._share

    @property
    def min_idle(self) -> int:
        """Number of connections that stay open whether needed or not."""
        return max(1, self._share // 2)

    @property
    def max_open(self) -> int:
        """Maximum number of open connections."""
        return self._share * MAX_SHARE_FACTOR

    def count_kept(self, needed: int, now: float) -> int:
        """Return how many connections stay open when they are idle.

        Parameters
        ----------
        needed : int
            Connections that were in use at once recently.
        now : float
            Current time in seconds.
        """
        is_full = now < self._refused_at + NEED_WINDOW_S
        if is_full or not self._is_kept_by_need:
            return self.min_idle
        return max(self.min_idle, min(needed, self._share))

    def update(
        self, max_connections: int, hosts: int, is_kept_by_need: bool = False
    ) -> None:
        """Recompute the share.

        Parameters
        ----------
        max_connections : int
            Connections that the member accepts.
        hosts : int
            Number of hosts that share these connections.
        is_kept_by_need : bool
            Whether idle connections are kept as they are needed, and not
            half of the share.
        """
        self._is_kept_by_need = is_kept_by_need
        self._share = max(1, max_connections // max(1, hosts))

    def on_refused(self, now: float) -> None:
        """Record that the member refused a connection at its limit."""
        self._refused_at = now
        self._next_dial_at = now + REFUSED_DIAL_INTERVAL_S

    def limit(self, now: float) -> int:
        """Return the number of connections that may be open now."""
        if now < self._refused_at + REFUSAL_BACKOFF_S:
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

    def may_replace(self, open_count: int, dialing: int, now: float) -> bool:
        """Return whether a connection may be opened in place of another one.

        The host may open no further connection, or the member has just
        refused one at its limit.

        Parameters
        ----------
        open_count : int
            Connections that are open or being opened.
        dialing : int
            Connections that are being opened.
        now : float
            Current time in seconds.
        """
        if open_count < self.limit(now) and now >= self._next_dial_at:
            return False
        return dialing < MAX_CONCURRENT_DIALS
