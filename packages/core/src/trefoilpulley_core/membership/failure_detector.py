"""Failure detection among the hosts of one availability zone."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from trefoilpulley_core.membership.record import HostState
from trefoilpulley_core.membership.suspicion_check import SuspicionCheck

if TYPE_CHECKING:
    import random

    from trefoilpulley_core.membership.dissemination import Dissemination
    from trefoilpulley_core.membership.prober import Prober

RING_PROBE_INTERVAL_S = 0.4
"""Time between two probes of a host's successor, in seconds."""

RANDOM_PROBE_INTERVAL_S = 2.0
"""Mean time between two probes of a random host of the zone, in seconds."""

SUSPECTING_PREDECESSORS = 3
"""Number of ring predecessors that suspect a host after a lost connection."""

INDIRECT_PROBERS = 2
"""Number of hosts that are asked to probe a suspected host."""


class FailureDetector:
    """Probes the successor of this host on a ring of the zone's hosts.

    Each host is probed by one predecessor, so that the cost per host does
    not grow with the size of the zone. The order of the ring is given by a
    hash, so that hosts in one rack are seldom neighbors. In addition, a
    random host is probed, including hosts that were declared dead. The
    random probes reconnect hosts that a partition has separated.

    Parameters
    ----------
    dissemination : Dissemination
        Receives the verdicts.
    prober : Prober
        Sends the probes.
    rng : random.Random
        Chooses random hosts and the hosts for indirect probes.
    """

    def __init__(
        self, dissemination: Dissemination, prober: Prober, rng: random.Random
    ) -> None:
        self._dissemination = dissemination
        self._table = dissemination.table
        self._prober = prober
        self._rng = rng
        self._suspicion_checks: dict[str, SuspicionCheck] = {}
        self._ring: tuple[str, ...] = ()
        self._ring_version = -1
        self._next_ring_at = 0.0
        self._next_random_at = 0.0

    @property
    def suspected(self) -> tuple[str, ...]:
        """Hosts that did not answer and whose suspicion is being checked."""
        return tuple(sorted(self._suspicion_checks))

    def on_tick(self, now: float) -> None:
        """Send the probes that are due."""
        if now >= self._next_ring_at:
            due = self._next_ring_at + RING_PROBE_INTERVAL_S
            self._next_ring_at = (
                due if due > now else now + RING_PROBE_INTERVAL_S
            )
            self._probe_successor()
        if now >= self._next_random_at:
            jitter = self._rng.uniform(0.5, 1.5)
            self._next_random_at = now + RANDOM_PROBE_INTERVAL_S * jitter
            self._probe_random()

    def on_process_resumed(self) -> None:
        """Discard suspicions, which may stem from a pause of this process."""
        self._suspicion_checks.clear()

    def on_connection_lost(self, host: str, now: float) -> None:
        """Suspect a host whose connection broke.

        Every host that is connected to the failed host sees its connection
        break. Only a few ring predecessors check the suspicion, which is
        sufficient.
        """
        if host in self._list_successors()[:SUSPECTING_PREDECESSORS]:
            self.suspect(host, now)

    def suspect(self, host: str, now: float) -> None:
        """Start a suspicion check of a host that did not answer."""
        if host in self._suspicion_checks or host not in self._live_names():
            return
        check = self._suspicion_checks[host] = SuspicionCheck(
            self._prober,
            lambda: host,
            lambda: self._choose_indirect_probers(host),
            lambda at: self._clear(host),
            lambda at: self._declare_dead(host),
        )
        check.begin_round()
        self._probe_successor()

    def _probe_successor(self) -> None:
        host = self._find_successor()
        if host is not None:
            self._prober.send(
                host, lambda now: None, lambda now: self.suspect(host, now)
            )

    def _probe_random(self) -> None:
        own = self._dissemination.own.entry.name
        hosts = [
            h
            for h in self._table.names_in(self._dissemination.zone)
            if h != own
        ]
        if not hosts:
            return
        host = self._rng.choice(hosts)
        self._prober.send(
            host, lambda now: None, lambda now: self.suspect(host, now)
        )

    def _find_successor(self) -> str | None:
        for host in self._list_successors():
            if host not in self._suspicion_checks:
                return host
        return None

    def _list_successors(self) -> tuple[str, ...]:
        ring = self._live_ring()
        own = self._dissemination.own.entry.name
        start = ring.index(own) if own in ring else 0
        return ring[start + 1 :] + ring[:start]

    def _live_ring(self) -> tuple[str, ...]:
        if self._ring_version != self._table.version:
            self._ring_version = self._table.version
            self._ring = tuple(sorted(self._live_names(), key=_ring_position))
        return self._ring

    def _live_names(self) -> list[str]:
        names = self._table.names_in(self._dissemination.zone)
        return [n for n in names if self._table.is_live(n)]

    def _choose_indirect_probers(self, subject: str) -> list[str]:
        own = self._dissemination.own.entry.name
        excluded = {own, subject, *self._suspicion_checks}
        peers = [h for h in self._live_names() if h not in excluded]
        if len(peers) < INDIRECT_PROBERS:
            peers += self._dissemination.list_indirect_probers(
                self._dissemination.zone
            )
        return self._rng.sample(peers, min(INDIRECT_PROBERS, len(peers)))

    def _clear(self, host: str) -> None:
        self._suspicion_checks.pop(host, None)

    def _declare_dead(self, host: str) -> None:
        self._suspicion_checks.pop(host, None)
        record = self._table.find_host(host)
        if record is not None:
            self._dissemination.announce(replace(record, state=HostState.DEAD))


def _ring_position(host: str) -> int:
    return xxh3_64_intdigest(host.encode())
