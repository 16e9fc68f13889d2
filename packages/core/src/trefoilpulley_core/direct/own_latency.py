"""A member's latency without a queue, compared with its recent latency.

Load pattern: a member serves kinds of work whose mean duration differs by a
factor of ten, and the mix varies. A queue at the member adds to the latency of
every kind. Each kind is therefore compared with itself: with the lowest mean
of a window of its statements, which rises slowly to later means.
"""

from __future__ import annotations

from collections import OrderedDict

INITIAL_OWN_S = 0.025
"""Latency without a queue that is assumed for a new kind, in seconds."""

WINDOW_LENGTH = 30
"""Statements of one kind in a window.

The mean of 30 exponential durations varies by 18 %.
"""

RISE_HALF_LIFE_S = 60.0
"""Half-life of the distance to a higher mean, in seconds.

Longer than an overload. Work that has become slower for good is no longer
taken for a queue after some tens of seconds.
"""

RECENT_WEIGHT = 0.1
"""Weight of a new statement in the recent means."""

RECENT_HALF_LIFE_S = 2.0
"""Half-life of a recent queue while no statement is served, in seconds."""

MAX_KINDS = 64
"""Kinds of work whose latency is kept; the most recently used."""


class OwnLatency:
    """Recent latency of a member, and its latency without a queue."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _KindLatency] = OrderedDict()
        self._recent_s = INITIAL_OWN_S
        self._recorded_at = float('-inf')
        self.own_s = INITIAL_OWN_S
        """Latency of the recent mix without a queue, in seconds."""

    def record(
        self, latency_s: float, kind: str, now: float, is_rise_allowed: bool
    ) -> None:
        """Record the latency of a statement.

        Parameters
        ----------
        latency_s : float
            Time from sending the statement to its reply, in seconds.
        kind : str
            Kind of the work.
        now : float
            Current time in seconds.
        is_rise_allowed : bool
            Whether the latency without a queue may rise. During an overload
            it would adopt the queue.
        """
        latency = self._kinds.pop(kind, None) or _KindLatency(now)
        self._kinds[kind] = latency
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        latency.record(latency_s, now, is_rise_allowed)
        self._recent_s = self.recent_s(now)
        self._recorded_at = now
        self.own_s += RECENT_WEIGHT * (latency.own_s - self.own_s)
        self._recent_s += RECENT_WEIGHT * (latency_s - self._recent_s)

    def recent_s(self, now: float) -> float:
        """Return the recent mean latency, in seconds.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        age_s = max(0.0, now - self._recorded_at)
        decay = 0.5 ** (age_s / RECENT_HALF_LIFE_S)
        return self.own_s + decay * (self._recent_s - self.own_s)


class _KindLatency:
    """Latency of one kind of work without a queue."""

    def __init__(self, now: float) -> None:
        self.own_s = INITIAL_OWN_S
        self._sum_s = 0.0
        self._count = 0
        self._ended_at = now

    def record(
        self, latency_s: float, now: float, is_rise_allowed: bool
    ) -> None:
        self._sum_s += latency_s
        self._count += 1
        if self._count < WINDOW_LENGTH:
            return
        mean_s = self._sum_s / self._count
        if mean_s < self.own_s:
            self.own_s = mean_s
        elif is_rise_allowed:
            part = 1 - 0.5 ** ((now - self._ended_at) / RISE_HALF_LIFE_S)
            self.own_s += part * (mean_s - self.own_s)
        self._sum_s = 0.0
        self._count = 0
        self._ended_at = now
