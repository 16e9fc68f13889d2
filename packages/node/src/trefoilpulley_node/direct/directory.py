"""Routes, groups and member accesses of this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event

from trefoilpulley_core.direct.connection_holders import choose_holders
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.routes import RouteTable
from trefoilpulley_core.retry_budget import RetryBudget
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.relay_client import RelayClient
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.direct.routes import GroupLimits
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_core.direct.upstream_session import UpstreamDialer
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.peers import Peers


class Group:
    """One database group: its state and the accesses to its members.

    Parameters
    ----------
    name : str
        Name of the group.
    find_leader : Callable[[], str], optional
        Returns the leader that changes of primary have confirmed.
    """

    def __init__(
        self, name: str, find_leader: Callable[[], str] = lambda: ''
    ) -> None:
        self.state = GroupState(name, find_leader)
        self.accesses: dict[str, MemberAccess] = {}
        """Accesses by member."""

        self.limits: GroupLimits | None = None
        """Limits of the group in the configuration."""

        self.retry_budget = RetryBudget()
        """Hedged reads and attempts after a refusal for load, by group."""

        self.primary_changed = Event()
        """Set and replaced whenever another member becomes the primary."""

        self.check_requested = Event()
        """Set to have the primary checked at once."""

    def notify_primary_changed(self) -> None:
        """Wake the requests that wait for a primary."""
        waiting, self.primary_changed = self.primary_changed, Event()
        waiting.set()

    @property
    def synchronous_replicas(self) -> int:
        """Number of replicas that must receive a commit before the answer."""
        return self.limits.synchronous_replicas if self.limits else 0

    def find_access(self, member: str) -> MemberAccess | None:
        """Return the access to a member, or ``None``."""
        return self.accesses.get(member)


class GroupDirectory:
    """Holds the routes and member entries that are in force.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Availability zone of this host.
    dialer : UpstreamDialer
        Opens connections to members.
    peers : Peers
        Connections to the other hosts.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics, optional
        Counts the connections that are opened and closed.
    find_leader : Callable[[str], str], optional
        Returns the leader of a group that changes of primary have confirmed.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        dialer: UpstreamDialer,
        peers: Peers,
        clock: Clock,
        metrics: DirectMetrics | None = None,
        find_leader: Callable[[str], str] = lambda _: '',
    ) -> None:
        self._find_leader = find_leader
        self._host = host
        self._zone = zone
        self._dialer = dialer
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._records: dict[str, MemberRecord] = {}
        self._unlisted: set[str] = set()
        self._live: dict[str, tuple[str, ...]] = {zone: (host,)}
        self._capacities: dict[str, float] = {}
        self.table = RouteTable()
        """Routes in force."""

        self.groups: dict[str, Group] = {}
        """Groups that a route refers to, by name."""

        self._on_group: list[Callable[[Group], None]] = []
        self._loaded = Event()

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration is in force."""
        return self.table.version > 0

    @property
    def live_hosts(self) -> dict[str, tuple[str, ...]]:
        """Live hosts by availability zone, this host included."""
        return self._live

    @property
    def open_connections(self) -> int:
        """Number of connections to members that are open or being opened."""
        return sum(a.local_pool.open_connections for a in self._accesses())

    @property
    def waiting_requests(self) -> int:
        """Number of requests that wait for a connection to a member."""
        return sum(a.local_pool.waiting for a in self._accesses())

    @property
    def in_flight_statements(self) -> int:
        """Number of statements that members have not answered."""
        return sum(a.health.in_flight for a in self._accesses())

    @property
    def paced_members(self) -> int:
        """Number of members that get less than their share of the work."""
        return sum(a.health.pace.reason is not None for a in self._accesses())

    def wait_loaded(self, timeout_s: float) -> bool:
        """Wait for the first configuration; return whether one is in force."""
        return self._loaded.wait(timeout_s)

    def subscribe_groups(self, on_group: Callable[[Group], None]) -> None:
        """Register a callback for each new group."""
        self._on_group.append(on_group)

    def find_route(self, database: str) -> Route | None:
        """Return the route of a database name, or ``None``."""
        return self.table.routes.get(database)

    def find_group(self, route: Route) -> Group | None:
        """Return the group that serves a route, or ``None``."""
        return self.groups.get(route.group)

    def set_routes(self, table: RouteTable) -> bool:
        """Apply a configuration if newer; return whether it was applied."""
        if table.version <= self.table.version:
            return False
        self.table = table
        for name in {r.group for r in table.routes.values()}:
            self._ensure_group(name)
        self._update_shares()
        self._loaded.set()
        events.ROUTES_IN_FORCE.log(
            version=table.version,
            routes=len(table.routes),
            customers=len(table.customers.customers)
            if table.customers is not None
            else None,
        )
        return True

    def set_hosts(
        self,
        live: dict[str, tuple[str, ...]],
        capacities: dict[str, float] | None = None,
    ) -> None:
        """Set the live hosts and their capacities, this host included.

        Parameters
        ----------
        live : dict[str, tuple[str, ...]]
            Live hosts by availability zone.
        capacities : dict[str, float], optional
            Capacities of the registered hosts by name, live or not.
        """
        known = capacities or {}
        if live != self._live or known != self._capacities:
            self._live = live
            self._capacities = known
            self._update_shares()

    def set_member(self, record: MemberRecord) -> None:
        """Add or update a member by its entry."""
        is_known = self._records.get(record.member) == record
        if is_known and record.member not in self._unlisted:
            return
        self._unlisted.discard(record.member)
        self._records[record.member] = record
        events.MEMBER_LISTED.log(
            member=record.member,
            group=record.group,
            zone=record.zone,
            is_primary=record.is_primary,
            is_leaving=record.is_leaving,
            incarnation=record.incarnation,
        )
        self._update_group(record.group)

    def mark_unlisted(self, member: str) -> None:
        """Note that a member's entry was deleted; the member is kept."""
        record = self._records.get(member)
        if record is not None:
            self._unlisted.add(member)
            self._update_group(record.group)

    def remove_member(self, member: str) -> None:
        """Remove a member whose entry was deleted."""
        self._unlisted.discard(member)
        record = self._records.pop(member, None)
        if record is not None:
            events.MEMBER_UNLISTED.log(member=member, group=record.group)
            self._update_group(record.group)

    def trim(self) -> None:
        """Close unneeded connections and open connections ahead of use."""
        now = self._clock.now()
        for group in self.groups.values():
            for member, access in group.accesses.items():
                is_local_zone = access.health.record.zone == self._zone
                access.maintain(
                    now,
                    is_local_zone or member == group.state.primary,
                    self.table.customers is not None,
                )
                self._report_pace(access.health)

    def _report_pace(self, health: MemberHealth) -> None:
        """Log and count the steps of a member's pace since the last run."""
        for notice in health.pace.take_notices():
            step, reason = notice.step.value, notice.reason.value
            events.PACE_CHANGED.log(
                member=health.record.member,
                group=health.record.group,
                step=step,
                reason=reason,
                fraction=notice.fraction,
            )
            if self._metrics is not None:
                self._metrics.count('pace_steps', step, reason)

    def _accesses(self) -> Iterator[MemberAccess]:
        return (a for g in self.groups.values() for a in g.accesses.values())

    def _ensure_group(self, name: str) -> None:
        if name in self.groups:
            return
        group = self.groups[name] = Group(
            name, lambda: self._find_leader(name)
        )
        self._update_group(name)
        for on_group in self._on_group:
            on_group(group)

    def _update_group(self, name: str) -> None:
        group = self.groups.get(name)
        if group is None:
            return
        primary = group.state.primary
        group.state.update(
            (r for r in self._records.values() if r.group == name),
            self._unlisted,
        )
        for member, access in list(group.accesses.items()):
            health = group.state.members.get(member)
            if health is not access.health:
                access.close()
                del group.accesses[member]
        for member, health in group.state.members.items():
            if member not in group.accesses:
                pool = MemberPool(
                    health, self._dialer, self._clock, self._metrics
                )
                group.accesses[member] = MemberAccess(
                    pool,
                    RelayClient(
                        self._host,
                        group.state,
                        pool,
                        self._peers,
                        self._clock,
                    ),
                )
        self._update_shares()
        group.check_requested.set()
        if group.state.primary not in (None, primary):
            group.notify_primary_changed()

    def _update_shares(self) -> None:
        for name, group in self.groups.items():
            limits = self.table.groups.get(name)
            if limits is None:
                continue
            group.limits = limits
            group.state.has_holders = False
            for access in group.accesses.values():
                holders = choose_holders(
                    name,
                    access.health.record.zone,
                    self._live,
                    limits.max_connections,
                    len(self._capacities),
                    self._capacities,
                )
                group.state.has_holders |= bool(holders.hosts)
                access.update(
                    limits.max_connections,
                    holders,
                    self.table.customers is not None,
                )
