"""Settings of the simulated members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_node.settings_file import format_settings
from trefoilpulley_node.settings_file import read_settings

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class MemberPeer:
    """Replication address at which a member reaches another member."""

    name: str
    """Name of the member."""

    endpoint: Endpoint
    """Replication address."""


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of one member."""

    name: str
    """Name of the member."""

    listen: Endpoint
    """Address for statements and control."""

    replication_listen: Endpoint
    """Address for the replication with the other members."""

    primary: str
    """Name of the first term's primary."""

    peers: tuple[MemberPeer, ...] = ()
    """Other members of the group."""

    schema: tuple[str, ...] = ()
    """SQL statements that create the tables before the first record."""

    slots: int = 2
    """Greatest number of concurrent statements and transactions."""

    connections: int = 16
    """Greatest number of open connections."""

    connect_ms: float = 0.0
    """Delay before a new connection is served, in milliseconds."""

    statement_ms: float = 0.0
    """Simulated execution time of a statement, in milliseconds."""

    lag_ms: float = 0.0
    """Delay before a replica applies records, in milliseconds."""

    is_rejoining: bool = False
    """Whether the member lost its log and joins again without it."""


@dataclass(frozen=True, slots=True)
class GroupSettings:
    """Settings of the members in one file, which may share a process."""

    members: tuple[MemberSettings, ...]
    """Settings of each member."""


def load_group(path: Path) -> GroupSettings:
    """Read a settings file."""
    return read_settings(path, GroupSettings).unwrap()


def dump_group(cfg: GroupSettings) -> str:
    """Return the settings as JSON text."""
    return format_settings(cfg)
