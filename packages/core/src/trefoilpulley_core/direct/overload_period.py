"""Period in which a member, or the queue for it, refuses work for load."""

from __future__ import annotations

MAX_REFUSAL_GAP_S = 0.5
"""Maximum time between two refusals of one period, in seconds."""


class OverloadPeriod:
    """Newest period of refusals for load, as seen by one host."""

    def __init__(self) -> None:
        self._began_at = float('-inf')
        self._refused_at = float('-inf')

    def on_refused(self, now: float) -> None:
        """Record that work was refused for load."""
        if now - self._refused_at > MAX_REFUSAL_GAP_S:
            self._began_at = now
        self._refused_at = now

    def is_active(self, now: float) -> bool:
        """Return whether work is refused for load at a time in seconds."""
        return now - self._refused_at <= MAX_REFUSAL_GAP_S

    def duration_s(self, now: float) -> float:
        """Return for how long work has been refused; 0 if it is not now.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if not self.is_active(now):
            return 0.0
        return now - self._began_at
