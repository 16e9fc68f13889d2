"""Settings of one entry host process."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

from cattrs import ClassValidationError
from cattrs.preconf.json import make_converter
from cattrs import transform_error
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class InvalidSettings(Failure):
    """The settings file can't be read or has faults."""

    code = 'invalid-settings'
    run_state = RunState.NOT_RUN

    faults: tuple[str, ...] = ()
    """Each fault with its path."""


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


_CONVERTER = make_converter(forbid_extra_keys=True)


def load_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read and check a settings file."""
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
        return Success(_CONVERTER.structure(document, NodeSettings))
    except (OSError, ValueError) as exc:
        return Failed(InvalidSettings(str(exc)))
    except ClassValidationError as exc:
        faults = tuple(transform_error(exc, path='$'))
        return Failed(InvalidSettings('settings have faults', faults))


def dump_settings(cfg: NodeSettings) -> str:
    """Return the JSON text of settings."""
    return json.dumps(_CONVERTER.unstructure(cfg), indent=2)
