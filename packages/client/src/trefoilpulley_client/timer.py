"""Clock and sleep function of the client."""

from __future__ import annotations

import abc
import time

from trefoilpulley_core.clock import Clock


class Timer(Clock):
    """Monotonic clock that can also sleep."""

    @abc.abstractmethod
    def sleep(self, seconds: float) -> None:
        """Block the calling thread for a number of seconds."""


class SystemTimer(Timer):
    """Timer that uses the system's monotonic clock."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for a number of seconds."""
        time.sleep(seconds)
