"""Messages of the stand-in member's protocol."""

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
    """Asks for the member's status."""


@dataclass(frozen=True, slots=True)
class Read:
    """Runs a read in a snapshot that holds the floor."""

    statement: Statement
    """Statement."""

    floor: Position
    """Position that the member must hold."""


@dataclass(frozen=True, slots=True)
class Write:
    """Runs a write and keeps its outcome."""

    statement: Statement
    """Statement."""

    term: int
    """Term that the member must lead."""

    key: OutcomeKey | None
    """Key of the outcome."""


@dataclass(frozen=True, slots=True)
class BeginTransaction:
    """Begins a transaction on this connection."""

    term: int
    """Term that the member must lead."""


@dataclass(frozen=True, slots=True)
class RunStatement:
    """Runs a statement in the open transaction."""

    statement: Statement
    """Statement."""


@dataclass(frozen=True, slots=True)
class CommitTransaction:
    """Commits the open transaction with its outcome."""

    key: OutcomeKey | None
    """Key of the outcome."""


@dataclass(frozen=True, slots=True)
class RollbackTransaction:
    """Rolls the open transaction back."""


@dataclass(frozen=True, slots=True)
class Resolve:
    """Returns the outcome of a key, or abandons the key."""

    key: OutcomeKey
    """Key of the outcome."""

    term: int
    """Term that the member must lead."""


@dataclass(frozen=True, slots=True)
class Fence:
    """Makes the member refuse lower terms."""

    term: int
    """Lowest term accepted from now on."""


@dataclass(frozen=True, slots=True)
class Promote:
    """Makes the member the primary of a term."""

    term: int
    """Term to lead."""


@dataclass(frozen=True, slots=True)
class Follow:
    """Makes the member a replica."""

    term: int
    """Term to follow."""

    primary: str
    """Name of the primary."""


@dataclass(frozen=True, slots=True)
class MemberResult:
    """Answer to a statement."""

    result: StatementResult
    """Whole result."""


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Answer to the control messages; also sent unasked on progress."""

    status: MemberStatus
    """Status of the member."""


@dataclass(frozen=True, slots=True)
class StillAlive:
    """Sent unasked where the last `MemberReport` still holds."""


@dataclass(frozen=True, slots=True)
class MemberDone:
    """Answer without a result."""


@dataclass(frozen=True, slots=True)
class MemberFailure:
    """Typed failure."""

    code: str
    """Code of the failure in the catalogue."""

    detail: str = ''
    """Facts for a person."""


@dataclass(frozen=True, slots=True)
class WatchProgress:
    """Asks for a `MemberReport` whenever the member's progress changes.

    Reports come as one-way messages, joined over a short time; where
    nothing has changed, `StillAlive` takes their place.
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
"""Codec of the connections to a member."""
