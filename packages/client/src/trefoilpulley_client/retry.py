"""Limits and delays of the client's retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from trefoilpulley_client.timer import Timer


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits of the time and number of attempts of a request."""

    deadline_s: float = 10.0
    """Maximum time from a call to its answer or error, in seconds."""

    attempts: int = 16
    """Maximum number of attempts of one request."""

    attempt_timeout_s: float = 4.0
    """Maximum time to wait for the answer to one attempt, in seconds."""

    first_backoff_s: float = 0.05
    """Maximum delay before the second attempt, in seconds.

    The maximum doubles with each further attempt.
    """

    longest_backoff_s: float = 1.0
    """Maximum delay before any attempt, in seconds."""


class Attempts:
    """Attempts of one request, with exponential backoff and jitter.

    Parameters
    ----------
    policy : RetryPolicy
        Limits of the attempts.
    timer : Timer
        Source of time.
    rng : random.Random
        Random source of the jitter, which keeps callers that fail together
        from retrying together.
    """

    def __init__(
        self, policy: RetryPolicy, timer: Timer, rng: random.Random
    ) -> None:
        self._policy = policy
        self._timer = timer
        self._rng = rng
        self._deadline = timer.now() + policy.deadline_s
        self.attempt_count = 1
        """Number of attempts so far, including the current one."""

    @property
    def timeout_s(self) -> float:
        """Maximum time to wait for the current attempt, in seconds."""
        remaining_s = self._deadline - self._timer.now()
        return max(0.0, min(remaining_s, self._policy.attempt_timeout_s))

    def wait_for_next(self, has_backoff: bool = True) -> bool:
        """Wait until the next attempt may start.

        Parameters
        ----------
        has_backoff : bool
            Whether to wait before the attempt.

        Returns
        -------
        bool
            Whether another attempt may be made; false if the number of
            attempts or the deadline is exhausted.
        """
        if self.attempt_count >= self._policy.attempts:
            return False
        backoff_s = self._draw_backoff_s() if has_backoff else 0.0
        if self._timer.now() + backoff_s >= self._deadline:
            return False
        self.attempt_count += 1
        if backoff_s:
            self._timer.sleep(backoff_s)
        return True

    def _draw_backoff_s(self) -> float:
        max_backoff_s = min(
            self._policy.first_backoff_s * 2 ** (self.attempt_count - 1),
            self._policy.longest_backoff_s,
        )
        return max_backoff_s * self._rng.uniform(0.5, 1.0)
