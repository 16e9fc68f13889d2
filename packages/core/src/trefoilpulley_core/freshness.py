"""Upper bound of the age of a replica's data."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

from trefoilpulley_core.position import BEGINNING

if TYPE_CHECKING:
    from trefoilpulley_core.position import Position

MAX_SAMPLES = 256
"""Positions of the primary that are kept to determine a replica's age."""

_LAG_SMOOTHING = 0.2
"""Weight of a new measurement in the moving average of the lag."""

_MIN_RECORDS_BETWEEN_SAMPLES = 5
"""Number of records between two samples that interpolation needs."""

_AGE_DECIMALS = 3
"""Decimals of an age in milliseconds that are kept before rounding up."""


@dataclass(frozen=True, slots=True)
class _PrimarySample:
    """Position that the primary had not exceeded at ``sent_at``."""

    sent_at: float
    position: Position
    first_sent_at: float
    """Time at which the first probe with the same position was sent."""


class AgeTracker:
    """Determines the age of a replica's data from probes of its primary.

    A probe that returns a position proves that the primary held no later
    record when the probe was sent. A replica that has reached the
    position thus has all records that the primary held at that time.

    A primary that was replaced during a network partition would yield a
    wrong age. A sample is therefore used only once a status request,
    sent to the replica after the probe, shows that the replica is not
    fenced above the primary's term. In a group of three, primary and
    replica then form a majority that no promotion had fenced when the
    probe was sent.
    """

    def __init__(self) -> None:
        self._samples: deque[_PrimarySample] = deque()
        self._last_reached: _PrimarySample | None = None
        self._position = BEGINNING
        self._asked_at: float | None = None
        self._lag_s = 0.0

    def on_primary_probe(self, sent_at: float, position: Position) -> None:
        """Process the primary's answer to a probe.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the probe was sent, in seconds.
        position : Position
            End of the primary's log, in the primary's term.
        """
        samples = self._samples
        newest = samples[-1] if samples else self._last_reached
        if newest and _is_outdated(sent_at, position, newest):
            return
        first_sent_at = sent_at
        if samples and samples[-1].position == position:
            first_sent_at = samples.pop().first_sent_at
        samples.append(_PrimarySample(sent_at, position, first_sent_at))
        if len(samples) > MAX_SAMPLES:
            self._drop_alternate_samples()

    def on_replica_status(
        self, position: Position, asked_at: float, fenced_term: int = 0
    ) -> None:
        """Process the replica's answer to a status request.

        Parameters
        ----------
        position : Position
            End of the replica's log. A rebuild of the replica may lower the
            position.
        asked_at : float
            Monotonic time at which the request was sent, in seconds.
        fenced_term : int
            Lowest term that the replica still accepts.
        """
        if position < self._position:
            self.reset()
        self._position = position
        self._drop_fenced(fenced_term)
        self._learn_lag_by_interpolation(position, asked_at)
        while self._samples and self._is_reached(self._samples[0], asked_at):
            self._learn_lag_of_sample(self._samples[0], asked_at)
            self._last_reached = self._samples.popleft()
        self._asked_at = asked_at

    def reset(self) -> None:
        """Discard all samples; the age is unknown until the next probe."""
        self._samples.clear()
        self._last_reached = None
        self._position = BEGINNING
        self._asked_at = None

    def age_ms(self, now: float) -> int | None:
        """Return the upper bound of the age of the replica's data.

        Returns
        -------
        int | None
            Age in milliseconds, or ``None`` where it is unknown.
        """
        if self._last_reached is None:
            return None
        age_ms = round(
            (now - self._last_reached.sent_at) * 1000, _AGE_DECIMALS
        )
        return max(0, math.ceil(age_ms))

    def lag_ms(self) -> int:
        """Return the replication lag of the replica, in milliseconds.

        If the replica had not reached a sample at its last answer, the
        lag is at least the time since that sample was taken.
        """
        lag_s = self._lag_s
        overdue = self._first_overdue()
        if overdue and self._asked_at is not None:
            lag_s = max(lag_s, self._asked_at - overdue.first_sent_at)
        return math.ceil(lag_s * 1000)

    def _is_reached(self, sample: _PrimarySample, asked_at: float) -> bool:
        if sample.sent_at > asked_at:
            return False
        return sample.position <= self._position

    def _first_overdue(self) -> _PrimarySample | None:
        """Return the oldest sample that the replica has not reached."""
        if not self._samples or self._samples[0].position <= self._position:
            return None
        return self._samples[0]

    def _drop_fenced(self, fenced_term: int) -> None:
        samples = self._samples
        while samples and samples[0].position.term < fenced_term:
            samples.popleft()

    def _learn_lag_by_interpolation(
        self, position: Position, asked_at: float
    ) -> None:
        """Update the lag from the time at which the primary had the position.

        The time is interpolated between the samples before and after
        the replica's position.
        """
        before = self._last_reached
        for sample in self._samples:
            if sample.position > position:
                break
            before = sample
        else:
            return
        if before is None or not _can_interpolate(before, sample):
            return
        span = sample.position.index - before.position.index
        fraction = (position.index - before.position.index) / span
        reached_at = before.sent_at + fraction * (
            sample.sent_at - before.sent_at
        )
        self._update_lag(asked_at - reached_at)

    def _learn_lag_of_sample(
        self, sample: _PrimarySample, asked_at: float
    ) -> None:
        """Update the lag from the time a sample took to be replicated."""
        if self._last_reached is None or _can_interpolate(
            self._last_reached, sample
        ):
            return
        if sample.position == self._last_reached.position:
            return
        due_at = sample.first_sent_at
        middle = (max(self._asked_at, due_at) + asked_at) / 2
        self._update_lag(middle - due_at)

    def _update_lag(self, lag_s: float) -> None:
        self._lag_s += _LAG_SMOOTHING * (max(0.0, lag_s) - self._lag_s)

    def _drop_alternate_samples(self) -> None:
        """Drop every other sample; the age can only become larger."""
        newest = self._samples[-1]
        kept = list(self._samples)[:-1:2]
        self._samples = deque([*kept, newest])


def _is_outdated(
    sent_at: float, position: Position, newest: _PrimarySample
) -> bool:
    """Return whether a probe is older than the newest sample."""
    if position.term < newest.position.term:
        return True
    return sent_at <= newest.sent_at


def _can_interpolate(before: _PrimarySample, after: _PrimarySample) -> bool:
    """Return whether enough records lie between two samples."""
    if before.position.term != after.position.term:
        return False
    return (
        after.position.index - before.position.index
        >= _MIN_RECORDS_BETWEEN_SAMPLES
    )
