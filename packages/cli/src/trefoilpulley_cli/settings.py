"""Settings of an operator or caller at the command line."""

from __future__ import annotations

from dataclasses import dataclass
import ssl
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_node.settings_file import read_settings

if TYPE_CHECKING:
    from pathlib import Path

    from returns.result import Result

    from trefoilpulley_core.failure import Failure


@dataclass(frozen=True, slots=True)
class HostAddress:
    """Entry host and its address for callers."""

    name: str
    """Name of the host."""

    endpoint: Endpoint
    """Address for callers."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificates towards the entry hosts."""

    authorities: str
    """Path of the authorities that sign the hosts' certificates, PEM."""

    certificate: str = ''
    """Path of the own certificate chain, PEM; empty for none."""

    key: str = ''
    """Path of the own private key, PEM; empty for none."""


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Where the deployment is, and by which secrets it is used."""

    platform: Endpoint | None = None
    """Address of the platform's key-value service."""

    hosts: tuple[HostAddress, ...] = ()
    """Entry hosts."""

    operator_secret: str = ''
    """Secret of the operators, for state dumps."""

    tenant: str = ''
    """Tenant whose statements are run."""

    secret: str = ''
    """Secret of the tenant."""

    database: str = ''
    """Database of the statements."""

    tls: TlsFiles | None = None
    """Certificates; plain TCP without them."""


def load_settings(path: Path) -> Result[OperatorSettings, Failure]:
    """Read and check a settings file."""
    return read_settings(path, OperatorSettings)


def make_tls_context(tls: TlsFiles | None) -> ssl.SSLContext | None:
    """Return the client context of the certificates, if there are any."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authorities)
    if tls.certificate:
        context.load_cert_chain(tls.certificate, tls.key or None)
    return context
