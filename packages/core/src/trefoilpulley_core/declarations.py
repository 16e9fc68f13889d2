"""Declarations of operators: classes of work, tenants, planned stops."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FreshnessKind(StrEnum):
    """Kinds of freshness targets."""

    AGE = 'age'
    """Data up to a given age that includes the session's own writes."""

    SESSION = 'session'
    """Data of any age that includes the session's own writes."""

    PRESENT = 'present'
    """Data that the primary holds when the request arrives."""


class WorkKind(StrEnum):
    """Whether a class of work reads or writes."""

    READ = 'read'
    WRITE = 'write'


@dataclass(frozen=True, slots=True)
class Freshness:
    """Freshness target of a class of work."""

    kind: FreshnessKind
    """Kind of the target."""

    max_age_ms: int | None = None
    """Maximum age of the data, in milliseconds; only for ``AGE``."""


@dataclass(frozen=True, slots=True)
class Promptness:
    """Promptness target of a class of work."""

    within_ms: int
    """Time limit for an answer, in milliseconds."""

    share: float
    """Share of answers that must be in time, above 0 and at most 1."""


@dataclass(frozen=True, slots=True)
class Safety:
    """Safety target of a class of work."""

    copies: int = 2
    """Number of members that must hold a write before its acknowledgement.

    At least a majority, so that an isolated primary can't acknowledge
    writes.
    """

    is_repeatable: bool = False
    """Whether a request may run more than once."""


@dataclass(frozen=True, slots=True)
class WorkClass:
    """One class of work and its targets."""

    name: str
    """Name that requests refer to."""

    work: WorkKind
    """Whether the class reads or writes."""

    freshness: Freshness
    """Freshness target of reads."""

    promptness: Promptness
    """Promptness target of answers."""

    safety: Safety
    """Safety target of writes, and whether requests may be repeated."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission of a tenant to use classes of work on a ledger."""

    ledger: str
    """Name of the ledger or of one of its databases."""

    classes: tuple[str, ...]
    """Names of the permitted classes of work."""

    def covers(self, ledger: str, database: str) -> bool:
        """Return whether the permission applies to a ledger's database."""
        return self.ledger in (ledger, database)


@dataclass(frozen=True, slots=True)
class Tenant:
    """Customer, whose data is isolated from that of other customers."""

    name: str
    """Name of the tenant."""

    grants: tuple[Grant, ...]
    """Permissions of the tenant's callers."""


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Planned stop of a ledger's members in one availability zone."""

    name: str
    """Name that identifies the stop when it is listed or cancelled."""

    ledger: str
    """Name of the ledger."""

    zone: str
    """Name of the availability zone."""


@dataclass(frozen=True, slots=True)
class Declarations:
    """Complete document of declarations."""

    classes: tuple[WorkClass, ...] = ()
    """Classes of work."""

    tenants: tuple[Tenant, ...] = ()
    """Tenants and their permissions."""

    stops: tuple[PlannedStop, ...] = ()
    """Planned stops."""

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
    """Revision number, incremented by each accepted change."""

    change_id: str
    """Identifier of the change that wrote this revision."""

    declarations: Declarations
    """Declarations in force."""

    recent_changes: tuple[str, ...] = ()
    """Identifiers of previous changes, newest first."""
