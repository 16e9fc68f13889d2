"""Pace of the work for a member that has just started or recovered.

Load pattern: a member restarts under full load. It has no measured latency,
so that each host takes it for the fastest of the group and sends it all reads
at once. It also works up to 1.6 times slower for some seconds, and new
connections take its slots first. The pace bounds which part of its reads and
of its statements in flight a host gives to such a member. The part rises with
windows of answers that are in time, and falls with slow answers and refusals.
What is in time is measured at the members of the group that are not paced, by
kind of work. Only answers raise the pace, so that hosts that do not see each
other's work follow the same member.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

START_FRACTION = 0.5
"""Part that a member gets at first.

A member that works 1.6 times slower carries 0.6 of its usual load. With 0.25,
a host of a large deployment has too few answers from the member, and a member
that is well is without its share for some seconds.
"""

MIN_FRACTION = 0.1
"""Least part of a member that is slow; its answers still show a recovery."""

PRIMARY_FRACTION = 0.5
"""Least part of the primary, which alone can do the group's writes."""

INCREASE_FACTOR = 2.0
"""Factor applied to the part after a window of answers in time."""

DECREASE_FACTOR = 0.7
"""Factor applied to the part after a slow window or a refusal."""

SLOW_RATIO = 1.5
"""Duration, relative to the mean of the group, from which an answer is slow.

A window is slow if most of its answers are, and at least `MIN_SLOW_ANSWERS`.
Durations of work vary: half of them are below 0.7 of the mean where they are
exponential.
"""

MIN_SLOW_ANSWERS = 2
"""Slow answers of a slow window.

A host of a large deployment has few answers in a window, and one answer in
five is slow at a member that is well.
"""

WINDOW_LATENCIES = 8.0
"""Length of a window, in mean durations of a statement.

The effect of one step shows in the answers before the next step.
"""

MIN_KNOWN_ANSWERS = 10
"""Answers of other members from which the usual duration is known."""

BASELINE_WEIGHT = 0.05
"""Weight of a new answer in the usual duration."""

OWN_RATIO_WEIGHT = 0.1
"""Weight of a new answer in the latency at the least part."""

DECREASE_INTERVAL_S = 0.1
"""Minimum time between two steps back for refusals, in seconds."""

MAX_NOTICES = 16
"""Steps kept until they are logged."""


class PaceReason(enum.Enum):
    """Why a member is paced."""

    NEW = 'new'
    """The member is new in the group."""

    RESTARTED = 'restarted'
    """The member has a new incarnation."""

    RECOVERED = 'recovered'
    """The member answers after it was unreachable."""

    PROMOTED = 'promoted'
    """The member has become the primary."""


class PaceStep(enum.Enum):
    """Change of a pace."""

    BEGUN = 'begun'
    """The pace begins."""

    SLOWED = 'slowed'
    """Answers were slow."""

    REFUSED = 'refused'
    """The member has refused a statement for load."""

    ENDED = 'ended'
    """Answers in time show that the member carries its fair share."""


@dataclass(frozen=True, slots=True)
class PaceNotice:
    """Step of a pace, to be logged and counted."""

    step: PaceStep
    """What has changed."""

    reason: PaceReason
    """Why the member is paced."""

    fraction: float
    """Part of its fair share that the member gets after the step."""


class GroupBaseline:
    """Usual duration of each kind of work at the members of a group.

    Members that are paced do not count.
    """

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._answers = 0

    @property
    def is_known(self) -> bool:
        """Whether this host has seen enough answers to compare with."""
        return self._answers >= MIN_KNOWN_ANSWERS

    def find_mean_s(self, kind: str) -> float | None:
        """Return the usual duration of a kind in seconds, if known."""
        return self._mean_s.get(kind)

    def record(self, kind: str, duration_s: float) -> None:
        """Record an answer of a member that is not paced."""
        self._answers += 1
        mean_s = self._mean_s.setdefault(kind, duration_s)
        self._mean_s[kind] = mean_s + BASELINE_WEIGHT * (duration_s - mean_s)


