"""Steps on replayed traffic and on generated requests."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from behave import then
from behave import when
from hypothesis import strategies
from returns.pipeline import is_successful
from returns.result import Result

from features.fakes.generated import find_violation
from features.fakes.routing_trace import find_class
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.peer import MemberDigest
from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart
from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_core.routing import MemberView
from trefoilpulley_core.routing import Route
from trefoilpulley_core.routing import RouteRequest
from trefoilpulley_core.routing_nearest import NearestRouting
from trefoilpulley_core.routing_targets import TargetRouting
from trefoilpulley_standins.policy_cases import make_overload
from trefoilpulley_standins.policy_cases import MEMBER_COUNT
from trefoilpulley_standins.policy_deployment import DEPLOYMENTS
from trefoilpulley_standins.policy_run import Load
from trefoilpulley_standins.policy_run import PolicyRun
from trefoilpulley_standins.policy_run import READ_AFTER_WRITE

if TYPE_CHECKING:
    from trefoilpulley_standins.policy_deployment import Deployment

SEED = 7
"""Seed of the replays."""

REQUEST_EXAMPLES = 300
"""Number of generated requests."""

MAX_EARLY_REFUSAL_S = 0.1
"""Maximum median time until a refusal that counts as early, in seconds."""


class _TermlessRouting(TargetRouting):
    """Policy with a deliberate fault: it ignores the terms of positions."""

    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Choose a member with every floor moved to term 1."""
        floor = req.floor and Position(1, req.floor.index)
        termless = RouteRequest(
            req.work_class, floor, req.zone, req.deadline, req.excluded
        )
        return super().choose(view, termless, now)


POLICIES = {
    'by the targets': TargetRouting,
    'by the thin policy': NearestRouting,
    'by a policy without terms': _TermlessRouting,
}
"""Policies by their names in the scenarios."""


class RoutingShareSteps:
    """Steps that replay the traffic of a deployment on a virtual clock."""

    @staticmethod
    @when('{name} is replayed at a lag of {lag_ms:d} ms')
    def replay_lag(context: Any, name: str, lag_ms: int) -> None:
        """Replay normal traffic."""
        _run(context, name, Load(20, 150, lag_ms / 1000, 4.0))

    @staticmethod
    @when('{name} is replayed at twice the load of its slots')
    def replay_overload(context: Any, name: str) -> None:
        """Replay twice the load for which the deployment has slots."""
        deployment = _find_deployment(name)
        _run(context, name, make_overload(deployment, 1.5))

    @staticmethod
    @when('{name} is replayed with a tenant that floods')
    def replay_flood(context: Any, name: str) -> None:
        """Replay the flood of one tenant and the normal traffic of another."""
        load = Load(20, 200, 0.05, 1.5, flood_per_s=3000)
        _run(context, name, load)

    @staticmethod
    @then('at least {share:f} of the aged reads are served by replicas')
    def check_aged(context: Any, share: float) -> None:
        """Compare the share of the aged reads at replicas with the target."""
        class_tally = context.tally[context.deployment.aged_read.name]
        assert class_tally.answered > 100
        assert class_tally.replica_share >= share, class_tally.replica_share

    @staticmethod
    @then(
        'at least {share:f} of the reads just after a write are served by '
        'replicas'
    )
    def check_reads_after_write(context: Any, share: float) -> None:
        """Compare the share of the reads after writes with the target."""
        class_tally = context.tally[READ_AFTER_WRITE]
        assert class_tally.answered > 30
        assert class_tally.replica_share >= share, class_tally.replica_share

    @staticmethod
    @then('no read reported an age below the true age')
    def check_ages(context: Any) -> None:
        """Check that no reported age was below the true age."""
        assert context.run.understated_ages == 0

    @staticmethod
    @then('every class meets its target')
    def check_targets(context: Any) -> None:
        """Compare every class with its promptness target."""
        for work_class in context.deployment.classes:
            _check_target(context, work_class.name, work_class)

    @staticmethod
    @then('the writes meet their target')
    def check_writes(context: Any) -> None:
        """Compare the deployment's writes with their target."""
        work_class = context.deployment.write
        _check_target(context, work_class.name, work_class)

    @staticmethod
    @then('the session reads meet their target')
    def check_session_reads(context: Any) -> None:
        """Compare the reads of a session's own writes with their target."""
        work_class = context.deployment.session_read
        _check_target(context, work_class.name, work_class)

    @staticmethod
    @then('the aged reads of the other tenant meet their target')
    def check_other_tenant(context: Any) -> None:
        """Compare the reads of the tenant that does not flood."""
        work_class = context.deployment.aged_read
        _check_target(context, f'steady/{work_class.name}', work_class)

    @staticmethod
    @then('aged reads are refused early')
    def check_early_refusals(context: Any) -> None:
        """Check that refusals come long before the deadline."""
        class_tally = context.tally[context.deployment.aged_read.name]
        assert class_tally.refused_share > 0.3
        assert class_tally.median_refusal_s <= MAX_EARLY_REFUSAL_S, (
            class_tally.median_refusal_s
        )

    @staticmethod
    @then('no refused request was run')
    def check_refused_not_run(context: Any) -> None:
        """Check that as many requests were run as were answered."""
        names = [c.name for c in context.deployment.classes]
        answered = sum(context.tally[n].answered for n in names)
        assert context.run.served == answered

    @staticmethod
    @when('generated requests are routed {way}')
    def route_generated(context: Any, way: str) -> None:
        """Route generated requests with digests that are up to date."""

        def check(group: list[LogHistory], floor_member: int) -> None:
            _check_floor(POLICIES[way](), group, floor_member)

        context.violation = find_violation(
            check, REQUEST_EXAMPLES, _group_logs(), strategies.integers(0, 2)
        )

    @staticmethod
    @then('no route is below its floor')
    def check_floors(context: Any) -> None:
        """Check that every route respects the floor."""
        assert context.violation is None, context.violation

    @staticmethod
    @then('a route is below its floor')
    def check_floor_violated(context: Any) -> None:
        """Check that the generated requests detect the faulty policy."""
        assert context.violation is not None


