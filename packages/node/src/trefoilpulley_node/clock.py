"""Clocks of the process."""

from __future__ import annotations

import time

from trefoilpulley_core.clock import Clock


class MonotonicClock(Clock):
    """Clock of the operating system that never goes back."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()


class BoottimeClock(Clock):
    """Monotonic clock that goes on while the machine is suspended."""

    def now(self) -> float:
        """Return time since the start of the machine in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
