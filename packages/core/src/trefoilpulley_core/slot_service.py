"""Statistics of the service times of a class of work at one member."""

from __future__ import annotations

import math

INITIAL_SERVICE_S = 0.005
"""Service time assumed before the first sample, in seconds."""

LOAD_TIME_CONSTANT_S = 5.0
"""Time constant of the exponential decay of a class's load, in seconds."""

MAX_OUTLIER_FACTOR = 4.0
"""Limit of a sample's deviation, in multiples of the upper estimate.

A stall of the process lengthens one sample but says little about the
next statement.
"""

_SMOOTHING = 0.1
"""Weight of a new sample in the moving averages."""


class ServiceTime:
    """Mean, deviation and load of the service times of one class."""

    __slots__ = (
        '_busy_s',
        '_decayed_at',
        '_loaded_at',
        'deviation_s',
        'mean_s',
    )

    def __init__(self) -> None:
        self.mean_s = INITIAL_SERVICE_S
        """Smoothed service time, in seconds."""

        self.deviation_s = 0.0
        """Smoothed absolute deviation from the mean, in seconds."""

        self._busy_s = 0.0
        self._loaded_at = 0.0
        self._decayed_at = 0.0

    @property
    def upper_estimate_s(self) -> float:
        """Service time that most work does not exceed, in seconds."""
        return self.mean_s + self.deviation_s

    @property
    def lower_estimate_s(self) -> float:
        """Service time that most work needs at least, in seconds."""
        return max(0.0, self.mean_s - 2 * self.deviation_s)

    @property
    def _max_error_s(self) -> float:
        return MAX_OUTLIER_FACTOR * max(
            self.upper_estimate_s, INITIAL_SERVICE_S
        )

    def record(self, service_s: float, now: float) -> None:
        """Add one service time, in seconds."""
        error_s = min(service_s - self.mean_s, self._max_error_s)
        self.mean_s += _SMOOTHING * error_s
        self.deviation_s += _SMOOTHING * (abs(error_s) - self.deviation_s)
        self._busy_s = self._decayed_s(now) + service_s
        self._loaded_at = max(now, self._loaded_at)

    def decay_estimate(self, now: float) -> None:
        """Decay the estimate towards the initial one without new samples.

        Work that is refused because of a long estimate provides no
        sample. Without the decay, the estimate would never fall again.
        """
        idle_s = now - max(self._loaded_at, self._decayed_at)
        if idle_s <= 0:
            return
        remaining = math.exp(-idle_s / LOAD_TIME_CONSTANT_S)
        above_s = max(0.0, self.mean_s - INITIAL_SERVICE_S)
        self.mean_s -= above_s * (1 - remaining)
        self.deviation_s *= remaining
        self._decayed_at = now

    def load(self, now: float) -> float:
        """Return the number of slots that the class has recently used."""
        return self._decayed_s(now) / LOAD_TIME_CONSTANT_S

    def _decayed_s(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._loaded_at)
        return self._busy_s * math.exp(-elapsed_s / LOAD_TIME_CONSTANT_S)
