"""Report of where a host would send a request, and why."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.direct.holder_order import HolderFailure
    from trefoilpulley_core.position import Position


class RouteVerdict(StrEnum):
    """What the host would do with the request."""

    SENT = 'sent'
    """The host sends it now."""

    QUEUED = 'queued'
    """The request waits for a connection of this host."""

    WAITING = 'waits-for-primary'
    """The request waits until a primary is known."""

    REFUSED = 'refused'
    """The host refuses the request."""


class ChoiceReason(StrEnum):
    """Reasons for the chosen member."""

    PRIMARY_FOR_WRITE = 'primary-for-write'
    """Only the primary runs writes and transactions that may write."""

    PRIMARY_BY_FRESHNESS = 'primary-by-freshness'
    """The route requires every commit, which only the primary has."""

    PRIMARY_WITHOUT_EVIDENCE = 'primary-without-evidence'
    """This host knows no position of the primary within the route's age."""

    PRIMARY_BY_COST = 'primary-by-cost'
    """A replica may serve the read, but the primary has the lowest cost."""

    REPLICA_BY_FLOOR = 'replica-by-floor'
    """A replica that holds the floor may serve the read."""

    REPLICA_AVOIDED = 'replica-avoided-for-lag'
    """A replica may lack the floor."""

    OTHER_ZONE = 'other-zone'
    """The chosen member is in another availability zone."""

    PACED_PASSED_OVER = 'paced-member-passed-over'
    """A member of a lower cost has just started or recovered."""

    FULL_PASSED_OVER = 'full-member-passed-over'
    """The queue for a member that was chosen before is too long."""

    PRIMARY_LOST = 'primary-lost'
    """The primary is unknown or does not answer this host."""


class MemberObstacle(StrEnum):
    """Reasons why a member can't serve the request."""

    PRIMARY_LOST = 'primary-lost'
    """The primary has not answered this host for too long, or leaves."""

    REFUSED = 'refused'
    """The queue of this host for the member is too long."""

    FAILING = 'failing'
    """The member does not answer this host."""

    NOT_PRIMARY = 'not-primary'
    """Only the primary may serve the request."""

    LEAVING = 'leaving'
    """The replica is about to stop."""

    LAGGING = 'lagging'
    """The replica may lack the floor and has just refused another read."""


class RefusalReason(StrEnum):
    """Reasons for which the host refuses the request."""

    NOT_LOADED = 'configuration-not-loaded'
    """The host has no configuration yet."""

    UNKNOWN_DATABASE = 'unknown-database'
    """No route has the database name."""

    CUSTOMER_MISSING = 'customer-missing'
    """The route needs a customer, and none was named."""

    CUSTOMER_UNKNOWN = 'customer-unknown'
    """No customer has the name."""

    HOST_STOPPING = 'host-stopping'
    """The host is about to stop."""

    LIMIT_EXCEEDED = 'limit-exceeded'
    """The customer has used up its limit, as far as this host knows."""

    NO_PRIMARY = 'no-primary'
    """No primary is known, and none is expected in time."""

    EVERY_REPLICA_BEHIND = 'every-replica-behind'
    """No primary is expected in time, and every replica may lack the floor."""

    QUEUE_TOO_LONG = 'queue-too-long'
    """The request would wait too long for a connection."""

    NO_MEMBER = 'no-member'
    """No member could be used for another reason."""


class PathStep(StrEnum):
    """How the request gets a connection."""

    IDLE_CONNECTION = 'idle-connection'
    """An idle connection of this host is used."""

    NEW_CONNECTION = 'new-connection'
    """This host opens a connection."""

    QUEUE = 'queue'
    """The request waits for a connection of this host."""

    HOLDERS = 'holders'
    """Another host that holds connections gets the request."""

    REFUSED = 'refused'
    """Neither this host nor a holder serves the request."""


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """Request whose route is explained."""

    database: str
    """Database name."""

    customer: str = ''
    """Name of the customer; empty for none. Never a key."""

    is_write: bool = False
    """Whether the request writes."""

    is_transaction: bool = False
    """Whether the request begins a transaction."""

    floor: Position | None = None
    """Newest commit of the session, or ``None``."""

    floor_age_s: float = 0.0
    """Time since the acknowledgement of this commit, in seconds."""


@dataclass(frozen=True, slots=True)
class RouteView:
    """Route of the request."""

    database: str
    """Database name."""

    group: str
    """Database group."""

    freshness: str
    """Commits that a read must see."""

    max_age_ms: float
    """Maximum age of the data that a read accepts, in milliseconds."""

    goal_ms: float
    """Target latency, in milliseconds."""

    timeout_ms: float
    """Timeout of a statement, in milliseconds."""

    priority: int
    """Priority; 0 is the highest."""

    is_public: bool
    """Whether callers need no key of a customer."""


@dataclass(frozen=True, slots=True)
class PositionView:
    """Position in the log of a group, and since when it is known."""

    position: str
    """Position as ``TERM.INDEX``."""

    age_ms: float
    """Time since which the position has been known, in milliseconds."""


@dataclass(frozen=True, slots=True)
class GroupView:
    """State of the group as this host knows it."""

    primary: str | None
    """Known primary."""

    is_primary_lost: bool
    """Whether requests are not sent to the primary."""

    primary_expected_ms: float | None
    """Time until a primary is expected; ``None`` while one serves."""

    evidence: PositionView | None
    """Newest position that a proved primary has reported."""

    floor: PositionView | None
    """Position that a replica must hold; ``None``: the primary serves."""


