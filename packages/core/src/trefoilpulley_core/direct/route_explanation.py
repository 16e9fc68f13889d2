"""Explains where a host would send a request now.

Load pattern: during an overload or after the loss of a member, an operator
sees requests of one route that are late or refused. Logs show what has
happened to requests of callers; the explanation shows the rules that apply to
the next one, without a request that would add to the load.

The checks come in the order in which they apply to a request: route, customer,
stop of the host, limit, member, connection. Every rule is that of requests.
"""

from __future__ import annotations

import abc
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.caller_identity import find_customer
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.group_state import LAG_AVOIDANCE_S
from trefoilpulley_core.direct.placement import choose_member
from trefoilpulley_core.direct.placement import find_cost
from trefoilpulley_core.direct.placement import MemberChoice
from trefoilpulley_core.direct.placement import Obstacle
from trefoilpulley_core.direct.placement import weigh_members
from trefoilpulley_core.direct.placement_bounds import find_bounds
from trefoilpulley_core.direct.placement_bounds import place_write
from trefoilpulley_core.direct.route_report import ChoiceReason
from trefoilpulley_core.direct.route_report import CostView
from trefoilpulley_core.direct.route_report import GroupView
from trefoilpulley_core.direct.route_report import MemberObstacle
from trefoilpulley_core.direct.route_report import MemberView
from trefoilpulley_core.direct.route_report import PathStep
from trefoilpulley_core.direct.route_report import PositionView
from trefoilpulley_core.direct.route_report import RefusalReason
from trefoilpulley_core.direct.route_report import RefusalView
from trefoilpulley_core.direct.route_report import RouteReport
from trefoilpulley_core.direct.route_report import RouteVerdict
from trefoilpulley_core.direct.route_report import RouteView
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import LimitExceeded
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import UnknownDatabase

if TYPE_CHECKING:
    from trefoilpulley_core.direct.customers import Customer
    from trefoilpulley_core.direct.evidence import Evidence
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.placement import WeighedMember
    from trefoilpulley_core.direct.route_report import LimitView
    from trefoilpulley_core.direct.route_report import PathView
    from trefoilpulley_core.direct.route_report import RouteQuery
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.retry_budget import RetryBudget


@dataclass(frozen=True, slots=True)
class PrimaryOutlook:
    """What a host expects of the primary of a group."""

    is_lost: bool
    """Whether requests are not sent to the primary."""

    is_serving: bool
    """Whether the primary answers and no change is expected."""

    expected_at: float
    """Time at which a primary is expected to be known, in seconds."""

    wait_until: float | None
    """Time until which the request waits; ``None`` if it does not."""


@dataclass(frozen=True, slots=True)
class PathOutcome:
    """Attempt to get a connection to a member."""

    path: PathView
    """Path to the member."""

    failure: Failure | None
    """Why no connection is available in time, or ``None``."""


class HostPreview(abc.ABC):
    """Decisions of a host on a new request, made without side effects."""

    @property
    @abc.abstractmethod
    def host(self) -> str:
        """Name of the host."""

    @property
    @abc.abstractmethod
    def zone(self) -> str:
        """Availability zone of the host."""

    @property
    @abc.abstractmethod
    def table(self) -> RouteTable:
        """Configuration in force."""

    @abc.abstractmethod
    def is_stopping(self, is_transaction: bool) -> bool:
        """Return whether the host refuses requests because it stops."""

    @abc.abstractmethod
    def find_group(self, route: Route) -> GroupState | None:
        """Return the group of a route, or ``None``."""

    @abc.abstractmethod
    def find_outlook(self, route: Route, now: float) -> PrimaryOutlook:
        """Return what is expected of the primary for a new request."""

    @abc.abstractmethod
    def try_limit(self, customer: Customer) -> LimitView:
        """Return how the limit of a customer decides on an operation."""

    @abc.abstractmethod
    def try_member(
        self,
        query: RouteQuery,
        route: Route,
        customer: str,
        member: str,
        now: float,
    ) -> PathOutcome:
        """Return how the request would get a connection to a member."""

    @abc.abstractmethod
    def copy_budget(self, route: Route) -> RetryBudget:
        """Return a copy of the budget for further attempts."""

    @abc.abstractmethod
    def count_attempts(self, is_transaction: bool) -> int:
        """Return how many members a read or a transaction may try."""


