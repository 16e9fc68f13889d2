"""Steps on an overloaded member."""

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
from features.fakes.connection_requests import make_request
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.concurrency_limit import ConcurrencyLimit
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.group_state import MemberHealth
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.direct.upstream_session import UpstreamDialer
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.position import Position
from trefoilpulley_node.clock import BoottimeClock
from trefoilpulley_node.direct.caller_transaction import CallerTransaction
from trefoilpulley_node.direct.commit_check import CommitCheck
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.exchange import Exchanger
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.primary_wait import PrimaryWait
from trefoilpulley_node.direct.statement_request import StatementRequest
from trefoilpulley_node.direct.statement_runner import StatementRunner

LONG_TIMEOUT_S = 3600.0
"""Time limit that no scenario reaches, in seconds."""

STATEMENT_LATENCY_S = 0.025
"""Latency that the steps assume for a statement, in seconds."""


class ConcurrencyLimitSteps:
    """Steps on the concurrency limit alone."""

    @staticmethod
    @given(
        'a limit of the statements in flight at a member of '
        '{max_connections:d} connections'
    )
    def make(context: Any, max_connections: int) -> None:
        """Create the limit of one host."""
        context.in_flight_limit = ConcurrencyLimit()
        context.in_flight_limit.update(max_connections)
        context.now = 100.0

    @staticmethod
    @when('the member serves {count:d} statements')
    def serve(context: Any, count: int) -> None:
        """Record statements that the member served at the assumed latency."""
        for _ in range(count):
            context.in_flight_limit.record_latency(
                STATEMENT_LATENCY_S, '', context.now
            )
            context.in_flight_limit.on_served(context.now)

    @staticmethod
    @when(
        'the member serves {count:d} statements in {latency_ms:d} ms each, '
        '{interval_ms:d} ms apart'
    )
    def serve_slowly(
        context: Any, count: int, latency_ms: int, interval_ms: int
    ) -> None:
        """Record statements whose latency shows a queue at the member."""
        for _ in range(count):
            context.in_flight_limit.record_latency(
                latency_ms / 1000, '', context.now
            )
            context.in_flight_limit.on_served(context.now)
            context.now += interval_ms / 1000

    @staticmethod
    @when('the member refuses {count:d} statements at the same moment')
    def refuse(context: Any, count: int) -> None:
        """Record that the member refused each of the statements in flight."""
        for _ in range(count):
            context.in_flight_limit.on_busy(count, context.now)

    @staticmethod
    @when('the member refuses {count:d} statements {later_ms:d} ms later')
    def refuse_later(context: Any, count: int, later_ms: int) -> None:
        """Record refusals after some time."""
        context.now += later_ms / 1000
        ConcurrencyLimitSteps.refuse(context, count)

    @staticmethod
    @then('the limit is {count:d} statements in flight')
    def check(context: Any, count: int) -> None:
        """Check the number of statements that may be in flight."""
        assert context.in_flight_limit.value == count, (
            context.in_flight_limit.value
        )


class _GatedUpstream(UpstreamSession):
    """Connection whose statements finish when the test opens their gate."""

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


class _GatedDialer(UpstreamDialer):
    """Opens any number of gated connections."""

    def __init__(self, context: Any) -> None:
        self._context = context

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Any:
        return Success(_GatedUpstream(self._context))


