"""Open sessions of this host, and how they end at a planned stop."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.proxy.caller_session import CallerSession

BALANCER_NOTICE_S = 2.2
"""Time in which the balancer notices that this host is not ready.

It asks once a second and gives up after two refusals.
"""

EXIT_MARGIN_S = 0.7
"""Part of the grace left for the process to end, in seconds."""

QUIET_PERIOD_S = 0.6
"""Time without a connection after which none is expected any more.

Connections that the balancer sent before it noticed are on their way.
"""

REFUSE_FACTOR = 0.3
"""Last part of the grace in which new work is refused.

Of 6 s it leaves more than the exit margin and most statements together.
"""

POLL_INTERVAL_S = 0.05
"""Time between two looks at the sessions while draining."""


class CallerConnection(abc.ABC):
    """Connection of a caller, as the drain sees it."""

    @abc.abstractmethod
    def has_input(self) -> bool:
        """Whether the caller has sent what was not read yet."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""


class SessionRegistry:
    """Counts the open sessions and drains them.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sessions: dict[CallerSession, CallerConnection] = {}
        self._connections = 0
        self.is_draining = False
        """Whether the host is about to stop."""

        self.is_closing = False
        """Whether sessions end after their next answer."""

        self.is_refusing = False
        """Whether what comes now would be cut by the end."""

    def __len__(self) -> int:
        return len(self._sessions)

    def enter(self) -> None:
        """Note a new connection, greeted or not."""
        self._connections += 1

    def leave(self) -> None:
        """Note the end of a connection."""
        self._connections -= 1

    def add(self, session: CallerSession, conn: CallerConnection) -> None:
        """Note a new session."""
        self._sessions[session] = conn

    def remove(self, session: CallerSession) -> None:
        """Note the end of a session."""
        self._sessions.pop(session, None)

    def close_idle(self) -> None:
        """Close the sessions without work, so that they go elsewhere."""
        for session, conn in list(self._sessions.items()):
            self._close_if_idle(session, conn, is_late=False)

    def refuse(self) -> None:
        """Refuse what comes from now on."""
        self.is_draining = self.is_closing = self.is_refusing = True

    def drain(self, grace_s: float, count_leases: Callable[[], int]) -> bool:
        """End every session without cutting a request.

        Sessions are closed once the balancer should send no new ones,
        each when it is idle or has its next answer; open transactions
        have the first half of the grace to end. Where the balancer has
        no other host, new sessions come on: they are served until what
        they ask could no longer be answered in time.

        Returns
        -------
        bool
            Whether every session ended before the time was over.
        """
        self.is_draining = True
        began_at = self._clock.now()
        gevent.sleep(min(BALANCER_NOTICE_S, grace_s / 2))
        self.is_closing = True
        quiet_since = self._clock.now()
        while True:
            now = self._clock.now()
            passed_s = now - began_at
            if passed_s > grace_s - EXIT_MARGIN_S:
                return False
            if passed_s > (1 - REFUSE_FACTOR) * grace_s:
                self.refuse()
            for session, conn in list(self._sessions.items()):
                self._close_if_idle(session, conn, passed_s > grace_s / 2)
            if self._connections or count_leases():
                quiet_since = now
            elif now - quiet_since > QUIET_PERIOD_S:
                return True
            gevent.sleep(POLL_INTERVAL_S)

    def _close_if_idle(
        self, session: CallerSession, conn: CallerConnection, is_late: bool
    ) -> None:
        if session.is_busy or conn.has_input():
            return
        if session.has_transaction and not is_late:
            return
        conn.close()
