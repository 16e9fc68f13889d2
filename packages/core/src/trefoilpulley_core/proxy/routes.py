"""Routes: what callers of a database name are promised."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class ReadFreshness(StrEnum):
    """What a read of a route must hold."""

    PRIMARY = 'primary'
    """Every commit acknowledged before the read."""

    BOUNDED = 'bounded'
    """Every commit acknowledged before a stated age."""

    SESSION = 'session'
    """As bounded, and every commit of the same session."""


@dataclass(frozen=True, slots=True)
class Route:
    """Class of work that callers reach by a database name."""

    database: str
    """Name that callers give."""

    group: str
    """Database group that serves the route."""

    freshness: ReadFreshness
    """What a read must hold."""

    timeout_s: float
    """Longest time of one statement, in seconds."""

    goal_s: float
    """Time in which an operation should be answered, in seconds."""

    priority: int
    """Importance; 0 is the highest."""

    max_age_s: float = 0.0
    """Age of the data that a read accepts, in seconds."""


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Limits of one database group."""

    max_connections: int
    """Connections that a member takes from all hosts together."""

    synchronous_replicas: int = 0
    """Replicas that receive a commit before it is acknowledged."""


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one version of the configuration."""

    version: int = 0
    """Version; a higher one replaces a lower one."""

    routes: Mapping[str, Route] = field(default_factory=dict)
    """Routes by database name."""

    groups: Mapping[str, GroupLimits] = field(default_factory=dict)
    """Limits by group name."""

    transaction_idle_timeout_s: float = 3.0
    """Time after which an idle transaction is rolled back, in seconds."""

    max_message_bytes: int = 1 << 20
    """Longest message of a caller, in bytes."""
