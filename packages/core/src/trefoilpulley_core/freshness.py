"""Age of a replica's data, taken on the careful side."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

from trefoilpulley_core.position import BEGINNING

if TYPE_CHECKING:
    from trefoilpulley_core.position import Position

MARK_LIMIT = 256
"""Positions of the primary that are kept to date a replica."""

_LAG_SMOOTHING = 0.2
_DENSE_RECORDS = 5
_DECIMALS = 3


@dataclass(frozen=True, slots=True)
class _Mark:
    """The primary held at most ``position`` at ``sent_at``."""

    sent_at: float
    position: Position
    first_sent_at: float
    """When the first probe left that brought the same position."""


class AgeTracker:
    """Dates a replica's position by probes of its primary.

    A probe that left at a time and brought a position shows that the
    primary held no later record at that time. A replica that holds the
    position has all that the primary held when the probe left.

    A primary that was replaced behind a network partition would date
    its replica falsely. A mark counts only once the replica, asked
    after the probe left, is not fenced above the primary's term: in a
    group of three, primary and replica are then a majority that no
    promotion had fenced when the probe left.
    """

    def __init__(self) -> None:
        self._marks: deque[_Mark] = deque()
        self._passed: _Mark | None = None
        self._position = BEGINNING
        self._asked_at: float | None = None
        self._lag_s = 0.0

    def on_probe(self, sent_at: float, position: Position) -> None:
        """Take the primary's answer to a probe.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the probe left, in seconds.
        position : Position
            End of the primary's log; its term is the one it leads.
        """
        marks = self._marks
        newest = marks[-1] if marks else self._passed
        if newest and _is_outdated(sent_at, position, newest):
            return
        first_sent_at = sent_at
        if marks and marks[-1].position == position:
            first_sent_at = marks.pop().first_sent_at
        marks.append(_Mark(sent_at, position, first_sent_at))
        if len(marks) > MARK_LIMIT:
            self._thin_out()

    def on_replica(
        self, position: Position, asked_at: float, fenced_term: int = 0
    ) -> None:
        """Take the replica's answer to a status request.

        Parameters
        ----------
        position : Position
            End of the replica's log; less than before after a rebuild.
        asked_at : float
            Monotonic time at which the request left, in seconds.
        fenced_term : int
            Lowest term that the replica still accepts.
        """
        if position < self._position:
            self.reset()
        self._position = position
        self._drop_fenced(fenced_term)
        self._learn_dense_lag(position, asked_at)
        while self._marks and self._is_reached(self._marks[0], asked_at):
            self._learn_sparse_lag(self._marks[0], asked_at)
            self._passed = self._marks.popleft()
        self._asked_at = asked_at

    def reset(self) -> None:
        """Forget all; the age is unknown until the next probe."""
        self._marks.clear()
        self._passed = None
        self._position = BEGINNING
        self._asked_at = None

    def age_ms(self, now: float) -> int | None:
        """Return the greatest age of the replica's data.

        Returns
        -------
        int | None
            Age in milliseconds, or ``None`` where nothing dates it.
        """
        if self._passed is None:
            return None
        age_ms = round((now - self._passed.sent_at) * 1000, _DECIMALS)
        return max(0, math.ceil(age_ms))

    def lag_ms(self) -> int:
        """Return the time that the replica takes to follow its primary.

        A position that the replica was still without when last asked
        counts for as long as it had been due.
        """
        lag_s = self._lag_s
        overdue = self._first_overdue()
        if overdue and self._asked_at is not None:
            lag_s = max(lag_s, self._asked_at - overdue.first_sent_at)
        return math.ceil(lag_s * 1000)

    def _is_reached(self, mark: _Mark, asked_at: float) -> bool:
        if mark.sent_at > asked_at:
            return False
        return mark.position <= self._position

    def _first_overdue(self) -> _Mark | None:
        """Return the oldest mark that the replica was seen without."""
        if not self._marks or self._marks[0].position <= self._position:
            return None
        return self._marks[0]

    def _drop_fenced(self, fenced_term: int) -> None:
        marks = self._marks
        while marks and marks[0].position.term < fenced_term:
            marks.popleft()

    def _learn_dense_lag(self, position: Position, asked_at: float) -> None:
        """Learn from when the primary passed the replica's position."""
        before = self._passed
        for mark in self._marks:
            if mark.position > position:
                break
            before = mark
        else:
            return
        if before is None or not _is_dense(before, mark):
            return
        span = mark.position.index - before.position.index
        part = (position.index - before.position.index) / span
        passed_at = before.sent_at + part * (mark.sent_at - before.sent_at)
        self._smooth_lag(asked_at - passed_at)

    def _learn_sparse_lag(self, mark: _Mark, asked_at: float) -> None:
        """Learn from how long a single record took to arrive."""
        if self._passed is None or _is_dense(self._passed, mark):
            return
        if mark.position == self._passed.position:
            return
        due_at = mark.first_sent_at
        middle = (max(self._asked_at, due_at) + asked_at) / 2
        self._smooth_lag(middle - due_at)

    def _smooth_lag(self, lag_s: float) -> None:
        self._lag_s += _LAG_SMOOTHING * (max(0.0, lag_s) - self._lag_s)

    def _thin_out(self) -> None:
        """Drop every other mark; the age only grows by that."""
        newest = self._marks[-1]
        kept = list(self._marks)[:-1:2]
        self._marks = deque([*kept, newest])


def _is_outdated(sent_at: float, position: Position, newest: _Mark) -> bool:
    """Return whether a probe tells less than an earlier one."""
    if position.term < newest.position.term:
        return True
    return sent_at <= newest.sent_at


def _is_dense(before: _Mark, after: _Mark) -> bool:
    """Return whether enough records lie between two marks."""
    if before.position.term != after.position.term:
        return False
    return after.position.index - before.position.index >= _DENSE_RECORDS
