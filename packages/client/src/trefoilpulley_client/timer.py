"""Time as the client sees it."""

from __future__ import annotations

import abc
import time

from trefoilpulley_core.clock import Clock


class Timer(Clock):
    """Monotonic time that can be waited for."""

    @abc.abstractmethod
    def sleep(self, seconds: float) -> None:
        """Wait."""


class SystemTimer(Timer):
    """Time of the system."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Wait."""
        time.sleep(seconds)