class QueuedRequestSteps:
    """Steps on requests that wait for an overloaded member."""

    @staticmethod
    @given('a member that serves one statement at a time')
    def make(context: Any) -> None:
        """Create a pool whose in-flight limit was decreased to one."""
        clock = context.clock = BoottimeClock()
        record = MemberRecord(
            'm', 'ledger', Endpoint('127.0.0.1', 1), 'a', True, False
        )
        context.served = []
        context.gates = {}
        pool = MemberPool(MemberHealth(record), _GatedDialer(context), clock)
        pool.share.update(16, 2)
        pool.in_flight_limit.update(pool.share.max_open)
        pool.in_flight_limit.on_busy(1, clock.now())
        context.access = MemberAccess(pool)
        context.exchanger = Exchanger(clock, DirectMetrics())

    @staticmethod
    @when(
        'request "{one}" of priority {first:d} is in flight and "{two}" of '
        'priority {second:d} and "{three}" of priority {third:d} are queued'
    )
    def queue_requests(
        context: Any,
        one: str,
        first: int,
        two: str,
        second: int,
        three: str,
        third: int,
    ) -> None:
        """Send one request to the member, then queue two others."""
        pool = context.access.local_pool
        QueuedRequestSteps._send(context, one, first)
        wait_until(lambda: context.served == [one])
        for count, (name, priority) in enumerate(
            ((two, second), (three, third))
        ):
            QueuedRequestSteps._send(context, name, priority)
            wait_until(lambda c=count: pool.waiting == c + 1)

    @staticmethod
    @when('the statements finish one after the other')
    def end(context: Any) -> None:
        """Let each statement finish once it is in flight."""
        for count in range(len(context.gates)):
            wait_until(lambda c=count: len(context.served) == c + 1)
            context.gates[context.served[-1]].set()

    @staticmethod
    @then('the member has served "{names}"')
    def check_order(context: Any, names: str) -> None:
        """Check the order in which the member got the statements."""
        assert context.served == names.split(), context.served

    @staticmethod
    @then(
        'a request of priority {priority:d} with a maximum wait of '
        '{max_wait_ms:d} ms is refused at once'
    )
    def check_refused(context: Any, priority: int, max_wait_ms: int) -> None:
        """Check the refusal; a request that waits would never be served."""
        now = context.clock.now()
        context.access.health.latency_s = STATEMENT_LATENCY_S
        work = make_request(
            priority, now + LONG_TIMEOUT_S, now + max_wait_ms / 1000
        )
        result = context.access.acquire(work, SessionState())
        assert isinstance(result.failure(), Overloaded), result
        assert 'too long' in result.failure().detail, result

    @staticmethod
    @then(
        'a request of priority {priority:d} with a maximum wait of '
        '{max_wait_ms:d} ms is queued'
    )
    def check_waits(context: Any, priority: int, max_wait_ms: int) -> None:
        """Check that the request joins the queue."""
        pool = context.access.local_pool
        before = pool.waiting
        now = context.clock.now()
        gevent.spawn(
            context.access.acquire,
            make_request(
                priority, now + LONG_TIMEOUT_S, now + max_wait_ms / 1000
            ),
            SessionState(),
        )
        wait_until(lambda: pool.waiting == before + 1)

    @staticmethod
    @then('a statement of an open transaction is sent without a wait')
    def check_transaction(context: Any) -> None:
        """Send a statement on a connection that is already acquired."""
        conn = context.access.local_pool._dial(
            context.clock.now() + LONG_TIMEOUT_S, ''
        ).unwrap()
        QueuedRequestSteps._exchange(context, conn, 't')
        wait_until(lambda: 't' in context.served)

    @staticmethod
    def _send(context: Any, name: str, priority: int) -> None:
        context.gates[name] = Event()
        gevent.spawn(
            QueuedRequestSteps._run_statement, context, name, priority
        )

    @staticmethod
    def _run_statement(context: Any, name: str, priority: int) -> None:
        deadline = context.clock.now() + LONG_TIMEOUT_S
        acquired = context.access.acquire(
            make_request(priority, deadline), SessionState()
        )
        conn = acquired.unwrap()
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
            context.clock.now() + LONG_TIMEOUT_S,
        )


class CancelledRequestSteps:
    """Steps on a request that is cancelled while it waits."""

    @staticmethod
    @given('a member with one connection for which two requests wait')
    def make(context: Any) -> None:
        """Acquire the only connection and queue two requests for it."""
        QueuedRequestSteps.make(context)
        pool = context.access.local_pool
        pool.share.update(1, 1)
        pool.share.on_refused(context.clock.now() + LONG_TIMEOUT_S)
        deadline = context.clock.now() + LONG_TIMEOUT_S
        work = make_request(1, deadline)
        context.acquired = pool.acquire(work, SessionState()).unwrap()
        context.waiting = [
            gevent.spawn(pool.acquire, work, SessionState()) for _ in range(2)
        ]
        wait_until(lambda: pool.waiting == 2)

    @staticmethod
    @when(
        'the connection is released and the first of the requests is cancelled'
    )
    def end(context: Any) -> None:
        """Cancel a request to which the connection has been assigned."""
        # The kill takes effect when this greenlet yields, which is before
        # the waiting greenlet resumes with the assigned connection.
        context.waiting[0].kill(block=False)
        context.access.local_pool.release(context.acquired)

    @staticmethod
    @then('the second request gets the connection')
    def check(context: Any) -> None:
        """Check that the cancelled request did not keep the connection."""
        with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('timed out')):
            acquired = context.waiting[1].get()
        assert acquired.unwrap() is context.acquired


class _SlowDialer(_GatedDialer):
    """Opens the first connection at once and later ones at the gate."""

    def __init__(self, context: Any) -> None:
        super().__init__(context)
        self.gate = Event()
        self.pending = 0
        self.has_first = False

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Any:
        if not self.has_first:
            self.has_first = True
            return super().dial(member, timeout_s)
        self.pending += 1
        try:
            self.gate.wait()
        finally:
            self.pending -= 1
        return super().dial(member, timeout_s)


