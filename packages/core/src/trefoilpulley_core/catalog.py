"""Databases and hosts, as listed by the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Presence(StrEnum):
    """States of hosts and members in the platform's lists."""

    LIVE = 'live'
    """The host or member accepts new work."""

    LEAVING = 'leaving'
    """The host or member is about to stop."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Network endpoint of a process."""

    address: str
    """IP address."""

    port: int
    """TCP port."""


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """One member of a database group."""

    name: str
    """Name, unique within the deployment, e.g. ``register-ledger/0/a``."""

    zone: str
    """Availability zone of the member."""

    endpoint: Endpoint
    """Network endpoint of the member."""

    slots: int
    """Number of statements or transactions that may run concurrently."""

    connections: int
    """Number of connections that may be open concurrently."""

    presence: Presence = Presence.LIVE
    """Whether the member is live or leaving."""


@dataclass(frozen=True, slots=True)
class DatabaseEntry:
    """One database group."""

    name: str
    """Name, e.g. ``register-ledger/0``."""

    ledger: str
    """Name of the ledger that the database belongs to."""

    members: tuple[MemberEntry, ...]
    """Members; the first is the home primary."""

    def find_member(self, name: str) -> MemberEntry | None:
        """Return the member with a name, or ``None``."""
        return next((m for m in self.members if m.name == name), None)

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return len(self.members) // 2 + 1


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One entry host in the platform's list, which may be outdated."""

    name: str
    """Name of the host."""

    region: str
    """Region of the host."""

    zone: str
    """Availability zone of the host."""

    endpoint: Endpoint
    """Network endpoint for callers."""

    peer_endpoint: Endpoint
    """Network endpoint for other hosts."""

    presence: Presence = Presence.LIVE
    """Whether the host is live or leaving."""

    capacity: float = 1.0
    """Processor capacity of the host, relative to other hosts.

    1 if the host publishes none.
    """


@dataclass(frozen=True, slots=True)
class Catalog:
    """Database groups and hosts of a deployment."""

    databases: tuple[DatabaseEntry, ...] = ()
    """Database groups of the deployment."""

    hosts: tuple[HostEntry, ...] = ()
    """Entry hosts in the platform's list, which may be outdated."""

    def find_database(self, name: str) -> DatabaseEntry | None:
        """Return the database with a name, or ``None``."""
        return next((d for d in self.databases if d.name == name), None)
