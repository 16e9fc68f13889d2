"""Addresses and settings of all processes of a deployment."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
import secrets
import string
from typing import TYPE_CHECKING


from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_core.configuration.document import encode_configuration
from trefoilpulley_core.configuration.document import encode_databases
from trefoilpulley_core.configuration.document import encode_hosts
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.keys import CATALOG_DATABASES_KEY
from trefoilpulley_core.keys import CATALOG_HOSTS_KEY
from trefoilpulley_core.keys import CONFIGURATION_KEY
from trefoilpulley_node.settings import NodeSettings
from trefoilpulley_node.settings import SeedPeer
from trefoilpulley_node.settings import TenantSecret
from trefoilpulley_node.settings import ZoneDistance
from trefoilpulley_standins._ports import PortAllocator
from trefoilpulley_standins.links.quality import Quality
from trefoilpulley_standins.links.quality import ZonePair
from trefoilpulley_standins.links.settings import LinkSettings
from trefoilpulley_standins.links.settings import LinksSettings
from trefoilpulley_standins.member.settings import GroupSettings
from trefoilpulley_standins.member.settings import MemberPeer
from trefoilpulley_standins.member.settings import MemberSettings
from trefoilpulley_standins.platform.settings import PlatformSettings
from trefoilpulley_standins.platform.settings import PortRoute
from trefoilpulley_standins.platform.settings import SeedValue
from trefoilpulley_standins.platform.settings import ZoneView

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_standins.deployment import Deployment

CALLER_ZONE = 'callers'
"""Name of the zone that the callers are in."""

SEED_PEER_COUNT = 3
"""Number of peers that a host may ask during a platform service outage."""

_SECRET_BYTES = 16


@dataclass(frozen=True, slots=True)
class CallerRoute:
    """Entry host with its address for callers."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    endpoint: Endpoint
    """Address of the caller's link to the host."""


@dataclass(frozen=True, slots=True)
class Layout:
    """Settings of all processes of a deployment."""

    deployment: Deployment
    """Deployment that the processes belong to."""

    databases: tuple[DatabaseEntry, ...]
    """Catalog entries of the databases, with the members' own addresses."""

    replication: dict[str, Endpoint]
    """Replication address of each member, by member name."""

    members: GroupSettings
    """Settings of the members."""

    hosts: tuple[NodeSettings, ...]
    """Settings of the entry hosts."""

    routes: tuple[CallerRoute, ...]
    """Entry hosts with their addresses for callers."""

    platform_control: Endpoint
    """Control address of the platform service."""

    platform: PlatformSettings
    """Settings of the platform service."""

    links: LinksSettings
    """Settings of the links."""


