"""Requests the digests of members from their poolers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.peer import Digests
from trefoilpulley_core.peer import GetDigest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.peer import MemberDigest
    from trefoilpulley_node.peers import Peers

DIGEST_TIMEOUT_S = 0.5
"""Longest wait for digests, in seconds."""


class DigestFetcher:
    """Sends digest requests, at most one at a time to each pooler.

    Parameters
    ----------
    peers : Peers
        Sends requests to poolers.
    clock : Clock
        Monotonic time.
    on_digest : Callable[[MemberDigest, float], None]
        Receives each digest and the monotonic time in seconds at which
        its request was sent.
    on_round_trip : Callable[[str, float], None]
        Receives the name of a member and the round trip to its pooler in
        milliseconds.
    """

    def __init__(
        self,
        peers: Peers,
        clock: Clock,
        on_digest: Callable[[MemberDigest, float], None],
        on_round_trip: Callable[[str, float], None],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._on_digest = on_digest
        self._on_round_trip = on_round_trip
        self._pending_hosts: set[str] = set()

    def fetch(self, members: Iterable[str]) -> None:
        """Request the digests of members without waiting for them.

        Members whose pooler has an unanswered digest request are skipped.
        """
        by_host: dict[str, list[str]] = {}
        for member in members:
            host = self._peers.find_pooler(member)
            if host is not None and host not in self._pending_hosts:
                by_host.setdefault(host, []).append(member)
        for host, names in by_host.items():
            self._pending_hosts.add(host)
            gevent.spawn(self._fetch_from_host, host, tuple(names))

    def _fetch_from_host(self, host: str, members: tuple[str, ...]) -> None:
        sent_at = self._clock.now()
        try:
            reply = self._peers.call_host(
                host, GetDigest(members), DIGEST_TIMEOUT_S
            )
        finally:
            self._pending_hosts.discard(host)
        digests = reply.value_or(None)
        if not isinstance(digests, Digests):
            return
        round_trip_ms = 1000 * (self._clock.now() - sent_at)
        for digest in digests.digests:
            self._on_digest(digest, sent_at)
            self._on_round_trip(digest.member, round_trip_ms)
