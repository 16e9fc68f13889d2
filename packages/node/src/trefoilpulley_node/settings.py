"""Settings of one entry host process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_node.settings_file import format_settings
from trefoilpulley_node.settings_file import read_settings

if TYPE_CHECKING:
    from pathlib import Path

    from returns.result import Result

    from trefoilpulley_core.failure import Failure


@dataclass(frozen=True, slots=True)
class TenantSecret:
    """Secret that authenticates the callers of a tenant."""

    tenant: str
    """Name of the tenant."""

    secret: str
    """Secret of the tenant's callers."""


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Certificates of the process."""

    certificate: str
    """Path of the certificate chain, PEM."""

    key: str
    """Path of the private key, PEM."""

    authorities: str
    """Path of the authorities that sign peers' certificates, PEM."""


@dataclass(frozen=True, slots=True)
class StatsdSettings:
    """Where metrics go."""

    endpoint: Endpoint
    """Address of the statsd server."""

    prefix: str = 'trefoilpulley'
    """First part of every metric's name."""


@dataclass(frozen=True, slots=True)
class SeedPeer:
    """Host that is asked for the host list when the service is out."""

    name: str
    """Name of the host."""

    endpoint: Endpoint
    """Peer address of the host."""


@dataclass(frozen=True, slots=True)
class ZoneDistance:
    """One-way delay to another availability zone."""

    zone: str
    """Availability zone."""

    one_way_ms: float
    """One-way delay in milliseconds."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one entry host process."""

    deployment: str
    """Name of the deployment; part of every session token."""

    host: str
    """Name of the host."""

    region: str
    """Region of the host."""

    zone: str
    """Availability zone of the host."""

    listen: Endpoint
    """Address for callers."""

    peer_listen: Endpoint
    """Address for other hosts."""

    platform: Endpoint
    """Address of the platform's key-value service."""

    token_keys: tuple[str, ...]
    """Keys of the session tokens, oldest first; the last one signs."""

    peer_secret: str
    """Secret of the deployment's hosts."""

    operator_secret: str
    """Secret of the operators."""

    tenants: tuple[TenantSecret, ...] = ()
    """Secrets of the tenants."""

    seeds: tuple[SeedPeer, ...] = ()
    """Hosts to ask when the service is out at start."""

    distances: tuple[ZoneDistance, ...] = ()
    """Delays to the other availability zones."""

    statsd: StatsdSettings | None = None
    """Where metrics go; none are sent without it."""

    tls: TlsSettings | None = None
    """Certificates; plain TCP without them."""

    log_path: str = ''
    """File of the log; standard error without it."""

    routing: str = 'targets'
    """Routing policy: ``targets``, ``thin`` or ``plain``."""

    slots: str = 'deadline'
    """Slot queue: ``deadline`` or ``fifo``."""

    drain_s: float = 10.0
    """Longest time that a planned stop waits for running work."""


def load_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read and check a settings file."""
    return read_settings(path, NodeSettings)


def dump_settings(cfg: NodeSettings) -> str:
    """Return the JSON text of settings."""
    return format_settings(cfg)
