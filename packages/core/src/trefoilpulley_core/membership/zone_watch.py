"""Watch over the other availability zones, kept by a zone's relays."""

from __future__ import annotations

from itertools import cycle
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.inquiry import Inquiry
from trefoilpulley_core.membership.record import ZoneRecord

if TYPE_CHECKING:
    import random

    from trefoilpulley_core.membership.news import NewsSpread
    from trefoilpulley_core.membership.probes import Probes

ZONE_INTERVAL_S = 1.0
"""Time between a relay's probes of each zone of its region."""

REMOTE_INTERVAL_S = 2.0
"""Time between a relay's probes of a zone of another region."""

ZONE_TIMEOUT_S = 0.5
"""Longest wait for the answer of another zone's host, in seconds."""

DENIED_ROUNDS = 2
"""Rounds, each on another host, that show a zone to be lost."""

HELPER_ZONES = 2
"""Other zones whose relays are asked to probe a silent zone."""


class ZoneWatch:
    """Probes the region's other zones while this host is a relay.

    A zone is lost only where no other zone of the region reaches it
    either: two zones that are cut off from each other alone keep their
    hosts. Zones of other regions are never declared lost from here.

    Parameters
    ----------
    news : NewsSpread
        Takes the verdicts.
    probes : Probes
        Sends the probes.
    rng : random.Random
        Picks hosts and zones.
    """

    def __init__(
        self, news: NewsSpread, probes: Probes, rng: random.Random
    ) -> None:
        self._news = news
        self._table = news.table
        self._probes = probes
        self._rng = rng
        self._inquiries: dict[str, Inquiry] = {}
        self._next_at = 0.0
        self._next_remote_at = 0.0

    @property
    def suspected(self) -> tuple[str, ...]:
        """Zones that did not answer and are being inquired after."""
        return tuple(sorted(self._inquiries))

    def on_tick(self, now: float) -> None:
        """Send the probes that are due."""
        if self._news.relay_index is None:
            self._news.zones_in_contact.clear()
            return
        if now >= self._next_at:
            self._next_at = now + ZONE_INTERVAL_S
            self._probe_region()
        if now >= self._next_remote_at:
            self._next_remote_at = now + REMOTE_INTERVAL_S
            self._probe_remote()

    def on_wake(self) -> None:
        """Draw no conclusion from what a pause has let time out."""
        self._inquiries.clear()

    def on_contact(self, zone: str) -> None:
        """Note that a host of a zone has answered."""
        self._news.zones_in_contact.add(zone)
        record = self._table.find_zone(zone)
        if record is not None and record.is_lost:
            self._news.refute_loss(record)

    def _probe_region(self) -> None:
        for zone in self._table.zones_of(self._news.own.entry.region):
            if zone != self._news.zone and zone not in self._inquiries:
                self._probe_zone(zone)

    def _probe_zone(self, zone: str) -> None:
        host = self._choose_host(zone)
        if host is not None:
            self._probes.send(
                host,
                lambda now: self.on_contact(zone),
                lambda now: self._suspect(zone),
                ZONE_TIMEOUT_S,
            )

    def _probe_remote(self) -> None:
        zones = self._table.zones_outside(self._news.own.entry.region)
        if not zones:
            return
        zone = self._rng.choice(zones)
        host = self._choose_host(zone)
        if host is not None:
            self._probes.send(
                host,
                lambda now: self.on_contact(zone),
                lambda now: None,
                ZONE_TIMEOUT_S,
            )

    def _suspect(self, zone: str) -> None:
        self._news.zones_in_contact.discard(zone)
        record = self._table.find_zone(zone)
        is_lost = record is not None and record.is_lost
        if is_lost or zone in self._inquiries:
            return
        hosts = cycle(self._shuffled_hosts(zone))
        inquiry = self._inquiries[zone] = Inquiry(
            self._probes,
            lambda: next(hosts),
            lambda: self._choose_helpers(zone),
            lambda now: self._clear(zone),
            lambda now: self._declare_lost(zone),
            DENIED_ROUNDS,
        )
        inquiry.begin_round()

    def _choose_host(self, zone: str) -> str | None:
        relays = self._news.relays_of(zone)
        if relays:
            index = self._news.relay_index or 0
            return relays[min(index, len(relays) - 1)]
        hosts = self._shuffled_hosts(zone)
        return hosts[0] if hosts else None

    def _shuffled_hosts(self, zone: str) -> list[str]:
        names = self._table.names_in(zone)
        live = [n for n in names if self._table.is_live(n)] or list(names)
        self._rng.shuffle(live)
        return live

    def _choose_helpers(self, subject: str) -> list[str]:
        helpers = self._news.list_helpers(subject)
        return self._rng.sample(helpers, min(HELPER_ZONES, len(helpers)))

    def _clear(self, zone: str) -> None:
        self._inquiries.pop(zone, None)
        self.on_contact(zone)

    def _declare_lost(self, zone: str) -> None:
        self._inquiries.pop(zone, None)
        record = self._table.find_zone(zone)
        version = record.version + 1 if record else 1
        self._news.announce_zone(ZoneRecord(zone, version, is_lost=True))
