"""Steps on a member that fails its statements."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.evidence import Evidence
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.placement import place_read
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import UpstreamDialer
from trefoilpulley_core.direct.upstream_session import UpstreamFailed
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.position import Position
from trefoilpulley_node.clock import BoottimeClock
from trefoilpulley_node.direct.commit_check import CommitCheck
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.exchange import Exchanger
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.primary_wait import PrimaryWait
from trefoilpulley_node.direct.statement_request import StatementRequest
from trefoilpulley_node.direct.statement_runner import StatementRunner

FLOOR_AGE_S = 1.0
"""Age of the floor of the reads, in seconds; every replica holds it."""

PRIMARY = 'p'
"""Member that leads the group."""


def _records() -> list[MemberRecord]:
    endpoint = Endpoint('127.0.0.1', 1)
    return [
        MemberRecord(name, 'ledger', endpoint, 'a', name == PRIMARY, False)
        for name in (PRIMARY, 'r', 's')
    ]


class FailingReplicaSteps:
    """Steps that replay reads against the placement alone."""

    @staticmethod
    @given('a group in which "r" answers in {r:d} ms and "s" in {s:d} ms')
    def make(context: Any, r: int, s: int) -> None:
        """Create a group with a primary and two replicas."""
        context.state = GroupState('ledger')
        context.state.update(_records())
        context.state.primary = PRIMARY
        context.latency_s = {'r': r / 1000, 's': s / 1000, PRIMARY: 0.02}
        context.now = 100.0

    @staticmethod
    @when('"r" fails {percent:d} % of {count:d} reads, {gap_ms:d} ms apart')
    def replay(context: Any, percent: int, count: int, gap_ms: int) -> None:
        """Place reads and record their outcomes; count those of ``r``."""
        context.count = count
        context.placed = []
        failed_share = 0
        for _ in range(count):
            context.now += gap_ms / 1000
            name = FailingReplicaSteps._place(context)
            context.placed.append(name)
            health = context.state.members[name]
            health.on_served(context.latency_s[name], context.now)
            if name == 'r':
                failed_share += percent
            has_failed = name == 'r' and failed_share >= 100
            if has_failed:
                failed_share -= 100
            health.failure_rate.record(has_failed, context.now)

    @staticmethod
    @when('"s" and the primary are unreachable')
    def lose_others(context: Any) -> None:
        """Let only the failing replica answer."""
        for name in ('s', PRIMARY):
            context.state.members[name].on_unreachable(context.now)

    @staticmethod
    @then('"r" got at most {percent:d} % of the reads')
    def check_at_most(context: Any, percent: int) -> None:
        """Check the share of the reads that the replica got."""
        found = 100 * context.placed.count('r') / context.count
        assert found <= percent, found

    @staticmethod
    @then('"r" got at least {percent:d} % of the reads')
    def check_at_least(context: Any, percent: int) -> None:
        """Check the share of the reads that the replica got."""
        found = 100 * context.placed.count('r') / context.count
        assert found >= percent, found

    @staticmethod
    @then('a read goes to "{name}"')
    def check_place(context: Any, name: str) -> None:
        """Check the member that serves the next read."""
        assert FailingReplicaSteps._place(context) == name

    @staticmethod
    def _place(context: Any) -> str:
        floor = Evidence(context.now - FLOOR_AGE_S, Position(1, 1))
        place = place_read(context.state, floor, 'a', frozenset(), context.now)
        return place.member


class _FailingUpstream(UpstreamSession):
    """Connection to a member that fails the first reads of a scenario."""

    def __init__(self, context: Any) -> None:
        self._context = context

    @property
    def is_usable(self) -> bool:
        return True

    def exchange(self, calls: Any, timeout_s: float) -> Any:
        failure = None
        if self._context.failures_left:
            self._context.failures_left -= 1
            failure = UpstreamFailed('failed by the test')
        reply = Reply(signature=b'x', position=Position(1, 9), failure=failure)
        return Success((reply,) * len(calls))

    def close(self) -> None:
        pass


class _FailingDialer(UpstreamDialer):
    def __init__(self, context: Any) -> None:
        self._context = context

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Any:
        return Success(_FailingUpstream(self._context))


class RepeatedReadSteps:
    """Steps on a read that fails at a member."""

    @staticmethod
    @given('a group whose members fail {count:d} reads')
    def make(context: Any, count: int) -> None:
        """Create a group with accesses to its members."""
        clock = context.clock = BoottimeClock()
        context.failures_left = count
        group = context.group = Group('ledger')
        group.state.update(_records())
        group.state.primary = PRIMARY
        now = clock.now()
        group.state.evidence.record(now - FLOOR_AGE_S, Position(1, 1))
        for name, health in group.state.members.items():
            pool = MemberPool(health, _FailingDialer(context), clock)
            group.accesses[name] = MemberAccess(pool)

    @staticmethod
    @when('a caller reads from the group')
    def read(context: Any) -> None:
        """Run a bounded read."""
        clock, metrics = context.clock, DirectMetrics()
        route = Route('db', 'ledger', ReadFreshness.BOUNDED, 9.0, 2.0, 1, 8.0)
        now = clock.now()
        request = StatementRequest(
            Run('q1', 'READ a', False),
            None,
            route,
            context.group,
            SessionState(),
            SessionFloor(),
            now,
            now + route.timeout_s,
        )
        runner = StatementRunner(
            'a',
            Exchanger(clock, metrics),
            PrimaryWait(clock),
            clock,
            metrics,
            CommitCheck(clock),
        )
        context.result = runner.read(request)

    @staticmethod
    @then('the caller gets an answer')
    def check_answer(context: Any) -> None:
        """Check that another member served the read."""
        assert isinstance(context.result, Success), context.result

    @staticmethod
    @then('the caller gets a failure')
    def check_failure(context: Any) -> None:
        """Check that the failure of the members is reported."""
        found = context.result.failure()
        assert isinstance(found, UpstreamFailed), found
