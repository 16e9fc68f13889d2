"""Interface to a member of a database group.

An adapter implements `Upstream` for one connection to one member. The
node package contains an adapter for the stand-in member, which uses
CBOR over WebSocket.
"""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure

Parameter = Any
"""Parameter of a statement: ``None``, int, float, str or bytes."""

ANY_CONTENT = ''
"""Content digest of a look-up, which matches any content."""

Row = tuple[Any, ...]
"""One row of a result."""


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Replication progress of a replica, as known to its primary."""

    member: str
    """Name of the replica."""

    position: Position
    """Last position that the replica confirmed in the primary's term."""


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Status that a member reports of itself."""

    member: str
    """Name of the member."""

    is_primary: bool
    """Whether the member believes to be the primary of ``term``."""

    term: int
    """Latest term in which the member was primary or replica."""

    fenced_term: int
    """Lowest term that the member still accepts."""

    history: LogHistory
    """Starts of the terms and end of the member's log."""

    acknowledgements: tuple[Acknowledgement, ...] = ()
    """Progress of the replicas; only from a primary."""

    primary_contact_age_ms: int | None = None
    """Time since the last contact to the primary of ``term``, in ms.

    0 at a primary, ``None`` if there was no contact yet.
    """

    slots_in_use: int = 0
    """Number of running statements and transactions."""

    connections_open: int = 0
    """Number of open connections."""


@dataclass(frozen=True, slots=True)
class Statement:
    """Statement and its parameters."""

    sql: str
    """Text of the statement, passed on unparsed."""

    parameters: tuple[Parameter, ...] = ()
    """Positional parameters of the statement."""


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """Key under which a member stores the outcome of a write.

    The outcome is stored in the transaction of the write.
    """

    tenant: str
    """Tenant of the caller."""

    request_id: str
    """Identifier of the request, unique within the tenant."""

    content_digest: str
    """Digest of the request's content.

    A request with the same identifier and another digest is refused.
    """


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Complete answer to one statement."""

    columns: tuple[str, ...] = ()
    """Column names."""

    rows: tuple[Row, ...] = ()
    """Rows of the result."""

    row_count: int = -1
    """Number of rows changed or returned; -1 where unknown."""

    position: Position = BEGINNING
    """Last position that the statement has seen or written."""

    term: int = 0
    """Term of the member when it executed the statement."""

    is_recalled: bool = False
    """Whether the answer is the stored outcome of an earlier execution."""


class Upstream(abc.ABC):
    """One connection to one member, with answers in request order.

    Every call returns `trefoilpulley_core.failure.PeerUnreachable` if
    the connection breaks before the answer. The member rolls back an
    open transaction when its connection is closed.
    """

    @abc.abstractmethod
    def status(self) -> Result[MemberStatus, Failure]:
        """Request the member's status."""

    @abc.abstractmethod
    def read(
        self, statement: Statement, floor: Position
    ) -> Result[StatementResult, Failure]:
        """Execute a read on a snapshot that includes the floor.

        Fails with ``ReplicaBehind`` if the member's log does not contain
        the floor.
        """

    @abc.abstractmethod
    def write(
        self, statement: Statement, term: int, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Execute a write and store its outcome in the same transaction.

        A write whose key was used before is not executed. The call then
        returns the stored outcome with ``is_recalled``, or fails with
        ``RequestIdReused`` if the digests differ, or with ``NotRun`` if
        the key was abandoned. The call fails with ``NotPrimary`` if the
        member is not the primary of ``term``.
        """

    @abc.abstractmethod
    def begin(self, term: int) -> Result[None, Failure]:
        """Begin a transaction on this connection."""

    @abc.abstractmethod
    def run(self, statement: Statement) -> Result[StatementResult, Failure]:
        """Execute a statement in the open transaction."""

    @abc.abstractmethod
    def commit(
        self, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Commit the open transaction and store its outcome with it."""

    @abc.abstractmethod
    def rollback(self) -> Result[None, Failure]:
        """Roll back the open transaction."""

    @abc.abstractmethod
    def resolve(
        self, key: OutcomeKey, term: int
    ) -> Result[StatementResult, Failure]:
        """Return the stored outcome of a key, or abandon the key.

        If there is no outcome, a marker is written under the key in the
        same transaction, so that a delayed request with the key is
        refused with ``NotRun``. The call then fails with ``NotRun``, and
        the marker is the last record of the log.
        """

    @abc.abstractmethod
    def fence(self, term: int) -> Result[MemberStatus, Failure]:
        """Make the member refuse all lower terms from now on.

        The member ceases to be primary or replica of a lower term. The
        call fails with ``StaleTerm`` if the member is already fenced at
        a higher term, or at the same term by an earlier promotion.
        """

    @abc.abstractmethod
    def promote(self, term: int) -> Result[MemberStatus, Failure]:
        """Make the member the primary of the term at which it is fenced.

        The member writes the first record of the term immediately.
        """

    @abc.abstractmethod
    def follow(self, term: int, primary: str) -> Result[MemberStatus, Failure]:
        """Make the member a replica of the primary of a term.

        A member whose log is not a prefix of the primary's log is
        rebuilt before it serves reads or acknowledges records.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""
