"""Keeps the age of pooled replicas known."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.peer import Digests
from trefoilpulley_core.peer import GetDigest

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.peer import MemberDigest
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.pooler.pooled_member import PooledMember

AGE_SHARE = 0.25
"""Time between probes as a share of the smallest age that reads state."""

LEAST_INTERVAL_S = 0.05
"""Shortest time between probes."""

IDLE_INTERVAL_S = 1.0
"""Time between probes while no read states an age; the longest."""

USE_MEMORY_S = 10.0
"""Time for which a stated age sets the pace."""

PROBE_TIMEOUT_S = 0.5
"""Longest wait for a probe."""


class AgeProber:
    """Asks the primary's pooler for its position, stamped before asking.

    Parameters
    ----------
    member : PooledMember
        Replica whose age is kept.
    find_database : Callable[[str], DatabaseEntry | None]
        Database by its name.
    peers : Peers
        Reaches the poolers.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        member: PooledMember,
        find_database: Callable[[str], DatabaseEntry | None],
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._member = member
        self._find_database = find_database
        self._peers = peers
        self._clock = clock
        self._primary = ''
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to probe."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the probes."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._interval_s())
            if not self._member.is_primary:
                self._probe()
                self._ask_replica()

    def _interval_s(self) -> float:
        wanted = self._member.wanted_age
        if self._clock.now() - wanted.stated_at > USE_MEMORY_S:
            return IDLE_INTERVAL_S
        interval_s = AGE_SHARE * wanted.max_age_ms / 1000
        return min(IDLE_INTERVAL_S, max(LEAST_INTERVAL_S, interval_s))

    def _probe(self) -> None:
        if self._primary and self._probe_member(self._primary):
            return
        entry = self._find_database(self._member.database)
        if entry is None:
            return
        for other in entry.members:
            if other.name == self._member.entry.name:
                continue
            if self._probe_member(other.name):
                self._primary = other.name
                return
        self._primary = ''

    def _ask_replica(self) -> None:
        asked_at = self._clock.now()
        status = self._member.monitor.control(lambda link: link.status())
        if isinstance(status, Success):
            found = status.unwrap()
            self._member.age.on_replica_status(
                found.history.last, asked_at, found.fenced_term
            )

    def _probe_member(self, name: str) -> bool:
        sent_at = self._clock.now()
        reply = self._peers.call_pooler(
            name, GetDigest((name,)), PROBE_TIMEOUT_S
        )
        if not isinstance(reply, Success):
            return False
        digests = reply.unwrap()
        if not isinstance(digests, Digests):
            return False
        return any(self._on_digest(d, sent_at) for d in digests.digests)

    def _on_digest(self, digest: MemberDigest, sent_at: float) -> bool:
        if not digest.is_primary or not digest.is_reachable:
            return False
        status = self._member.monitor.status
        if status is not None and digest.term < status.term:
            return False
        self._member.age.on_primary_probe(sent_at, digest.last)
        return True
