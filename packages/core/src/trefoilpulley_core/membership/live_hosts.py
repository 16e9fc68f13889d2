"""View of the live hosts, from which the pooler of a member is chosen."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from trefoilpulley_core.rendezvous import pick_host

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import MemberEntry


@dataclass(frozen=True, slots=True)
class ZoneHosts:
    """Hosts of one availability zone that accept new work."""

    zone: str
    """Name of the availability zone."""

    region: str
    """Region of the availability zone."""

    hosts: tuple[str, ...]
    """Sorted names of the hosts; empty if the zone is lost."""

    is_lost: bool = False
    """Whether no host of the zone answers."""


@dataclass(frozen=True)
class LiveHosts:
    """Live hosts of every availability zone, as one host sees them."""

    region: str
    """Region of the host that has this view."""

    version: int = 0
    """Version of the view; incremented at each change."""

    zones: tuple[ZoneHosts, ...] = ()
    """Availability zones, sorted by name."""

    _poolers: dict[tuple[str, str], str | None] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def hosts_of(self, zone: str) -> tuple[str, ...]:
        """Return the live hosts of an availability zone."""
        zone_hosts = self._find_zone(zone)
        return zone_hosts.hosts if zone_hosts else ()

    def pooler_of(self, member: MemberEntry) -> str | None:
        """Return the host that holds the connections to a member.

        The host is in the member's zone. If no host is live there, the host
        is in another zone of the member's region.
        """
        key = member.name, member.zone
        if key not in self._poolers:
            hosts = self._pooler_candidates(member.zone)
            self._poolers[key] = pick_host(member.name, hosts)
        return self._poolers[key]

    def _pooler_candidates(self, zone: str) -> tuple[str, ...]:
        zone_hosts = self._find_zone(zone)
        if zone_hosts and zone_hosts.hosts:
            return zone_hosts.hosts
        region = zone_hosts.region if zone_hosts else self.region
        return tuple(
            host
            for other in self.zones
            if other.region == region
            for host in other.hosts
        )

    def _find_zone(self, zone: str) -> ZoneHosts | None:
        return next((z for z in self.zones if z.zone == zone), None)