class LayoutBuilder:
    """Assigns addresses and derives the settings of all processes.

    Parameters
    ----------
    deployment : Deployment
        Sizes and delays of the deployment.
    ports : PortAllocator
        Allocator of the ports.
    declarations : Declarations
        Declarations that are in force at the start.
    log_dir : Path
        Directory of the hosts' log files.
    seed : int
        Seed of the links' jitter and packet loss.
    """

    def __init__(
        self,
        deployment: Deployment,
        ports: PortAllocator,
        declarations: Declarations,
        log_dir: Path,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._ports = ports
        self._declarations = declarations
        self._log_dir = log_dir
        self._seed = seed
        self._links: dict[tuple[str, Endpoint], LinkSettings] = {}
        self._databases = self._make_databases()
        self._hosts = self._make_hosts()
        self._replication = {
            m.name: ports.next() for d in self._databases for m in d.members
        }
        self._secrets = tuple(
            TenantSecret(t, secrets.token_hex(_SECRET_BYTES))
            for t in deployment.tenants
        )
        self._token_key = secrets.token_hex(_SECRET_BYTES)
        self._peer_secret = secrets.token_hex(_SECRET_BYTES)
        self._operator_secret = secrets.token_hex(_SECRET_BYTES)

    def build(self) -> Layout:
        """Return the settings of all processes."""
        members = self._make_member_settings()
        views = tuple(self._make_zone_view(z) for z in self._deployment.zones)
        hosts = tuple(self._make_node_settings(h, views) for h in self._hosts)
        routes = tuple(
            CallerRoute(
                h.name,
                h.zone,
                self._reachable_endpoint(CALLER_ZONE, h.zone, h.endpoint),
            )
            for h in self._hosts
        )
        return Layout(
            self._deployment,
            self._databases,
            self._replication,
            members,
            hosts,
            routes,
            self._ports.next(),
            PlatformSettings(self._make_seed_values(), views),
            LinksSettings(
                self._ports.next(),
                tuple(self._links.values()),
                self._make_qualities(),
                self._seed,
            ),
        )

    def _make_databases(self) -> tuple[DatabaseEntry, ...]:
        return tuple(
            self._make_database(number)
            for number in range(self._deployment.databases)
        )

    def _make_database(self, number: int) -> DatabaseEntry:
        deployment = self._deployment
        name = deployment.database_name(number)
        members = tuple(
            MemberEntry(
                f'{name}/{string.ascii_lowercase[i]}',
                deployment.member_zone(number, i),
                self._ports.next(),
                deployment.slots,
                deployment.connections,
            )
            for i in range(deployment.members)
        )
        return DatabaseEntry(name, deployment.ledger, members)

    def _make_hosts(self) -> tuple[HostEntry, ...]:
        deployment = self._deployment
        return tuple(
            HostEntry(
                f'host-{number}',
                deployment.region,
                deployment.host_zone(number),
                self._ports.next(),
                self._ports.next(),
            )
            for number in range(deployment.hosts)
        )

    def _make_member_settings(self) -> GroupSettings:
        return GroupSettings(
            tuple(
                self._make_member(d, m)
                for d in self._databases
                for m in d.members
            )
        )

    def _make_member(
        self, database: DatabaseEntry, member: MemberEntry
    ) -> MemberSettings:
        deployment = self._deployment
        peers = tuple(
            MemberPeer(
                other.name,
                self._reachable_endpoint(
                    member.zone, other.zone, self._replication[other.name]
                ),
            )
            for other in database.members
            if other.name != member.name
        )
        return MemberSettings(
            member.name,
            member.endpoint,
            self._replication[member.name],
            database.members[0].name,
            peers,
            deployment.schema,
            deployment.slots,
            deployment.connections,
            deployment.connect_ms,
            lag_ms=deployment.lag_ms,
        )

    def _make_zone_view(self, zone: str) -> ZoneView:
        targets = [
            (m.zone, m.endpoint) for d in self._databases for m in d.members
        ]
        targets.extend((h.zone, h.peer_endpoint) for h in self._hosts)
        routes = tuple(
            PortRoute(
                endpoint.port,
                self._reachable_endpoint(zone, other, endpoint).port,
            )
            for other, endpoint in targets
            if other != zone
        )
        return ZoneView(zone, self._ports.next(), routes)

    def _make_node_settings(
        self, host: HostEntry, views: tuple[ZoneView, ...]
    ) -> NodeSettings:
        deployment = self._deployment
        platform = next(v.listen for v in views if v.zone == host.zone)
        return NodeSettings(
            deployment.name,
            host.name,
            host.region,
            host.zone,
            host.endpoint,
            host.peer_endpoint,
            platform,
            (self._token_key,),
            self._peer_secret,
            self._operator_secret,
            self._secrets,
            self._make_seeds(host),
            tuple(
                ZoneDistance(z, deployment.zone_delay_ms)
                for z in deployment.zones
                if z != host.zone
            ),
            log_path=str(self._log_dir / f'{host.name}.log'),
        )

    def _make_seeds(self, host: HostEntry) -> tuple[SeedPeer, ...]:
        others = [h for h in self._hosts if h.name != host.name]
        others.sort(key=lambda h: (h.zone != host.zone, h.name))
        return tuple(
            SeedPeer(
                h.name,
                self._reachable_endpoint(host.zone, h.zone, h.peer_endpoint),
            )
            for h in others[:SEED_PEER_COUNT]
        )

    def _make_seed_values(self) -> tuple[SeedValue, ...]:
        configuration = Configuration(1, 'start', self._declarations)
        values = {
            CATALOG_DATABASES_KEY: encode_databases(self._databases),
            CATALOG_HOSTS_KEY: encode_hosts(self._hosts),
            CONFIGURATION_KEY: encode_configuration(configuration),
        }
        return tuple(SeedValue(k, v.decode()) for k, v in values.items())

    def _make_qualities(self) -> tuple[Quality, ...]:
        deployment = self._deployment
        qualities = [
            Quality(
                ZonePair(a, b),
                deployment.zone_delay_ms,
                deployment.jitter_ms,
                deployment.loss,
            )
            for a in deployment.zones
            for b in deployment.zones
            if a != b
        ]
        for zone in deployment.zones:
            pair = ZonePair(CALLER_ZONE, zone)
            qualities.append(Quality(pair, deployment.client_delay_ms))
            qualities.append(
                Quality(pair.reversed, deployment.client_delay_ms)
            )
        return tuple(qualities)

    def _reachable_endpoint(
        self, zone: str, other: str, target: Endpoint
    ) -> Endpoint:
        if zone == other:
            return target
        link = self._links.get((zone, target))
        if link is None:
            pair = ZonePair(zone, other)
            link = LinkSettings(pair, self._ports.next(), target)
            self._links[zone, target] = link
        return link.listen
