"""Database groups as the platform lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Presence(StrEnum):
    """States in the platform's list of hosts and members."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Network address of a process."""

    address: str
    """IP number."""

    port: int
    """TCP port."""


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """One member of a database group."""

    name: str
    """Name, unique in the deployment, such as ``register-ledger/0/a``."""

    zone: str
    """Availability zone of the member."""

    endpoint: Endpoint
    """Address of the member."""

    slots: int
    """Statements or transactions that may run at once."""

    connections: int
    """Connections that may be open at once."""

    presence: Presence = Presence.LIVE
    """Whether the member is leaving."""


@dataclass(frozen=True, slots=True)
class DatabaseEntry:
    """One database group; its first member is its home primary."""

    name: str
    """Name, such as ``register-ledger/0``."""

    ledger: str
    """Ledger that the database belongs to."""

    members: tuple[MemberEntry, ...]
    """Members; the first is the primary of the home layout."""

    def find_member(self, name: str) -> MemberEntry | None:
        """Return the member with a name, or ``None``."""
        return next((m for m in self.members if m.name == name), None)

    @property
    def majority(self) -> int:
        """Number of members that make a majority."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry host in the platform's lagging list."""

    name: str
    """Name of the host."""

    region: str
    """Region of the host."""

    zone: str
    """Availability zone of the host."""

    endpoint: Endpoint
    """Address for callers."""

    peer_endpoint: Endpoint
    """Address for other hosts."""

    presence: Presence = Presence.LIVE
    """Whether the host is leaving."""


@dataclass(frozen=True, slots=True)
class Catalog:
    """Database groups and hosts of a deployment."""

    databases: tuple[DatabaseEntry, ...] = ()
    """Database groups."""

    hosts: tuple[HostEntry, ...] = ()
    """Entry hosts, as the platform last knew them."""

    def find_database(self, name: str) -> DatabaseEntry | None:
        """Return the database with a name, or ``None``."""
        return next((d for d in self.databases if d.name == name), None)
