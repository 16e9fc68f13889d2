"""Time as the decisions see it."""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""
