"""Steps on whole replays and on generated requests."""

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
from trefoilpulley_core.routing_targets import TargetRouting
from trefoilpulley_core.routing_thin import NearestRouting
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

EXAMPLES = 300
"""Generated requests."""

EARLY_S = 0.1
"""Longest median time to an early refusal, in seconds."""


class _TermlessRouting(TargetRouting):
    """Deliberate fault: compares indexes alone."""

    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Choose with every floor in the first term."""
        floor = req.floor and Position(1, req.floor.index)
        termless = RouteRequest(
            req.work_class, floor, req.zone, req.deadline, req.excluded
        )
        return super().choose(view, termless, now)


WAYS = {
    'by the targets': TargetRouting,
    'by the thin policy': NearestRouting,
    'by a policy without terms': _TermlessRouting,
}
"""Policies by the names that the scenarios give them."""


class RoutingShareSteps:
    """Steps that replay traffic on a virtual clock."""

    @staticmethod
    @when('{name} is replayed at a lag of {lag_ms:d} ms')
    def replay_lag(context: Any, name: str, lag_ms: int) -> None:
        """Replay ordinary traffic."""
        _run(context, name, Load(20, 150, lag_ms / 1000, 4.0))

    @staticmethod
    @when('{name} is replayed at twice the load of its slots')
    def replay_overload(context: Any, name: str) -> None:
        """Replay twice the work that the slots carry."""
        deployment = _find_deployment(name)
        _run(context, name, make_overload(deployment, 1.5))

    @staticmethod
    @when('{name} is replayed with a tenant that floods')
    def replay_flood(context: Any, name: str) -> None:
        """Replay the flood of one tenant beside another's traffic."""
        load = Load(20, 200, 0.05, 1.5, flood_per_s=3000)
        _run(context, name, load)

    @staticmethod
    @then('at least {share:f} of the aged reads are served by replicas')
    def check_aged(context: Any, share: float) -> None:
        """Compare with the target of the users."""
        found = context.tally[context.deployment.aged_read.name]
        assert found.answered > 100
        assert found.replica_share >= share, found.replica_share

    @staticmethod
    @then(
        'at least {share:f} of the reads just after a write are served by '
        'replicas'
    )
    def check_written(context: Any, share: float) -> None:
        """Compare with the target of the users."""
        found = context.tally[READ_AFTER_WRITE]
        assert found.answered > 30
        assert found.replica_share >= share, found.replica_share

    @staticmethod
    @then('no read stated a false age')
    def check_true(context: Any) -> None:
        """Expect every age on the careful side."""
        assert context.run.understated_ages == 0

    @staticmethod
    @then('every class keeps its target')
    def check_targets(context: Any) -> None:
        """Compare every class with its promptness target."""
        for work_class in context.deployment.classes:
            _check_target(context, work_class.name, work_class)

    @staticmethod
    @then('the writes keep their target')
    def check_writes(context: Any) -> None:
        """Compare filings or bookings with their target."""
        work_class = context.deployment.write
        _check_target(context, work_class.name, work_class)

    @staticmethod
    @then('the session reads keep their target')
    def check_session_reads(context: Any) -> None:
        """Compare reads of a session's own writes with their target."""
        work_class = context.deployment.session_read
        _check_target(context, work_class.name, work_class)

    @staticmethod
    @then('the aged reads of the other tenant keep their target')
    def check_steady(context: Any) -> None:
        """Compare the tenant within its share with the target."""
        work_class = context.deployment.aged_read
        _check_target(context, f'steady/{work_class.name}', work_class)

    @staticmethod
    @then('aged reads are refused early')
    def check_early(context: Any) -> None:
        """Expect refusals long before the deadline."""
        found = context.tally[context.deployment.aged_read.name]
        assert found.refused_share > 0.3
        assert found.median_refusal_s <= EARLY_S, found.median_refusal_s

    @staticmethod
    @then('no more work was run than answered')
    def check_refusals(context: Any) -> None:
        """Expect that nothing refused has run."""
        names = [c.name for c in context.deployment.classes]
        answered = sum(context.tally[n].answered for n in names)
        assert context.run.served == answered

    @staticmethod
    @when('generated requests are routed {way}')
    def generate(context: Any, way: str) -> None:
        """Route generated requests with digests that are right."""

        def check(group: list[LogHistory], asked: int) -> None:
            _check_floor(WAYS[way](), group, asked)

        context.broken = find_violation(
            check, EXAMPLES, _groups(), strategies.integers(0, 2)
        )

    @staticmethod
    @then('no route is below its floor')
    def check_floors(context: Any) -> None:
        """Expect no broken rule."""
        assert context.broken is None, context.broken

    @staticmethod
    @then('a route is below its floor')
    def check_fault(context: Any) -> None:
        """Expect the deliberate fault to show."""
        assert context.broken is not None


def _find_deployment(name: str) -> Deployment:
    return next(d for d in DEPLOYMENTS if d.name == name)


def _run(context: Any, name: str, load: Load) -> None:
    context.deployment = _find_deployment(name)
    context.run = PolicyRun(context.deployment, 'targets', load, SEED)
    context.tally = context.run.run()


def _check_target(context: Any, name: str, work_class: Any) -> None:
    found = context.tally[name]
    assert found.total > 20, name
    assert found.in_time_share >= work_class.promptness.share, (
        name,
        found.in_time_share,
    )


@strategies.composite
def _groups(draw: Any) -> list[LogHistory]:
    """Return the logs of a primary and two replicas with prefixes."""
    starts = [TermStart(1, 1)]
    index = draw(strategies.integers(1, 8))
    for term in range(2, draw(strategies.integers(1, 3)) + 1):
        starts.append(TermStart(term, index + 1))
        index += draw(strategies.integers(1, 8))
    found = [_cut(starts, index)]
    for _ in range(MEMBER_COUNT - 1):
        found.append(_cut(starts, draw(strategies.integers(1, index))))
    return found


def _cut(starts: list[TermStart], index: int) -> LogHistory:
    kept = tuple(s for s in starts if s.index <= index)
    return LogHistory(kept, Position(kept[-1].term, index))


def _check_floor(policy: Any, group: list[LogHistory], asked: int) -> None:
    """Check a read whose floor is the end of one member's log."""
    members = tuple(
        MemberView(f'm/{i}', f'{i}', _digest(i, log), 0.0, 1.0 + i, False)
        for i, log in enumerate(group)
    )
    floor = group[asked].last
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
