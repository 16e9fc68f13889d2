"""Made lists of hosts and databases of any size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.catalog import MemberEntry

if TYPE_CHECKING:
    from collections.abc import Iterator

ZONES = 26
"""Zones over which hosts and members are spread."""

ZONES_A_REGION = 4
"""Zones of a region, but for the last one."""

MEMBERS = 3
"""Members of each database."""

_PORT = 7000


def make_hosts(count: int) -> tuple[HostEntry, ...]:
    """Return the entries of hosts, spread over the zones."""
    return tuple(_make_host(n) for n in range(count))


def make_databases(count: int) -> tuple[DatabaseEntry, ...]:
    """Return database groups whose members stand in zones of a region."""
    return tuple(_make_database(n) for n in range(count))


def _make_host(number: int) -> HostEntry:
    zone = number % ZONES
    return HostEntry(
        f'entry-host-{number:04d}',
        f'region-{zone // ZONES_A_REGION}',
        f'region-{zone // ZONES_A_REGION}-zone-{zone}',
        Endpoint(f'10.{zone}.{number // 250}.{number % 250}', _PORT),
        Endpoint(f'10.{zone}.{number // 250}.{number % 250}', _PORT + 1),
    )


def _make_database(number: int) -> DatabaseEntry:
    name = f'ledger-{number % 40}/{number}'
    return DatabaseEntry(
        name, f'ledger-{number % 40}', tuple(_make_members(name, number))
    )


def _make_members(name: str, number: int) -> Iterator[MemberEntry]:
    home = number % ZONES
    region = home // ZONES_A_REGION
    first = region * ZONES_A_REGION
    zones = min(ZONES_A_REGION, ZONES - first)
    for place in range(MEMBERS):
        zone = first + (home - first + place) % zones
        address = f'10.{100 + zone}.{number // 250}.{number % 250}'
        yield MemberEntry(
            f'{name}/{"abc"[place]}',
            f'region-{region}-zone-{zone}',
            Endpoint(address, _PORT + place),
            2,
            16,
        )
