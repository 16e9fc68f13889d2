"""Monotonic clock of the process."""

from __future__ import annotations

import time

from trefoilpulley_core.clock import Clock


class MonotonicClock(Clock):
    """Clock of the operating system that never goes back."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()
