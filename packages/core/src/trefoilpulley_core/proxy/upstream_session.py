"""Interface to one connection of a member that keeps a session."""

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

    from trefoilpulley_core.proxy.group_state import MemberRecord


@dataclass(frozen=True, slots=True)
class ConnectionLimitReached(NotRun):
    """The member has as many connections open as it allows."""

    code = 'connection-limit'


@dataclass(frozen=True, slots=True)
class WrongMember(NotRun):
    """The address belongs to another member by now."""

    code = 'wrong-member'


@dataclass(frozen=True, slots=True)
class UnknownStatement(NotRun):
    """The connection knows no prepared statement of that name."""

    code = 'unknown-statement'


@dataclass(frozen=True, slots=True)
class UpstreamFailed(Failure):
    """The member ran the statement and it failed."""

    code = 'upstream-failed'
    run_state = RunState.RUN


@dataclass(frozen=True, slots=True)
class UpstreamTimedOut(Failure):
    """The statement ran out of time after it was sent to a member."""

    code = 'upstream-timed-out'


@dataclass(frozen=True, slots=True)
class CommandRefused(Failure):
    """The command does not fit the state of the session."""

    code = 'command-refused'
    run_state = RunState.NOT_RUN


class TransactionState(StrEnum):
    """State of a session's transaction."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class ResetSession:
    """Clear the values and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class AssignValue:
    """Set a value of a connection."""

    name: str
    """Name of the value."""

    value: str
    """Value."""


@dataclass(frozen=True, slots=True)
class PrepareShape:
    """Prepare a statement on a connection."""

    alias: str
    """Name on the connection."""

    shape: str
    """Shape of the statement."""

    is_write: bool
    """Whether the statement writes."""


@dataclass(frozen=True, slots=True)
class OpenTransaction:
    """Open a transaction; a plain one is refused where no leader is."""

    is_read_only: bool
    """Whether the transaction may run at a replica."""

    floor: Position | None = None
    """Position that the member's log must hold."""


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
    """Statement, or the arguments of a prepared one."""

    alias: str = ''
    """Name of the prepared statement on the connection, or empty."""

    floor: Position | None = None
    """Position that the member's log must hold."""


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask for the member's role and log."""


@dataclass(frozen=True, slots=True)
class Demote:
    """Make a primary of a lower term a replica."""

    term: int
    """Term that the member must give way to."""


@dataclass(frozen=True, slots=True)
class HoldReplication:
    """Stop a replica from receiving records of lower terms."""

    term: int
    """Term above every term in use."""


@dataclass(frozen=True, slots=True)
class ResumeReplication:
    """Let a replica receive again."""


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
"""Any request to a member."""


@dataclass(frozen=True, slots=True)
class LogStatus:
    """What a member says of its role and log."""

    is_primary: bool
    """Whether the member leads ``term``."""

    term: int
    """Term that the member leads or follows."""

    received: Position
    """Last record received, applied or not."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Whole answer to one request."""

    rows: tuple[bytes, ...] = ()
    """Rows as the member sent them."""

    signature: bytes = b''
    """Proof of the member that it ran the statement."""

    failure: Failure | None = None
    """Why the request failed, or ``None``."""

    state: TransactionState = TransactionState.IDLE
    """State of the connection's transaction afterwards."""

    position: Position = BEGINNING
    """End of the member's log afterwards; the beginning if unknown."""

    status: LogStatus | None = None
    """Role and log; only after requests that ask for it."""


class UpstreamSession(abc.ABC):
    """One connection to one member; replies come in order."""

    @property
    @abc.abstractmethod
    def is_usable(self) -> bool:
        """Whether the connection is open and owes no reply."""

    @abc.abstractmethod
    def exchange(
        self, calls: Sequence[Call], timeout_s: float
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests in one write and wait for every reply.

        A connection that breaks or stays silent is closed, which rolls
        back its transaction, and ``PeerUnreachable`` or
        ``UpstreamTimedOut`` is returned.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; the member rolls back."""


class UpstreamDialer(abc.ABC):
    """Opens connections to members."""

    @abc.abstractmethod
    def dial(
        self, member: MemberRecord, timeout_s: float
    ) -> Result[UpstreamSession, Failure]:
        """Open a connection to exactly this member.

        Fails with ``PeerUnreachable``, ``ConnectionLimitReached`` or
        ``WrongMember``.
        """
