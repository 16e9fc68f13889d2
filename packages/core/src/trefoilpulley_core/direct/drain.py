"""Steps of a host's planned stop, decided from time and open work."""

from __future__ import annotations

import enum

BALANCER_DETECTION_S = 2.2
"""Time until the balancer detects that this host is not ready, in seconds.

The balancer checks once a second and removes a host after two failed checks.
"""

EXIT_MARGIN_S = 0.7
"""Part of the grace period reserved for the exit, in seconds."""

QUIET_PERIOD_S = 0.6
"""Time without open work after which the host stops accepting, in seconds.

Covers the connections that the balancer sent to this host before the balancer
detected the stop.
"""

TRANSACTION_FACTOR = 0.5
"""Fraction of the grace period in which open transactions may finish."""

SESSION_FACTOR = 0.6
"""Fraction of the grace period in which sessions in use are kept.

A session that is closed right after a reply may lose the next request, which
its caller sends before it sees the close.
"""

REQUEST_FACTOR = 0.7
"""Fraction of the grace period in which requests are served.

With a grace period of 6 s, the rest is longer than the exit margin plus the
duration of most statements.
"""


class DrainPhase(enum.IntEnum):
    """Phase of a host, from service to its planned stop."""

    SERVING = 0
    """No stop has begun."""

    DRAINING = 1
    """The host is not ready; sessions are closed when they are not in use."""

    ENDING_TRANSACTIONS = 2
    """Idle transactions are ended, and no new ones are begun."""

    CLOSING = 3
    """Each session is closed after its next reply outside a transaction."""

    REFUSING = 4
    """Requests outside transactions are refused."""

    STOPPED = 5
    """Every request is refused, since the process exits."""

    def is_refused(self, has_transaction: bool, is_begin: bool) -> bool:
        """Return whether a request of a session is refused."""
        if has_transaction:
            return self >= DrainPhase.STOPPED
        if is_begin:
            return self >= DrainPhase.ENDING_TRANSACTIONS
        return self >= DrainPhase.REFUSING

    def is_last_request(self, has_transaction: bool) -> bool:
        """Return whether a session is closed after a reply."""
        if has_transaction:
            return self >= DrainPhase.STOPPED
        return self >= DrainPhase.CLOSING


class DrainStep(enum.Enum):
    """Next step of a planned stop."""

    CLOSE_IDLE = 'close-idle'
    """Close the idle sessions, then look again."""

    STOP_ACCEPTING = 'stop-accepting'
    """Take no new work, then look again at once."""

    INTERRUPT = 'interrupt'
    """Answer what would outlast the process, then end."""

    END = 'end'
    """End: nothing is open, and nothing new can arrive."""


class DrainPolicy:
    """Decides the steps of one planned stop.

    The stop ends only after the host has stopped accepting and nothing is open
    at a later look. Work that arrives between a look and the end of the
    acceptance is therefore still served.

    Parameters
    ----------
    grace_s : float
        Time from the begin of the stop until the process is killed, in
        seconds.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._quiet_since_s: float | None = None
        self._is_accepting = True

    @property
    def detection_s(self) -> float:
        """Time to wait before sessions are closed, in seconds."""
        return min(BALANCER_DETECTION_S, self._grace_s / 2)

    def phase(self, elapsed_s: float) -> DrainPhase:
        """Return the phase at a time since the begin, in seconds."""
        if elapsed_s > self._grace_s - EXIT_MARGIN_S:
            return DrainPhase.STOPPED
        if elapsed_s > REQUEST_FACTOR * self._grace_s:
            return DrainPhase.REFUSING
        if elapsed_s > SESSION_FACTOR * self._grace_s:
            return DrainPhase.CLOSING
        if elapsed_s > TRANSACTION_FACTOR * self._grace_s:
            return DrainPhase.ENDING_TRANSACTIONS
        return DrainPhase.DRAINING

    def next_step(self, elapsed_s: float, open_count: int) -> DrainStep:
        """Return the next step.

        Parameters
        ----------
        elapsed_s : float
            Time since the begin of the stop, in seconds.
        open_count : int
            Number of connections and leases that are open now.
        """
        phase = self.phase(elapsed_s)
        if phase is DrainPhase.STOPPED:
            return DrainStep.INTERRUPT
        if self._is_accepting and phase is DrainPhase.REFUSING:
            # The sooner the process is restarted, the sooner it serves again.
            self._is_accepting = False
            return DrainStep.STOP_ACCEPTING
        if open_count:
            self._quiet_since_s = None
            return DrainStep.CLOSE_IDLE
        if not self._is_accepting:
            return DrainStep.END
        if self._quiet_since_s is None:
            self._quiet_since_s = elapsed_s
        if elapsed_s - self._quiet_since_s <= QUIET_PERIOD_S:
            return DrainStep.CLOSE_IDLE
        self._is_accepting = False
        return DrainStep.STOP_ACCEPTING