def _find_deployment(name: str) -> Deployment:
    return next(d for d in DEPLOYMENTS if d.name == name)


def _run(context: Any, name: str, load: Load) -> None:
    context.deployment = _find_deployment(name)
    context.run = PolicyRun(context.deployment, 'targets', load, SEED)
    context.tally = context.run.run()


def _check_target(context: Any, name: str, work_class: Any) -> None:
    class_tally = context.tally[name]
    assert class_tally.total > 20, name
    assert class_tally.in_time_share >= work_class.promptness.share, (
        name,
        class_tally.in_time_share,
    )


@strategies.composite
def _group_logs(draw: Any) -> list[LogHistory]:
    """Return the logs of a primary and of replicas with prefixes of it."""
    starts = [TermStart(1, 1)]
    index = draw(strategies.integers(1, 8))
    for term in range(2, draw(strategies.integers(1, 3)) + 1):
        starts.append(TermStart(term, index + 1))
        index += draw(strategies.integers(1, 8))
    logs = [_truncated_log(starts, index)]
    for _ in range(MEMBER_COUNT - 1):
        logs.append(
            _truncated_log(starts, draw(strategies.integers(1, index)))
        )
    return logs


def _truncated_log(starts: list[TermStart], index: int) -> LogHistory:
    kept = tuple(s for s in starts if s.index <= index)
    return LogHistory(kept, Position(kept[-1].term, index))


def _check_floor(
    policy: Any, group: list[LogHistory], floor_member: int
) -> None:
    """Check the route of a read whose floor is the end of a member's log."""
    members = tuple(
        MemberView(f'm/{i}', f'{i}', _digest(i, log), 0.0, 1.0 + i, False)
        for i, log in enumerate(group)
    )
    floor = group[floor_member].last
    req = RouteRequest(find_class('status'), floor, '2', 0.4)
    result = policy.choose(DatabaseView('m', members), req, 0.0)
    assert is_successful(result)
    route = result.unwrap()
    log = group[int(route.member[-1])]
    if route.wait_ms == 0:
        assert log.contains(floor), (route, floor, log)


def _digest(number: int, log: LogHistory) -> MemberDigest:
    return MemberDigest(
        f'm/{number}',
        number == 0,
        log.last.term,
        log.last,
        log.starts[-1].index,
        0,
        5,
        0,
        True,
    )
