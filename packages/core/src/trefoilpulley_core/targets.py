"""Results of the classes of work against their promptness targets."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from trefoilpulley_core.declarations import WorkKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_core.declarations import WorkClass

WINDOW_S = 30.0
"""Length of the sliding window for shares and quantiles, in seconds."""

_BUCKET_S = 1.0
"""Length of one bucket of the window, in seconds."""

_MIN_BUDGET_ANSWERS = 100
"""Number of answers that the budget of late answers is based on at least."""

_MAX_TIME_US = 120_000_000
"""Longest response time that is recorded, in microseconds."""

_SIGNIFICANT_DIGITS = 2
"""Precision of the recorded response times, in decimal digits."""


@dataclass(frozen=True, slots=True, order=True)
class ClassPriority:
    """Priority of a class of work; the greater is served first.

    Writes that may run only once precede work that the caller may
    repeat. Otherwise the class with the higher target share precedes.
    """

    is_unrepeatable_write: bool = False
    """Whether the class writes and may not be repeated."""

    share: float = 0.0
    """Target share of the answers in time."""


@dataclass(frozen=True, slots=True)
class ClassReport:
    """Results of one class of work against its promptness target."""

    work_class: str
    """Name of the class."""

    within_ms: int
    """Time limit for an answer, in milliseconds."""

    target_share: float
    """Share of the answers that must be in time."""

    share: float
    """Share of the answers that were in time; 1 where there was none."""

    count: int
    """Answers and refusals in the window."""

    refused: int
    """Refusals in the window; each counts as a late answer."""

    p50_ms: float
    """Median response time, in milliseconds."""

    p99_ms: float
    """99th percentile of the response time, in milliseconds."""

    danger: float
    """Share of the allowed late answers that is used up, at most 1."""

    @property
    def is_met(self) -> bool:
        """Whether the class meets its target."""
        return self.share >= self.target_share


class ClassTargets:
    """Counts answers and late answers of each class in a sliding window."""

    def __init__(self) -> None:
        self._classes: dict[str, _ClassWindow] = {}
        self.declared: tuple[WorkClass, ...] = ()
        """Declared classes of work."""

    def declare(self, classes: Sequence[WorkClass]) -> None:
        """Set the declared classes and keep the counts of existing classes."""
        previous_windows = self._classes
        self.declared = tuple(classes)
        self._classes = {}
        for work_class in classes:
            window = previous_windows.get(work_class.name) or _ClassWindow()
            window.work_class = work_class
            self._classes[work_class.name] = window

    def record(self, work_class: str, elapsed_s: float, now: float) -> None:
        """Count an answer and its response time, in seconds."""
        window = self._classes.get(work_class)
        if window is None:
            return
        is_in_time = elapsed_s * 1000 <= window.within_ms
        window.count(now, is_in_time)
        window.record_time(elapsed_s, now)

    def record_refusal(self, work_class: str, now: float) -> None:
        """Count a refusal for lack of capacity or of a usable member."""
        window = self._classes.get(work_class)
        if window is not None:
            window.count_refusal(now)

    def record_outcome(
        self, work_class: str, is_in_time: bool, now: float
    ) -> None:
        """Count an answer without its response time."""
        window = self._classes.get(work_class)
        if window is not None:
            window.count(now, is_in_time)

    def danger(self, work_class: str, now: float) -> float:
        """Return the share of the allowed late answers that is used up.

        Returns
        -------
        float
            0 where no answer was late, 1 where the target is missed.
        """
        window = self._classes.get(work_class)
        return window.danger(now) if window else 0.0

    def priority(self, work_class: str) -> ClassPriority:
        """Return the priority of a class."""
        window = self._classes.get(work_class)
        return window.priority if window else ClassPriority()

    def within_s(self, work_class: str) -> float:
        """Return the promptness target of a class, in seconds."""
        window = self._classes.get(work_class)
        return window.within_ms / 1000 if window else 0.0

    def snapshot(self, now: float) -> tuple[ClassReport, ...]:
        """Return the results of every class."""
        return tuple(w.report(now) for w in self._classes.values())


class _Bucket:
    """Counts of one second of the window."""

    __slots__ = ('in_time', 'refused', 'started_at', 'total')

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.total = 0
        self.in_time = 0
        self.refused = 0


class _ClassWindow:
    """Sliding window of the results of one class."""

    work_class: WorkClass

    def __init__(self) -> None:
        self._buckets: deque[_Bucket] = deque()
        self._total = 0
        self._in_time = 0
        self._refused = 0
        self._times: HdrHistogram | None = None
        self._earlier_times: HdrHistogram | None = None
        self._times_since = 0.0

    @property
    def within_ms(self) -> int:
        return self.work_class.promptness.within_ms

    @property
    def priority(self) -> ClassPriority:
        work_class = self.work_class
        is_write = work_class.work is WorkKind.WRITE
        is_unrepeatable_write = (
            is_write and not work_class.safety.is_repeatable
        )
        return ClassPriority(
            is_unrepeatable_write, work_class.promptness.share
        )

    def count(self, now: float, is_in_time: bool) -> None:
        bucket = self._bucket_at(now)
        bucket.total += 1
        self._total += 1
        if is_in_time:
            bucket.in_time += 1
            self._in_time += 1

    def count_refusal(self, now: float) -> None:
        self.count(now, is_in_time=False)
        self._buckets[-1].refused += 1
        self._refused += 1

    def record_time(self, elapsed_s: float, now: float) -> None:
        self._rotate_times(now)
        if self._times is None:
            self._times = _new_histogram()
        elapsed_us = max(1, min(_MAX_TIME_US, int(elapsed_s * 1e6)))
        self._times.record_value(elapsed_us)

    def danger(self, now: float) -> float:
        self._drop_old_buckets(now)
        late = self._total - self._in_time
        if not late:
            return 0.0
        allowed = 1 - self.work_class.promptness.share
        budget = allowed * max(self._total, _MIN_BUDGET_ANSWERS)
        return min(1.0, late / budget) if budget > 0 else 1.0

    def report(self, now: float) -> ClassReport:
        self._rotate_times(now)
        danger = self.danger(now)
        return ClassReport(
            self.work_class.name,
            self.within_ms,
            self.work_class.promptness.share,
            self._in_time / self._total if self._total else 1.0,
            self._total,
            self._refused,
            self._quantile_ms(50),
            self._quantile_ms(99),
            danger,
        )

    def _quantile_ms(self, percentile: float) -> float:
        merged = _new_histogram()
        for times in (self._earlier_times, self._times):
            if times is not None:
                merged.add(times)
        return merged.get_value_at_percentile(percentile) / 1000

    def _bucket_at(self, now: float) -> _Bucket:
        self._drop_old_buckets(now)
        if self._buckets:
            newest = self._buckets[-1]
            if now - newest.started_at < _BUCKET_S:
                return newest
        self._buckets.append(_Bucket(now))
        return self._buckets[-1]

    def _drop_old_buckets(self, now: float) -> None:
        buckets = self._buckets
        while buckets and now - buckets[0].started_at > WINDOW_S:
            oldest = buckets.popleft()
            self._total -= oldest.total
            self._in_time -= oldest.in_time
            self._refused -= oldest.refused

    def _rotate_times(self, now: float) -> None:
        if now - self._times_since < WINDOW_S:
            return
        is_gap = now - self._times_since >= 2 * WINDOW_S
        self._earlier_times = None if is_gap else self._times
        self._times = None
        self._times_since = now


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_TIME_US, _SIGNIFICANT_DIGITS)
