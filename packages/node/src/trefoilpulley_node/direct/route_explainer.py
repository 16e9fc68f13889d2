"""Explains where this host would send a request, without side effects."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.route_explanation import explain_route
from trefoilpulley_core.direct.route_explanation import HostPreview
from trefoilpulley_core.direct.route_explanation import PathOutcome
from trefoilpulley_core.direct.route_explanation import PrimaryOutlook
from trefoilpulley_core.direct.route_report import HolderView
from trefoilpulley_core.direct.route_report import PathStep
from trefoilpulley_core.direct.route_report import PathView
from trefoilpulley_core.direct.route_report import QueueView
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_node.direct.access_preview import ClientPreview
from trefoilpulley_node.direct.access_preview import preview_access
from trefoilpulley_node.direct.access_preview import PreviewedSession
from trefoilpulley_node.direct.admission_preview import AdmissionPreview
from trefoilpulley_node.direct.caller_transaction import MAX_OPEN_ATTEMPTS
from trefoilpulley_node.direct.statement_request import StatementRequest
from trefoilpulley_node.direct.statement_runner import MAX_READ_ATTEMPTS

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.customers import Customer
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.route_report import LimitView
    from trefoilpulley_core.direct.route_report import RouteQuery
    from trefoilpulley_core.direct.route_report import RouteReport
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_core.retry_budget import RetryBudget
    from trefoilpulley_node.direct.admission_exchange import AdmissionExchange
    from trefoilpulley_node.direct.directory import GroupDirectory
    from trefoilpulley_node.direct.member_access import MemberAccess
    from trefoilpulley_node.direct.primary_wait import PrimaryWait
    from trefoilpulley_node.direct.relayed_session import RelayedSession
    from trefoilpulley_node.direct.session_registry import SessionRegistry


class RouteExplainer(HostPreview):
    """Explains where this host would send requests.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Availability zone of this host.
    directory : GroupDirectory
        Routes and groups.
    sessions : SessionRegistry
        Tells whether this host is about to stop.
    primary_wait : PrimaryWait
        Decides whether a request waits for a primary.
    admissions : AdmissionExchange
        Admits the operations of customers with a limit.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        directory: GroupDirectory,
        sessions: SessionRegistry,
        primary_wait: PrimaryWait,
        admissions: AdmissionExchange,
        clock: Clock,
    ) -> None:
        self._host = host
        self._zone = zone
        self._directory = directory
        self._sessions = sessions
        self._primary_wait = primary_wait
        self._admissions = admissions
        self._clock = clock

    def explain(self, query: RouteQuery) -> RouteReport:
        """Return where this host would send a request now, and why."""
        return explain_route(query, self, self._clock.now())

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._host

    @property
    def zone(self) -> str:
        """Availability zone of this host."""
        return self._zone

    @property
    def table(self) -> RouteTable:
        """Configuration in force."""
        return self._directory.table

    def is_stopping(self, is_transaction: bool) -> bool:
        """Return whether the host refuses requests because it stops."""
        return self._sessions.phase.is_refused(False, is_transaction)

    def find_group(self, route: Route) -> GroupState | None:
        """Return the group of a route, or ``None``."""
        group = self._directory.find_group(route)
        return None if group is None else group.state

    def find_outlook(self, route: Route, now: float) -> PrimaryOutlook:
        """Return what is expected of the primary for a new request."""
        group = self._directory.find_group(route)
        wait = self._primary_wait
        return PrimaryOutlook(
            wait.is_lost(group),
            wait.is_serving(group),
            wait.expected_at(group, now),
            wait.find_wait_end(group, now, now + route.timeout_s, now),
        )

    def try_limit(self, customer: Customer) -> LimitView:
        """Return how the limit of a customer decides on an operation."""
        return AdmissionPreview(self._admissions).find_limit(customer)

    def try_member(
        self,
        query: RouteQuery,
        route: Route,
        customer: str,
        member: str,
        now: float,
    ) -> PathOutcome:
        """Return how the request would get a connection to a member."""
        group = self._directory.find_group(route)
        found = group.find_access(member)
        if found is None:
            failure = NoUpstream('member has left the group')
            path = PathView(member, PathStep.REFUSED, (), None, False)
            return PathOutcome(path, failure)
        session = SessionState()
        work = StatementRequest(
            Run('', '', query.is_write),
            None,
            route,
            group,
            session,
            SessionFloor(),
            now,
            now + route.timeout_s,
            customer,
        ).connection_request(query.is_transaction)
        access = preview_access(found)
        acquired = access.acquire(work, session)
        queue = _view_queue(found, access, work, now)
        is_cut_off = found.local_pool.reach.own.is_refusing
        if not isinstance(acquired, Success):
            path = PathView(member, PathStep.REFUSED, (), queue, is_cut_off)
            return PathOutcome(path, acquired.failure())
        conn = acquired.unwrap()
        if isinstance(conn, PreviewedSession):
            path = PathView(member, conn.step, (), queue, is_cut_off)
            return PathOutcome(path, None)
        client = ClientPreview(found._relay_client, access.local_pool)
        is_refused_here = not client.is_used_for(work)
        holders = _view_holders(client, conn, customer, is_refused_here)
        if not is_refused_here:
            queue = None
        path = PathView(member, PathStep.HOLDERS, holders, queue, is_cut_off)
        return PathOutcome(path, None)

    def copy_budget(self, route: Route) -> RetryBudget:
        """Return a copy of the budget for further attempts."""
        group = self._directory.find_group(route)
        return copy.deepcopy(group.retry_budget)

    def count_attempts(self, is_transaction: bool) -> int:
        """Return how many members a read or a transaction may try."""
        return MAX_OPEN_ATTEMPTS if is_transaction else MAX_READ_ATTEMPTS


def _view_queue(
    access: MemberAccess,
    preview: MemberAccess,
    work: ConnectionRequest,
    now: float,
) -> QueueView:
    wait_s = preview.local_pool.expected_wait_s
    return QueueView(
        access.local_pool.waiting,
        None if wait_s is None else round(1000 * wait_s, 1),
        round(1000 * (min(work.admit_by, work.deadline) - now), 1),
    )


def _view_holders(
    client: ClientPreview,
    session: RelayedSession,
    customer: str,
    is_refused_here: bool,
) -> tuple[HolderView, ...]:
    """Return the other holders in the order in which they are tried."""
    tried = session.attempt_order
    order = list(tried)
    for holder in client.holders_for(customer):
        is_done = is_refused_here and holder == client.host
        if holder not in tried and not is_done:
            order.append(holder)
    ranked = client.rank(customer)
    ranks = {holder: rank for rank, holder in enumerate(ranked)}
    return tuple(
        HolderView(
            holder,
            holder in tried,
            any(ranks[h] > ranks[holder] for h in order[:place]),
            client.find_failure(holder),
        )
        for place, holder in enumerate(order)
    )
