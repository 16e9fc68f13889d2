"""Settings of the command line."""

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
    """Name and address of an entry host."""

    name: str
    """Name of the host."""

    endpoint: Endpoint
    """Address on which the host accepts callers."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificate files of the TLS connections to entry hosts."""

    authorities: str
    """Path of the CA certificates in PEM format that verify the hosts."""

    certificate: str = ''
    """Path of the client's certificate chain in PEM format; empty for none."""

    key: str = ''
    """Path of the client's private key in PEM format; empty for none."""


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Addresses of a deployment and the secrets to use it."""

    platform: Endpoint | None = None
    """Address of the platform's key-value service."""

    hosts: tuple[HostAddress, ...] = ()
    """Entry hosts of the deployment."""

    operator_secret: str = ''
    """Secret of the operators, required for state dumps."""

    tenant: str = ''
    """Tenant on whose behalf statements run."""

    secret: str = ''
    """Secret of the tenant."""

    database: str = ''
    """Default database of statements."""

    tls: TlsFiles | None = None
    """Certificate files; plain TCP if omitted."""


def load_settings(path: Path) -> Result[OperatorSettings, Failure]:
    """Read and validate a settings file."""
    return read_settings(path, OperatorSettings)


def make_tls_context(tls: TlsFiles | None) -> ssl.SSLContext | None:
    """Return a TLS client context, or ``None`` without certificate files.

    Raises
    ------
    OSError
        If a file cannot be read or is invalid.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authorities)
    if tls.certificate:
        context.load_cert_chain(tls.certificate, tls.key or None)
    return context
