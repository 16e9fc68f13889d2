"""Interface to a connection to a member that keeps session state."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.direct.group_state import MemberRecord


@dataclass(frozen=True, slots=True)
class ConnectionLimitReached(NotRun):
    """The member refused a connection at its connection limit."""

    code = 'connection-limit'


@dataclass(frozen=True, slots=True)
class WrongMember(NotRun):
    """The address now belongs to another member."""

    code = 'wrong-member'


@dataclass(frozen=True, slots=True)
class UnknownStatement(NotRun):
    """The connection has no prepared statement of that name."""

    code = 'unknown-statement'


@dataclass(frozen=True, slots=True)
class UpstreamFailed(Failure):
    """The member ran the statement, and the statement failed."""

    code = 'upstream-failed'
    run_state = RunState.RUN


@dataclass(frozen=True, slots=True)
class UpstreamTimedOut(Failure):
    """The statement timed out after it was sent to a member."""

    code = 'upstream-timed-out'


@dataclass(frozen=True, slots=True)
class CommandRefused(Failure):
    """The command is invalid in the current state of the session."""

    code = 'command-refused'
    run_state = RunState.NOT_RUN


class TransactionState(StrEnum):
    """State of the transaction on a session."""

    IDLE = 'idle'
    """No transaction is open."""

    OPEN = 'open'
    """A transaction is open."""

    FAILED = 'failed'
    """The transaction has failed and can only be rolled back."""


@dataclass(frozen=True, slots=True)
class ResetSession:
    """Clear the variables and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class AssignValue:
    """Set a variable of a connection."""

    name: str
    """Name of the variable."""

    value: str
    """Value of the variable."""


@dataclass(frozen=True, slots=True)
class PrepareShape:
    """Prepare a statement on a connection."""

    alias: str
    """Name of the prepared statement on the connection."""

    shape: str
    """Shape of the statement."""

    is_write: bool
    """Whether the statement writes."""


@dataclass(frozen=True, slots=True)
class OpenTransaction:
    """Open a transaction.

    A member that does not lead refuses a transaction that is not read-only.
    """

    is_read_only: bool
    """Whether the transaction may run at a replica."""

    floor: Position | None = None
    """Position that the member's log must hold; ``None`` for any."""


@dataclass(frozen=True, slots=True)
class RollBack:
    """Roll the open transaction back."""


@dataclass(frozen=True, slots=True)
class CommitTransaction:
    """Commit the caller's transaction."""

    request_id: str
    """Identifier of the caller's request."""


@dataclass(frozen=True, slots=True)
class RunStatement:
    """Run a statement of a caller."""

    request_id: str
    """Identifier of the caller's request."""

    text: str
    """Statement, or the arguments of a prepared statement."""

    alias: str = ''
    """Name of the prepared statement on the connection, or empty."""

    floor: Position | None = None
    """Position that the member's log must hold; ``None`` for any."""


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Request the status of the member's role and log."""


@dataclass(frozen=True, slots=True)
class Demote:
    """Demote a primary of a lower term to a replica."""

    term: int
    """Term above the term that the member leads."""


@dataclass(frozen=True, slots=True)
class HoldReplication:
    """Stop a replica from receiving log records of lower terms."""

    term: int
    """Term above every term that is in use."""


@dataclass(frozen=True, slots=True)
class ResumeReplication:
    """Resume the replication of a replica."""


Call = (
    ResetSession
    | AssignValue
    | PrepareShape
    | OpenTransaction
    | RollBack
    | CommitTransaction
    | RunStatement
    | AskStatus
    | Demote
    | HoldReplication
    | ResumeReplication
)
"""Any request that a host sends to a member."""


@dataclass(frozen=True, slots=True)
class LogStatus:
    """Role and log that a member reports."""

    is_primary: bool
    """Whether the member leads ``term``."""

    term: int
    """Term that the member leads or follows."""

    received: Position
    """Position of the last received record, whether applied or not."""

    held_term: int = 0
    """Term below which the member receives nothing; 0 if it receives."""

    @property
    def is_held(self) -> bool:
        """Whether the member waits for a term that nobody leads yet."""
        return self.held_term > self.term


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete reply to one request."""

    rows: tuple[bytes, ...] = ()
    """Rows as the member sent them."""

    signature: bytes = b''
    """Signature by which the member proves that it ran the statement."""

    failure: Failure | None = None
    """Reason of the request's failure, or ``None``."""

    state: TransactionState = TransactionState.IDLE
    """State of the connection's transaction after the request."""

    position: Position = BEGINNING
    """End of the member's log after the request.

    ``BEGINNING`` if the position is unknown.
    """

    status: LogStatus | None = None
    """Role and log of the member.

    Set only in the replies to ``AskStatus``, ``Demote`` and
    ``HoldReplication``.
    """


class UpstreamSession(abc.ABC):
    """One connection to one member.

    The replies arrive in the order of the requests.
    """

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether the connection is open and no reply is outstanding."""

    @abc.abstractmethod
    def exchange(
        self, calls: Sequence[Call], timeout_s: float
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests in one write and wait for every reply.

        If the connection breaks or the replies time out, the connection is
        closed, which rolls back its transaction. The method then returns
        ``PeerUnreachable`` or ``UpstreamTimedOut``.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; the member rolls back its transaction."""


class UpstreamDialer(abc.ABC):
    """Opens connections to members."""

    @abc.abstractmethod
    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Result[UpstreamSession, Failure]:
        """Open a connection to a member.

        The member is told the name of the customer that the connection
        belongs to, or the name of this host where ``customer`` is empty.

        Returns ``PeerUnreachable``, ``ConnectionLimitReached`` or, if the
        address belongs to another member, ``WrongMember`` on failure.
        """
