"""Steps on the connections to a member by customer."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Success

from features.fakes.asking import wait_until
from features.fakes.connection_replay import make_arrivals
from features.fakes.connection_replay import ReplayedConnection
from features.fakes.connection_replay import ReplayedPool
from features.fakes.connection_requests import make_request
from features.fakes.connection_ways import CUSTOMERS
from features.fakes.connection_ways import make_share
from features.fakes.connection_ways import replay_ways
from features.fakes.fake_entry_parts import FakeClock
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.connection_holders import ConnectionHolders
from trefoilpulley_core.direct.connection_holders import count_share
from trefoilpulley_core.direct.connection_holders import rank_customer_holders
from trefoilpulley_core.direct.customer_connections import CustomerConnections
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberHealth
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.relay_messages import pack_reply
from trefoilpulley_core.direct.relay_messages import RelayedReplies
from trefoilpulley_core.direct.relay_messages import RelayRefused
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import ConnectionLimitReached
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import RollBack
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.direct.upstream_session import UpstreamDialer
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.exchange import Exchanger
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.relay_client import RelayClient

LONG_S = 3600.0
"""Time limit that no scenario reaches, in seconds."""

START_S = 100.0
"""Virtual time at which a scenario begins, in seconds."""

REFUSED_AGO_S = 0.3
"""Time since a refusal that keeps a pool within its share, in seconds.

