"""Open sessions of this host, and how they are drained at a planned stop."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.drain import DrainPhase
from trefoilpulley_core.direct.drain import DrainPolicy
from trefoilpulley_core.direct.drain import DrainStep
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.direct.caller_session import CallerSession

ANSWER_TIME_S = 0.25
"""Time to answer the requests interrupted before the exit, in seconds.

Part of the exit margin of the drain policy.
"""

POLL_INTERVAL_S = 0.05
"""Time between two checks of the sessions during a drain, in seconds."""


class CallerConnection(abc.ABC):
    """Connection of a caller, with the operations that a drain needs."""

    @abc.abstractmethod
    def has_input(self) -> bool:
        """Whether the caller has sent data that is not read yet."""

    @abc.abstractmethod
    def stop_receiving(self) -> None:
        """Receive no further request and let the session end.

        Requests that have already arrived are still answered.
        """


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
        self.phase = DrainPhase.SERVING
        """Phase of this host."""

    def __len__(self) -> int:
        return len(self._sessions)

    @property
    def is_draining(self) -> bool:
        """Whether the host is about to stop."""
        return self.phase > DrainPhase.SERVING

    @property
    def busy_count(self) -> int:
        """Number of sessions whose request is being handled."""
        return sum(1 for s in self._sessions if s.is_busy)

    @property
    def in_use_count(self) -> int:
        """Number of sessions that are busy or expect a request soon."""
        return sum(1 for s in self._sessions if s.is_in_use)

    @property
    def connection_count(self) -> int:
        """Number of open connections, with or without a session."""
        return self._connections

    def add_connection(self) -> None:
        """Count a new connection, with or without a session."""
        self._connections += 1

    def remove_connection(self) -> None:
        """Remove a closed connection from the count."""
        self._connections -= 1

    def add_session(
        self, session: CallerSession, conn: CallerConnection
    ) -> None:
        """Add a new session."""
        self._sessions[session] = conn

    def remove_session(self, session: CallerSession) -> None:
        """Remove a closed session."""
        self._sessions.pop(session, None)

    def on_accept_failed(self, error: str) -> None:
        """Log that waiting connections could not be accepted at a stop."""
        events.CALLERS_NOT_ACCEPTED.log(
            connections=self._connections, error=error
        )

    def check_keys(self) -> None:
        """Roll back the transactions whose keys have been withdrawn."""
        for session in list(self._sessions):
            session.check_key()

    def close_idle(self) -> None:
        """Close the idle sessions, so that their callers use other hosts."""
        for session, conn in list(self._sessions.items()):
            self._close_if_idle(session, conn)

    def enter(self, phase: DrainPhase) -> None:
        """Enter a phase, unless a later one has begun."""
        self.phase = max(self.phase, phase)

    def drain(
        self,
        grace_s: float,
        count_leases: Callable[[], int],
        stop_accepting: Callable[[], None],
    ) -> bool:
        """Close all sessions without interrupting a request.

        Sessions are closed once the balancer should send no new connections:
        each session when its caller pauses, later after its next reply. Open
        transactions may finish in the first half of the grace period. Where
        the balancer has no other host, new connections still arrive; their
        sessions are served until a request might not finish in time.

        Parameters
        ----------
        grace_s : float
            Time until the process is killed, in seconds.
        count_leases : Callable[[], int]
            Returns the number of leases of other hosts.
        stop_accepting : Callable[[], None]
            Ends the intake of new work. Every connection and lease that was
            taken in before is counted when the call returns.

        Returns
        -------
        bool
            Whether all sessions were closed in time.
        """
        self.enter(DrainPhase.DRAINING)
        policy = DrainPolicy(grace_s)
        began_at = self._clock.now()
        gevent.sleep(policy.detection_s)
        while True:
            elapsed_s = self._clock.now() - began_at
            self.enter(policy.phase(elapsed_s))
            step = policy.next_step(
                elapsed_s, self._connections + count_leases()
            )
            if step is DrainStep.END:
                return True
            if step is DrainStep.INTERRUPT:
                stop_accepting()
                self._answer_rest()
                return False
            if step is DrainStep.STOP_ACCEPTING:
                stop_accepting()
                continue
            self.close_idle()
            gevent.sleep(POLL_INTERVAL_S)

    def _answer_rest(self) -> None:
        """Answer the requests that would outlast the process, then wait."""
        for session, conn in tuple(self._sessions.items()):
            if session.is_busy:
                session.interrupt()
            conn.stop_receiving()
        deadline = self._clock.now() + ANSWER_TIME_S
        while self._connections and self._clock.now() < deadline:
            gevent.sleep(POLL_INTERVAL_S)

    def _close_if_idle(
        self, session: CallerSession, conn: CallerConnection
    ) -> None:
        if session.is_in_use or conn.has_input():
            return
        is_kept = self.phase < DrainPhase.ENDING_TRANSACTIONS
        if session.has_transaction and is_kept:
            return
        conn.stop_receiving()
