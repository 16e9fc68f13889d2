"""Messages of the protocol between hosts and stand-in members."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import MemberStatus
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Statement
from trefoilpulley_core.upstream import StatementResult
from trefoilpulley_wire.codec import Codec


@dataclass(frozen=True, slots=True)
class Status:
    """Request for the status of the member."""


@dataclass(frozen=True, slots=True)
class Read:
    """Request to run a read in a snapshot that includes ``floor``."""

    statement: Statement
    """Statement to run."""

    floor: Position
    """Minimum position that the member must have applied."""


@dataclass(frozen=True, slots=True)
class Write:
    """Request to run a write and store its outcome."""

    statement: Statement
    """Statement to run."""

    term: int
    """Term in which the member must be primary."""

    key: OutcomeKey | None
    """Key under which the outcome is stored."""


@dataclass(frozen=True, slots=True)
class BeginTransaction:
    """Request to begin a transaction on this connection."""

    term: int
    """Term in which the member must be primary."""


@dataclass(frozen=True, slots=True)
class RunStatement:
    """Request to run a statement in the open transaction."""

    statement: Statement
    """Statement to run."""


@dataclass(frozen=True, slots=True)
class CommitTransaction:
    """Request to commit the open transaction together with its outcome."""

    key: OutcomeKey | None
    """Key under which the outcome is stored."""


@dataclass(frozen=True, slots=True)
class RollbackTransaction:
    """Request to roll back the open transaction."""


@dataclass(frozen=True, slots=True)
class Resolve:
    """Request for the outcome of a key.

    If no outcome is stored, the member abandons the key, so that a request
    with this key cannot run later.
    """

    key: OutcomeKey
    """Key under which the outcome is stored."""

    term: int
    """Term in which the member must be primary."""


@dataclass(frozen=True, slots=True)
class Fence:
    """Request to reject requests of lower terms from now on."""

    term: int
    """Lowest term that the member still accepts."""


@dataclass(frozen=True, slots=True)
class Promote:
    """Request to become the primary of a term."""

    term: int
    """Term in which the member becomes primary."""


@dataclass(frozen=True, slots=True)
class Follow:
    """Request to become a replica of a primary."""

    term: int
    """Term of the primary."""

    primary: str
    """Name of the primary."""


@dataclass(frozen=True, slots=True)
class MemberResult:
    """Reply to a statement."""

    result: StatementResult
    """Result of the statement."""


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Status of the member.

    The member sends this message as the reply to status and role requests,
    and as a one-way message to connections that have sent `WatchProgress`.
    """

    status: MemberStatus
    """Current status."""


@dataclass(frozen=True, slots=True)
class StillAlive:
    """One-way message that the last `MemberReport` is still current."""


@dataclass(frozen=True, slots=True)
class MemberDone:
    """Reply of a request that succeeded without a result."""


@dataclass(frozen=True, slots=True)
class MemberFailure:
    """Reply of a request that failed."""

    code: str
    """Failure code from the catalogue in `trefoilpulley_core.failure`."""

    detail: str = ''
    """Human-readable detail."""


@dataclass(frozen=True, slots=True)
class WatchProgress:
    """Request for a `MemberReport` whenever the member's progress changes.

    The reports are one-way messages. Changes within a short interval are
    combined into one report. If nothing has changed, the member sends
    `StillAlive` instead.
    """


MEMBER_CODEC = Codec(
    (
        Status,
        Read,
        Write,
        BeginTransaction,
        RunStatement,
        CommitTransaction,
        RollbackTransaction,
        Resolve,
        Fence,
        Promote,
        Follow,
        MemberResult,
        MemberReport,
        StillAlive,
        MemberDone,
        MemberFailure,
        WatchProgress,
    )
)
"""Codec of the connections between hosts and stand-in members."""
