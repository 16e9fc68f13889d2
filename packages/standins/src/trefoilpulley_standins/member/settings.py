"""Settings of the stand-in members."""

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
    """Replication address of another member, as this one reaches it."""

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
    """Address for the other members."""

    primary: str
    """Name of the first term's primary."""

    peers: tuple[MemberPeer, ...] = ()
    """The other members of the group."""

    schema: tuple[str, ...] = ()
    """Statements run before the first record."""

    slots: int = 2
    """Statements or transactions that may run at once."""

    connections: int = 16
    """Connections that may be open at once."""

    connect_ms: float = 0.0
    """Time that a new connection costs, in milliseconds."""

    statement_ms: float = 0.0
    """Time for which each statement holds its slot, in milliseconds."""

    lag_ms: float = 0.0
    """Time for which a replica holds records back, in milliseconds."""

    is_rejoining: bool = False
    """Whether the member has lost its log."""


@dataclass(frozen=True, slots=True)
class GroupSettings:
    """Settings of members that share a file, and may share a process."""

    members: tuple[MemberSettings, ...]
    """Members."""


def load_group(path: Path) -> GroupSettings:
    """Read a settings file."""
    return read_settings(path, GroupSettings).unwrap()


def dump_group(cfg: GroupSettings) -> str:
    """Return the JSON text of settings."""
    return format_settings(cfg)
