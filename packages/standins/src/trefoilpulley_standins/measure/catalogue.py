"""Generated lists of hosts and databases of any size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.catalog import MemberEntry

if TYPE_CHECKING:
    from collections.abc import Iterator

ZONES = 26
"""Availability zones over which hosts and members are spread."""

ZONES_PER_REGION = 4
"""Availability zones in each region; the last region may have fewer."""

MEMBERS_PER_DATABASE = 3
"""Members in each database group."""

_BASE_PORT = 7000


def make_hosts(count: int) -> tuple[HostEntry, ...]:
    """Return entries of hosts that are spread over the zones."""
    return tuple(_make_host(n) for n in range(count))


def make_databases(count: int) -> tuple[DatabaseEntry, ...]:
    """Return database groups, each spread over the zones of one region."""
    return tuple(_make_database(n) for n in range(count))


def _make_host(number: int) -> HostEntry:
    zone = number % ZONES
    return HostEntry(
        f'entry-host-{number:04d}',
        f'region-{zone // ZONES_PER_REGION}',
        f'region-{zone // ZONES_PER_REGION}-zone-{zone}',
        Endpoint(f'10.{zone}.{number // 250}.{number % 250}', _BASE_PORT),
        Endpoint(f'10.{zone}.{number // 250}.{number % 250}', _BASE_PORT + 1),
    )


def _make_database(number: int) -> DatabaseEntry:
    name = f'ledger-{number % 40}/{number}'
    return DatabaseEntry(
        name, f'ledger-{number % 40}', tuple(_make_members(name, number))
    )


def _make_members(name: str, number: int) -> Iterator[MemberEntry]:
    home_zone = number % ZONES
    region = home_zone // ZONES_PER_REGION
    first_zone = region * ZONES_PER_REGION
    zones = min(ZONES_PER_REGION, ZONES - first_zone)
    for index in range(MEMBERS_PER_DATABASE):
        zone = first_zone + (home_zone - first_zone + index) % zones
        address = f'10.{100 + zone}.{number // 250}.{number % 250}'
        yield MemberEntry(
            f'{name}/{"abc"[index]}',
            f'region-{region}-zone-{zone}',
            Endpoint(address, _BASE_PORT + index),
            2,
            16,
        )