The pool may open connections again, up to its share.
"""


class CustomerConnectionSteps:
    """Steps on the decisions of a pool, in virtual time."""

    @staticmethod
    @given('idle connections of the customers "{names}"')
    def make_idle(context: Any, names: str) -> None:
        """Create connections; the first one was used least recently."""
        context.now = START_S
        context.connections = CustomerConnections()
        for number, name in enumerate(names.split()):
            context.connections.on_opening(name)
            at = START_S - 1 + number / 100
            context.connections.add_idle(ReplayedConnection(name, at))

    @staticmethod
    @given('{count:d} connections of the customer "{name}" in use')
    def make_used(context: Any, count: int, name: str) -> None:
        """Count connections that are not idle."""
        if 'connections' not in context:
            context.now = START_S
            context.connections = CustomerConnections()
        for _ in range(count):
            context.connections.on_opening(name)
            context.connections.on_used(name, context.now)

    @staticmethod
    @given(
        '{count:d} connections of the customer "{one}" and then {more:d} of '
        '"{other}" in use at once'
    )
    def make_need(
        context: Any, count: int, one: str, more: int, other: str
    ) -> None:
        """Use connections of two customers."""
        CustomerConnectionSteps.make_used(context, count, one)
        CustomerConnectionSteps.make_used(context, more, other)

    @staticmethod
    @when('{seconds:d} s pass without use')
    def pass_time(context: Any, seconds: int) -> None:
        """Advance the virtual time."""
        context.now += seconds

    @staticmethod
    @when('{seconds:d} s pass and all but "{name}" are used again')
    def use_again(context: Any, seconds: int, name: str) -> None:
        """Take and return the connections of all other customers."""
        context.now += seconds
        while (conn := context.connections.oldest_idle).customer != name:
            context.connections.remove_idle(conn)
            conn.since = context.now
            context.connections.add_idle(conn)

    @staticmethod
    @then('work of the customer "{name}" gets a connection of "{owner}"')
    def check_own(context: Any, name: str, owner: str) -> None:
        """Check the customer of the connection."""
        work = make_request(1, LONG_S, customer=name)
        assert context.connections.take(work).customer == owner

    @staticmethod
    @then('work of the customer "{name}" gets none')
    def check_none(context: Any, name: str) -> None:
        """Check that no connection of another customer is handed out."""
        work = make_request(1, LONG_S, customer=name)
        assert context.connections.take(work) is None

    @staticmethod
    @then('a probe gets a connection of "{owner}"')
    def check_probe(context: Any, owner: str) -> None:
        """Check the connection of a request without a customer."""
        work = make_request(1, LONG_S, is_internal=True)
        assert context.connections.take(work).customer == owner

    @staticmethod
    @then('the connection that makes room for "{name}" belongs to "{owner}"')
    def check_evicted(context: Any, name: str, owner: str) -> None:
        """Check the connection that would be evicted."""
        found = context.connections.find_evictable(name, context.now)
        assert found.customer == owner, found

    @staticmethod
    @then('no connection makes room for "{name}"')
    def check_no_evicted(context: Any, name: str) -> None:
        """Check that nothing would be evicted."""
        found = context.connections.find_evictable(name, context.now)
        assert found is None, found

    @staticmethod
    @then('{count:d} connections are needed')
    def check_needed(context: Any, count: int) -> None:
        """Check the sum over the customers."""
        found = context.connections.count_needed(context.now)
        assert found == count, found

    @staticmethod
    @given('a share of {share:d} connections at a host that {holds}')
    def make_share(context: Any, share: int, holds: str) -> None:
        """Create the share of a holder or of another host."""
        context.now = START_S
        context.share = make_share(share, 1, holds == 'is a holder')

    @staticmethod
    @given('{seconds:d} s have passed since a refusal by the member')
    def pass_since_refusal(context: Any, seconds: int) -> None:
        """Record a refusal and advance the virtual time."""
        context.share.on_refused(context.now)
        context.now += seconds

    @staticmethod
    @when('the member refuses one more connection')
    def refuse(context: Any) -> None:
        """Record a refusal at the present time."""
        context.share.on_refused(getattr(context, 'now', START_S))

    @staticmethod
    @then('of {needed:d} needed connections {kept:d} are kept')
    def check_kept(context: Any, needed: int, kept: int) -> None:
        """Check the number of connections that stay open."""
        found = context.share.count_kept(needed, context.now)
        assert found == kept, found

    @staticmethod
    @given('the capacities {listed} of holders')
    def make_holders(context: Any, listed: str) -> None:
        """Create holders of these capacities."""
        numbers = listed.replace(' and', ',').split(', ')
        weights = {f'h{i}': float(n) for i, n in enumerate(numbers)}
        context.holders = ConnectionHolders(
            tuple(weights), len(weights), weights
        )

    @staticmethod
    @then('their shares of {limit:d} connections are {listed}')
    def check_shares(context: Any, limit: int, listed: str) -> None:
        """Check each share and the sum."""
        found = [
            count_share(h, context.holders, limit)
            for h in context.holders.hosts
        ]
        assert found == [
            int(n) for n in listed.replace(' and', ',').split(', ')
        ], found
        assert sum(found) <= limit


class ReplaySteps:
    """Steps that replay a load against the decisions."""

    @staticmethod
    @given(
        'work of {hold_ms:d} ms at {rate:f} per second in waves of '
        '{wave:d} % for {seconds:d} s'
    )
    def make_waves(
        context: Any, hold_ms: int, rate: float, wave: int, seconds: int
    ) -> None:
        """Describe the load of one holder of a member."""
        context.load = seconds, rate, hold_ms / 1000, ('',), wave / 100

    @staticmethod
    @when(
        'a holder with a share of {share:d} keeps half and a holder keeps by '
        'need'
    )
    def make_rules(context: Any, share: int) -> None:
        """Describe the share."""
        context.share_size = share

    @staticmethod
    @then(
        'by need at most a third of the connections are opened, seed {seed:d}'
    )
    def check_waves(context: Any, seed: int) -> None:
        """Replay the same work with both rules."""
        arrivals = list(make_arrivals(seed, *context.load))
        half, need = (
            ReplayedPool(make_share(context.share_size, 1, by_need)).run(
                arrivals
            )
            for by_need in (False, True)
        )
        assert 3 * need.opened <= half.opened, (need.opened, half.opened)

    @staticmethod
    @given(
        '{count:d} customers with {rate:d} pieces of work per second at one '
        'member, seed {seed:d}'
    )
    def make_customers(context: Any, count: int, rate: int, seed: int) -> None:
        """Create the work of three waves."""
        context.arrivals = list(
            make_arrivals(seed, 39, rate, 0.033, CUSTOMERS[:count])
        )

    @staticmethod
    @when('each way assigns the work to the hosts')
    def replay_ways(context: Any) -> None:
        """Replay the work for each way that was weighed."""
        context.ways = replay_ways('g', context.arrivals)

    @staticmethod
    @then('holders by customer open less than a third of those by member')
    def check_fewer(context: Any) -> None:
        """Compare the connections opened."""
        ways = context.ways
        assert 3 * ways['by customer'].opened < ways['by member'].opened, ways

    @staticmethod
    @then('pools by host and customer open a connection for most of the work')
    def check_most(context: Any) -> None:
        """Compare the connections opened with the work."""
        opened = context.ways['own pools'].opened
        assert opened > 0.8 * len(context.arrivals), opened

    @staticmethod
    @then('the holders by customer stay within {limit:d} connections')
    def check_limit(context: Any, limit: int) -> None:
        """Check the connections open at the end."""
        found = context.ways['by customer'].open_at_end
        assert found <= limit, found


class _Upstream(UpstreamSession):
    """Connection that answers at once and records what was sent."""

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.sent: list[Any] = []
        self.is_open = True

    @property
    def is_usable(self) -> bool:
        return self.is_open

    def exchange(self, calls: Any, timeout_s: float) -> Any:
        self.sent += calls
        is_open = isinstance(calls[-1], OpenTransaction)
        state = TransactionState.OPEN if is_open else TransactionState.IDLE
        return Success(tuple(Reply(state=state) for _ in calls))

    def close(self) -> None:
        self.is_open = False


class _Dialer(UpstreamDialer):
    """Opens connections up to a limit, after some turns of the loop."""

    def __init__(self, limit: int = 1000, failures: Any = None) -> None:
        self.upstreams: list[_Upstream] = []
        self.max_open = 0
        self.limit = limit
        self.gate: Event | None = None
        self.failures = failures or (lambda: None)

    @property
    def open_count(self) -> int:
        return sum(u.is_open for u in self.upstreams)

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Any:
        gevent.sleep(0)
        if self.gate is not None:
            self.gate.wait()
        failure = self.failures()
        if failure is not None:
            return Failed(failure)
        if self.open_count >= self.limit:
            return Failed(ConnectionLimitReached('TOOMANY'))
        self.upstreams.append(_Upstream(customer))
        self.max_open = max(self.max_open, self.open_count)
        return Success(self.upstreams[-1])


class CustomerPoolSteps:
    """Steps on a pool whose connections belong to customers."""

    @staticmethod
    @given('a pool of {count:d} connections, of the customers {names}, in use')
    @given('a pool of {count:d} connection, of the customer {names}, in use')
    def make_used(context: Any, count: int, names: str) -> None:
        """Open a connection for each customer."""
        _make_pool(context, count)
        context.pool.share.on_refused(START_S - REFUSED_AGO_S)
        context.used = {
            n: _acquire(context, n).unwrap()
            for n in names.replace('"', '').split(' and ')
        }
        assert context.pool.open_connections == count

    @staticmethod
    @when('work of "{names}" waits')
    def wait(context: Any, names: str) -> None:
        """Queue a piece of work of each customer, in this order."""
        context.waiting = {}
        for count, name in enumerate(names.split()):
            waiting = gevent.spawn(_acquire, context, name)
            context.waiting.setdefault(name, waiting)
            wait_until(lambda c=count: context.pool.waiting == c + 1)

    @staticmethod
    @when('the customer "{owner}" returns its connection')
    def release(context: Any, owner: str) -> None:
        """Release a connection."""
        context.pool.release(context.used[owner])

    @staticmethod
    @then('the work of "{name}" is served and {count:d} pieces of work wait')
    @then('the work of "{name}" is served and {count:d} piece of work waits')
    def check_served(context: Any, name: str, count: int) -> None:
        """Check the connection of the first piece of work of the customer."""
        wait_until(context.waiting[name].ready)
        conn = context.waiting[name].value.unwrap()
        assert conn.customer == conn.upstream.customer == name
        assert context.pool.waiting == count, context.pool.waiting
        assert context.pool.open_connections == 2

    @staticmethod
    @given('work of "{name}" that dials and work of "{same}" that waits')
    def dial_and_wait(context: Any, name: str, same: str) -> None:
        """Let the dials take until the scenario goes on."""
        context.pool.share.update(2, 1)
        context.dialer.gate = Event()
        context.dialing = gevent.spawn(_acquire, context, name)
        wait_until(lambda: context.pool.open_connections == 2)
        context.asked = gevent.spawn(_acquire, context, same)
        wait_until(lambda: context.pool.waiting == 1)

    @staticmethod
    @when('the work that dials is cancelled')
    def cancel_dial(context: Any) -> None:
        """Kill the request, then let new connections be opened."""
        context.dialing.kill()
        context.dialer.gate.set()

    @staticmethod
    @then('the work that waits gets a connection')
    def check_woken(context: Any) -> None:
        """Check that the waiting request was woken."""
        wait_until(context.asked.ready)
        assert isinstance(context.asked.value, Success), context.asked.value

    @staticmethod
    @given(
        'a pool with an idle connection of "{name}" at a member that is full'
    )
    def make_full(context: Any, name: str) -> None:
        """Fill the member with one connection of this pool."""
        _make_pool(context, 10)
        context.pool.release(_acquire(context, name).unwrap())
        context.dialer.limit = 1

    @staticmethod
    @when('work of "{name}" asks for a connection')
    def ask(context: Any, name: str) -> None:
        """Ask in a greenlet."""
        context.asked = gevent.spawn(_acquire, context, name)

    @staticmethod
    @then('it gets one, and the connection of "{name}" was closed')
    def check_retried(context: Any, name: str) -> None:
        """Check the connection and the one that made room."""
        wait_until(context.asked.ready)
        assert context.asked.value.unwrap().upstream.is_open
        assert not context.dialer.upstreams[0].is_open
        assert context.pool.open_connections == 1

    @staticmethod
    @when('the queue drops the waiting work of "{name}" at its deadline')
    def drop(context: Any, name: str) -> None:
        """Let the queue's clock pass the deadline before the timer ends."""
        work = make_request(1, START_S + 0.2, customer=name)
        context.asked = gevent.spawn(
            context.pool.acquire, work, SessionState()
        )
        wait_until(lambda: context.pool.waiting == 1)
        context.clock.at = START_S + 1
        context.pool.release(context.used[name])

    @staticmethod
    @then('the work ends and nothing waits')
    def check_dropped(context: Any) -> None:
        """Check that the request ends, with a connection or without."""
        wait_until(context.asked.ready)
        assert context.pool.waiting == 0

    @staticmethod
    @given(
        'a pool of {count:d} connections for {customers:d} customers, '
        'seed {seed:d}'
    )
    def make_random(
        context: Any, count: int, customers: int, seed: int
    ) -> None:
        """Create the pool; its member refuses some connections."""
        rng = context.rng = random.Random(seed)
        _make_pool(context, count)
        context.names = [f'c{i}' for i in range(customers)]
        failures = (ConnectionLimitReached('x'), PeerUnreachable('closed'))
        context.dialer.failures = lambda: (
            rng.choice(failures) if rng.random() < 0.1 else None
        )

    @staticmethod
    @when(
        '{count:d} requests arrive, some are cancelled and some connections '
        'refused'
    )
    def run_random(context: Any, count: int) -> None:
        """Run requests of random customers and durations."""
        rng = context.rng
        context.requests = []
        for _ in range(count):
            # A large customer has most of the work.
            name = rng.choice(context.names[: rng.choice((1, 2, 7))])
            context.requests.append(
                gevent.spawn(_use, context, name, rng.randrange(5))
            )
            if rng.random() < 0.1:
                context.requests[rng.randrange(len(context.requests))].kill(
                    block=False
                )
            for _ in range(rng.randrange(4)):
                gevent.sleep(0)

    @staticmethod
    @then('every request has ended and nothing waits')
    def check_ended(context: Any) -> None:
        """Check that no wake-up was lost and no count is off."""
        wait_until(lambda: all(r.ready() for r in context.requests))
        pool = context.pool
        assert (pool.waiting, pool._assigned_count, pool._opener.dialing) == (
            0,
        ) * 3
        assert pool.open_connections == context.dialer.open_count

    @staticmethod
    @then('each connection served its own customer')
    def check_apart(context: Any) -> None:
        """Check the statements of each connection."""
        assert any(u.sent for u in context.dialer.upstreams)
        for upstream in context.dialer.upstreams:
            assert {c.text for c in upstream.sent} <= {upstream.customer}

    @staticmethod
    @then('at most {count:d} connections were open')
    def check_open(context: Any, count: int) -> None:
        """Check the highest number of connections at the member."""
        assert context.dialer.max_open <= count, context.dialer.max_open


