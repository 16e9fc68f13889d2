"""Messages of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import ZoneDigest
from trefoilpulley_core.membership.record import ZoneRecord


@dataclass(frozen=True, slots=True)
class Versions:
    """Newest documents that a host holds."""

    configuration: int = 0
    """Revision of the declarations."""

    databases: int = 0
    """Revision of the list of database groups."""

    hosts: int = 0
    """Revision of the list of hosts."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks a host whether it is alive."""

    host: str
    """Name of the sender."""

    incarnation: int
    """Incarnation of the sender."""

    digest: int
    """Digest of the sender's records."""

    versions: Versions
    """Newest documents that the sender holds."""


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer to `Probe`."""

    incarnation: int
    """Incarnation of the answering host."""

    versions: Versions
    """Newest documents that the answering host holds."""

    is_leaving: bool = False
    """Whether the answering host is leaving."""

    claim: HostRecord | None = None
    """Record by which the sender is taken for dead."""

    zones: tuple[ZoneDigest, ...] = ()
    """Digests by zone; only where the records differ."""


@dataclass(frozen=True, slots=True)
class ProbeForMe:
    """Asks a host to probe another one."""

    host: str
    """Name of the host to probe."""


@dataclass(frozen=True, slots=True)
class ProbeReport:
    """Answer to `ProbeForMe`."""

    is_reachable: bool
    """Whether the host answered."""


@dataclass(frozen=True, slots=True)
class News:
    """Records that have changed; sent one way, or as an answer."""

    hosts: tuple[HostRecord, ...] = ()
    """Records of hosts."""

    zones: tuple[ZoneRecord, ...] = ()
    """Records of availability zones."""


@dataclass(frozen=True, slots=True)
class Exchange:
    """Brings the records of some zones to the newest on both sides.

    The answer is a `News` of the records that the sender lacks.
    """

    zones: tuple[str, ...]
    """Names of the zones; every zone where empty."""

    news: News
    """Records that the sender holds of these zones."""
