"""Steps on hedged reads and on requests that wait for a primary."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import Call
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import UpstreamDialer
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import RunState
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


class _ImmediateUpstream(UpstreamSession):
    """Connection whose member answers each request at once."""

    def __init__(self, sent: list[Call]) -> None:
        self._sent = sent

    @property
    def is_usable(self) -> bool:
        return True

    def exchange(
        self, calls: Sequence[Call], timeout_s: float
    ) -> Result[tuple[Reply, ...], Failure]:
        self._sent.extend(calls)
        return Success(tuple(Reply(signature=b'x') for _ in calls))

    def close(self) -> None:
        pass


class _GatedDialer(UpstreamDialer):
    """Opens connections to a member once the test opens its gate."""

    def __init__(self) -> None:
        self.gates: dict[str, Event] = {}
        self.sent: dict[str, list[Call]] = {}

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Result[UpstreamSession, Failure]:
        if not self.gates[member.member].wait(30.0):
            return Failed(NoUpstream('the gate was not opened in time'))
        return Success(_ImmediateUpstream(self.sent[member.member]))


class HedgeSteps:
    """Steps on a read that is hedged between two members."""

    @staticmethod
    @given('a read whose first member has no free connection')
    def start_read(context: Any) -> None:
        """Start a read whose first member opens no connection yet."""
        clock = BoottimeClock()
        context.dialer = _GatedDialer()
        context.group = Group('ledger')
        context.group.state.update(
            MemberRecord(
                name, 'ledger', Endpoint('127.0.0.1', 1), 'a', False, False
            )
            for name in ('first', 'second')
        )
        for name, health in context.group.state.members.items():
            context.dialer.gates[name] = Event()
            context.dialer.sent[name] = []
            pool = MemberPool(health, context.dialer, clock)
            context.group.accesses[name] = MemberAccess(pool)
        now = clock.now()
        context.group.state.members['second'].latency_s = 0.04
        context.group.state.members['second'].last_served_at = now
        context.group.state.evidence.record(now - 1.0, Position(1, 5))
        context.session = SessionState({'tz': 'utc'})
        route = Route('db', 'ledger', ReadFreshness.BOUNDED, 9.0, 0.2, 1, 8.0)
        request = StatementRequest(
            Run('q1', 'READ a', False),
            None,
            route,
            context.group,
            context.session,
            SessionFloor(),
            now,
            now + route.timeout_s,
        )
        metrics = DirectMetrics()
        runner = StatementRunner(
            'a',
            Exchanger(clock, metrics),
            PrimaryWait(clock),
            clock,
            metrics,
            CommitCheck(clock),
        )
        context.read = gevent.spawn(runner.read, request)

    @staticmethod
    @when('the second member answers the read')
    def connect_second(context: Any) -> None:
        """Open a connection to the second member and wait for the reply."""
        context.dialer.gates['second'].set()
        assert isinstance(context.read.get(), Success)

    @staticmethod
    @when(
        'the session changes a variable before the first member has a free '
        'connection'
    )
    def change_variable(context: Any) -> None:
        """Change a session variable, then connect to the first member.

        Returns once the first member's pool has no request left.
        """
        context.session.values['tz'] = 'eet'
        context.dialer.gates['first'].set()
        pool = context.group.accesses['first'].local_pool
        while pool.health.in_flight or not pool.has_idle:
            gevent.sleep(0.001)

    @staticmethod
    @when('the first member has a free connection before the read is hedged')
    def connect_first(context: Any) -> None:
        """Open a connection to the first member and wait for the reply."""
        context.dialer.gates['first'].set()
        assert isinstance(context.read.get(), Success)

    @staticmethod
    @then('the first member was sent no request')
    def check_unsent(context: Any) -> None:
        """Check that the read did not run with the changed variable."""
        assert context.dialer.sent['first'] == []

    @staticmethod
    @then('the read was sent once, to the first member')
    def check_sent_once(context: Any) -> None:
        """Check that only the first member got the set-up and the read."""
        assert len(context.dialer.sent['first']) == 2
        assert context.dialer.sent['second'] == []


class _UnreachableDialer(UpstreamDialer):
    """Fails to connect to any member."""

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Result[UpstreamSession, Failure]:
        return Failed(PeerUnreachable('timeout'))


class UnreachablePrimarySteps:
    """Steps on a primary to which no connection can be opened."""

    @staticmethod
    @given('a group whose primary accepts no connection')
    def make_group(context: Any) -> None:
        """Create a group whose only member is unreachable."""
        context.clock = BoottimeClock()
        context.group = Group('ledger')
        context.group.state.update(
            [
                MemberRecord(
                    'p', 'ledger', Endpoint('127.0.0.1', 1), 'a', True, False
                )
            ]
        )
        health = context.group.state.members['p']
        pool = MemberPool(health, _UnreachableDialer(), context.clock)
        context.group.accesses['p'] = MemberAccess(pool)

    @staticmethod
    @then('a write is refused as not run')
    def check_not_run(context: Any) -> None:
        """Check that the failure states that the write was not run."""
        metrics = DirectMetrics()
        runner = StatementRunner(
            'a',
            Exchanger(context.clock, metrics),
            PrimaryWait(context.clock),
            context.clock,
            metrics,
            CommitCheck(context.clock),
        )
        context.group.state.no_primary_change_until = (
            context.clock.now() + 1000.0
        )
        result = runner.write(PrimaryWaitSteps.make_request(context))
        assert result.failure().run_state is RunState.NOT_RUN, result


class LeavingPrimarySteps:
    """Steps on a leaving primary."""

    @staticmethod
    @given('a group whose primary has been leaving for {leaving_s:d} s')
    def make_group(context: Any, leaving_s: int) -> None:
        """Create a group whose primary has announced its planned stop."""
        context.clock = BoottimeClock()
        context.group = Group('ledger')
        context.group.state.update(
            [
                MemberRecord(
                    'p',
                    'ledger',
                    Endpoint('127.0.0.1', 1),
                    'a',
                    True,
                    True,
                    leaving_since=context.clock.now() - leaving_s,
                )
            ]
        )

    @staticmethod
    @then('the primary still gets requests')
    def check_still_used(context: Any) -> None:
        """Check that the primary is not lost during the handover."""
        assert not PrimaryWait(context.clock).is_lost(context.group)

    @staticmethod
    @then('the primary gets no requests')
    def check_refused(context: Any) -> None:
        """Check that the primary counts as lost."""
        assert PrimaryWait(context.clock).is_lost(context.group)


class PrimaryWaitSteps:
    """Steps on requests that wait for a new primary."""

    @staticmethod
    @given('a write to a group without a known primary')
    def make_group_without_primary(context: Any) -> None:
        """Create a group without a primary."""
        context.clock = BoottimeClock()
        context.group = Group('ledger')
        context.wait = PrimaryWait(context.clock)

    @staticmethod
    @when('this host has learned that no failover will start')
    def rule_out_failover(context: Any) -> None:
        """Record that no failover will start within the next 1000 s."""
        until = context.clock.now() + 1000.0
        context.group.state.no_primary_change_until = until

    @staticmethod
    @then('the write is refused without a wait')
    def check_refused(context: Any) -> None:
        """Check that the write does not wait; a wait would take minutes."""
        assert not context.wait.wait(PrimaryWaitSteps.make_request(context))

    @staticmethod
    @when('another host claims the failover')
    def announce_failover(context: Any) -> None:
        """Record that a failover is due in 0.5 s."""
        context.group.state.no_primary_change_until = float('-inf')
        context.group.state.primary_change_due_at = context.clock.now() + 0.5

    @staticmethod
    @when('the new primary proves its leadership')
    def prove_leadership(context: Any) -> None:
        """Wake the waiting write from another greenlet."""
        gevent.spawn(context.group.notify_primary_changed)

    @staticmethod
    @then('the next write waits for the new primary')
    def check_waits(context: Any) -> None:
        """Check that the wait ends when the primary is known."""
        assert context.wait.wait(PrimaryWaitSteps.make_request(context))

    @staticmethod
    def make_request(context: Any) -> StatementRequest:
        """Return a write with a long time limit."""
        now = context.clock.now()
        route = Route('db', 'ledger', ReadFreshness.PRIMARY, 600.0, 0.2, 1)
        return StatementRequest(
            Run('q2', 'WRITE a 1', True),
            None,
            route,
            context.group,
            SessionState(),
            SessionFloor(),
            now,
            now + route.timeout_s,
        )
