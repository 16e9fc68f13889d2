"""State dump of a host in the direct mode."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.direct.commit_roster import CommitRoster
    from trefoilpulley_core.direct.customer_limit import CustomerLimits
    from trefoilpulley_core.direct.customers import CustomerFault
    from trefoilpulley_core.direct.customers import CustomerTable
    from trefoilpulley_core.direct.isolation import IsolationEvidence
    from trefoilpulley_node.direct.direct_settings import DirectSettings
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.directory import GroupDirectory
    from trefoilpulley_node.direct.isolation_watch import IsolationWatch
    from trefoilpulley_node.direct.member_access import MemberAccess


@dataclass(frozen=True, slots=True)
class MemberDump:
    """State of one member as seen from this host."""

    member: str
    """Identifier of the member."""

    zone: str
    """Availability zone of the member."""

    is_leaving: bool
    """Whether the member is about to stop."""

    failing_ms: int | None
    """Time since the first failure after the last answer, in milliseconds.

    ``None`` where the member answers.
    """

    expected_ms: float
    """Expected duration of a statement, in milliseconds."""

    lag_ms: int
    """Expected replication lag of the member, in milliseconds."""

    position: str
    """Highest log position that the member has reported."""

    connections: int
    """Connections of this host to the member."""

    share: int
    """Connections that this host may hold as its share."""

    waiting: int
    """Requests that wait for a connection."""

    holders: tuple[str, ...]
    """Hosts that relay to the member; empty with local connections."""

    customers: dict[str, int]
    """Connections of this host to the member by customer.

    The 20 customers that hold most, others as ``other``; the empty name stands
    for connections without a customer.
    """

    pace: float = 1.0
    """Part of its fair share that the member gets; 1 if it is not paced."""

    pace_reason: str | None = None
    """Why the member is paced; ``None`` if it is not."""


@dataclass(frozen=True, slots=True)
class GroupDump:
    """State of one group as seen from this host."""

    group: str
    """Name of the group."""

    primary: str | None
    """Current primary as known to this host."""

    term: int
    """Highest term in which a leader has proved its leadership."""

    evidence_age_ms: int | None
    """Age of the newest evidence in milliseconds; ``None`` without any."""

    members: tuple[MemberDump, ...]
    """Members of the group."""

    confirming_members: tuple[str, ...] = ()
    """Members, also lost ones, that may have confirmed commits.

    Empty without synchronous replicas.
    """

    commit_floor: str | None = None
    """Log position that the next primary must have received."""


@dataclass(frozen=True, slots=True)
class CustomerDump:
    """One customer in force."""

    customer: str
    """Name of the customer."""

    priority: int
    """Priority; 0 is the highest."""

    rate_per_s: float | None
    """Operations per second that are admitted; ``None`` without a limit."""

    burst: float | None
    """Operations that may be admitted at once; ``None`` without a limit."""

    limit_owner: str | None = None
    """Host that counts the operations; ``None`` without a limit."""

    limit_left: float | None = None
    """Operations that may be admitted now; ``None`` at other hosts."""


@dataclass(frozen=True, slots=True)
class ProxyState:
    """State of one host."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    configuration: int
    """Version of the configuration in force."""

    routes: int
    """Number of routes in force."""

    sessions: int
    """Number of open sessions."""

    is_cut_off: bool
    """Whether the host reports not ready because it is cut off."""

    live_hosts: tuple[str, ...]
    """Hosts that answer, this host included."""

    registered_hosts: tuple[str, ...]
    """Hosts that hold a lease, this host included."""

    groups: tuple[GroupDump, ...]
    """Groups that a route refers to."""

    configuration_source: str = ''
    """`service`, or the host that has sent the configuration in force."""

    customers: tuple[CustomerDump, ...] | None = None
    """Customers in force; ``None`` if the deployment has no customers."""

    customers_left_out: tuple[CustomerFault, ...] = ()
    """Entries of customers that are left out, and why."""

    limit_share: float = 1.0
    """Part of the limits that the hosts which this host sees may grant."""

    cut_off_ms: int | None = None
    """Time for which the host has been cut off, in milliseconds.

    ``None`` if it is not cut off.
    """

    cut_off_evidence: IsolationEvidence | None = None
    """Numbers of the latest check while cut off, or of the return."""

    watch_relays: tuple[str, ...] = ()
    """Hosts through which the service is followed; empty if directly."""


def make_state(
    cfg: DirectSettings,
    directory: GroupDirectory,
    sessions: int,
    live: Iterable[str],
    registered: Mapping[str, str],
    isolation: IsolationWatch,
    source: str,
    limits: CustomerLimits,
    watch_relays: tuple[str, ...],
    find_roster: Callable[[str], CommitRoster | None],
    now: float,
) -> ProxyState:
    """Return the state of a host."""
    return ProxyState(
        cfg.host,
        cfg.zone,
        directory.table.version,
        len(directory.table.routes),
        sessions,
        isolation.is_isolated,
        tuple(live),
        tuple(sorted(registered)),
        tuple(
            _dump_group(g, find_roster(g.state.group), now)
            for g in directory.groups.values()
        ),
        source,
        _dump_customers(directory.table.customers, limits, now),
        directory.table.customers.faults if directory.table.customers else (),
        round(limits.share(now), 3),
        round(1000 * isolation.isolated_s) if isolation.is_isolated else None,
        isolation.evidence,
        watch_relays,
    )


def _dump_customers(
    table: CustomerTable | None, limits: CustomerLimits, now: float
) -> tuple[CustomerDump, ...] | None:
    if table is None:
        return None
    return tuple(
        CustomerDump(
            c.name,
            c.priority,
            c.limit.rate_per_s if c.limit else None,
            c.limit.burst if c.limit else None,
            limits.find_owner(c.name),
            _dump_tokens(limits, c.name, now),
        )
        for c in table.customers.values()
    )


def _dump_tokens(
    limits: CustomerLimits, customer: str, now: float
) -> float | None:
    tokens = limits.count_tokens(customer, now)
    return None if tokens is None else round(tokens, 1)


def _dump_group(
    group: Group, roster: CommitRoster | None, now: float
) -> GroupDump:
    state = group.state
    newest = state.evidence.newest
    return GroupDump(
        state.group,
        state.primary,
        state.term,
        round(1000 * (now - newest.at)) if newest else None,
        tuple(_dump_member(a, now) for a in group.accesses.values()),
        roster.names if roster else (),
        roster.floor.as_text if roster else None,
    )


def _dump_member(access: MemberAccess, now: float) -> MemberDump:
    health = access.health
    failing_since = health.failing_since
    return MemberDump(
        health.record.member,
        health.record.zone,
        health.record.is_leaving,
        None if failing_since is None else round(1000 * (now - failing_since)),
        round(1000 * health.expected_latency_s(now), 1),
        round(1000 * health.expected_lag_s(now)),
        health.position.as_text,
        access.local_pool.open_connections,
        access.local_pool.share.equal_share,
        access.local_pool.waiting,
        access.holders,
        access.local_pool.customer_connections,
        round(health.pace.fraction, 3),
        health.pace.reason.value if health.pace.reason else None,
    )
