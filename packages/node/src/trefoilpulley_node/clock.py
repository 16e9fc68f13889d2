"""Clocks that read the time of the operating system."""

from __future__ import annotations

import time

from trefoilpulley_core.clock import Clock


class MonotonicClock(Clock):
    """Clock that never goes backwards."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class BoottimeClock(Clock):
    """Monotonic clock that also counts time while the machine is suspended."""

    def now(self) -> float:
        """Return the time since the machine booted, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
