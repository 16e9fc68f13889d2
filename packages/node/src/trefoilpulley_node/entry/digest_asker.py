"""Asks poolers for the digests of their members."""

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
"""Longest wait for digests."""


class DigestAsker:
    """Sends one question a pooler, and one at a time.

    Parameters
    ----------
    peers : Peers
        Reaches the poolers.
    clock : Clock
        Monotonic time.
    on_digest : Callable[[MemberDigest, float], None]
        Takes each digest with the time at which its question left.
    on_round_trip : Callable[[str, float], None]
        Takes the round trip to a member's pooler, in milliseconds.
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
        self._asking: set[str] = set()

    def ask(self, members: Iterable[str]) -> None:
        """Ask for the digests of members, without waiting."""
        by_host: dict[str, list[str]] = {}
        for member in members:
            host = self._peers.find_pooler(member)
            if host is not None and host not in self._asking:
                by_host.setdefault(host, []).append(member)
        for host, names in by_host.items():
            self._asking.add(host)
            gevent.spawn(self._ask_host, host, tuple(names))

    def _ask_host(self, host: str, members: tuple[str, ...]) -> None:
        sent_at = self._clock.now()
        try:
            reply = self._peers.call_host(
                host, GetDigest(members), DIGEST_TIMEOUT_S
            )
        finally:
            self._asking.discard(host)
        digests = reply.value_or(None)
        if not isinstance(digests, Digests):
            return
        round_trip_ms = 1000 * (self._clock.now() - sent_at)
        for digest in digests.digests:
            self._on_digest(digest, sent_at)
            self._on_round_trip(digest.member, round_trip_ms)
