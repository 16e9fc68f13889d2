"""Measures the age of the data of pooled replicas."""

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

PROBE_INTERVAL_FACTOR = 0.25
"""Probe interval as a fraction of the lowest age that reads requested."""

MIN_PROBE_INTERVAL_S = 0.05
"""Shortest interval between probes, in seconds."""

MAX_PROBE_INTERVAL_S = 1.0
"""Longest interval between probes, in seconds.

Also the interval while no read requests an age.
"""

PROBING_IDLE_TIMEOUT_S = 10.0
"""Time for which a requested age determines the interval, in seconds."""

PROBE_TIMEOUT_S = 0.5
"""Longest wait for the reply to a probe, in seconds."""


class AgeProber:
    """Asks the primary's pooler for the primary's log position.

    The age of a position is measured from the time at which the request
    for the position was sent. The age of the replica is therefore never
    underestimated.

    Parameters
    ----------
    member : PooledMember
        Member whose age is measured while it is a replica.
    find_database : Callable[[str], DatabaseEntry | None]
        Returns a database by name.
    peers : Peers
        Sends requests to poolers.
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
        """Start probing in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop probing."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(self._interval_s())
            if not self._member.is_primary:
                self._probe()
                self._query_replica()

    def _interval_s(self) -> float:
        requested = self._member.requested_age
        if self._clock.now() - requested.requested_at > PROBING_IDLE_TIMEOUT_S:
            return MAX_PROBE_INTERVAL_S
        interval_s = PROBE_INTERVAL_FACTOR * requested.max_age_ms / 1000
        return min(MAX_PROBE_INTERVAL_S, max(MIN_PROBE_INTERVAL_S, interval_s))

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

    def _query_replica(self) -> None:
        asked_at = self._clock.now()
        status = self._member.monitor.send_control(lambda link: link.status())
        if isinstance(status, Success):
            replica_status = status.unwrap()
            self._member.age.on_replica_status(
                replica_status.history.last,
                asked_at,
                replica_status.fenced_term,
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