def explain_route(
    query: RouteQuery, preview: HostPreview, now: float
) -> RouteReport:
    """Return where a host would send a request now, and why.

    Parameters
    ----------
    query : RouteQuery
        Request, which begins a session.
    preview : HostPreview
        Host.
    now : float
        Current time in seconds.
    """
    table = preview.table
    report = _Report(preview.host, preview.zone, table.version)
    if table.version <= 0:
        failure = NoUpstream('configuration is not loaded yet')
        return report.refuse(RefusalReason.NOT_LOADED, failure)
    route = table.routes.get(query.database)
    group = preview.find_group(route) if route is not None else None
    if route is None or group is None:
        # The name is not repeated, since it may be a key given by mistake.
        return report.refuse(
            RefusalReason.UNKNOWN_DATABASE,
            UnknownDatabase('no route has this database name'),
        )
    report.add(route=_view_route(route))
    found = find_customer(table, query.database, query.customer)
    if not isinstance(found, Success):
        reason = RefusalReason.CUSTOMER_MISSING
        if query.customer:
            reason = RefusalReason.CUSTOMER_UNKNOWN
        return report.refuse(reason, found.failure())
    customer = found.unwrap()
    report.add(customer=customer.name if customer else None)
    if preview.is_stopping(query.is_transaction):
        return report.refuse(
            RefusalReason.HOST_STOPPING,
            Draining('host is stopping; other hosts serve'),
            0.0,
        )
    if customer is not None and customer.limit is not None:
        limit = preview.try_limit(customer)
        report.add(limit=limit)
        if not limit.is_admitted:
            return report.refuse(
                RefusalReason.LIMIT_EXCEEDED,
                LimitExceeded('operations of the customer'),
                limit.retry_ms,
            )
    name = customer.name if customer else ''
    return _Explanation(query, preview, report, route, group, name, now).run()


class _Report:
    """Collects the fields of a report."""

    def __init__(self, host: str, zone: str, version: int) -> None:
        self._fields = {'host': host, 'zone': zone, 'configuration': version}

    def add(self, **fields: object) -> None:
        """Set fields of the report."""
        self._fields.update(fields)

    def end(self, verdict: RouteVerdict, **fields: object) -> RouteReport:
        """Return the report."""
        return RouteReport(**{**self._fields, **fields}, verdict=verdict)

    def refuse(
        self,
        reason: RefusalReason,
        failure: Failure,
        retry_ms: float | None = None,
    ) -> RouteReport:
        """Return the report of a refused request."""
        refusal = RefusalView(reason, failure.code, failure.detail, retry_ms)
        return self.end(RouteVerdict.REFUSED, refusal=refusal)


