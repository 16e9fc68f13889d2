"""Messages between entry hosts."""

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
    """First message of a connection between hosts."""

    host: str
    """Name of the calling host."""

    zone: str
    """Availability zone of the calling host."""

    incarnation: int
    """Number of the process's start, higher at each start."""

    secret: str
    """Secret of the deployment's hosts."""


@dataclass(frozen=True, slots=True)
class PeerWelcome:
    """Answer to `PeerHello`."""

    host: str
    """Name of the answering host."""

    incarnation: int
    """Number of the answering process's start."""


@dataclass(frozen=True, slots=True)
class MemberDigest:
    """What a pooler tells of a member with each answer."""

    member: str
    """Name of the member."""

    is_primary: bool
    """Whether the member leads ``term``."""

    term: int
    """Term that the member leads or follows."""

    last: Position
    """End of the member's log."""

    term_start: int
    """Index at which the term of ``last`` began."""

    age_ms: int | None
    """Greatest age of the member's data; ``None`` where unknown."""

    lag_ms: int
    """Time the member takes to reach the primary's position."""

    queue_ms: int
    """Expected wait for a slot, in milliseconds."""

    is_reachable: bool
    """Whether the pooler has a working connection to the member."""

    is_paused: bool = False
    """Whether a handover holds writes."""

    copies: tuple[Acknowledgement, ...] = ()
    """Progress of the replicas as a primary knows it."""


@dataclass(frozen=True, slots=True)
class WorkScope:
    """On whose behalf a pooler works, and until when."""

    member: str
    """Member to use."""

    tenant: str
    """Tenant of the caller."""

    work_class: str
    """Class of work."""

    remaining_ms: int
    """Time left until the answer is due at the entry host."""


@dataclass(frozen=True, slots=True)
class PooledRead:
    """Runs a read at a member."""

    scope: WorkScope
    """Tenant, class and time left."""

    statement: Statement
    """Statement."""

    floor: Position
    """Position that the member must hold."""

    max_age_ms: int | None
    """Greatest age of the data, or ``None`` for any age."""

    wait_ms: int
    """Longest wait for the member to reach the floor."""

    copies: int = 0
    """Members that must hold what the read has seen before the answer.

    Only at a primary; 0 asks for none.
    """

    needs_leader: bool = False
    """Whether the member must surely lead when the read arrives."""


@dataclass(frozen=True, slots=True)
class PooledWrite:
    """Runs a write at the primary of a term."""

    scope: WorkScope
    """Tenant, class and time left."""

    statement: Statement
    """Statement."""

    key: OutcomeKey
    """Key of the outcome."""

    copies: int
    """Members that must hold the write before the answer."""


@dataclass(frozen=True, slots=True)
class PooledBegin:
    """Begins a transaction at the primary of a term."""

    scope: WorkScope
    """Tenant, class and time left."""

    floor: Position = BEGINNING
    """Position that the primary must hold."""


@dataclass(frozen=True, slots=True)
class PooledBegun:
    """Answer to `PooledBegin`."""

    transaction: str
    """Identifier, valid on this connection between hosts."""


@dataclass(frozen=True, slots=True)
class PooledRun:
    """Runs a statement in a transaction."""

    transaction: str
    """Identifier of the transaction."""

    statement: Statement
    """Statement."""


@dataclass(frozen=True, slots=True)
class PooledCommit:
    """Commits a transaction."""

    transaction: str
    """Identifier of the transaction."""

    key: OutcomeKey
    """Key of the outcome."""

    copies: int
    """Members that must hold the commit before the answer."""


@dataclass(frozen=True, slots=True)
class PooledRollback:
    """Rolls a transaction back."""

    transaction: str
    """Identifier of the transaction."""


@dataclass(frozen=True, slots=True)
class PooledResolve:
    """Looks an outcome up at the primary, or abandons its key."""

    scope: WorkScope
    """Tenant, class and time left."""

    key: OutcomeKey
    """Key of the outcome."""

    copies: int
    """Members that must hold the outcome before the answer."""


@dataclass(frozen=True, slots=True)
class PooledResult:
    """Answer to pooled work that has run."""

    result: StatementResult
    """Whole result."""

    digest: MemberDigest | None = None
    """The member after the work; none from a transaction."""


@dataclass(frozen=True, slots=True)
class PooledFailure:
    """Typed failure of pooled work or of a control message."""

    code: str
    """Code of the failure in the catalogue."""

    detail: str = ''
    """Facts for a person."""

    digest: MemberDigest | None = None
    """The member after the work, where the pooler knows it."""


@dataclass(frozen=True, slots=True)
class PooledDone:
    """Answer to a message without a result."""


@dataclass(frozen=True, slots=True)
class GetDigest:
    """Asks a pooler for the digests of members."""

    members: tuple[str, ...]
    """Names of the members."""


@dataclass(frozen=True, slots=True)
class Digests:
    """Digests of the members that the sender pools."""

    digests: tuple[MemberDigest, ...]
    """One digest a member."""


@dataclass(frozen=True, slots=True)
class GetStatus:
    """Asks a pooler for a member's status, asked at the member anew."""

    member: str
    """Name of the member."""


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Answer to the control messages."""

    status: MemberStatus
    """Status of the member."""


@dataclass(frozen=True, slots=True)
class FenceMember:
    """Makes a member refuse lower terms."""

    member: str
    """Name of the member."""

    term: int
    """Lowest term that the member accepts from now on."""


@dataclass(frozen=True, slots=True)
class PromoteMember:
    """Makes a member the primary of a term."""

    member: str
    """Name of the member."""

    term: int
    """Term to lead."""


@dataclass(frozen=True, slots=True)
class FollowMember:
    """Makes a member a replica of a term's primary."""

    member: str
    """Name of the member."""

    term: int
    """Term to follow."""

    primary: str
    """Name of the primary."""


@dataclass(frozen=True, slots=True)
class PauseWrites:
    """Holds new writes at a member's pooler; those running go on.

    The hold ends by itself after ``hold_ms``.
    """

    member: str
    """Member whose writes are held."""

    handover_id: str
    """Identifier of the handover."""

    hold_ms: int
    """Longest hold in milliseconds."""


@dataclass(frozen=True, slots=True)
class PauseReport:
    """Answer to `PauseWrites`."""

    writes_running: int
    """Writes and transactions still running at the member."""


@dataclass(frozen=True, slots=True)
class ResumeWrites:
    """Ends a hold of writes."""

    member: str
    """Member whose writes are held."""

    handover_id: str
    """Identifier of the handover."""


@dataclass(frozen=True, slots=True)
class WarmConnections:
    """Opens connections to a member ahead of work."""

    member: str
    """Name of the member."""

    count: int
    """Connections that should be open."""
