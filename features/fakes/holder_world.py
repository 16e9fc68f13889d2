"""Hosts, holders and one primary in virtual time, without a network.

Every host runs the code of the product from the caller's statement down to
the messages between hosts and the dial. The network is replaced: a holder can
be cut off from the primary, be silent, or lose the answers of the primary.
"""

from __future__ import annotations

from collections import Counter
import random
from typing import Any
from unittest import mock

import gevent
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Success

from features.fakes.virtual_sleep import VirtualSleep
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct.connection_holders import ConnectionHolders
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.failover import ReachQuestion
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.relay_messages import RelayedCalls
from trefoilpulley_core.direct.relay_messages import RelayRefused
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import CommitTransaction
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.direct.upstream_session import UpstreamDialer
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.direct.upstream_session import UpstreamTimedOut
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.position import Position
from trefoilpulley_node.direct.caller_transaction import CallerTransaction
from trefoilpulley_node.direct.commit_check import CommitCheck
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.exchange import Exchanger
from trefoilpulley_node.direct.host_vote import HostVote
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct import member_pool
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.member_prober import MemberProber
from trefoilpulley_node.direct.primary_wait import PrimaryWait
from trefoilpulley_node.direct.primary_watch import PrimaryWatch
from trefoilpulley_node.direct.relay_client import RelayClient
from trefoilpulley_node.direct.relay_server import RelayServer
from trefoilpulley_node.direct.statement_request import StatementRequest
from trefoilpulley_node.direct.statement_runner import StatementRunner
from trefoilpulley_node.peer_server import PeerIdentity

GROUP = 'ledger'
PRIMARY = 'primary'

HOP_S = 0.0014
"""One way between two hosts or to the member, in seconds."""

WORK_S = 0.0051
"""Work of a statement at the member, in seconds."""

TIMEOUT_S = 1.2
"""Statement timeout of the route, in seconds."""

CHECK_INTERVALS_S = {True: 0.1, False: 0.4}
"""Time between two checks of a holder and of another host, in seconds."""


class _VirtualEvent:
    """Event of a change of primary, which never comes."""

    def wait(self, timeout: float) -> bool:
        """Let the whole timeout pass."""
        gevent.sleep(timeout)
        return False

    def set(self) -> None:
        """Wake nobody: the primary stays the same."""


class _VirtualTurn(member_pool._Turn):
    """Turn of a waiting request, whose timeout is in virtual time."""

    def get(self, block: bool = True, timeout: float | None = None) -> Any:
        if timeout is None or self.ready():
            return super().get(block, timeout)
        ended = Event()
        self.rawlink(lambda _: ended.set())
        timer = gevent.spawn(_sleep, max(0.0, timeout))
        timer.link(lambda _: ended.set())
        ended.wait()
        if self.ready():
            return super().get()
        raise gevent.Timeout(timeout)


class _Upstream(UpstreamSession):
    """Connection of one host to the primary."""

    def __init__(self, world: HolderWorld, host: str) -> None:
        self._world = world
        self._host = host
        self._is_open = True
        self._state = TransactionState.IDLE

    @property
    def is_usable(self) -> bool:
        return self._is_open

    def exchange(self, calls: Any, timeout_s: float) -> Any:
        world = self._world
        gevent.sleep(HOP_S)
        is_lost = self._host in world.cut
        if not is_lost:
            for call in calls:
                self._run(call)
        if is_lost or self._host in world.losing_answers:
            gevent.sleep(timeout_s - HOP_S)
            self._is_open = False
            return Failed(UpstreamTimedOut('no answer'))
        gevent.sleep(WORK_S + HOP_S)
        return Success(
            tuple(
                Reply(state=self._state, position=Position(1, 1))
                for _ in calls
            )
        )

    def close(self) -> None:
        self._is_open = False

    def _run(self, call: Any) -> None:
        if isinstance(call, RunStatement):
            self._world.runs[call.request_id] += 1
        is_open = self._state is TransactionState.OPEN
        if isinstance(call, OpenTransaction):
            is_open = True
        elif not isinstance(call, RunStatement):
            is_open = False
        if isinstance(call, CommitTransaction):
            self._world.commits[call.request_id] += 1
        self._state = (
            TransactionState.OPEN if is_open else TransactionState.IDLE
        )


class _Dialer(UpstreamDialer):
    """Opens connections of one host to the primary."""

    def __init__(self, world: HolderWorld, host: str) -> None:
        self._world = world
        self._host = host

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Any:
        world = self._world
        world.dials[self._host] += 1
        if self._host in world.cut:
            gevent.sleep(timeout_s)
            return Failed(PeerUnreachable('timeout'))
        gevent.sleep(2 * HOP_S)
        return Success(_Upstream(world, self._host))