class MemberPace:
    """Part of its fair share that one host gives to one member.

    Parameters
    ----------
    baseline : GroupBaseline, optional
        Usual durations of the group; shared by its members.
    find_least : Callable[[], float], optional
        Returns the least part that the group needs from the member at this
        time, from 0 to 1.
    """

    def __init__(
        self,
        baseline: GroupBaseline | None = None,
        find_least: Callable[[], float] | None = None,
    ) -> None:
        self._baseline = baseline or GroupBaseline()
        self._find_least = find_least or (lambda: 0.0)
        self._fraction = 1.0
        self.reason: PaceReason | None = None
        """Why the member is paced; ``None`` if it is not."""

        self._limit: int | None = None
        self._read_credit = 0.0
        self._own_ratio = 1.0
        self._in_time = 0
        self._slow = 0
        self._window_began_at: float | None = None
        self._decreased_at = float('-inf')
        self._notices: deque[PaceNotice] = deque(maxlen=MAX_NOTICES)

    @property
    def fraction(self) -> float:
        """Part of its fair share that the member gets; 1 if not paced."""
        if self.reason is None:
            return 1.0
        return min(1.0, max(self._fraction, self._find_least()))

    def begin(self, reason: PaceReason) -> None:
        """Pace the member from its next work on.

        A host that has just started knows no usual duration and cannot tell
        whether a member is slow. It does not pace.
        """
        if not self._baseline.is_known:
            return
        self.reason = reason
        self._fraction = START_FRACTION
        self._read_credit = 0.0
        self._own_ratio = 1.0
        self._reset_window()
        self._notify(PaceStep.BEGUN)

    def cap(self, limit: int) -> int:
        """Return how many statements may be in flight; at least 1.

        Parameters
        ----------
        limit : int
            Statements that may be in flight at a member that is not paced.
        """
        if self.reason is None:
            return limit
        self._limit = limit
        return min(limit, max(1, int(self.fraction * limit)))

    def admits_read(self, in_flight: int) -> bool:
        """Return whether the member gets the next read that it would get.

        Of these reads, the member gets the part `fraction`, and none that
        would wait on this host.

        Parameters
        ----------
        in_flight : int
            Statements of this host that are in flight at the member.
        """
        is_admitted = self.would_admit_read(in_flight)
        if self.reason is not None and not self._is_full(in_flight):
            self._read_credit += self.fraction
            self._read_credit -= is_admitted
        return is_admitted

    def would_admit_read(self, in_flight: int, refused: int = 0) -> bool:
        """Return what `admits_read` would return, without spending credit.

        Parameters
        ----------
        in_flight : int
            Statements of this host that are in flight at the member.
        refused : int
            Calls before this one that would have returned ``False``.
        """
        if self.reason is None:
            return True
        if self._is_full(in_flight):
            return False
        credit, fraction = self._read_credit, self.fraction
        for _ in range(refused):
            credit += fraction
        return credit + fraction >= 1

    def _is_full(self, in_flight: int) -> bool:
        return self._limit is not None and in_flight >= self.cap(self._limit)

    def on_served(self, kind: str, duration_s: float, now: float) -> None:
        """Record an answer to a statement.

        Parameters
        ----------
        kind : str
            Kind of the work; empty for work without a statement.
        duration_s : float
            Time from the statement to its answer, in seconds.
        now : float
            Current time in seconds.
        """
        if not kind:
            return
        if self.reason is None:
            self._baseline.record(kind, duration_s)
            return
        mean_s = self._baseline.find_mean_s(kind)
        if not mean_s:
            mean_s = duration_s
        ratio = duration_s / mean_s if mean_s else 1.0
        if ratio > SLOW_RATIO * max(1.0, self._own_ratio):
            self._slow += 1
        else:
            self._in_time += 1
        if self._fraction <= MIN_FRACTION:
            # What is slow at the least part is not due to this host's work.
            self._own_ratio += OWN_RATIO_WEIGHT * (ratio - self._own_ratio)
        if self._window_began_at is None:
            self._window_began_at = now - duration_s
        if now - self._window_began_at >= WINDOW_LATENCIES * mean_s:
            self._end_window(now)

    def on_busy(self, now: float) -> None:
        """Record that the member refused a statement for load."""
        # Refusals at about the same time count as one.
        since_s = now - self._decreased_at
        if self.reason is not None and since_s >= DECREASE_INTERVAL_S:
            self._decrease(PaceStep.REFUSED, now)

    def take_notices(self) -> tuple[PaceNotice, ...]:
        """Return the steps since the last call."""
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    def _end_window(self, now: float) -> None:
        if self._slow > self._in_time:
            if self._slow >= MIN_SLOW_ANSWERS:
                self._decrease(PaceStep.SLOWED, now)
            return
        if self._fraction >= 1:
            self._notify(PaceStep.ENDED)
            self.reason = None
        self._fraction = min(1.0, self._fraction * INCREASE_FACTOR)
        self._reset_window(now)

    def _decrease(self, step: PaceStep, now: float) -> None:
        self._decreased_at = now
        self._reset_window(now)
        if self._fraction > MIN_FRACTION:
            reduced = self._fraction * DECREASE_FACTOR
            self._fraction = max(MIN_FRACTION, reduced)
            self._notify(step)

    def _reset_window(self, now: float | None = None) -> None:
        self._window_began_at = now
        self._in_time = self._slow = 0

    def _notify(self, step: PaceStep) -> None:
        self._notices.append(
            PaceNotice(step, self.reason, round(self.fraction, 3))
        )
