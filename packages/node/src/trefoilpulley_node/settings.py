"""Settings of an entry host process."""

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
    """TLS files of the process."""

    certificate: str
    """Path of the certificate chain in PEM format."""

    key: str
    """Path of the private key in PEM format."""

    authorities: str
    """Path of the CA certificates for peers in PEM format."""


@dataclass(frozen=True, slots=True)
class StatsdSettings:
    """Destination of the metrics."""

    endpoint: Endpoint
    """Address of the statsd server."""

    prefix: str = 'trefoilpulley'
    """Prefix of every metric name."""


@dataclass(frozen=True, slots=True)
class SeedPeer:
    """Host to contact when the platform's service is unavailable."""

    name: str
    """Name of the host."""

    endpoint: Endpoint
    """Peer address of the host."""


@dataclass(frozen=True, slots=True)
class ZoneDistance:
    """Network distance to another availability zone."""

    zone: str
    """Availability zone."""

    one_way_ms: float
    """One-way network delay in milliseconds."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of an entry host process."""

    deployment: str
    """Name of the deployment, which is part of every session token."""

    host: str
    """Name of the host."""

    region: str
    """Region of the host."""

    zone: str
    """Availability zone of the host."""

    listen: Endpoint
    """Address on which the host listens for callers."""

    peer_listen: Endpoint
    """Address on which the host listens for other hosts."""

    platform: Endpoint
    """Address of the platform's key-value service."""

    token_keys: tuple[str, ...]
    """Signing keys of session tokens, oldest first.

    The last key signs new tokens; all keys verify tokens.
    """

    peer_secret: str
    """Secret that the hosts of the deployment share."""

    operator_secret: str
    """Secret with which operators read the state dump."""

    tenants: tuple[TenantSecret, ...] = ()
    """Secrets of the tenants' callers."""

    seeds: tuple[SeedPeer, ...] = ()
    """Hosts to contact if the service is unavailable at start."""

    distances: tuple[ZoneDistance, ...] = ()
    """Network distances to the other availability zones."""

    statsd: StatsdSettings | None = None
    """Destination of the metrics; no metrics are sent if ``None``."""

    tls: TlsSettings | None = None
    """TLS files; connections are unencrypted if ``None``."""

    log_path: str = ''
    """Path of the log file; the log goes to standard error if empty."""

    routing: str = 'targets'
    """Routing policy: ``targets``, ``thin`` or ``plain``."""

    slots: str = 'deadline'
    """Slot queue: ``deadline`` or ``fifo``."""

    drain_s: float = 10.0
    """Longest wait for running work before the host stops, in seconds."""


def load_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read and validate a settings file."""
    return read_settings(path, NodeSettings)


def dump_settings(cfg: NodeSettings) -> str:
    """Return settings as JSON text."""
    return format_settings(cfg)