class _Channel:
    """Channel to the other holder."""

    is_open = True

    def __init__(self) -> None:
        self.messages: list[Any] = []
        self.in_flight: list[int] = []
        self.is_refusing = False

    def call(self, message: Any, timeout_s: float) -> Any:
        self.messages.append(message)
        if self.is_refusing:
            refused = PooledFailure('overloaded', 'by the test')
            return Success(RelayRefused(refused))
        replies = tuple(pack_reply(Reply()) for _ in message.calls)
        return Success(RelayedReplies(replies))

    def notify(self, message: Any) -> None:
        self.messages.append(message)

    def open_channel(self, holder: str, timeout_s: float) -> Any:
        assert holder == 'other', holder
        return Success(self)


class HolderAccessSteps:
    """Steps on a holder and the work of customers."""

    HOLDERS = ConnectionHolders(('me', 'other'), 2)

    @staticmethod
    @given('a holder in a deployment with customers')
    def make(context: Any) -> None:
        """Create the access of one of two holders."""
        _make_pool(context, 10)
        context.channel = _Channel()
        client = RelayClient(
            'me',
            GroupState('g'),
            context.pool,
            context.channel,
            context.clock,
        )
        context.access = MemberAccess(context.pool, client)
        context.access.update(20, HolderAccessSteps.HOLDERS, True)
        context.exchanger = Exchanger(context.clock, DirectMetrics())

    @staticmethod
    @given('a holder of which another holder is first for the customer "c"')
    def make_second(context: Any) -> None:
        """Find a customer of the other holder."""
        HolderAccessSteps.make(context)
        context.name = HolderAccessSteps._find('other')

    @staticmethod
    @given('a holder that is the first for the customer "c" and has no room')
    def make_first(context: Any) -> None:
        """Find a customer of this holder and fill the holder."""
        HolderAccessSteps.make(context)
        context.name = HolderAccessSteps._find('me')
        context.pool.in_flight_limit.update(1)
        context.pool.in_flight = 1
        context.pool.health.latency_s = LONG_S
        context.pool.health.last_served_at = START_S

    @staticmethod
    @when('its connections are maintained')
    def maintain(context: Any) -> None:
        """Run the maintenance in a deployment with customers."""
        context.access.maintain(START_S, True, has_customers=True)
        gevent.sleep(0.01)

    @staticmethod
    @then('no connection is open')
    def check_none_open(context: Any) -> None:
        """Check the pool."""
        assert context.pool.open_connections == 0

    @staticmethod
    @then('without customers one connection is opened')
    def check_ahead(context: Any) -> None:
        """Run the maintenance in a deployment without customers."""
        context.access.maintain(START_S, True)
        wait_until(lambda: context.pool.has_idle)

    @staticmethod
    @when('work of "c" is sent')
    def send(context: Any) -> None:
        """Send a statement of the customer."""
        HolderAccessSteps._send(context, RunStatement('q', 'READ a'))

    @staticmethod
    @when('the other holder refuses and a transaction of "c" is opened')
    def open_here(context: Any) -> None:
        """Let the first holder refuse."""
        context.channel.is_refusing = True
        HolderAccessSteps._send(context, OpenTransaction(is_read_only=False))

    @staticmethod
    @when('the transaction is ended')
    def end(context: Any) -> None:
        """Roll back on the session that has the transaction."""
        HolderAccessSteps._exchange(context, context.conn, RollBack())
        context.access.release(context.conn)

    @staticmethod
    @then('the other holder has sent it')
    def check_relayed(context: Any) -> None:
        """Check the message to the other holder."""
        (message,) = context.channel.messages
        assert message.customer == context.name, message
        assert context.pool.open_connections == 0

    @staticmethod
    @then('a probe uses a connection of this host')
    def check_probe(context: Any) -> None:
        """Check that work without a customer is not relayed."""
        work = make_request(-1, START_S + LONG_S, is_internal=True)
        conn = context.access.acquire(work, SessionState()).unwrap()
        assert conn.customer == '', conn

    @staticmethod
    @then("the relayed request does not count on this host's connections")
    def check_in_flight(context: Any) -> None:
        """Check the count while a request is relayed."""
        counts = []
        call = context.channel.call

        def record(*args: Any) -> Any:
            counts.append((context.pool.in_flight, context.health.in_flight))
            return call(*args)

        context.channel.call = record
        HolderAccessSteps.send(context)
        assert counts == [(0, 1)], counts

    @staticmethod
    @then(
        'a connection of this host has sent it and is kept for the transaction'
    )
    def check_here(context: Any) -> None:
        """Check the statement and that the connection is not idle."""
        (upstream,) = context.dialer.upstreams
        assert upstream.customer == context.name
        assert isinstance(upstream.sent[-1], OpenTransaction)
        assert not context.pool.has_idle and not context.conn.is_usable

    @staticmethod
    @then('the connection of "c" is idle')
    def check_idle(context: Any) -> None:
        """Check that the connection was returned, not closed."""
        assert context.pool.has_idle and context.pool.in_flight == 0
        assert context.dialer.upstreams[0].is_open

    @staticmethod
    def _find(holder: str) -> str:
        return next(
            c
            for c in CUSTOMERS
            if rank_customer_holders('g', c, HolderAccessSteps.HOLDERS)[0]
            == holder
        )

    @staticmethod
    def _send(context: Any, call: Any) -> None:
        work = make_request(
            1, START_S + LONG_S, START_S + 1, customer=context.name
        )
        acquired = context.access.acquire(work, SessionState())
        context.conn = acquired.unwrap()
        HolderAccessSteps._exchange(context, context.conn, call)
        context.access.release(context.conn) if isinstance(
            call, RunStatement
        ) else None

    @staticmethod
    def _exchange(context: Any, conn: Any, call: Any) -> None:
        result = context.exchanger.exchange(
            context.access, conn, (call,), START_S + LONG_S
        )
        assert isinstance(result, Success), result


def _make_pool(context: Any, share: int) -> None:
    record = MemberRecord('m', 'g', Endpoint('127.0.0.1', 1), 'a', True, False)
    context.clock = FakeClock()
    context.clock.at = START_S
    context.health = MemberHealth(record)
    context.dialer = _Dialer()
    context.pool = MemberPool(context.health, context.dialer, context.clock)
    context.pool.share.update(share, 1)
    context.pool.in_flight_limit.update(100)


def _acquire(context: Any, name: str) -> Any:
    work = make_request(1, START_S + LONG_S, customer=name)
    return context.pool.acquire(work, SessionState())


def _use(context: Any, name: str, turns: int) -> None:
    """Run a statement that names its customer and takes some turns."""
    acquired = _acquire(context, name)
    if not isinstance(acquired, Success):
        return
    conn = acquired.unwrap()
    try:
        conn.exchange((RunStatement('q', name),), LONG_S)
        for _ in range(turns):
            gevent.sleep(0)
    except gevent.GreenletExit:
        context.pool.discard(conn)
        raise
    context.pool.release(conn)
