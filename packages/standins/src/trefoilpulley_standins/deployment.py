"""Deployments that the stand-ins can run on one machine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes, delays and workload of a deployment."""

    name: str
    """Name of the deployment, and of its file of example declarations."""

    region: str
    """Region of all availability zones."""

    zones: tuple[str, ...]
    """Availability zones."""

    ledger: str
    """Ledger that the databases belong to."""

    tenants: tuple[str, ...]
    """Tenants; each tenant gets a secret of its own."""

    schema: tuple[str, ...]
    """SQL statements that create the schema of each database."""

    table: str
    """Table that the workload uses."""

    write_class: str
    """Class of work of the workload's transactions."""

    databases: int = 3
    """Number of databases of the ledger."""

    members: int = 3
    """Number of members of each database."""

    slots: int = 2
    """Number of slots of each member."""

    connections: int = 16
    """Connection limit of each member."""

    connect_ms: float = 12.0
    """Time to open a connection to a member, in milliseconds."""

    zone_delay_ms: float = 3.0
    """One-way delay between availability zones, in milliseconds."""

    client_delay_ms: float = 1.0
    """One-way delay to callers, in milliseconds."""

    jitter_ms: float = 0.5
    """Maximum random delay added between zones, in milliseconds."""

    loss: float = 0.0005
    """Share of the packets between zones that are lost and retransmitted."""

    lag_ms: float = 5.0
    """Replication lag, in milliseconds."""

    hosts: int = 8
    """Number of entry hosts."""

    def database_name(self, number: int) -> str:
        """Return the name of a database."""
        return f'{self.ledger}/{number}'

    def host_zone(self, number: int) -> str:
        """Return the availability zone of an entry host."""
        return self.zones[number % len(self.zones)]

    def member_zone(self, database: int, number: int) -> str:
        """Return the availability zone of a member.

        The home primaries of the databases are distributed over the zones.
        """
        return self.zones[(database + number) % len(self.zones)]


_FILINGS = (
    'create table filings ('
    'id integer primary key autoincrement, '
    'request text not null, session text not null, part integer not null)',
    'create index filings_of_session on filings (session)',
)
_BOOKINGS = tuple(sql.replace('filings', 'bookings') for sql in _FILINGS)

DEPLOYMENTS = (
    Deployment(
        'karamanlis',
        'gr-north',
        ('gr-north-a', 'gr-north-b', 'gr-north-c'),
        'register-ledger',
        ('karamanlis', 'weavers', 'clan-societies'),
        _FILINGS,
        'filings',
        'filing',
    ),
    Deployment(
        'sleevecraft',
        'luzon',
        ('manila-north', 'manila-south', 'laguna', 'pampanga'),
        'shared-ledger',
        ('bulacan-sleeves', 'cavite-sleeves', 'quezon-sleeves'),
        _BOOKINGS,
        'bookings',
        'booking',
        connections=30,
        connect_ms=30.0,
        zone_delay_ms=5.0,
    ),
)
"""Available deployments."""


def find_deployment(name: str) -> Deployment:
    """Return the deployment with a name."""
    return next(d for d in DEPLOYMENTS if d.name == name)
