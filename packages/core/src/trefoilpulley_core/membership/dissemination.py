"""Dissemination of changed records inside a zone and between zones."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.news_batch import NewsBatch
from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import HostState
from trefoilpulley_core.membership.record import ZoneRecord
from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from trefoilpulley_core.membership.outbox import Outbox
    from trefoilpulley_core.membership.table import MembershipTable

RELAYS_PER_ZONE = 2
"""Number of hosts in a zone that exchange news with other zones."""


@dataclass(frozen=True, slots=True)
class _Relays:
    candidates: tuple[str, ...]
    relays: tuple[str, ...]


class Dissemination:
    """Merges records and forwards the new records.

    The host that detects a change sends the change once to every host in
    its zone.
    The relays of the zone forward the change to a relay in each other zone,
    and that relay forwards the change to the hosts in its own zone.

    Parameters
    ----------
    own : HostRecord
        Record of this host.
    table : MembershipTable
        Records of all hosts.
    outbox : Outbox
        Sends the messages.
    """

    def __init__(
        self, own: HostRecord, table: MembershipTable, outbox: Outbox
    ) -> None:
        self.own = own
        """Record of this host."""

        self.table = table
        """Records of all hosts."""

        self.reachable_zones: set[str] = set()
        """Zones in which a host answered this relay's last probe."""

        self._outbox = outbox
        self._relays: dict[str, _Relays] = {}
        self._detected = NewsBatch()
        self._received = NewsBatch()
        self._may_flush = True

    @property
    def zone(self) -> str:
        """Availability zone of this host."""
        return self.own.entry.zone

    @property
    def relay_index(self) -> int | None:
        """Rank of this host among its zone's relays.

        ``None`` if this host is not a relay.
        """
        relays = self.relays_of(self.zone)
        name = self.own.entry.name
        return relays.index(name) if name in relays else None

    def relays_of(self, zone: str) -> tuple[str, ...]:
        """Return the relays of a zone, first in rank first."""
        live = self.table.live_hosts.hosts_of(zone)
        cached = self._relays.get(zone)
        if cached is None or cached.candidates != live:
            ranked = rank_hosts(f'relay/{zone}', live)
            cached = _Relays(live, ranked[:RELAYS_PER_ZONE])
            self._relays[zone] = cached
        return cached.relays

    def list_indirect_probers(self, subject_zone: str) -> list[str]:
        """Return the hosts that may probe a zone on this host's behalf.

        The result is one relay of each zone in the region. The zone of this
        host and the probed zone are excluded, since their reports give no
        independent evidence.
        """
        excluded = subject_zone, self.zone
        zones = self.table.zones_of(self.own.entry.region)
        relays = [self.relays_of(z) for z in zones if z not in excluded]
        return [ranked[0] for ranked in relays if ranked]

    def announce(self, record: HostRecord) -> None:
        """Merge and send a record that this host created."""
        if self.table.merge(record):
            self._detected.add_host(record)

    def announce_zone(self, record: ZoneRecord) -> None:
        """Merge and send a zone's record that this host created."""
        if self.table.merge_zone(record):
            self._detected.add_zone(record)

    def learn(self, news: News) -> None:
        """Merge the records that another host sent."""
        for record in news.hosts:
            self.learn_host(record)
        for zone_record in news.zones:
            self.learn_zone(zone_record)

    def learn_host(self, record: HostRecord) -> None:
        """Merge a record, or refute a wrong record of this host."""
        if record.entry.name == self.own.entry.name:
            self._refute(record)
        elif self.table.merge(record):
            self._received.add_host(record)

    def learn_zone(self, record: ZoneRecord) -> None:
        """Merge a zone's record, or refute the loss of a reachable zone."""
        if not record.supersedes(self.table.find_zone(record.zone)):
            return
        if record.is_lost and self._is_zone_reachable(record.zone):
            self.refute_loss(record)
            return
        self.table.merge_zone(record)
        self._received.add_zone(record)

    def refute_loss(self, record: ZoneRecord) -> None:
        """Announce that a zone answers, with a version above a record's."""
        version = record.version + 1
        self.announce_zone(ZoneRecord(record.zone, version, is_lost=False))

    def change_own(self, state: HostState) -> None:
        """Change and announce the state of this host."""
        self.own = replace(self.own, state=state)
        self.announce(self.own)

    def announce_own(self) -> None:
        """Send this host's record even if the record has not changed."""
        self._detected.add_host(self.own)

    def on_tick(self) -> None:
        """Allow the next flush to send news."""
        self._may_flush = True

    def flush(self) -> None:
        """Send the changed records, at most once between two ticks.

        The first change is sent immediately. The changes that follow before
        the next tick are sent together.
        """
        if self.relay_index is None:
            self._received.take()
        is_empty = self._detected.is_empty and self._received.is_empty
        if is_empty or not self._may_flush:
            return
        self._may_flush = False
        self._send(self._detected.take(), self._received.take())

    def _send(self, detected: News, received: News) -> None:
        own_zone_batch, other_zones_batch = NewsBatch(), NewsBatch()
        own_zone_batch.add(detected)
        other_zones_batch.add(detected)
        for record in received.hosts:
            is_own_zone = record.entry.zone == self.zone
            (other_zones_batch if is_own_zone else own_zone_batch).add_host(
                record
            )
        for zone_record in received.zones:
            own_zone_batch.add_zone(zone_record)
            other_zones_batch.add_zone(zone_record)
        self._tell_own_zone(own_zone_batch.take())
        if self.relay_index is not None:
            self._tell_other_zones(other_zones_batch.take())

    def _is_zone_reachable(self, zone: str) -> bool:
        return zone == self.zone or zone in self.reachable_zones

    def _refute(self, record: HostRecord) -> None:
        if not record.supersedes(self.own):
            return
        self.own = replace(self.own, incarnation=record.incarnation + 1)
        self.announce(self.own)

    def _tell_own_zone(self, news: News) -> None:
        if news == News():
            return
        for host in self.table.names_in(self.zone):
            if host != self.own.entry.name and self.table.is_live(host):
                self._outbox.tell(host, news)

    def _tell_other_zones(self, news: News) -> None:
        if news == News():
            return
        index = self.relay_index or 0
        for zone in self.table.live_hosts.zones:
            relays = self.relays_of(zone.zone)
            if zone.zone == self.zone or not relays:
                continue
            self._outbox.tell(relays[min(index, len(relays) - 1)], news)
