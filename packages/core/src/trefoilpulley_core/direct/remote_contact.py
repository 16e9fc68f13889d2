"""Detection that the hosts of other zones have stopped answering.

Load pattern: the timeout of a relayed statement is a second or more, and the
membership probes other zones every other second. The silence of all calls to
other zones together shows a partition after a quarter of a second, while a
single slow or lost answer among others that arrive shows nothing.
"""

from __future__ import annotations

SILENCE_TIMEOUT_S = 0.25
"""Time without any answer after which a call is suspicious, in seconds.

Longer than the retransmission timeout of TCP (0.2 s), so that a lost packet
is sent again before.
"""


class RemoteContact:
    """Tracks the calls of this host to hosts of other zones."""

    def __init__(self) -> None:
        self._waiting = 0
        self._silent_since: float | None = None
        self._has_missed = False
        self.answered_at = float('-inf')
        """Latest start of a call that was answered, in seconds."""

        self.silence_ended_at = float('-inf')
        """Time of the last answer that ended a silence, in seconds."""

    @property
    def has_answered(self) -> bool:
        """Whether any call has been answered since the start of the host."""
        return self.answered_at > float('-inf')

    def on_call(self, now: float) -> None:
        """Record the start of a call."""
        self._waiting += 1
        if self._silent_since is None:
            self._silent_since = now

    def on_call_ended(
        self, started_at: float, is_answered: bool, now: float
    ) -> None:
        """Record the end of a call.

        The answer to a call from before the silence may have been sent before
        the partition, and does not end the silence.
        """
        self._waiting -= 1
        if not is_answered:
            self._has_missed = True
            return
        self.answered_at = max(self.answered_at, started_at)
        if self._silent_since is None:
            return
        if started_at >= self._silent_since:
            self._has_missed = False
            self._silent_since = now if self._waiting else None
            self.silence_ended_at = now
        elif not self._waiting and not self._has_missed:
            self._silent_since = None

    def on_connected(self) -> None:
        """End the silence: a probe was answered.

        Probes of hosts that are down go unanswered, and must not begin the
        next silence on a host without other calls.
        """
        self._silent_since = None
        self._has_missed = False

    def forget_answers(self) -> None:
        """Discard the answers until now."""
        self.answered_at = float('-inf')

    def on_resumed(self, now: float) -> None:
        """Discard the time for which this process was suspended."""
        if self._silent_since is not None:
            self._silent_since = now

    def is_silent(self, now: float) -> bool:
        """Return whether calls have gone unanswered for too long."""
        if self._silent_since is None:
            return False
        return now - self._silent_since >= SILENCE_TIMEOUT_S
