"""Failure detection of other availability zones by a zone's relays."""

from __future__ import annotations

from itertools import cycle
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.record import ZoneRecord
from trefoilpulley_core.membership.suspicion_check import SuspicionCheck

if TYPE_CHECKING:
    import random

    from trefoilpulley_core.membership.dissemination import Dissemination
    from trefoilpulley_core.membership.prober import Prober

ZONE_PROBE_INTERVAL_S = 1.0
"""Time between a relay's probes of each zone of its region, in seconds."""

REMOTE_ZONE_PROBE_INTERVAL_S = 2.0
"""Time between a relay's probes of a zone in another region, in seconds."""

ZONE_PROBE_TIMEOUT_S = 0.5
"""Timeout of a probe of a host in another zone, in seconds."""

MIN_UNREACHABLE_ROUNDS = 2
"""Number of rounds with an unreachable host that confirm a zone's loss.

Each round probes another host of the zone.
"""

INDIRECT_PROBE_ZONES = 2
"""Number of other zones whose relays are asked to probe a suspected zone."""


class ZoneWatch:
    """Probes the other zones of the region while this host is a relay.

    A zone is declared lost only if the other zones of the region cannot
    reach it either. Two zones that are only partitioned from each other
    therefore keep their hosts. Zones of other regions are never declared
    lost by this host.

    Parameters
    ----------
    dissemination : Dissemination
        Receives the verdicts.
    prober : Prober
        Sends the probes.
    rng : random.Random
        Chooses hosts and zones.
    """

    def __init__(
        self, dissemination: Dissemination, prober: Prober, rng: random.Random
    ) -> None:
        self._dissemination = dissemination
        self._table = dissemination.table
        self._prober = prober
        self._rng = rng
        self._suspicion_checks: dict[str, SuspicionCheck] = {}
        self._next_at = 0.0
        self._next_remote_at = 0.0

    @property
    def suspected(self) -> tuple[str, ...]:
        """Zones that did not answer and whose suspicion is being checked."""
        return tuple(sorted(self._suspicion_checks))

    def on_tick(self, now: float) -> None:
        """Send the probes that are due."""
        if self._dissemination.relay_index is None:
            self._dissemination.reachable_zones.clear()
            return
        if now >= self._next_at:
            self._next_at = now + ZONE_PROBE_INTERVAL_S
            self._probe_region()
        if now >= self._next_remote_at:
            self._next_remote_at = now + REMOTE_ZONE_PROBE_INTERVAL_S
            self._probe_remote()

    def on_process_resumed(self) -> None:
        """Discard suspicions, which may stem from a pause of this process."""
        self._suspicion_checks.clear()

    def on_zone_reached(self, zone: str) -> None:
        """Record that a host of a zone has answered."""
        self._dissemination.reachable_zones.add(zone)
        record = self._table.find_zone(zone)
        if record is not None and record.is_lost:
            self._dissemination.refute_loss(record)

    def _probe_region(self) -> None:
        for zone in self._table.zones_of(self._dissemination.own.entry.region):
            if (
                zone != self._dissemination.zone
                and zone not in self._suspicion_checks
            ):
                self._probe_zone(zone)

    def _probe_zone(self, zone: str) -> None:
        host = self._choose_host(zone)
        if host is not None:
            self._prober.send(
                host,
                lambda now: self.on_zone_reached(zone),
                lambda now: self._suspect(zone),
                ZONE_PROBE_TIMEOUT_S,
            )

    def _probe_remote(self) -> None:
        zones = self._table.zones_outside(self._dissemination.own.entry.region)
        if not zones:
            return
        zone = self._rng.choice(zones)
        host = self._choose_host(zone)
        if host is not None:
            self._prober.send(
                host,
                lambda now: self.on_zone_reached(zone),
                lambda now: None,
                ZONE_PROBE_TIMEOUT_S,
            )

    def _suspect(self, zone: str) -> None:
        self._dissemination.reachable_zones.discard(zone)
        record = self._table.find_zone(zone)
        is_lost = record is not None and record.is_lost
        if is_lost or zone in self._suspicion_checks:
            return
        hosts = cycle(self._shuffled_hosts(zone))
        check = self._suspicion_checks[zone] = SuspicionCheck(
            self._prober,
            lambda: next(hosts),
            lambda: self._choose_indirect_probers(zone),
            lambda now: self._clear(zone),
            lambda now: self._declare_lost(zone),
            MIN_UNREACHABLE_ROUNDS,
        )
        check.begin_round()

    def _choose_host(self, zone: str) -> str | None:
        relays = self._dissemination.relays_of(zone)
        if relays:
            index = self._dissemination.relay_index or 0
            return relays[min(index, len(relays) - 1)]
        hosts = self._shuffled_hosts(zone)
        return hosts[0] if hosts else None

    def _shuffled_hosts(self, zone: str) -> list[str]:
        names = self._table.names_in(zone)
        live = [n for n in names if self._table.is_live(n)] or list(names)
        self._rng.shuffle(live)
        return live

    def _choose_indirect_probers(self, subject: str) -> list[str]:
        indirect_probers = self._dissemination.list_indirect_probers(subject)
        return self._rng.sample(
            indirect_probers, min(INDIRECT_PROBE_ZONES, len(indirect_probers))
        )

    def _clear(self, zone: str) -> None:
        self._suspicion_checks.pop(zone, None)
        self.on_zone_reached(zone)

    def _declare_lost(self, zone: str) -> None:
        self._suspicion_checks.pop(zone, None)
        record = self._table.find_zone(zone)
        version = record.version + 1 if record else 1
        self._dissemination.announce_zone(
            ZoneRecord(zone, version, is_lost=True)
        )
