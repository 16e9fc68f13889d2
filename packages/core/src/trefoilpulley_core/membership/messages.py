"""Messages of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import ZoneDigest
from trefoilpulley_core.membership.record import ZoneRecord


@dataclass(frozen=True, slots=True)
class Versions:
    """Revisions of the documents that a host holds."""

    configuration: int = 0
    """Revision of the declarations."""

    databases: int = 0
    """Revision of the list of database groups."""

    hosts: int = 0
    """Revision of the list of hosts."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Request to a host to confirm that it is alive."""

    host: str
    """Name of the sender."""

    incarnation: int
    """Incarnation of the sender."""

    digest: int
    """Digest of the sender's records."""

    versions: Versions
    """Revisions of the documents that the sender holds."""


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer to `Probe`."""

    incarnation: int
    """Incarnation of the answering host."""

    versions: Versions
    """Revisions of the documents that the answering host holds."""

    is_leaving: bool = False
    """Whether the answering host is leaving."""

    claim: HostRecord | None = None
    """Record that declares the sender dead, if the answering host has one."""

    zones: tuple[ZoneDigest, ...] = ()
    """Digest of each zone; empty if the digests of all records are equal."""


@dataclass(frozen=True, slots=True)
class ProbeForMe:
    """Request to a host to probe another host."""

    host: str
    """Name of the host to probe."""


@dataclass(frozen=True, slots=True)
class ProbeReport:
    """Answer to `ProbeForMe`."""

    is_reachable: bool
    """Whether the probed host answered."""


@dataclass(frozen=True, slots=True)
class News:
    """Changed records, sent as a one-way message or as an answer."""

    hosts: tuple[HostRecord, ...] = ()
    """Records of hosts."""

    zones: tuple[ZoneRecord, ...] = ()
    """Records of availability zones."""


@dataclass(frozen=True, slots=True)
class Exchange:
    """Request that synchronizes the records of some zones on both hosts.

    The answer is a `News` with the records that the sender lacks.
    """

    zones: tuple[str, ...]
    """Names of the zones; empty for every zone."""

    news: News
    """Records of these zones that the sender holds."""
