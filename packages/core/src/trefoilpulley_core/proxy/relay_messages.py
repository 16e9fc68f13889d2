"""Messages by which a host uses another host's connections."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.proxy.commands import Prepare
from trefoilpulley_core.proxy.evidence_messages import EvidenceReport
from trefoilpulley_core.proxy.upstream_session import Call
from trefoilpulley_core.proxy.upstream_session import LogStatus
from trefoilpulley_core.proxy.upstream_session import Reply
from trefoilpulley_core.proxy.upstream_session import TransactionState


@dataclass(frozen=True, slots=True)
class RelayedCalls:
    """Asks a holder to send requests to a member in one write."""

    group: str
    """Group of the member."""

    member: str
    """Identifier of the member."""

    lease: int
    """Number of the session at the holder, unique on its connection.

    The connection to the member stays with the lease while a transaction
    is open on it.
    """

    priority: int
    """Importance; 0 is the highest of a route's."""

    remaining_ms: int
    """Time left for the replies, in milliseconds."""

    admit_ms: int
    """Time left until their turn must come, in milliseconds."""

    calls: tuple[Call, ...]
    """Requests."""

    values: dict[str, str] | None = None
    """Values of the caller's session; ``None`` leaves the connection's."""

    prepared: Prepare | None = None
    """Prepared statement that is executed, if any."""

    is_pinned: bool = False
    """Whether the lease must hold an open transaction."""


@dataclass(frozen=True, slots=True)
class RelayedReply:
    """Wire form of a member's reply."""

    rows: tuple[bytes, ...] = ()
    """Rows as the member sent them."""

    signature: bytes = b''
    """Proof of the member that it ran the statement."""

    failure: PooledFailure | None = None
    """Why the request failed, or ``None``."""

    state: TransactionState = TransactionState.IDLE
    """State of the connection's transaction afterwards."""

    position: Position = BEGINNING
    """End of the member's log afterwards."""

    status: LogStatus | None = None
    """Role and log; only after requests that ask for it."""


@dataclass(frozen=True, slots=True)
class RelayedReplies:
    """What the member replied, and what the holder knows of it."""

    replies: tuple[RelayedReply, ...]
    """Reply to each request."""

    expected_ms: float = 0.0
    """Time that the holder expects a statement to take."""

    evidence: EvidenceReport = EvidenceReport()
    """Newest evidence of the group at the holder."""


@dataclass(frozen=True, slots=True)
class RelayRefused:
    """Says that the holder has sent nothing to the member."""

    failure: PooledFailure
    """Why."""

    is_member_missed: bool = False
    """Whether the member does not answer the holder."""


@dataclass(frozen=True, slots=True)
class EndLease:
    """Ends a lease; its open transaction is rolled back.

    The answer, `PooledDone`, says that nothing more is sent on it.
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