class _Channel:
    """Channel from one host to another."""

    is_open = True

    def __init__(self, world: HolderWorld, source: str, target: str) -> None:
        self._world = world
        self._source = source
        self._target = target

    def call(self, message: Any, timeout_s: float) -> Any:
        world = self._world
        if isinstance(message, RelayedCalls):
            world.asked.append((self._source, self._target))
        if self._target in world.silent:
            gevent.sleep(timeout_s)
            return Failed(PeerUnreachable('timeout'))
        target = world.hosts[self._target]
        peer = PeerIdentity(self._source, 'a', 1, id(self))
        gevent.sleep(HOP_S)
        if isinstance(message, ReachQuestion):
            answer = target.vote.on_reach_question(message)
        elif isinstance(message, RelayedCalls):
            answer = target.server.on_calls(message, peer)
        else:
            answer = target.server.on_end(message, peer)
        gevent.sleep(HOP_S)
        if isinstance(answer, RelayRefused):
            world.refusals.append((self._target, answer))
        return Success(answer)

    def notify(self, message: Any) -> None:
        if self._target in self._world.silent:
            return
        gevent.spawn(self.call, message, 1.0)


class _Peers:
    """Connections of one host to the others."""

    def __init__(self, world: HolderWorld, host: str) -> None:
        self._world = world
        self._host = host
        self._channels: dict[str, _Channel] = {}

    def open_channel(self, holder: str, timeout_s: float) -> Any:
        if holder in self._world.unopened:
            gevent.sleep(timeout_s)
            return Failed(PeerUnreachable('timeout'))
        if holder not in self._channels:
            self._channels[holder] = _Channel(self._world, self._host, holder)
        return Success(self._channels[holder])

    def call_host(self, host: str, message: Any, timeout_s: float) -> Any:
        channel = self.open_channel(host, timeout_s)
        return channel.bind(lambda c: c.call(message, timeout_s))


class _Settler:
    """Settler of a group without an open change."""

    def is_open(self, group: Group) -> bool:
        """Return that no change is open."""
        return False

    def is_due(self, group: Group) -> bool:
        """Return that nothing is to be settled."""
        return False

    def check_replicas(self, group: Group) -> None:
        """Look for no replica that holds."""


class _Changer:
    """Counts the changes of primary that a host wants to begin."""

    def __init__(self) -> None:
        self.begun = 0

    def fail_over(self, group: Any, member: str | None) -> None:
        """Count an attempt."""
        self.begun += 1


class _Host:
    """One host: its state, its checks and its callers' statements."""

    def __init__(
        self, world: HolderWorld, name: str, holders: ConnectionHolders
    ) -> None:
        self.name = name
        self._customers = world.customers
        clock = world.time.clock
        self.clock = clock
        self.group = Group(GROUP)
        self.group.primary_changed = _VirtualEvent()
        self.group.state.update([world.record])
        self.health = self.group.state.members[PRIMARY]
        dialer = _Dialer(world, name)
        self.pool = MemberPool(self.health, dialer, clock)
        peers = _Peers(world, name)
        self.client = RelayClient(
            name, self.group.state, self.pool, peers, clock
        )
        self.access = MemberAccess(self.pool, self.client)
        self.access.update(46, holders, bool(world.customers))
        self.group.accesses[PRIMARY] = self.access
        self.is_holder = not holders.hosts or name in holders.hosts
        metrics = DirectMetrics()
        self.exchanger = Exchanger(clock, metrics)
        groups = {GROUP: self.group}
        self.server = RelayServer(groups, self.exchanger, clock)
        self.primary_wait = PrimaryWait(clock)
        self.runner = StatementRunner(
            'a',
            self.exchanger,
            self.primary_wait,
            clock,
            metrics,
            CommitCheck(clock),
        )
        self.prober = MemberProber(self.exchanger, dialer, clock)
        self.vote = HostVote(
            name, self.prober, peers, lambda: world.registered, groups, clock
        )
        self.changer = _Changer()
        self._watch = PrimaryWatch(
            self.group,
            self.prober,
            self.vote,
            self.changer,
            _Settler(),
            None,
            clock,
            metrics,
        )

    def check_until(self, until: float) -> None:
        """Check the primary at the intervals of a running host."""
        while self.clock.now() < until:
            gevent.sleep(CHECK_INTERVALS_S[self.is_holder])
            self._watch._check_primary()

    def request(self, name: str, timeout_s: float) -> StatementRequest:
        """Return a write of a caller."""
        route = Route(
            'top-ups', GROUP, ReadFreshness.PRIMARY, timeout_s, 0.205, 1
        )
        now = self.clock.now()
        return StatementRequest(
            Run(name, f'WRITE {name} 1', True),
            None,
            route,
            self.group,
            SessionState(),
            SessionFloor(),
            now,
            now + timeout_s,
            f'customer-{sum(name.encode()) % self._customers}'
            if self._customers
            else '',
        )

    def write(self, name: str, timeout_s: float = TIMEOUT_S) -> Any:
        """Run a write of a caller."""
        return self.runner.write(self.request(name, timeout_s))

    def transact(self, name: str, timeout_s: float = TIMEOUT_S) -> Any:
        """Run a transaction of one write and commit it."""
        transaction = CallerTransaction(
            False,
            'a',
            self.exchanger,
            self.primary_wait,
            self.clock,
            CommitCheck(self.clock),
        )
        request = self.request(name, timeout_s)
        result = transaction.run(request)
        if not isinstance(result, Success):
            return result
        return transaction.commit(request)


