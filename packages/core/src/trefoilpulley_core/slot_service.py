"""Service times of a class of work, as seen at one member."""

from __future__ import annotations

import math

INITIAL_SERVICE_S = 0.005
"""Service time assumed before the first is seen, in seconds."""

LOAD_TIME_CONSTANT_S = 5.0
"""Time over which the load of a class is remembered, in seconds."""

MAX_OUTLIER_FACTOR = 4.0
"""Distance from the mean, in careful service times, that one sample may
add at most: a stall of the process says little of the next statement."""

_SMOOTHING = 0.1


class ServiceTime:
    """Mean, spread and load of the service times of one class."""

    __slots__ = (
        '_busy_s',
        '_decayed_at',
        '_loaded_at',
        'deviation_s',
        'mean_s',
    )

    def __init__(self) -> None:
        self.mean_s = INITIAL_SERVICE_S
        """Smoothed service time in seconds."""

        self.deviation_s = 0.0
        """Smoothed distance from the mean, in seconds."""

        self._busy_s = 0.0
        self._loaded_at = 0.0
        self._decayed_at = 0.0

    @property
    def upper_estimate_s(self) -> float:
        """Service time that most work stays below, in seconds."""
        return self.mean_s + self.deviation_s

    @property
    def lower_estimate_s(self) -> float:
        """Service time that most work exceeds, in seconds."""
        return max(0.0, self.mean_s - 2 * self.deviation_s)

    @property
    def _max_error_s(self) -> float:
        return MAX_OUTLIER_FACTOR * max(
            self.upper_estimate_s, INITIAL_SERVICE_S
        )

    def record(self, service_s: float, now: float) -> None:
        """Learn one service time."""
        error_s = min(service_s - self.mean_s, self._max_error_s)
        self.mean_s += _SMOOTHING * error_s
        self.deviation_s += _SMOOTHING * (abs(error_s) - self.deviation_s)
        self._busy_s = self._decayed_s(now) + service_s
        self._loaded_at = max(now, self._loaded_at)

    def decay_estimate(self, now: float) -> None:
        """Let an estimate without new samples return to the initial one.

        Work that is refused for a long service time brings no sample
        that could prove the time shorter again.
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
        """Return the slots that the class has kept busy of late."""
        return self._decayed_s(now) / LOAD_TIME_CONSTANT_S

    def _decayed_s(self, now: float) -> float:
        elapsed_s = max(0.0, now - self._loaded_at)
        return self._busy_s * math.exp(-elapsed_s / LOAD_TIME_CONSTANT_S)