@dataclass(frozen=True, slots=True)
class CostView:
    """Cost of the request at a member, in milliseconds, and its parts.

    The total is ``(expected × (1 + in_flight / 2) + failures + zone +
    avoidance) × factor + lag``.
    """

    total_ms: float
    """Total cost."""

    expected_ms: float
    """Expected latency of a statement."""

    in_flight: int
    """Statements of this host that are in flight at the member."""

    failures_ms: float
    """Cost of recent failures."""

    zone_ms: float
    """Cost of another availability zone."""

    avoidance_ms: float
    """Cost of a recent refusal."""

    factor: float
    """Factor of a primary."""

    lag_ms: float
    """Cost of a floor that the member may lack."""


@dataclass(frozen=True, slots=True)
class MemberView:
    """Member of the group as a candidate for the request."""

    member: str
    """Identifier of the member."""

    role: str
    """``primary`` or ``replica``."""

    zone: str
    """Availability zone of the member."""

    is_chosen: bool
    """Whether the request is sent to the member."""

    obstacle: MemberObstacle | None
    """Why the member can't serve the request; ``None`` if it can."""

    may_lack_floor: bool
    """Whether the replica may lack the floor."""

    cost: CostView
    """Cost of the request at the member; not compared for writes."""

    position: str
    """Highest position that the member has reported, as ``TERM.INDEX``."""

    lag_ms: float
    """Age of a floor that the member should hold, in milliseconds."""

    failing_ms: float | None
    """Time since which the member does not answer, in milliseconds."""

    failure_rate: float
    """Fraction of its statements that failed recently."""

    avoided_ms: float
    """Time for which reads avoid the member, in milliseconds."""

    is_leaving: bool
    """Whether the member is about to stop."""

    pace: float
    """Part of its fair share that the member gets; 1 if it is not paced."""

    is_passed_over: bool
    """Whether the pace of the member does not admit the read."""


@dataclass(frozen=True, slots=True)
class HolderView:
    """Host that holds connections to the chosen member."""

    host: str
    """Name of the host."""

    is_tried: bool
    """Whether the request is sent to this host if those before refuse.

    The refusals are taken to be for load. A holder that is not tried gets the
    request only if one before reports that it does not reach the member.
    """

    is_passed_over: bool
    """Whether the host would be tried earlier without its failure."""

    failure: HolderFailure | None
    """Why the host is ranked behind the others; ``None`` if it is not."""


@dataclass(frozen=True, slots=True)
class QueueView:
    """Queue of this host for connections to a member."""

    length: int
    """Number of requests that wait."""

    expected_wait_ms: float | None
    """Expected wait of the request; ``None`` if it need not wait."""

    allowed_wait_ms: float
    """Longest wait until the request is refused."""


@dataclass(frozen=True, slots=True)
class PathView:
    """Path to a member."""

    member: str
    """Identifier of the member."""

    step: PathStep
    """How the request gets a connection."""

    holders: tuple[HolderView, ...]
    """Holders in the order in which they are tried; empty for own ones."""

    queue: QueueView | None
    """Queue of this host; ``None`` if another host is asked first."""

    is_cut_off: bool
    """Whether this host, a holder, does not reach the member itself.

    Its own connections are not used then; other holders are, if any.
    """


@dataclass(frozen=True, slots=True)
class LimitView:
    """Limit of the customer, as far as this host knows."""

    rate_per_s: float
    """Operations per second that are admitted in the long run."""

    burst: float
    """Operations that may be admitted at once."""

    owner: str | None
    """Host that counts the operations."""

    is_admitted: bool
    """Whether the request is admitted, or the owner is asked first."""

    is_owner_asked: bool
    """Whether the owner, another host, decides."""

    left: float | None
    """Operations that may be admitted now; ``None`` if unknown here."""

    retry_ms: float | None
    """Time until an operation is admitted, in milliseconds, if known."""


@dataclass(frozen=True, slots=True)
class RefusalView:
    """Refusal of the request."""

    reason: RefusalReason
    """Why the request is refused."""

    code: str
    """Code of the failure."""

    detail: str
    """Description for a person."""

    retry_ms: float | None
    """Time after which another attempt may succeed, in milliseconds.

    0: at once, at another host. ``None``: a retry does not help, or the time
    is not known.
    """


@dataclass(frozen=True, slots=True)
class RouteReport:
    """Where a host would send a request now, and why."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    configuration: int
    """Version of the configuration in force."""

    verdict: RouteVerdict
    """What the host would do."""

    member: str | None = None
    """Member that the request is sent to, if any."""

    reasons: tuple[ChoiceReason, ...] = ()
    """Reasons for the chosen member."""

    refusal: RefusalView | None = None
    """Refusal, if any."""

    waits_ms: float | None = None
    """Longest wait for a primary, in milliseconds; ``None`` without."""

    route: RouteView | None = None
    """Route of the request; ``None`` without one."""

    customer: str | None = None
    """Customer of the request; ``None`` where the route needs none."""

    limit: LimitView | None = None
    """Limit of the customer; ``None`` without one."""

    group: GroupView | None = None
    """State of the group; ``None`` if a check before has refused."""

    members: tuple[MemberView, ...] = ()
    """Members of the group."""

    paths: tuple[PathView, ...] = ()
    """Paths in the order of the attempts; the last one is used."""