class PacedDialSteps:
    """Steps on the pace of new connections."""

    @staticmethod
    @given('a member to which new connections are slow and one is open')
    def make(context: Any) -> None:
        """Open the first connection of a pool of ten."""
        clock = context.clock = BoottimeClock()
        record = MemberRecord(
            'm', 'ledger', Endpoint('127.0.0.1', 1), 'a', True, False
        )
        context.dialer = _SlowDialer(context)
        pool = MemberPool(MemberHealth(record), context.dialer, clock)
        pool.share.update(5, 1)
        pool.in_flight_limit.update(pool.share.max_open)
        context.pool = pool
        context.deadline = clock.now() + LONG_TIMEOUT_S
        context.first = pool.acquire(
            make_request(1, context.deadline), SessionState()
        ).unwrap()

    @staticmethod
    @when('{count:d} requests arrive at once')
    def arrive(context: Any, count: int) -> None:
        """Request connections concurrently."""
        context.requests = [
            gevent.spawn(
                context.pool.acquire,
                make_request(1, context.deadline),
                SessionState(),
            )
            for _ in range(count)
        ]
        wait_until(
            lambda: context.dialer.pending + context.pool.waiting == count
        )

    @staticmethod
    @then('one connection is being opened and the other requests wait')
    def check_pace(context: Any) -> None:
        """Check the number of concurrent connection attempts."""
        assert context.dialer.pending == 1, context.dialer.pending

    @staticmethod
    @when('new connections are fast again')
    def open_gate(context: Any) -> None:
        """Let every connection attempt succeed."""
        context.dialer.gate.set()

    @staticmethod
    @then('every request gets a connection')
    def check_served(context: Any) -> None:
        """Check that the queue is served as connections become open."""
        with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('timed out')):
            for request in context.requests:
                assert isinstance(request.get(), Success)

    @staticmethod
    @when('a request is cancelled while its connection is being opened')
    def cancel(context: Any) -> None:
        """Kill the greenlet that opens a connection."""
        PacedDialSteps.arrive(context, 1)
        context.requests[0].kill()

    @staticmethod
    @then('one connection counts as open')
    def check_count(context: Any) -> None:
        """Check that only the first connection is counted."""
        found = context.pool.open_connections
        assert found == 1, found


class _RefusingUpstream(UpstreamSession):
    """Connection whose member refuses every request."""

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
    """Connects to an overloaded primary and a replica that is behind."""

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Any:
        if member.member == 'p':
            return Success(_RefusingUpstream(Overloaded('full')))
        return Success(_RefusingUpstream(ReplicaBehind('lags')))


class RefusingGroupSteps:
    """Steps on a group whose members refuse every request."""

    @staticmethod
    @given(
        'a group whose primary is overloaded and whose replica is far behind'
    )
    def make(context: Any) -> None:
        """Create a group whose primary answers and therefore is not lost."""
        clock = context.clock = BoottimeClock()
        group = context.group = Group('ledger')
        group.state.update(
            MemberRecord(
                name,
                'ledger',
                Endpoint('127.0.0.1', 1),
                'a',
                is_primary,
                False,
            )
            for name, is_primary in (('p', True), ('r', False))
        )
        for name, health in group.state.members.items():
            pool = MemberPool(health, _RefusingDialer(), clock)
            group.accesses[name] = MemberAccess(pool)
        group.state.evidence.record(clock.now() - 1.0, Position(1, 5))
        context.exchanger = Exchanger(clock, DirectMetrics())

    @staticmethod
    @then('a read is refused at once as not run')
    def check_read(context: Any) -> None:
        """Check the refusal of a read that a replica may serve."""
        RefusingGroupSteps._check_read(context, ReadFreshness.BOUNDED)

    @staticmethod
    @then('a read of the present is refused at once as not run')
    def check_present(context: Any) -> None:
        """Check the refusal of a read that only the primary may serve."""
        RefusingGroupSteps._check_read(context, ReadFreshness.PRIMARY)

    @staticmethod
    @then('a transaction is refused at once as not run')
    def check_transaction(context: Any) -> None:
        """Check the refusal of the first statement of a transaction."""
        clock = context.clock
        transaction = CallerTransaction(
            False,
            'a',
            context.exchanger,
            PrimaryWait(clock),
            clock,
            CommitCheck(clock),
        )
        request = RefusingGroupSteps._make_request(
            context, ReadFreshness.BOUNDED
        )
        RefusingGroupSteps._check_not_run(lambda: transaction.run(request))

    @staticmethod
    def _check_read(context: Any, freshness: ReadFreshness) -> None:
        clock = context.clock
        runner = StatementRunner(
            'a',
            context.exchanger,
            PrimaryWait(clock),
            clock,
            DirectMetrics(),
            CommitCheck(clock),
        )
        request = RefusingGroupSteps._make_request(context, freshness)
        RefusingGroupSteps._check_not_run(lambda: runner.read(request))

    @staticmethod
    def _check_not_run(run: Callable[[], Any]) -> None:
        """Check the refusal; a wait for a primary would time out."""
        with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('timed out')):
            result = run()
        assert result.failure().run_state is RunState.NOT_RUN, result

    @staticmethod
    def _make_request(
        context: Any, freshness: ReadFreshness
    ) -> StatementRequest:
        now = context.clock.now()
        route = Route('db', 'ledger', freshness, LONG_TIMEOUT_S, 0.2, 1, 8.0)
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
