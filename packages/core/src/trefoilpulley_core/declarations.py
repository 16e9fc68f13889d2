"""Operators' declarations: classes of work, tenants and planned stops."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FreshnessKind(StrEnum):
    """How fresh the answers of a class must be."""

    AGE = 'age'
    """At most a stated age, and the session's own writes."""

    SESSION = 'session'
    """The session's own writes, at any age."""

    PRESENT = 'present'
    """What the primary holds when the request arrives."""


class WorkKind(StrEnum):
    """Whether a class of work reads or writes."""

    READ = 'read'
    WRITE = 'write'


@dataclass(frozen=True, slots=True)
class Freshness:
    """Freshness target of a class of work."""

    kind: FreshnessKind
    """What the answers must hold."""

    max_age_ms: int | None = None
    """Greatest age in milliseconds; only for ``AGE``."""


@dataclass(frozen=True, slots=True)
class Promptness:
    """Promptness target of a class of work."""

    within_ms: int
    """Time within which an answer is due, in milliseconds."""

    share: float
    """Share of the answers that must be in time, above 0, at most 1."""


@dataclass(frozen=True, slots=True)
class Safety:
    """Safety target of a class of work."""

    copies: int = 2
    """Members that hold a write before its acknowledgement.

    At least a majority, so that an isolated primary acknowledges
    nothing.
    """

    is_repeatable: bool = False
    """Whether a request may run more than once."""


@dataclass(frozen=True, slots=True)
class WorkClass:
    """One class of work and its targets."""

    name: str
    """Name that requests carry."""

    work: WorkKind
    """Whether the class reads or writes."""

    freshness: Freshness
    """How fresh its answers must be."""

    promptness: Promptness
    """How soon its answers are due."""

    safety: Safety
    """What a write must survive."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Right of a tenant to use classes of work on a ledger."""

    ledger: str
    """Name of the ledger, or of one of its databases."""

    classes: tuple[str, ...]
    """Names of the classes of work."""

    def covers(self, ledger: str, database: str) -> bool:
        """Return whether the right holds on a database of a ledger."""
        return self.ledger in (ledger, database)


@dataclass(frozen=True, slots=True)
class Tenant:
    """Customer whose callers share no data with another's."""

    name: str
    """Name of the tenant."""

    grants: tuple[Grant, ...]
    """What the tenant's callers may use."""


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Planned stop of the upstreams of one availability zone."""

    name: str
    """Name by which the stop is listed and cancelled."""

    ledger: str
    """Ledger whose members stop."""

    zone: str
    """Availability zone whose members of the ledger stop."""


@dataclass(frozen=True, slots=True)
class Declarations:
    """The whole document of declarations."""

    classes: tuple[WorkClass, ...] = ()
    """Classes of work."""

    tenants: tuple[Tenant, ...] = ()
    """Tenants and their rights."""

    stops: tuple[PlannedStop, ...] = ()
    """Planned stops in force."""

    def find_class(self, name: str) -> WorkClass | None:
        """Return the class of work with a name, or ``None``."""
        return next((c for c in self.classes if c.name == name), None)

    def find_tenant(self, name: str) -> Tenant | None:
        """Return the tenant with a name, or ``None``."""
        return next((t for t in self.tenants if t.name == name), None)


@dataclass(frozen=True, slots=True)
class Configuration:
    """Declarations as stored in the platform's service."""

    revision: int
    """Number of the change; each accepted change raises it by one."""

    change_id: str
    """Identifier of the change that wrote this document."""

    declarations: Declarations
    """Document in force."""

    recent_changes: tuple[str, ...] = ()
    """Identifiers of the changes before, newest first."""
