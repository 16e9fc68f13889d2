"""Routes: the freshness and time limits that apply to a database name."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpulley_core.direct.customers import CustomerTable


class ReadFreshness(StrEnum):
    """Commits that a read of a route must see."""

    PRIMARY = 'primary'
    """Every commit that was acknowledged before the read."""

    BOUNDED = 'bounded'
    """Every commit that was acknowledged longer ago than the maximum age."""

    SESSION = 'session'
    """As ``BOUNDED``, and every commit of the same session."""


@dataclass(frozen=True, slots=True)
class Route:
    """Class of work that callers select by a database name."""

    database: str
    """Database name that the caller gives."""

    group: str
    """Database group that serves the route."""

    freshness: ReadFreshness
    """Commits that a read must see."""

    timeout_s: float
    """Timeout of one statement, in seconds."""

    goal_s: float
    """Target latency of an operation, in seconds."""

    priority: int
    """Priority; 0 is the highest."""

    max_age_s: float = 0.0
    """Maximum age of the data that a read accepts, in seconds."""

    is_public: bool = False
    """Whether callers need no key of a customer."""


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Limits of one database group."""

    max_connections: int
    """Connections that a member accepts from all hosts together."""

    synchronous_replicas: int = 0
    """Number of replicas that receive a commit before its acknowledgement."""


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one version of the configuration."""

    version: int = 0
    """Version of the configuration; a higher version replaces a lower one."""

    routes: Mapping[str, Route] = field(default_factory=dict)
    """Routes by database name."""

    groups: Mapping[str, GroupLimits] = field(default_factory=dict)
    """Limits by group name."""

    transaction_idle_timeout_s: float = 3.0
    """Idle time after which a transaction is rolled back, in seconds."""

    max_message_bytes: int = 1 << 20
    """Maximum size of a caller's message, in bytes."""

    customers: CustomerTable | None = None
    """Customers, or ``None`` if the deployment has no customers."""
