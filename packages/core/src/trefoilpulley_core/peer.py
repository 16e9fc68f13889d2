"""Messages between hosts."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import Acknowledgement
from trefoilpulley_core.upstream import MemberStatus
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Statement
from trefoilpulley_core.upstream import StatementResult


@dataclass(frozen=True, slots=True)
class PeerHello:
    """First message on a connection between hosts."""

    host: str
    """Name of the calling host."""

    zone: str
    """Availability zone of the calling host."""

    incarnation: int
    """Incarnation of the calling process, increased at each start."""

    secret: str
    """Shared secret of the deployment's hosts."""


@dataclass(frozen=True, slots=True)
class PeerWelcome:
    """Answer to `PeerHello`."""

    host: str
    """Name of the answering host."""

    incarnation: int
    """Incarnation of the answering process, increased at each start."""


@dataclass(frozen=True, slots=True)
class MemberDigest:
    """Summary of a member's state, sent by its pooler with each answer."""

    member: str
    """Name of the member."""

    is_primary: bool
    """Whether the member is the primary of ``term``."""

    term: int
    """Term in which the member is primary or replica."""

    last: Position
    """End of the member's log."""

    term_start: int
    """Index of the first record of the term of ``last``."""

    age_ms: int | None
    """Upper bound of the data's age, in milliseconds, or ``None``."""

    lag_ms: int
    """Replication lag behind the primary, in milliseconds."""

    queue_ms: int
    """Expected wait for a slot, in milliseconds."""

    is_reachable: bool
    """Whether the pooler has a working connection to the member."""

    is_paused: bool = False
    """Whether a handover has paused writes."""

    copies: tuple[Acknowledgement, ...] = ()
    """Positions confirmed by the replicas; only from a primary."""


@dataclass(frozen=True, slots=True)
class WorkScope:
    """Member, tenant, class and time limit of work for a pooler."""

    member: str
    """Name of the member that executes the work."""

    tenant: str
    """Tenant of the caller."""

    work_class: str
    """Name of the class of work."""

    remaining_ms: int
    """Time until the answer is due at the entry host, in milliseconds."""


@dataclass(frozen=True, slots=True)
class PooledRead:
    """Request to execute a read at a member."""

    scope: WorkScope
    """Member, tenant, class and time limit."""

    statement: Statement
    """Statement to execute."""

    floor: Position
    """Position that the member's log must contain."""

    max_age_ms: int | None
    """Maximum age of the data, in milliseconds; ``None`` for any age."""

    wait_ms: int
    """Time limit for the member to reach the floor, in milliseconds."""

    copies: int = 0
    """Members that must hold the records that the read has seen.

    The answer waits for these members. Only at a primary; 0 for no
    requirement.
    """

    needs_leader: bool = False
    """Whether the member must provably lead when the read arrives."""


@dataclass(frozen=True, slots=True)
class PooledWrite:
    """Request to execute a write at a primary."""

    scope: WorkScope
    """Member, tenant, class and time limit."""

    statement: Statement
    """Statement to execute."""

    key: OutcomeKey
    """Key under which the outcome is stored."""

    copies: int
    """Members that must hold the write before the answer."""


@dataclass(frozen=True, slots=True)
class PooledBegin:
    """Request to begin a transaction at a primary."""

    scope: WorkScope
    """Member, tenant, class and time limit."""

    floor: Position = BEGINNING
    """Position that the primary's log must contain."""


@dataclass(frozen=True, slots=True)
class PooledBegun:
    """Answer to `PooledBegin`."""

    transaction: str
    """Identifier of the transaction, valid only on this connection."""


@dataclass(frozen=True, slots=True)
class PooledRun:
    """Request to execute a statement in a transaction."""

    transaction: str
    """Identifier of the transaction."""

    statement: Statement
    """Statement to execute."""


@dataclass(frozen=True, slots=True)
class PooledCommit:
    """Request to commit a transaction."""

    transaction: str
    """Identifier of the transaction."""

    key: OutcomeKey
    """Key under which the outcome is stored."""

    copies: int
    """Members that must hold the commit before the answer."""


@dataclass(frozen=True, slots=True)
class PooledRollback:
    """Request to roll back a transaction."""

    transaction: str
    """Identifier of the transaction."""


@dataclass(frozen=True, slots=True)
class PooledResolve:
    """Request to look up an outcome at the primary, or abandon its key."""

    scope: WorkScope
    """Member, tenant, class and time limit."""

    key: OutcomeKey
    """Key under which the outcome is stored."""

    copies: int
    """Members that must hold the outcome before the answer."""


@dataclass(frozen=True, slots=True)
class PooledResult:
    """Answer to work that has run."""

    result: StatementResult
    """Complete result."""

    digest: MemberDigest | None = None
    """State of the member after the work; ``None`` in a transaction."""


@dataclass(frozen=True, slots=True)
class PooledFailure:
    """Failure of work or of a control message."""

    code: str
    """Code of the failure type in `trefoilpulley_core.failure`."""

    detail: str = ''
    """Human-readable description, not meant for programs."""

    digest: MemberDigest | None = None
    """State of the member after the work, if known to the pooler."""


@dataclass(frozen=True, slots=True)
class PooledDone:
    """Answer to a message that returns no result."""


@dataclass(frozen=True, slots=True)
class GetDigest:
    """Request to a pooler for digests of members."""

    members: tuple[str, ...]
    """Names of the members."""


@dataclass(frozen=True, slots=True)
class Digests:
    """Digests of members that the sender pools."""

    digests: tuple[MemberDigest, ...]
    """One digest for each member."""


@dataclass(frozen=True, slots=True)
class GetStatus:
    """Request to a pooler to query a member's current status."""

    member: str
    """Name of the member."""


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Answer to a control message."""

    status: MemberStatus
    """Status of the member."""


@dataclass(frozen=True, slots=True)
class FenceMember:
    """Order to a member to refuse lower terms."""

    member: str
    """Name of the member."""

    term: int
    """Lowest term that the member accepts from now on."""


@dataclass(frozen=True, slots=True)
class PromoteMember:
    """Order to a member to become the primary of a term."""

    member: str
    """Name of the member."""

    term: int
    """Term of the new primary."""


@dataclass(frozen=True, slots=True)
class FollowMember:
    """Order to a member to become a replica of a term's primary."""

    member: str
    """Name of the member."""

    term: int
    """Term of the primary."""

    primary: str
    """Name of the primary."""


@dataclass(frozen=True, slots=True)
class PauseWrites:
    """Order to a pooler to pause new writes to a member.

    Running writes continue. The pooler resumes writes after ``hold_ms``
    at the latest.
    """

    member: str
    """Name of the member."""

    handover_id: str
    """Identifier of the handover."""

    hold_ms: int
    """Longest pause of writes, in milliseconds."""


@dataclass(frozen=True, slots=True)
class PauseReport:
    """Answer to `PauseWrites`."""

    writes_running: int
    """Number of writes and transactions that still run at the member."""


@dataclass(frozen=True, slots=True)
class ResumeWrites:
    """Order to a pooler to resume writes to a member."""

    member: str
    """Name of the member."""

    handover_id: str
    """Identifier of the handover."""


@dataclass(frozen=True, slots=True)
class WarmConnections:
    """Order to a pooler to open connections to a member in advance."""

    member: str
    """Name of the member."""

    count: int
    """Number of connections that should be open."""
