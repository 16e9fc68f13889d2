"""Bounds of the client's retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from trefoilpulley_client.timer import Timer


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How long and how often a request is tried."""

    deadline_s: float = 10.0
    """Longest time from the call to its answer or error, in seconds."""

    attempts: int = 16
    """Most attempts of one request."""

    attempt_timeout_s: float = 4.0
    """Longest wait for the answer of one attempt, in seconds."""

    first_backoff_s: float = 0.05
    """Longest pause before the second attempt, in seconds."""

    longest_backoff_s: float = 1.0
    """Longest pause between two attempts, in seconds."""


class Attempts:
    """Attempts of one request.

    Parameters
    ----------
    policy : RetryPolicy
        Bounds.
    timer : Timer
        Source of time.
    rng : random.Random
        Spreads the pauses of callers that fail together.
    """

    def __init__(
        self, policy: RetryPolicy, timer: Timer, rng: random.Random
    ) -> None:
        self._policy = policy
        self._timer = timer
        self._rng = rng
        self._ends_at = timer.now() + policy.deadline_s
        self.made = 1
        """Attempts so far."""

    @property
    def timeout_s(self) -> float:
        """Longest wait for the answer of this attempt, in seconds."""
        left = self._ends_at - self._timer.now()
        return max(0.0, min(left, self._policy.attempt_timeout_s))

    def begin_next(self, pauses: bool = True) -> bool:
        """Pause for another attempt, or return that none is left."""
        if self.made >= self._policy.attempts:
            return False
        pause_s = self._draw_pause() if pauses else 0.0
        if self._timer.now() + pause_s >= self._ends_at:
            return False
        self.made += 1
        if pause_s:
            self._timer.sleep(pause_s)
        return True

    def _draw_pause(self) -> float:
        longest = min(
            self._policy.first_backoff_s * 2 ** (self.made - 1),
            self._policy.longest_backoff_s,
        )
        return longest * self._rng.uniform(0.5, 1.0)
