"""Interface to a member of a database group.

An adapter implements `Upstream` for one connection to one member. The
node package has one over WebSocket and CBOR for the stand-in member.
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
"""Value of a statement's parameter: ``None``, int, float, str or bytes."""

ANY_CONTENT = ''
"""Content digest of a look-up, which fits the outcome of any content."""

Row = tuple[Any, ...]
"""One row of a result."""


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Progress of a replica as its primary knows it."""

    member: str
    """Name of the replica."""

    position: Position
    """Last record that the replica confirmed under the primary's term."""


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a member says of itself."""

    member: str
    """Name of the member."""

    is_primary: bool
    """Whether the member believes that it leads ``term``."""

    term: int
    """Term that the member last led or followed."""

    fenced_term: int
    """Lowest term that the member still accepts."""

    history: LogHistory
    """Terms and end of the member's log."""

    acknowledgements: tuple[Acknowledgement, ...] = ()
    """Progress of the replicas; only at a primary."""

    primary_contact_age_ms: int | None = None
    """Time since the member last heard from the primary of its term.

    0 at a primary, ``None`` where it never heard from one.
    """

    slots_in_use: int = 0
    """Statements and transactions running."""

    connections_open: int = 0
    """Connections open."""


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement with its parameters."""

    sql: str
    """Text, passed through without parsing."""

    parameters: tuple[Parameter, ...] = ()
    """Positional parameters."""


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """Key under which the outcome of a write is kept with its effect."""

    tenant: str
    """Tenant of the caller."""

    request_id: str
    """Identifier of the request, unique in the tenant."""

    content_digest: str
    """Digest of the request's content; a reuse with another is refused."""


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Whole answer to one statement."""

    columns: tuple[str, ...] = ()
    """Names of the columns."""

    rows: tuple[Row, ...] = ()
    """Rows."""

    row_count: int = -1
    """Rows changed or returned; -1 where unknown."""

    position: Position = BEGINNING
    """End of the member's log that the statement has seen or written."""

    term: int = 0
    """Term of the member when it ran the statement."""

    is_recalled: bool = False
    """Whether the answer comes from a kept outcome and ran before."""


class Upstream(abc.ABC):
    """One connection to one member; answers come in order of requests.

    Every call returns a failure of type
    `trefoilpulley_core.failure.PeerUnreachable` where the connection
    breaks before the answer; the member rolls back an open transaction
    when its connection closes.
    """

    @abc.abstractmethod
    def status(self) -> Result[MemberStatus, Failure]:
        """Ask the member for its status."""

    @abc.abstractmethod
    def read(
        self, statement: Statement, floor: Position
    ) -> Result[StatementResult, Failure]:
        """Run a read in a snapshot that holds the floor.

        Fails with ``ReplicaBehind`` where the member's log does not
        contain the floor.
        """

    @abc.abstractmethod
    def write(
        self, statement: Statement, term: int, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Run a write and keep its outcome in one transaction.

        With a key that was used before, nothing runs: the kept outcome
        comes back with ``is_recalled``; ``RequestIdReused`` where the
        digests differ; ``NotRun`` where the key was abandoned.
        Fails with ``NotPrimary`` where the member does not lead
        ``term``.
        """

    @abc.abstractmethod
    def begin(self, term: int) -> Result[None, Failure]:
        """Begin a transaction on this connection."""

    @abc.abstractmethod
    def run(self, statement: Statement) -> Result[StatementResult, Failure]:
        """Run a statement inside the open transaction."""

    @abc.abstractmethod
    def commit(
        self, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Commit the open transaction together with its outcome."""

    @abc.abstractmethod
    def rollback(self) -> Result[None, Failure]:
        """Roll back the open transaction."""

    @abc.abstractmethod
    def resolve(
        self, key: OutcomeKey, term: int
    ) -> Result[StatementResult, Failure]:
        """Return the kept outcome of a key, or abandon the key.

        Where no outcome is kept, a marker is written under the key in
        the same transaction, so that a late request under it is refused
        with ``NotRun``. The failure is then ``NotRun`` and the position
        of the marker is the end of the log.
        """

    @abc.abstractmethod
    def fence(self, term: int) -> Result[MemberStatus, Failure]:
        """Make the member refuse every lower term from now on.

        The member stops to lead and to follow lower terms. Fails with
        ``StaleTerm`` where it is fenced at a higher term already, or at
        the same term by an earlier promotion.
        """

    @abc.abstractmethod
    def promote(self, term: int) -> Result[MemberStatus, Failure]:
        """Make the member the primary of a term it is fenced at.

        It writes the first record of the term at once.
        """

    @abc.abstractmethod
    def follow(self, term: int, primary: str) -> Result[MemberStatus, Failure]:
        """Make the member a replica of the primary of a term.

        A member whose log is not a prefix of the primary's is rebuilt
        before it serves a read or counts as a copy.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection."""
