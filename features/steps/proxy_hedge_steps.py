"""Steps on reads that are sent to a second member."""

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
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.position import Position
from trefoilpulley_core.proxy.commands import Run
from trefoilpulley_core.proxy.evidence import SessionFloor
from trefoilpulley_core.proxy.group_state import MemberRecord
from trefoilpulley_core.proxy.routes import ReadFreshness
from trefoilpulley_core.proxy.routes import Route
from trefoilpulley_core.proxy.session_state import SessionState
from trefoilpulley_core.proxy.upstream_session import Call
from trefoilpulley_core.proxy.upstream_session import Reply
from trefoilpulley_core.proxy.upstream_session import UpstreamDialer
from trefoilpulley_core.proxy.upstream_session import UpstreamSession
from trefoilpulley_node.clock import BoottimeClock
from trefoilpulley_node.proxy.directory import Group
from trefoilpulley_node.proxy.exchange import Exchanger
from trefoilpulley_node.proxy.member_access import MemberAccess
from trefoilpulley_node.proxy.member_pool import MemberPool
from trefoilpulley_node.proxy.primary_wait import PrimaryWait
from trefoilpulley_node.proxy.proxy_metrics import ProxyMetrics
from trefoilpulley_node.proxy.statement_runner import StatementRunner
from trefoilpulley_node.proxy.work import StatementRequest


class _Upstream(UpstreamSession):
    """Connection that answers at once."""

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


class _Dialer(UpstreamDialer):
    """Opens a connection once the member's gate is open."""

    def __init__(self) -> None:
        self.gates: dict[str, Event] = {}
        self.sent: dict[str, list[Call]] = {}

    def dial(
        self, member: MemberRecord, timeout_s: float
    ) -> Result[UpstreamSession, Failure]:
        if not self.gates[member.member].wait(30.0):
            return Failed(NoUpstream('never opened'))
        return Success(_Upstream(self.sent[member.member]))


class HedgeSteps:
    """Steps on one read and two members."""

    @staticmethod
    @given('a read whose first member has no connection free')
    def make_read(context: Any) -> None:
        """Send a read to a member that keeps it waiting."""
        clock = BoottimeClock()
        context.dialer = _Dialer()
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
        work = StatementRequest(
            Run('q1', 'READ a', False),
            None,
            route,
            context.group,
            context.session,
            SessionFloor(),
            now,
            now + route.timeout_s,
        )
        metrics = ProxyMetrics()
        runner = StatementRunner(
            'a',
            Exchanger(clock, metrics),
            PrimaryWait(clock),
            clock,
            metrics,
        )
        context.read = gevent.spawn(runner.read, work)

    @staticmethod
    @when('its second member answers')
    def answer_second(context: Any) -> None:
        """Let the second member have a connection."""
        context.dialer.gates['second'].set()
        assert isinstance(context.read.get(), Success)

    @staticmethod
    @when('the session changes its value before the first has a connection')
    def change_value(context: Any) -> None:
        """Let the caller go on, then free the first member."""
        context.session.values['tz'] = 'eet'
        context.dialer.gates['first'].set()
        pool = context.group.accesses['first'].local_pool
        while pool.health.in_flight or not pool.has_idle:
            gevent.sleep(0.001)

    @staticmethod
    @when('the first member has a connection before the second is asked')
    def answer_first(context: Any) -> None:
        """Free the first member at once."""
        context.dialer.gates['first'].set()
        assert isinstance(context.read.get(), Success)

    @staticmethod
    @then('the first member was sent nothing')
    def check_unsent(context: Any) -> None:
        """Check that no statement ran with other values."""
        assert context.dialer.sent['first'] == []

    @staticmethod
    @then('the first member was sent the read once')
    def check_sent(context: Any) -> None:
        """Check that the read ran there."""
        assert len(context.dialer.sent['first']) == 2
        assert context.dialer.sent['second'] == []


class _DeadDialer(UpstreamDialer):
    """Opens nothing."""

    def dial(
        self, member: MemberRecord, timeout_s: float
    ) -> Result[UpstreamSession, Failure]:
        return Failed(PeerUnreachable('timeout'))


class UnsentSteps:
    """Steps on what was never sent."""

    @staticmethod
    @given('a group whose primary takes no connection')
    def make_group(context: Any) -> None:
        """Make a group whose only member can't be reached."""
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
        pool = MemberPool(health, _DeadDialer(), context.clock)
        context.group.accesses['p'] = MemberAccess(pool)

    @staticmethod
    @then('a write is refused as not run')
    def check_not_run(context: Any) -> None:
        """Check that the refusal is a promise."""
        metrics = ProxyMetrics()
        runner = StatementRunner(
            'a',
            Exchanger(context.clock, metrics),
            PrimaryWait(context.clock),
            context.clock,
            metrics,
        )
        context.group.state.no_primary_change_until = (
            context.clock.now() + 1000.0
        )
        done = runner.write(PrimaryWaitSteps.make_work(context))
        assert done.failure().run_state is RunState.NOT_RUN, done


class LeavingSteps:
    """Steps on a primary that leaves."""

    @staticmethod
    @given('a group whose primary has been leaving for {since:d} s')
    def make_group(context: Any, since: int) -> None:
        """Make a group whose primary has announced its end."""
        context.clock = BoottimeClock()
        context.group = Group('ledger')
        context.group.state.update(
            [
                MemberRecord(
                    'p', 'ledger', Endpoint('127.0.0.1', 1), 'a', True, True
                )
            ]
        )
        health = context.group.state.members['p']
        health.update_leaving(context.clock.now() - since)
        health.update_leaving(context.clock.now())

    @staticmethod
    @then('its primary still takes work')
    def check_taken(context: Any) -> None:
        """Check that the handover has some time."""
        assert not PrimaryWait(context.clock).is_lost(context.group)

    @staticmethod
    @then('its primary takes no work')
    def check_refused(context: Any) -> None:
        """Check that work waits for another primary, or is refused."""
        assert PrimaryWait(context.clock).is_lost(context.group)


class PrimaryWaitSteps:
    """Steps on waiting for a change of primary."""

    @staticmethod
    @given('a write while no primary is known')
    def make_write(context: Any) -> None:
        """Make a write for a group without a primary."""
        context.clock = BoottimeClock()
        context.group = Group('ledger')
        context.wait = PrimaryWait(context.clock)

    @staticmethod
    @when('this host has learned that no change is coming')
    def pause(context: Any) -> None:
        """Note that no change is coming for a long while."""
        until = context.clock.now() + 1000.0
        context.group.state.no_primary_change_until = until

    @staticmethod
    @then('the write is refused without a wait')
    def check_refused(context: Any) -> None:
        """Check that nothing waits; a wait would hang."""
        assert not context.wait.wait(PrimaryWaitSteps.make_work(context))

    @staticmethod
    @when('another host claims the change')
    def claim(context: Any) -> None:
        """Note that a change is on its way."""
        context.group.state.no_primary_change_until = float('-inf')
        context.group.state.primary_change_due_at = context.clock.now() + 0.5

    @staticmethod
    @when('the new primary proves itself')
    def prove(context: Any) -> None:
        """Wake the work once it waits."""
        gevent.spawn(context.group.notify_primary_changed)

    @staticmethod
    @then('the next write waits for it')
    def check_waits(context: Any) -> None:
        """Check that the wait ends with a primary."""
        assert context.wait.wait(PrimaryWaitSteps.make_work(context))

    @staticmethod
    def make_work(context: Any) -> StatementRequest:
        """Return a write with much time left."""
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
