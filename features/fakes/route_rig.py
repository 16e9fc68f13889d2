"""A host of the direct mode with virtual time, without a network.

The rig records what the host does with one request: the connections that it
opens and uses, the hosts that it asks, and its waits.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import fields
from dataclasses import is_dataclass
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

import gevent
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.admission_messages import AdmissionAnswer
from trefoilpulley_core.direct.commands import Begin
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.customer_limit import CustomerLimits
from trefoilpulley_core.direct.customer_limit import LimitBounds
from trefoilpulley_core.direct.customers import Customer
from trefoilpulley_core.direct.customers import CustomerLimit
from trefoilpulley_core.direct.customers import CustomerTable
from trefoilpulley_core.direct.customers import KeyDigest
from trefoilpulley_core.direct.customers import KeyHolder
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.routes import GroupLimits
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.routes import RouteTable
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import Call
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.direct.upstream_session import UpstreamDialer
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_node.direct.admission_exchange import AdmissionExchange
from trefoilpulley_node.direct.commit_check import CommitCheck
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import GroupDirectory
from trefoilpulley_node.direct.exchange import Exchanger
from trefoilpulley_node.direct.limit_refusals import LimitRefusals
from trefoilpulley_node.direct.primary_wait import PrimaryWait
from trefoilpulley_node.direct.route_explainer import RouteExplainer
from trefoilpulley_node.direct.session_factory import SessionFactory
from trefoilpulley_node.direct.session_registry import SessionRegistry
from trefoilpulley_node.direct.statement_request import StatementRequest
from trefoilpulley_node.direct.statement_runner import StatementRunner

if TYPE_CHECKING:
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.route_report import RouteQuery
    from trefoilpulley_core.direct.route_report import RouteReport

HOST = 'h0'
"""Host of the rig, in zone a."""

GROUP = 'ledger'
"""Group of the rig's members."""

KEY = 'key-of-{}'
"""Key of a customer by its name."""

TURNS = 20
"""Turns of the event loop after which a request waits or has ended."""


class _Upstream(UpstreamSession):
    """Connection whose member answers each request at once."""

    def __init__(self, rig: RouteRig, member: str) -> None:
        self._rig = rig
        self._member = member
        self._is_open = False

    @property
    def is_usable(self) -> bool:
        return True

    def exchange(
        self, calls: Sequence[Call], timeout_s: float
    ) -> Result[tuple[Reply, ...], Failure]:
        self._rig.actions.append(('exchange', self._member))
        replies = []
        for call in calls:
            if isinstance(call, OpenTransaction):
                self._is_open = True
            state = TransactionState.IDLE
            if self._is_open and len(calls) == 1:
                state = TransactionState.OPEN
            replies.append(Reply(state=state))
        return Success(tuple(replies))

    def close(self) -> None:
        pass


class _Dialer(UpstreamDialer):
    """Opens any number of connections."""

    def __init__(self, rig: RouteRig) -> None:
        self._rig = rig

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Result[UpstreamSession, Failure]:
        self._rig.actions.append(('dial', member.member))
        return Success(_Upstream(self._rig, member.member))


class _Holders:
    """Peers that can't be reached; the attempts are recorded."""

    def __init__(self, rig: RouteRig) -> None:
        self._rig = rig

    def open_channel(
        self, host: str, timeout_s: float
    ) -> Result[Any, Failure]:
        self._rig.actions.append(('holder', host))
        return Failed(PeerUnreachable(host))


