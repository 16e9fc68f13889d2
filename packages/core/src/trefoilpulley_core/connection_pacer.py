"""Rate limit of new connections to one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

OPENS_PER_S = 20.0
"""Sustained rate of new connections, per second."""

MAX_BURST_OPENS = 4.0
"""Connections that may be opened in a burst after an idle period."""

MAX_CONCURRENT_OPENS = 2
"""Connections that may be opened concurrently."""

JITTER_FACTOR = 0.5
"""Largest random extension of a pause, as a fraction of the pause."""


class ConnectionRateLimiter:
    """Limits new connections by a token bucket with jitter.

    Parameters
    ----------
    rng : random.Random
        Random generator for the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = MAX_BURST_OPENS
        self._refilled_at: float | None = None
        self._opening = 0

    @property
    def opening(self) -> int:
        """Number of connections that are being opened."""
        return self._opening

    def try_open(self, now: float) -> float:
        """Reserve one new connection, or return the pause before a retry.

        Returns
        -------
        float
            0 if the connection may be opened now; the caller must then
            call `on_opened` at the end of the attempt. Otherwise the
            pause in seconds.
        """
        self._refill(now)
        if self._opening < MAX_CONCURRENT_OPENS and self._tokens >= 1:
            self._tokens -= 1
            self._opening += 1
            return 0.0
        missing_tokens = max(1 - self._tokens, 0.5)
        pause_s = missing_tokens / OPENS_PER_S
        return pause_s * (1 + JITTER_FACTOR * self._rng.random())

    def on_opened(self) -> None:
        """Record that a connection was opened or has failed."""
        self._opening = max(0, self._opening - 1)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            added_tokens = (now - self._refilled_at) * OPENS_PER_S
            self._tokens = min(
                MAX_BURST_OPENS, self._tokens + max(0.0, added_tokens)
            )
        self._refilled_at = now