class HolderWorld:
    """Deployment with one primary and the faults of its network.

    Parameters
    ----------
    holders : int
        Hosts that hold the connections to the primary; with 0, every host
        has its own.
    others : int
        Other hosts.
    customers : int
        Customers; 0 for a deployment without customers.
    """

    def __init__(self, holders: int, others: int, customers: int = 0) -> None:
        self.customers = customers
        self.time = VirtualSleep()
        self.record = MemberRecord(
            PRIMARY, GROUP, Endpoint('127.0.0.1', 1), 'a', True, False
        )
        self.holders = tuple(f'holder-{i}' for i in range(holders))
        self.others = tuple(f'host-{i}' for i in range(others))
        names = (*self.holders, *self.others)
        self.registered = {n: 'abc'[i % 3] for i, n in enumerate(names)}
        self.cut: set[str] = set()
        """Hosts that do not reach the primary."""

        self.silent: set[str] = set()
        """Hosts that get messages and answer none."""

        self.unopened: set[str] = set()
        """Hosts to which no channel can be opened."""

        self.losing_answers: set[str] = set()
        """Hosts whose requests run, but whose answers are lost."""

        self.asked: list[tuple[str, str]] = []
        """Relayed requests, as pairs of source and target."""

        self.refusals: list[tuple[str, RelayRefused]] = []
        """Refusals, with the holder that refused."""

        self.dials: Counter[str] = Counter()
        """Dials by host."""

        self.runs: Counter[str] = Counter()
        """Times that the primary ran a request, by request."""

        self.commits: Counter[str] = Counter()
        """Times that the primary committed a request, by request."""

        self.answers: dict[str, tuple[float, float, str]] = {}
        """Arrival and duration in seconds, and outcome, by request."""

        chosen = ConnectionHolders(self.holders, max(1, holders))
        self.hosts = {n: _Host(self, n, chosen) for n in names}

    @property
    def now(self) -> float:
        """Present time in seconds."""
        return self.time.clock.now()

    def run(self, *functions: Any) -> None:
        """Run functions side by side in virtual time."""
        iwait = gevent.iwait

        def wait_untimed(objects: Any, timeout: Any = None) -> Any:
            # Every call of this world ends in virtual time.
            return iwait(objects)

        with (
            mock.patch('gevent.iwait', wait_untimed),
            mock.patch.object(member_pool, '_Turn', _VirtualTurn),
        ):
            self.time.run(*functions)

    def serve(self, host: str, name: str, is_transaction: bool) -> None:
        """Run a request at a host and note its outcome."""
        began_at = self.now
        one = self.hosts[host]
        result = one.transact(name) if is_transaction else one.write(name)
        is_done = isinstance(result, Success)
        code = 'done' if is_done else result.failure().code
        self.answers[name] = began_at, self.now - began_at, code

    def run_load(
        self,
        seed: int,
        hosts: tuple[str, ...],
        duration_s: float,
        rate_per_s: float,
        changes: tuple[tuple[float, Any], ...],
    ) -> None:
        """Run requests at random hosts, with changes of the network.

        Parameters
        ----------
        seed : int
            Seed of the arrivals.
        hosts : tuple[str, ...]
            Hosts with callers.
        duration_s : float
            Time in which requests arrive, in seconds.
        rate_per_s : float
            Requests per second.
        changes : tuple[tuple[float, Any], ...]
            Time since the start in seconds, and function to call.
        """
        rng = random.Random(seed)
        start = self.now

        def arrive() -> None:
            count = 0
            while self.now < start + duration_s:
                gevent.sleep(rng.expovariate(rate_per_s))
                host = rng.choice(hosts)
                gevent.spawn(self.serve, host, f'r{count}', rng.random() < 0.4)
                count += 1

        def change(at: float, function: Any) -> None:
            gevent.sleep(at)
            function()

        self.run(
            arrive,
            *(
                lambda h=h: h.check_until(start + duration_s)
                for h in self.hosts.values()
            ),
            *(lambda at=at, f=f: change(at, f) for at, f in changes),
        )

    def count_outcomes(self, since: float, until: float) -> Counter[str]:
        """Return the outcomes of the requests that arrived in a period."""
        return Counter(
            code
            for at, _, code in self.answers.values()
            if since <= at < until
        )


def _sleep(duration_s: float) -> None:
    gevent.sleep(duration_s)