class _Owners:
    """Owners of limits, which admit every operation."""

    def __init__(self, rig: RouteRig) -> None:
        self._rig = rig

    def open_channel(
        self, host: str, timeout_s: float
    ) -> Result[Any, Failure]:
        return Success(None)

    def call_host(
        self, host: str, question: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        self._rig.asked.append(host)
        return Success(AdmissionAnswer(question.count))


class _NoPrimary(Event):
    """Wait for a primary that does not come."""

    def __init__(self, rig: RouteRig) -> None:
        super().__init__()
        self._rig = rig

    def wait(self, timeout: float | None = None) -> bool:
        """Record the wait and end it."""
        self._rig.actions.append(('wait', round(1000 * timeout, 1)))
        return False


class RouteRig:
    """Host with one group, and what it has done with a request."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.actions: list[tuple[str, Any]] = []
        """What the host has done with the request, in order."""

        self.tried: list[str] = []
        """Members of which the host has requested a connection, in order."""

        self.asked: list[str] = []
        """Owners of limits that were asked."""

        self._metrics = DirectMetrics()
        self.directory = GroupDirectory(
            HOST, 'a', _Dialer(self), _Holders(self), self.clock
        )
        self.sessions = SessionRegistry(self.clock)
        self.limits = CustomerLimits(HOST, LimitBounds())
        self.admissions = AdmissionExchange(
            HOST,
            self.limits,
            _Owners(self),
            self.clock,
            self._metrics,
            LimitRefusals(self._metrics),
        )
        self.set_hosts({'a': (HOST,)})
        wait = PrimaryWait(self.clock)
        self.explainer = RouteExplainer(
            HOST,
            'a',
            self.directory,
            self.sessions,
            wait,
            self.admissions,
            self.clock,
        )
        exchanger = Exchanger(self.clock, self._metrics)
        commits = CommitCheck(self.clock)
        self._factory = SessionFactory(
            'a',
            self.directory,
            StatementRunner(
                'a', exchanger, wait, self.clock, self._metrics, commits
            ),
            exchanger,
            wait,
            self.admissions,
            self.clock,
            self._metrics,
            commits,
        )

    @property
    def group(self) -> Any:
        """Group of the members."""
        return self.directory.groups[GROUP]

    def configure(
        self,
        customers: dict[str, CustomerLimit | None] | None = None,
        max_connections: int = 16,
    ) -> None:
        """Put routes and customers in force.

        Parameters
        ----------
        customers : dict[str, CustomerLimit | None] | None
            Limits by customer; ``None``: the deployment has no customers.
        max_connections : int
            Connections that a member accepts.
        """
        routes = {
            name: Route(name, GROUP, freshness, 3.0, 0.2, 1, 2.5, is_public)
            for name, freshness, is_public in (
                ('filings', ReadFreshness.PRIMARY, False),
                ('lookups', ReadFreshness.BOUNDED, False),
                ('orders', ReadFreshness.SESSION, False),
                ('notices', ReadFreshness.BOUNDED, True),
            )
        }
        table = None
        if customers is not None:
            table = _make_customers(customers)
            self.limits.set_customers(table.customers, self.clock.at)
        self.directory.set_routes(
            RouteTable(
                self.directory.table.version + 1,
                routes,
                {GROUP: GroupLimits(max_connections)},
                customers=table,
            )
        )

    def add_members(self, zones: dict[str, str], leaving: Any = ()) -> None:
        """Add members by name and zone; the first one is the primary."""
        for number, (member, zone) in enumerate(zones.items()):
            self.directory.set_member(
                MemberRecord(
                    member,
                    GROUP,
                    Endpoint('127.0.0.1', 1),
                    zone,
                    number == 0,
                    member in leaving,
                    leaving_since=self.clock.at if member in leaving else None,
                )
            )

    def set_hosts(self, zones: dict[str, tuple[str, ...]]) -> None:
        """Set the live hosts by availability zone."""
        names = [h for hosts in zones.values() for h in hosts]
        capacities = dict.fromkeys(names, 1.0)
        self.directory.set_hosts(zones, capacities)
        self.limits.set_hosts(names, names, capacities, self.clock.at)

    def hold(self, member: str, customer: str, count: int) -> list[Any]:
        """Open connections and return them."""
        pool = self.group.accesses[member].local_pool
        work = self.make_work('orders', customer)
        return [
            conn
            for _ in range(count)
            if (conn := pool._dial(work.deadline, customer).value_or(None))
        ]

    def fill_queue(self, member: str, customer: str, count: int) -> None:
        """Put work in the queue for a member, whatever its wait is."""
        pool = self.group.accesses[member].local_pool
        work = self.make_work('orders', customer)
        late = type(work)(0, 1e9, 1e9, work.goal_at, work.kind, work.customer)
        for _ in range(count):
            handle = mock.Mock()
            pool._queue.enqueue(late, self.clock.at, 1, 0.0, handle)

    def make_work(self, database: str, customer: str) -> ConnectionRequest:
        """Return what a statement of a customer declares."""
        route = self.directory.table.routes[database]
        now = self.clock.at
        return StatementRequest(
            Run('', '', False),
            None,
            route,
            self.group,
            SessionState(),
            SessionFloor(),
            now,
            now + route.timeout_s,
            customer,
        ).connection_request()

    def explain(self, query: RouteQuery) -> RouteReport:
        """Return the explanation of a request."""
        return self.explainer.explain(query)

    def send(self, query: RouteQuery) -> Failure | None:
        """Send the request and return its failure, if any.

        A request that waits in a queue is ended after its wait has begun.
        """
        self._record()
        waiting = self._count_waiting()
        ended = gevent.spawn(self._send, query)
        turn = gevent.sleep
        with mock.patch('gevent.sleep', lambda seconds=0: turn(0)):
            for _ in range(TURNS * TURNS):
                turn(0)
                if ended.ready():
                    return ended.get()
            for member, count in self._count_waiting().items():
                if count > waiting[member]:
                    self.actions.append(('queue', member))
            for access in self.group.accesses.values():
                access.close()
            ended.kill()
        return None

    def _send(self, query: RouteQuery) -> Failure | None:
        key = KEY.format(query.customer) if query.customer else ''
        failure = None
        if self.directory.is_loaded:
            failure = self._factory.find_failure(query.database, key)
        if failure is not None:
            return failure
        phase = self.sessions.phase
        if phase.is_refused(False, query.is_transaction):
            return Draining('host is stopping')
        session = self._factory.open(query.database, key)
        if query.floor is not None:
            at = self.clock.at - query.floor_age_s
            floor = session.floor_of(GROUP)
            floor.at, floor.position = at, query.floor
        if query.is_transaction:
            reply = session.handle(Begin(not query.is_write))
            if reply.failure is not None:
                return reply.failure
        return session.handle(Run('r', 'text', query.is_write)).failure

    def _count_waiting(self) -> dict[str, int]:
        if GROUP not in self.directory.groups:
            return {}
        accesses = self.group.accesses
        return {m: a.local_pool.waiting for m, a in accesses.items()}

    def _record(self) -> None:
        self.actions.clear()
        self.tried.clear()
        for group in self.directory.groups.values():
            group.primary_changed = _NoPrimary(self)
            for member, access in group.accesses.items():
                access.acquire = self._recorder(member, access.acquire)

    def _recorder(self, member: str, acquire: Any) -> Any:
        def record(work: Any, session: Any) -> Any:
            self.tried.append(member)
            return acquire(work, session)

        return record


def fingerprint(value: Any, seen: dict[int, int] | None = None) -> Any:
    """Return what an object and the objects that it refers to hold."""
    seen = {} if seen is None else seen
    if value is None or isinstance(value, (str, bytes, int, float)):
        return value
    if isinstance(value, type):
        return value.__name__
    if id(value) in seen:
        return ('seen', seen[id(value)])
    seen[id(value)] = len(seen)
    if isinstance(value, dict):
        return [
            (fingerprint(k, seen), fingerprint(v, seen))
            for k, v in value.items()
        ]
    if isinstance(value, (set, frozenset)):
        return sorted(map(repr, value))
    if hasattr(value, '__iter__') and hasattr(value, '__len__'):
        return [fingerprint(v, seen) for v in value] + _fields_of(value, seen)
    return _fields_of(value, seen)


def _fields_of(value: Any, seen: dict[int, int]) -> list[Any]:
    found = dict(getattr(value, '__dict__', {}))
    if is_dataclass(value):
        found.update({f.name: getattr(value, f.name) for f in fields(value)})
    own = type(value).__module__.startswith(('trefoilpulley', 'features'))
    if not own:
        return [type(value).__name__]
    return [
        (name, fingerprint(v, seen))
        for name, v in found.items()
        if not isinstance(v, (RouteRig, mock.Mock))
    ]


def _make_customers(
    limits: dict[str, CustomerLimit | None],
) -> CustomerTable:
    customers = {n: Customer(n, 0, limit) for n, limit in limits.items()}
    digests = {n: KeyDigest.of_key(KEY.format(n)) for n in limits}
    holders = {d.index: KeyHolder(d, n) for n, d in digests.items()}
    return CustomerTable(customers, holders)
