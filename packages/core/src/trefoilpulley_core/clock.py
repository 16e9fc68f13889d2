"""Interface of the clock, which tests can replace."""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """Monotonic clock."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""