class _Explanation:
    """Placement of one request that has passed the checks of its caller."""

    def __init__(
        self,
        query: RouteQuery,
        preview: HostPreview,
        report: _Report,
        route: Route,
        group: GroupState,
        customer: str,
        now: float,
    ) -> None:
        self._query = query
        self._preview = preview
        self._report = report
        self._route = route
        self._group = group
        self._customer = customer
        self._now = now
        self._outlook = preview.find_outlook(route, now)
        self._floor: Evidence | None = None
        self._weighed: tuple[WeighedMember, ...] = ()
        self._choice = MemberChoice(None)
        self._wait_until: float | None = None
        self._refused: list[str] = []
        self._passed_over: Counter[str] = Counter()
        self._paths: list[PathView] = []

    def run(self) -> RouteReport:
        query = self._query
        if query.is_write and not query.is_transaction:
            member, failure = self._place_write()
        else:
            member, failure = self._place()
        self._report.add(
            group=self._view_group(),
            members=tuple(self._view_member(m, member) for m in self._weighed),
            paths=tuple(self._paths),
        )
        if member is not None:
            is_queued = self._paths[-1].step is PathStep.QUEUE
            return self._report.end(
                RouteVerdict.QUEUED if is_queued else RouteVerdict.SENT,
                member=member,
                reasons=self._reasons(member),
            )
        if self._wait_until is not None:
            waits_ms = _ms(self._wait_until - self._now)
            return self._report.end(RouteVerdict.WAITING, waits_ms=waits_ms)
        return self._refuse(failure)

    def _place_write(self) -> tuple[str | None, Failure | None]:
        """Return the member of a write, or why it got no connection."""
        self._weigh(is_read_only=False)
        member = place_write(self._group, self._outlook.is_lost)
        if member is None:
            self._wait_until = self._outlook.wait_until
            return None, None
        failure = self._try(member)
        return (member, None) if failure is None else (None, failure)

    def _place(self) -> tuple[str | None, Failure | None]:
        """Return the member of a read or transaction, as for a write.

        A further member is tried if the queue for one is too long, while the
        budget lasts.
        """
        query, route = self._query, self._route
        budget = self._preview.copy_budget(route)
        budget.record_fresh(route.group)
        failure: Failure | None = None
        for _ in range(self._preview.count_attempts(query.is_transaction)):
            self._weigh(is_read_only=not query.is_write)
            choice = choose_member(self._weighed, self._admits)
            if choice.member is None:
                if not self._outlook.is_serving:
                    self._wait_until = self._outlook.wait_until
                break
            if isinstance(failure, Overloaded) and not budget.try_spend(
                route.group
            ):
                break
            self._choice = choice
            member = choice.member.health.record.member
            failure = self._try(member)
            if failure is None:
                return member, None
        return None, failure

    def _weigh(self, is_read_only: bool) -> None:
        query, now = self._query, self._now
        session = SessionFloor()
        if query.floor is not None:
            session = SessionFloor(now - query.floor_age_s, query.floor)
        bounds = find_bounds(
            self._group,
            self._route,
            session,
            is_read_only,
            self._outlook.is_lost,
            frozenset(self._refused),
            now,
        )
        self._floor = bounds.floor
        self._weighed = weigh_members(
            self._group,
            bounds.floor,
            self._preview.zone,
            bounds.excluded,
            now,
        )

    def _admits(self, health: MemberHealth) -> bool:
        """Return whether the pace of a member admits this attempt."""
        member = health.record.member
        is_admitted = health.pace.would_admit_read(
            health.in_flight, self._passed_over[member]
        )
        self._passed_over[member] += not is_admitted
        return is_admitted

    def _try(self, member: str) -> Failure | None:
        outcome = self._preview.try_member(
            self._query, self._route, self._customer, member, self._now
        )
        self._paths.append(outcome.path)
        if outcome.failure is not None:
            self._refused.append(member)
        return outcome.failure

    def _refuse(self, failure: Failure | None) -> RouteReport:
        now, outlook = self._now, self._outlook
        if isinstance(failure, Overloaded):
            queue = self._paths[-1].queue
            retry_ms = None
            if queue is not None and queue.expected_wait_ms is not None:
                excess_ms = queue.expected_wait_ms - queue.allowed_wait_ms
                retry_ms = round(max(0.0, excess_ms), 1)
            return self._report.refuse(
                RefusalReason.QUEUE_TOO_LONG, failure, retry_ms
            )
        if failure is not None:
            return self._report.refuse(RefusalReason.NO_MEMBER, failure)
        if outlook.is_serving:
            return self._report.refuse(
                RefusalReason.NO_MEMBER,
                NoUpstream('no member may serve the request'),
            )
        lagging = [m for m in self._weighed if m.obstacle is Obstacle.LAGGING]
        others = [m for m in self._weighed if not m.is_primary]
        if lagging and len(lagging) == len(others):
            ends_at = min(
                m.health.last_lag_refusal_at + LAG_AVOIDANCE_S for m in lagging
            )
            return self._report.refuse(
                RefusalReason.EVERY_REPLICA_BEHIND,
                NoUpstream('no member may serve the request'),
                _ms(ends_at - now),
            )
        due_at = max(outlook.expected_at, self._group.no_primary_change_until)
        return self._report.refuse(
            RefusalReason.NO_PRIMARY,
            NoUpstream('no primary is expected in time'),
            _ms(due_at - now),
        )

    def _reasons(self, member: str) -> tuple[ChoiceReason, ...]:
        reasons = [self._main_reason(member)]
        if self._outlook.is_lost:
            reasons.append(ChoiceReason.PRIMARY_LOST)
        others = [m for m in self._weighed if m.health.record.member != member]
        if any(
            m.may_lack_floor and m.health.record.member not in self._refused
            for m in others
        ):
            reasons.append(ChoiceReason.REPLICA_AVOIDED)
        if self._choice.passed_over:
            reasons.append(ChoiceReason.PACED_PASSED_OVER)
        if self._refused:
            reasons.append(ChoiceReason.FULL_PASSED_OVER)
        if self._group.members[member].record.zone != self._preview.zone:
            reasons.append(ChoiceReason.OTHER_ZONE)
        return tuple(reasons)

    def _main_reason(self, member: str) -> ChoiceReason:
        if self._query.is_write:
            return ChoiceReason.PRIMARY_FOR_WRITE
        if self._floor is not None:
            if member == self._group.primary:
                return ChoiceReason.PRIMARY_BY_COST
            return ChoiceReason.REPLICA_BY_FLOOR
        if self._route.freshness is ReadFreshness.PRIMARY:
            return ChoiceReason.PRIMARY_BY_FRESHNESS
        return ChoiceReason.PRIMARY_WITHOUT_EVIDENCE

    def _view_group(self) -> GroupView:
        outlook, now = self._outlook, self._now
        expected_ms = None
        if not outlook.is_serving:
            expected_ms = _ms(outlook.expected_at - now)
        return GroupView(
            self._group.primary,
            outlook.is_lost,
            expected_ms,
            _view_evidence(self._group.evidence.newest, now),
            _view_evidence(self._floor, now),
        )

    def _view_member(
        self, weighed: WeighedMember, chosen: str | None
    ) -> MemberView:
        health, now = weighed.health, self._now
        record = health.record
        is_chosen = record.member == chosen
        cost = find_cost(weighed, self._preview.zone, now)
        return MemberView(
            record.member,
            'primary' if weighed.is_primary else 'replica',
            record.zone,
            is_chosen,
            # A write is sent to a primary that has failed for a moment.
            None if is_chosen else self._find_obstacle(weighed),
            weighed.may_lack_floor,
            CostView(
                _ms(cost.total_s),
                _ms(cost.latency_s),
                cost.in_flight,
                _ms(cost.failure_s),
                _ms(cost.zone_s),
                _ms(cost.avoidance_s),
                cost.factor,
                _ms(cost.lag_s),
            ),
            _format(health.position),
            _ms(health.expected_lag_s(now)),
            _failing_ms(health, now),
            round(health.failure_rate.value(now), 3),
            _ms(max(0.0, health.avoid_until - now)),
            record.is_leaving,
            round(health.pace.fraction, 3),
            any(m.health is health for m in self._choice.passed_over),
        )

    def _find_obstacle(self, weighed: WeighedMember) -> MemberObstacle | None:
        if weighed.health.record.member in self._refused:
            return MemberObstacle.REFUSED
        if weighed.obstacle is Obstacle.EXCLUDED:
            return MemberObstacle.PRIMARY_LOST
        if weighed.obstacle is None:
            return None
        return MemberObstacle(weighed.obstacle.value)


def _view_route(route: Route) -> RouteView:
    return RouteView(
        route.database,
        route.group,
        route.freshness.value,
        _ms(route.max_age_s),
        _ms(route.goal_s),
        _ms(route.timeout_s),
        route.priority,
        route.is_public,
    )


def _view_evidence(
    evidence: Evidence | None, now: float
) -> PositionView | None:
    if evidence is None:
        return None
    return PositionView(_format(evidence.position), _ms(now - evidence.at))


def _failing_ms(health: MemberHealth, now: float) -> float | None:
    since = health.failing_since
    return None if since is None else _ms(now - since)


def _format(position: Position) -> str:
    return f'{position.term}.{position.index}'


def _ms(seconds: float) -> float:
    return round(1000 * seconds, 1)
