"""Concurrency limit of one host's statements at a member.

Load pattern: the replicas of a group lag far behind, and all reads of the
group go to the primary, which is overloaded. The queue at the primary fills
up. Statements then wait in this queue for longer than they run, transactions
are refused in the middle, and high-priority statements wait behind others.
The limit moves the queue to the hosts. A host serves its queue by priority,
immediately refuses statements that would miss their deadline, and does not
delay transactions that have begun.

A second load pattern: statements take 33 or 55 ms on the mean and up to 410
ms. A fixed bound of the latency takes such statements for a queue, and the
limit falls although the member has free slots. The latency is therefore
compared with the member's own latency without a queue, by kind of work.
"""

from __future__ import annotations

from trefoilpulley_core.direct.own_latency import OwnLatency

MIN_LIMIT = 1.0
"""Statements that a host may always have in flight at a member."""

DECREASE_FACTOR = 0.7
"""Factor applied to the limit when the member refuses a statement for load."""

MIN_DECREASE_INTERVAL_S = 0.1
"""Minimum time between two decreases of the limit, in seconds.

A full queue refuses several statements at about the same time. These refusals
count as one.
"""

INCREASE_PER_FULL_LIMIT = 0.1
"""Increase of the limit after as many served statements as the limit allows.

The increase is slow because an overload of the member becomes visible only
after a delay.
"""

QUEUE_DELAY_S = 0.05
"""Mean queueing time at the member that lowers the limit, in seconds."""

MIN_RISE_DELAY_S = 5.0
"""Time after a refusal before the own latency may rise, in seconds."""

VARIATION_FACTOR = 1.5
"""Own latency that does not count as a queue, as a multiple of its estimate.

The mean of the recent statements varies by about a quarter when their
durations are exponential, and the estimate is a low one of several means.
"""


class ConcurrencyLimit:
    """Adaptive limit: additive increase and multiplicative decrease.

    The limit increases while the member's latency is low, and decreases
    when the latency indicates a queue or the member refuses a statement.
    """

    def __init__(self) -> None:
        self._max_limit = MIN_LIMIT
        self._limit: float | None = None
        self._decreased_at = float('-inf')
        self._refused_at = float('-inf')
        self._latency = OwnLatency()

    @property
    def value(self) -> int:
        """Number of statements that may be in flight at the member."""
        return int(self._max_limit if self._limit is None else self._limit)

    @property
    def is_reduced(self) -> bool:
        """Whether the member has had a queue or refused a statement."""
        return self._limit is not None

    def update(self, max_limit: int) -> None:
        """Set the upper bound: the maximum number of connections."""
        self._max_limit = max(MIN_LIMIT, float(max_limit))
        if self._limit is not None:
            self._limit = min(self._limit, self._max_limit)

    def record_latency(self, latency_s: float, kind: str, now: float) -> None:
        """Record the latency of a statement, before ``on_served``.

        Parameters
        ----------
        latency_s : float
            Time from sending the statement to its reply, in seconds.
        kind : str
            Kind of the work: the database name of its route.
        now : float
            Current time in seconds.
        """
        is_rise_allowed = now - self._refused_at >= MIN_RISE_DELAY_S
        self._latency.record(latency_s, kind, now, is_rise_allowed)

    def on_served(self, now: float) -> None:
        """Adjust the limit after the member answered a request.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        own_s = self._latency.own_s
        if (
            self._latency.recent_s(now)
            > VARIATION_FACTOR * own_s + QUEUE_DELAY_S
        ):
            self._decrease(self._limit or self._max_limit, now)
        elif self._limit is not None:
            self._limit += INCREASE_PER_FULL_LIMIT / self._limit
            if self._limit >= self._max_limit:
                self._limit = None

    def on_busy(self, in_flight: int, now: float) -> None:
        """Decrease the limit after the member refused a statement for load.

        Parameters
        ----------
        in_flight : int
            Statements of this host that were in flight at the member.
        now : float
            Current time in seconds.
        """
        self._refused_at = now
        in_flight_count = float(max(1, in_flight))
        self._decrease(
            min(self._limit or self._max_limit, in_flight_count), now
        )

    def _decrease(self, limit: float, now: float) -> None:
        if now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._limit = max(MIN_LIMIT, limit * DECREASE_FACTOR)
