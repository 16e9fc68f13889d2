"""Messages by which a host uses another host's connections to a member."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.direct.commands import Prepare
from trefoilpulley_core.direct.evidence_messages import EvidenceReport
from trefoilpulley_core.direct.upstream_session import Call
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position


@dataclass(frozen=True, slots=True)
class RelayedCalls:
    """Request to a holder to send calls to a member in a single write."""

    group: str
    """Group of the member."""

    member: str
    """Identifier of the member."""

    lease: int
    """Number of the session, unique on the connection to the holder.

    The holder keeps a connection to the member reserved for the lease while
    a transaction is open on this connection.
    """

    priority: int
    """Priority of the route; 0 is the highest."""

    remaining_ms: int
    """Time left for the replies, in milliseconds."""

    admit_ms: int
    """Maximum time in the holder's queue, in milliseconds."""

    calls: tuple[Call, ...]
    """Requests to the member."""

    values: dict[str, str] | None = None
    """Variables of the caller's session.

    With ``None``, the variables of the connection are not changed.
    """

    prepared: Prepare | None = None
    """Prepared statement that the calls execute, if any."""

    is_pinned: bool = False
    """Whether the lease must have an open transaction."""

    goal_ms: int | None = None
    """Time left to meet the goal of the work, in milliseconds.

    ``None`` for ``remaining_ms``. Negative if the goal is missed already.
    """

    kind: str = ''
    """Kind of the work: the database name of its route."""

    customer: str = ''
    """Customer that the connection must belong to; empty for none."""

    is_transaction: bool = False
    """Whether the work is a transaction, which holds its connection."""

    is_internal: bool = False
    """Whether the work is a probe, which may use any connection."""


@dataclass(frozen=True, slots=True)
class RelayedReply:
    """Wire form of a member's reply."""

    rows: tuple[bytes, ...] = ()
    """Rows as the member sent them."""

    signature: bytes = b''
    """Signature by which the member proves that it ran the statement."""

    failure: PooledFailure | None = None
    """Reason of the request's failure, or ``None``."""

    state: TransactionState = TransactionState.IDLE
    """State of the connection's transaction after the request."""

    position: Position = BEGINNING
    """End of the member's log after the request."""

    status: LogStatus | None = None
    """Role and log of the member.

    Set only in the replies to ``AskStatus``, ``Demote`` and
    ``HoldReplication``.
    """


@dataclass(frozen=True, slots=True)
class RelayedReplies:
    """Replies of the member, with the holder's estimates of the member."""

    replies: tuple[RelayedReply, ...]
    """Replies in the order of the requests."""

    expected_ms: float = 0.0
    """Latency that the holder expects of a statement, in milliseconds."""

    evidence: EvidenceReport = EvidenceReport()
    """Newest evidence that the holder has of the group."""

    has_queue: bool = False
    """Whether work waits for the member, at the holder or at the member."""


@dataclass(frozen=True, slots=True)
class RelayRefused:
    """Refusal of a holder that has sent nothing to the member."""

    failure: PooledFailure
    """Reason of the refusal."""

    is_member_missed: bool = False
    """Whether the member is unreachable from the holder."""


@dataclass(frozen=True, slots=True)
class EndLease:
    """Request to end a lease and roll back its open transaction.

    After the answer, `PooledDone`, the holder sends nothing more to the
    member on behalf of the lease.
    """

    lease: int
    """Number of the lease."""


def pack_reply(reply: Reply) -> RelayedReply:
    """Return the wire form of a reply."""
    failure = reply.failure
    packed = PooledFailure(failure.code, failure.detail) if failure else None
    return RelayedReply(
        reply.rows,
        reply.signature,
        packed,
        reply.state,
        reply.position,
        reply.status,
    )
