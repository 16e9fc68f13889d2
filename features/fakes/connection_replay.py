"""Replay of a load against the connections of one pool, in virtual time.

The pool's decisions are those of the core. The slots of the member are not
modelled: a connection is in use for the time of the work, and for the time of
a dial before that if it is new.
"""

from __future__ import annotations

from dataclasses import dataclass
import heapq
import math
import random
from typing import TYPE_CHECKING

from features.fakes.connection_requests import make_request
from trefoilpulley_core.direct.connection_share import ConnectionShare
from trefoilpulley_core.direct.connection_share import EXCESS_IDLE_TIMEOUT_S
from trefoilpulley_core.direct.customer_connections import CustomerConnections

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

DIAL_S = 0.012
"""Time for which a new connection occupies a slot, in seconds."""

TRIM_INTERVAL_S = 0.25
"""Time between two runs of a host's maintenance, in seconds."""


@dataclass
class ReplayedConnection:
    """Connection of the replay."""

    customer: str
    """Customer that it belongs to."""

    since: float
    """Time of the last acquisition or release, in seconds."""


@dataclass(frozen=True)
class Arrival:
    """One piece of work."""

    at: float
    """Time in seconds."""

    customer: str
    """Customer; empty for none."""

    hold_s: float
    """Time for which the work needs a connection, in seconds."""

    host: int
    """Number of the host that the caller asked."""


class ReplayedPool:
    """Connections of one host to one member."""

    def __init__(self, share: ConnectionShare) -> None:
        self.opened = 0
        """Connections that were opened."""

        self.waits: dict[str, list[float]] = {}
        """Times without a connection, dials included, in seconds."""

        self._share = share
        self._connections: CustomerConnections[ReplayedConnection] = (
            CustomerConnections()
        )
        self._queue: list[Arrival] = []
        self._ends: list[tuple[float, int, ReplayedConnection]] = []
        self._trimmed_at = 0.0

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return self._connections.open_count

    def run(self, arrivals: Sequence[Arrival]) -> ReplayedPool:
        """Replay all arrivals in their order."""
        for arrival in arrivals:
            self._advance(arrival.at)
            self._queue.append(arrival)
            self._serve(arrival.at)
        return self

    def _advance(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, conn = heapq.heappop(self._ends)
            self._trim(at)
            self._connections.on_used(conn.customer, at)
            conn.since = at
            self._connections.add_idle(conn)
            self._serve(at)
        self._trim(now)

    def _serve(self, now: float) -> None:
        for arrival in list(self._queue):
            work = make_request(0, math.inf, customer=arrival.customer)
            conn = self._connections.take(work)
            dial_s = 0.0
            if conn is None:
                plan = self._connections.plan_dial(work, self._share, 0, now)
                if plan is None:
                    continue
                if plan.evicted is not None:
                    self._connections.remove_idle(plan.evicted)
                    self._connections.on_closed(plan.evicted.customer)
                conn = ReplayedConnection(arrival.customer, now)
                self._connections.on_opening(arrival.customer)
                self.opened += 1
                dial_s = DIAL_S
            self._connections.on_used(arrival.customer, now)
            self._queue.remove(arrival)
            wait_s = now - arrival.at + dial_s
            self.waits.setdefault(arrival.customer, []).append(wait_s)
            end = now + dial_s + arrival.hold_s
            heapq.heappush(self._ends, (end, id(conn), conn))

    def _trim(self, now: float) -> None:
        if now - self._trimmed_at < TRIM_INTERVAL_S:
            return
        self._trimmed_at = now
        kept = self._share.count_kept(self._connections.count_needed(now), now)
        while self._connections.has_idle and self.open_count > kept:
            conn = self._connections.oldest_idle
            if now - conn.since < EXCESS_IDLE_TIMEOUT_S:
                return
            self._connections.remove_idle(conn)
            self._connections.on_closed(conn.customer)


def make_arrivals(
    seed: int,
    duration_s: float,
    rate_per_s: float,
    mean_hold_s: float,
    customers: Sequence[str] = ('',),
    wave: float = 0.55,
    period_s: float = 13.0,
    hosts: int = 86,
) -> Iterator[Arrival]:
    """Yield Poisson arrivals whose rate varies in waves.

    The sizes of the customers follow Zipf's law with the exponent 1.2.
    """
    rng = random.Random(seed)
    weights = [1 / (n + 1) ** 1.2 for n in range(len(customers))]
    at = 0.0
    while True:
        at += rng.expovariate(rate_per_s * (1 + wave))
        if at >= duration_s:
            return
        rate = 1 + wave * math.sin(2 * math.pi * at / period_s)
        if rng.random() * (1 + wave) < rate:
            customer = rng.choices(customers, weights)[0]
            hold_s = rng.expovariate(1 / mean_hold_s)
            yield Arrival(at, customer, hold_s, rng.randrange(hosts))
