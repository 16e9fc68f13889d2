"""Table of the records of all hosts and availability zones."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from trefoilpulley_core.catalog import Presence
from trefoilpulley_core.membership.live_hosts import LiveHosts
from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import HostState
from trefoilpulley_core.membership.record import ZoneDigest
from trefoilpulley_core.membership.record import ZoneRecord

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from trefoilpulley_core.catalog import HostEntry


class MembershipTable:
    """Newest known record of each host and each availability zone.

    Merging is commutative and idempotent: the same records give the same
    table in any order and after any number of repetitions.

    Parameters
    ----------
    region : str
        Region of the host that holds the table.
    """

    def __init__(self, region: str) -> None:
        self._region = region
        self._hosts: dict[str, HostRecord] = {}
        self._by_zone: dict[str, dict[str, HostRecord]] = defaultdict(dict)
        self._zones: dict[str, ZoneRecord] = {}
        self._digests: dict[str, int] = defaultdict(int)
        self._listed: dict[str, HostEntry] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._zone_views: dict[str, ZoneHosts] = {}
        self._stale_zones: set[str] = set()
        self._view = LiveHosts(region)
        self.version = 0
        """Version of the table; incremented at each change."""

    @property
    def digest(self) -> int:
        """Digest of all records; equal tables have equal digests."""
        total = 0
        for digest in self._digests.values():
            total ^= digest
        return total

    @property
    def live_hosts(self) -> LiveHosts:
        """View of the live hosts; the same object until the hosts change."""
        if self._stale_zones:
            zones = self._build_zones()
            if zones != self._view.zones:
                self._view = LiveHosts(self._region, self.version, zones)
        return self._view

    def find_host(self, host: str) -> HostRecord | None:
        """Return the record of a host, or ``None``."""
        return self._hosts.get(host)

    def is_live(self, host: str) -> bool:
        """Return whether a host is known and not dead."""
        record = self._hosts.get(host)
        return record is not None and record.state is not HostState.DEAD

    def find_entry(self, host: str) -> HostEntry | None:
        """Return a host's entry, or ``None`` if the host is unknown.

        The entry in the platform's list takes precedence over the entry in
        the host's record, because the platform lists the addresses under
        which this zone reaches the host.
        """
        if host in self._listed:
            return self._listed[host]
        record = self._hosts.get(host)
        return record.entry if record else None

    def find_zone(self, zone: str) -> ZoneRecord | None:
        """Return the record of an availability zone, or ``None``."""
        return self._zones.get(zone)

    def names_in(self, zone: str) -> tuple[str, ...]:
        """Return the known hosts of a zone, including dead hosts."""
        return tuple(sorted(self._by_zone.get(zone, ())))

    def zones_of(self, region: str) -> tuple[str, ...]:
        """Return the zones of a region that have known hosts."""
        views = self.live_hosts.zones
        return tuple(v.zone for v in views if v.region == region)

    def zones_outside(self, region: str) -> tuple[str, ...]:
        """Return the zones of all other regions."""
        views = self.live_hosts.zones
        return tuple(v.zone for v in views if v.region != region)

    def merge(self, record: HostRecord) -> bool:
        """Store a host's record if newer; return whether it was stored."""
        name = record.entry.name
        if not record.supersedes(self._hosts.get(name)):
            return False
        self._remove(name)
        self._hosts[name] = record
        self._by_zone[record.entry.zone][name] = record
        self._toggle_digest(record)
        self._mark_changed(record.entry.zone)
        return True

    def merge_zone(self, record: ZoneRecord) -> bool:
        """Store a zone's record if newer; return whether it was stored."""
        current = self._zones.get(record.zone)
        if not record.supersedes(current):
            return False
        for changed in (current, record):
            if changed is not None:
                self._digests[changed.zone] ^= _zone_fingerprint(changed)
        self._zones[record.zone] = record
        self._mark_changed(record.zone)
        return True

    def apply_list(self, entries: Iterable[HostEntry]) -> None:
        """Merge the platform's list, which lags behind the records.

        A listed host without a record is considered live until a probe
        fails. A host that the list reports as leaving gets no new work,
        even if the host's own record says that it is alive.
        """
        entries = tuple(entries)
        leaving = frozenset(
            e.name for e in entries if e.presence is Presence.LEAVING
        )
        if leaving != self._listed_leaving:
            self._listed_leaving = leaving
            self._mark_changed(*self._by_zone)
        self._listed = {e.name: e for e in entries}
        for entry in entries:
            self.merge(HostRecord(entry, 0, HostState.ALIVE))

    def remove_unlisted_dead(self) -> None:
        """Remove the dead hosts that the platform no longer lists."""
        for name, record in list(self._hosts.items()):
            if record.state is HostState.DEAD and name not in self._listed:
                self._remove(name)
                self._mark_changed(record.entry.zone)

    def zone_digests(self) -> tuple[ZoneDigest, ...]:
        """Return the digest of each zone."""
        return tuple(ZoneDigest(z, d) for z, d in self._digests.items())

    def differing_zones(self, others: Iterable[ZoneDigest]) -> tuple[str, ...]:
        """Return the zones whose digests differ from another table's."""
        other_digests = {z.zone: z.digest for z in others}
        zones = other_digests.keys() | self._digests.keys()
        return tuple(
            sorted(
                z
                for z in zones
                if other_digests.get(z, 0) != self._digests.get(z, 0)
            )
        )

    def records_of(self, zones: Collection[str]) -> News:
        """Return the records of some zones; an empty selection means all."""
        return News(
            tuple(
                r
                for zone, records in self._by_zone.items()
                if not zones or zone in zones
                for r in records.values()
            ),
            tuple(
                z for z in self._zones.values() if not zones or z.zone in zones
            ),
        )

    def records_newer_than(self, zones: Collection[str], news: News) -> News:
        """Return the records of some zones that are newer than a message's."""
        hosts = {r.entry.name: r for r in news.hosts}
        zone_records = {z.zone: z for z in news.zones}
        own_records = self.records_of(zones)
        return News(
            tuple(
                r
                for r in own_records.hosts
                if r.supersedes(hosts.get(r.entry.name))
            ),
            tuple(
                z
                for z in own_records.zones
                if z.supersedes(zone_records.get(z.zone))
            ),
        )

    def _mark_changed(self, *zones: str) -> None:
        self._stale_zones.update(zones)
        self.version += 1

    def _remove(self, name: str) -> None:
        record = self._hosts.pop(name, None)
        if record is not None:
            self._by_zone[record.entry.zone].pop(name, None)
            self._toggle_digest(record)

    def _toggle_digest(self, record: HostRecord) -> None:
        if record.state is not HostState.DEAD:
            self._digests[record.entry.zone] ^= _fingerprint(record)

    def _build_zones(self) -> tuple[ZoneHosts, ...]:
        for zone in self._stale_zones:
            self._zone_views.pop(zone, None)
            if self._by_zone.get(zone):
                self._zone_views[zone] = self._build_zone(zone)
        self._stale_zones.clear()
        views = self._zone_views
        return tuple(views[zone] for zone in sorted(views))

    def _build_zone(self, zone: str) -> ZoneHosts:
        records = self._by_zone[zone].values()
        region = next(iter(records)).entry.region
        zone_record = self._zones.get(zone)
        if zone_record is not None and zone_record.is_lost:
            return ZoneHosts(zone, region, (), is_lost=True)
        hosts = [r for r in records if self._takes_work(r)]
        if not hosts:
            hosts = [r for r in records if r.state is not HostState.DEAD]
        names = tuple(sorted(r.entry.name for r in hosts))
        return ZoneHosts(zone, region, names)

    def _takes_work(self, record: HostRecord) -> bool:
        return (
            record.state is HostState.ALIVE
            and record.entry.name not in self._listed_leaving
        )


def _fingerprint(record: HostRecord) -> int:
    text = f'{record.entry.name}|{record.incarnation}|{record.state}'
    return xxh3_64_intdigest(text.encode())


def _zone_fingerprint(record: ZoneRecord) -> int:
    text = f'{record.zone}|{record.version}'
    return xxh3_64_intdigest(text.encode())
