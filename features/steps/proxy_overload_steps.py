"""Steps on a member that is full."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from gevent.event import Event
from returns.result import Success

from features.fakes.asking import HANG_TIMEOUT_S
from features.fakes.asking import wait_until
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.position import Position
from trefoilpulley_core.proxy.commands import Run
from trefoilpulley_core.proxy.evidence import SessionFloor
from trefoilpulley_core.proxy.flight_limit import ConcurrencyLimit
from trefoilpulley_core.proxy.group_state import MemberHealth
from trefoilpulley_core.proxy.group_state import MemberRecord
from trefoilpulley_core.proxy.routes import ReadFreshness
from trefoilpulley_core.proxy.routes import Route
from trefoilpulley_core.proxy.session_state import SessionState
from trefoilpulley_core.proxy.upstream_session import Reply
from trefoilpulley_core.proxy.upstream_session import RunStatement
from trefoilpulley_core.proxy.upstream_session import UpstreamDialer
from trefoilpulley_core.proxy.upstream_session import UpstreamSession
from trefoilpulley_node.clock import BoottimeClock
from trefoilpulley_node.proxy.caller_transaction import CallerTransaction
from trefoilpulley_node.proxy.directory import Group
from trefoilpulley_node.proxy.exchange import Exchanger
from trefoilpulley_node.proxy.member_access import MemberAccess
from trefoilpulley_node.proxy.member_pool import MemberPool
from trefoilpulley_node.proxy.primary_wait import PrimaryWait
from trefoilpulley_node.proxy.proxy_metrics import ProxyMetrics
from trefoilpulley_node.proxy.statement_runner import StatementRunner
from trefoilpulley_node.proxy.work import StatementRequest

FAR_S = 3600.0
"""Time that no scenario takes, in seconds."""

STATEMENT_S = 0.025
"""Time that a statement is taken to need before one was seen."""


class FlightSteps:
    """Steps on the limit alone."""

    @staticmethod
    @given('a limit of statements at a member of {most:d} connections')
    def make(context: Any, most: int) -> None:
        """Make the limit of one host."""
        context.in_flight_limit = ConcurrencyLimit()
        context.in_flight_limit.update(most)
        context.now = 100.0

    @staticmethod
    @when('the member serves {count:d} statements')
    def serve(context: Any, count: int) -> None:
        """Let the member take statements."""
        for _ in range(count):
            context.in_flight_limit.on_served(STATEMENT_S, context.now)

    @staticmethod
    @when(
        'the member serves {count:d} statements in {took:d} ms each, '
        '{apart:d} ms apart'
    )
    def serve_slowly(context: Any, count: int, took: int, apart: int) -> None:
        """Let statements wait at the member."""
        for _ in range(count):
            context.in_flight_limit.on_served(took / 1000, context.now)
            context.now += apart / 1000

    @staticmethod
    @when('the member refuses {count:d} statements at the same moment')
    def refuse(context: Any, count: int) -> None:
        """Let the member refuse all that are at it."""
        for _ in range(count):
            context.in_flight_limit.on_busy(count, context.now)

    @staticmethod
    @when('the member refuses {count:d} statements {later:d} ms later')
    def refuse_later(context: Any, count: int, later: int) -> None:
        """Let some time pass before the next refusals."""
        context.now += later / 1000
        FlightSteps.refuse(context, count)

    @staticmethod
    @then('{count:d} statements may be at it at once')
    def check(context: Any, count: int) -> None:
        """Check the limit."""
        assert context.in_flight_limit.value == count, (
            context.in_flight_limit.value
        )


class _Upstream(UpstreamSession):
    """Connection whose statements end when they are told to."""

    def __init__(self, context: Any) -> None:
        self._context = context

    @property
    def is_usable(self) -> bool:
        return True

    def exchange(self, calls: Any, timeout_s: float) -> Any:
        name = calls[-1].request_id
        self._context.served.append(name)
        self._context.gates[name].wait()
        return Success((Reply(),))

    def close(self) -> None:
        pass


class _Dialer(UpstreamDialer):
    """Opens as many connections as asked for."""

    def __init__(self, context: Any) -> None:
        self._context = context

    def dial(self, member: MemberRecord, timeout_s: float) -> Any:
        return Success(_Upstream(self._context))


class FullMemberSteps:
    """Steps on work that waits for a member."""

    @staticmethod
    @given('a member that serves one statement at a time')
    def make(context: Any) -> None:
        """Make a pool of some connections whose member was full."""
        clock = context.clock = BoottimeClock()
        record = MemberRecord(
            'm', 'ledger', Endpoint('127.0.0.1', 1), 'a', True, False
        )
        context.served = []
        context.gates = {}
        pool = MemberPool(MemberHealth(record), _Dialer(context), clock)
        pool.share.update(16, 2)
        pool.in_flight_limit.update(pool.share.max_open)
        pool.in_flight_limit.on_busy(1, clock.now())
        context.access = MemberAccess(pool)
        context.exchanger = Exchanger(clock, ProxyMetrics())

    @staticmethod
    @when(
        'work "{one}" of priority {first:d} is at it and "{two}" of priority '
        '{second:d} and "{three}" of priority {third:d} wait'
    )
    def press(
        context: Any,
        one: str,
        first: int,
        two: str,
        second: int,
        three: str,
        third: int,
    ) -> None:
        """Send work faster than the member serves it."""
        pool = context.access.local_pool
        FullMemberSteps._send(context, one, first)
        wait_until(lambda: context.served == [one])
        for count, (name, priority) in enumerate(
            ((two, second), (three, third))
        ):
            FullMemberSteps._send(context, name, priority)
            wait_until(lambda c=count: pool.waiting == c + 1)

    @staticmethod
    @when('the statements end one after the other')
    def end(context: Any) -> None:
        """Let each statement end once it is at the member."""
        for count in range(len(context.gates)):
            wait_until(lambda c=count: len(context.served) == c + 1)
            context.gates[context.served[-1]].set()

    @staticmethod
    @then('it has served "{names}"')
    def check_order(context: Any, names: str) -> None:
        """Check the order."""
        assert context.served == names.split(), context.served

    @staticmethod
    @then(
        'work of priority {priority:d} that must have its turn in {left:d} ms '
        'is refused at once'
    )
    def check_refused(context: Any, priority: int, left: int) -> None:
        """Check that it does not wait; a wait would find no turn."""
        now = context.clock.now()
        context.access.health.latency_s = STATEMENT_S
        done = context.access.acquire(
            priority, now + FAR_S, SessionState(), now + left / 1000
        )
        assert isinstance(done.failure(), Overloaded), done
        assert 'too long' in done.failure().detail, done

    @staticmethod
    @then(
        'work of priority {priority:d} that must have its turn in {left:d} ms '
        'waits'
    )
    def check_waits(context: Any, priority: int, left: int) -> None:
        """Check that it joins the line."""
        pool = context.access.local_pool
        before = pool.waiting
        now = context.clock.now()
        gevent.spawn(
            context.access.acquire,
            priority,
            now + FAR_S,
            SessionState(),
            now + left / 1000,
        )
        wait_until(lambda: pool.waiting == before + 1)

    @staticmethod
    @then('a statement of an open transaction is sent without a wait')
    def check_transaction(context: Any) -> None:
        """Send a statement on a connection that was lent before."""
        conn = context.access.local_pool._dial(
            context.clock.now() + FAR_S
        ).unwrap()
        FullMemberSteps._exchange(context, conn, 't')
        wait_until(lambda: 't' in context.served)

    @staticmethod
    def _send(context: Any, name: str, priority: int) -> None:
        context.gates[name] = Event()
        gevent.spawn(FullMemberSteps._run, context, name, priority)

    @staticmethod
    def _run(context: Any, name: str, priority: int) -> None:
        deadline = context.clock.now() + FAR_S
        lent = context.access.acquire(priority, deadline, SessionState())
        conn = lent.unwrap()
        context.exchanger.exchange(
            context.access, conn, (RunStatement(name, 'READ a'),), deadline
        )
        context.access.release(conn)

    @staticmethod
    def _exchange(context: Any, conn: Any, name: str) -> None:
        context.gates[name] = Event()
        gevent.spawn(
            context.exchanger.exchange,
            context.access,
            conn,
            (RunStatement(name, 'READ a'),),
            context.clock.now() + FAR_S,
        )


class EndedWorkSteps:
    """Steps on work that is ended while it waits."""

    @staticmethod
    @given('a member with one connection for which two pieces of work wait')
    def make(context: Any) -> None:
        """Lend the only connection, and let others wait for it."""
        FullMemberSteps.make(context)
        pool = context.access.local_pool
        pool.share.update(1, 1)
        pool.share.on_refused(context.clock.now() + FAR_S)
        deadline = context.clock.now() + FAR_S
        context.lent = pool.acquire(1, deadline, SessionState()).unwrap()
        context.waiting = [
            gevent.spawn(pool.acquire, 1, deadline, SessionState())
            for _ in range(2)
        ]
        wait_until(lambda: pool.waiting == 2)

    @staticmethod
    @when('the connection comes free and the first of them is ended')
    def end(context: Any) -> None:
        """End work that has been handed the connection and has not run."""
        # The end takes effect once this greenlet rests, before the turn.
        context.waiting[0].kill(block=False)
        context.access.local_pool.release(context.lent)

    @staticmethod
    @then('the second one has the connection')
    def check(context: Any) -> None:
        """Check that the connection was not lost."""
        with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('hung')):
            lent = context.waiting[1].get()
        assert lent.unwrap() is context.lent


class _RefusingUpstream(UpstreamSession):
    """Connection of a member that refuses everything."""

    def __init__(self, failure: Failure) -> None:
        self._failure = failure

    @property
    def is_usable(self) -> bool:
        return True

    def exchange(self, calls: Any, timeout_s: float) -> Any:
        return Success(tuple(Reply(failure=self._failure) for _ in calls))

    def close(self) -> None:
        pass


class _RefusingDialer(UpstreamDialer):
    """Opens connections to a full primary and a replica that lags."""

    def dial(self, member: MemberRecord, timeout_s: float) -> Any:
        if member.member == 'p':
            return Success(_RefusingUpstream(Overloaded('full')))
        return Success(_RefusingUpstream(ReplicaBehind('lags')))


class RefusingGroupSteps:
    """Steps on a group that can serve nothing."""

    @staticmethod
    @given('a group whose primary is full and whose replica is far behind')
    def make(context: Any) -> None:
        """Make the group; its primary answers and is not lost."""
        clock = context.clock = BoottimeClock()
        group = context.group = Group('ledger')
        group.state.update(
            MemberRecord(
                name, 'ledger', Endpoint('127.0.0.1', 1), 'a', lead, False
            )
            for name, lead in (('p', True), ('r', False))
        )
        for name, health in group.state.members.items():
            pool = MemberPool(health, _RefusingDialer(), clock)
            group.accesses[name] = MemberAccess(pool)
        group.state.evidence.record(clock.now() - 1.0, Position(1, 5))
        context.exchanger = Exchanger(clock, ProxyMetrics())

    @staticmethod
    @then('a read is refused at once as not run')
    def check_read(context: Any) -> None:
        """Check a read that a replica may serve."""
        RefusingGroupSteps._check_read(context, ReadFreshness.BOUNDED)

    @staticmethod
    @then('a read of the present is refused at once as not run')
    def check_present(context: Any) -> None:
        """Check a read that only the primary may serve."""
        RefusingGroupSteps._check_read(context, ReadFreshness.PRIMARY)

    @staticmethod
    @then('a transaction is refused at once as not run')
    def check_transaction(context: Any) -> None:
        """Check the first statement of a transaction."""
        clock = context.clock
        transaction = CallerTransaction(
            False, 'a', context.exchanger, PrimaryWait(clock), clock
        )
        work = RefusingGroupSteps._work(context, ReadFreshness.BOUNDED)
        RefusingGroupSteps._check(lambda: transaction.run(work))

    @staticmethod
    def _check_read(context: Any, freshness: ReadFreshness) -> None:
        clock = context.clock
        runner = StatementRunner(
            'a', context.exchanger, PrimaryWait(clock), clock, ProxyMetrics()
        )
        work = RefusingGroupSteps._work(context, freshness)
        RefusingGroupSteps._check(lambda: runner.read(work))

    @staticmethod
    def _check(run: Callable[[], Any]) -> None:
        """Check the refusal; a wait for a primary would hang."""
        with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('hung')):
            done = run()
        assert done.failure().run_state is RunState.NOT_RUN, done

    @staticmethod
    def _work(context: Any, freshness: ReadFreshness) -> StatementRequest:
        now = context.clock.now()
        route = Route('db', 'ledger', freshness, FAR_S, 0.2, 1, 8.0)
        return StatementRequest(
            Run('q', 'READ a', False),
            None,
            route,
            context.group,
            SessionState(),
            SessionFloor(),
            now,
            now + route.timeout_s,
        )
