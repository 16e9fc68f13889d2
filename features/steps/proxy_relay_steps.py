"""Steps on requests that are relayed through other hosts."""

from __future__ import annotations

from collections.abc import Sequence
from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Result
from returns.result import Success

from features.fakes.asking import execute_once
from features.fakes.asking import wait_until
from features.fakes.connection_requests import make_request
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.connection_holders import choose_holders
from trefoilpulley_core.direct.connection_holders import rank_holders
from trefoilpulley_core.direct.connection_share import ConnectionShare
from trefoilpulley_core.direct.failover import choose_voters
from trefoilpulley_core.direct.failover import failover_delay_s
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.relay_messages import EndLease
from trefoilpulley_core.direct.relay_messages import RelayedCalls
from trefoilpulley_core.direct.relay_messages import RelayRefused
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import Call
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.direct.upstream_session import UpstreamDialer
from trefoilpulley_core.direct.upstream_session import UpstreamSession
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_emulator.deployment import EmulatedDeployment
from trefoilpulley_node.clock import BoottimeClock
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.exchange import Exchanger
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.relay_server import RelayServer
from trefoilpulley_node.direct.session_registry import SessionRegistry
from trefoilpulley_node.peer_server import PeerIdentity
from trefoilpulley_node.peers import Peers

ZONES = ('a', 'b', 'c')

GROUPS = tuple(f'ledger-{i}' for i in range(20))
"""Names of the groups for which each property is checked."""


class HolderSteps:
    """Steps on the hosts that hold the connections to a member."""

    @staticmethod
    @given(
        '{hosts:d} hosts in 3 zones and members of {connections:d} connections'
    )
    def make_hosts(context: Any, hosts: int, connections: int) -> None:
        """Distribute hosts evenly over the zones."""
        context.connections = connections
        context.live = {
            zone: tuple(
                f'host-{zone}-{i}'
                for i in range(len(range(number, hosts, len(ZONES))))
            )
            for number, zone in enumerate(ZONES)
        }
        context.registered = {
            h: z for z, hosts in context.live.items() for h in hosts
        }

    @staticmethod
    @when("the hosts of the member's zone are removed")
    def remove_zone(context: Any) -> None:
        """Remove all hosts of the member's zone."""
        context.live = {**context.live, 'a': ()}

    @staticmethod
    @when('a network partition leaves {count:d} of the registered hosts')
    def partition(context: Any, count: int) -> None:
        """Keep some hosts of each zone."""
        shares = [len(range(i, count, len(ZONES))) for i in range(len(ZONES))]
        context.live = {
            zone: hosts[:share]
            for (zone, hosts), share in zip(
                context.live.items(), shares, strict=True
            )
        }

    @staticmethod
    @then('at most {count:d} hosts hold the connections to a member')
    def check_holder_count(context: Any, count: int) -> None:
        """Check that holders remain."""
        for group in GROUPS:
            found = HolderSteps._choose(context, group)
            assert 1 <= len(found.hosts) <= count, found

    @staticmethod
    @given(
        'a host with {count:d} of its {share:d} connections to a member open'
    )
    def make_share(context: Any, count: int, share: int) -> None:
        """Create the share of a host."""
        context.share = ConnectionShare()
        context.share.update(share, 1)
        context.open_count = count

    @staticmethod
    @when(
        'the member refuses a connection and {count:d} requests arrive in 1 s'
    )
    def arrive_at_full_member(context: Any, count: int) -> None:
        """Count the connections that the host tries to open."""
        context.attempts = 0
        for i in range(count):
            now = i / count
            if context.share.may_dial(context.open_count, 0, now):
                context.attempts += 1
                context.share.on_refused(now)

    @staticmethod
    @then('the host tries to open at most {count:d} connections')
    def check_attempts(context: Any, count: int) -> None:
        """Check the number of attempts."""
        assert 1 <= context.attempts <= count, context.attempts

    @staticmethod
    @then("{count:d} hosts of the member's zone hold the connections to it")
    def check_holders_in_zone(context: Any, count: int) -> None:
        """Check that the holders of each group are in the member's zone."""
        for group in GROUPS:
            found = HolderSteps._choose(context, group)
            assert len(found.hosts) == found.sharing_hosts == count, found
            assert set(found.hosts) <= set(context.live['a']), found

    @staticmethod
    @then('{count:d} hosts of other zones hold the connections to a member')
    def check_holders_elsewhere(context: Any, count: int) -> None:
        """Check that the holders of each group are in other zones."""
        others = {*context.live['b'], *context.live['c']}
        for group in GROUPS:
            found = HolderSteps._choose(context, group)
            assert len(found.hosts) == count, found
            assert set(found.hosts) <= others, found

    @staticmethod
    @then('every host has its own connections to a member')
    def check_own_connections(context: Any) -> None:
        """Check that no host relays its requests."""
        found = HolderSteps._choose(context, 'ledger')
        assert found.hosts == (), found
        assert found.sharing_hosts == len(context.registered), found

    @staticmethod
    @then(
        'each holder is the first choice of {min_hosts:d} to {max_hosts:d} '
        'hosts'
    )
    def check_spread(context: Any, min_hosts: int, max_hosts: int) -> None:
        """Check how many hosts rank each holder first, for each group."""
        for group in GROUPS:
            holders = HolderSteps._choose(context, group)
            counts = Counter(
                rank_holders(group, host, holders)[0]
                for host in context.registered
            )
            assert set(counts) == set(holders.hosts), counts
            assert min_hosts <= min(counts.values()), counts
            assert max(counts.values()) <= max_hosts, counts

    @staticmethod
    @then('the hosts of a lost holder choose at least {count:d} other holders')
    def check_successors(context: Any, count: int) -> None:
        """Check the second choices of the hosts of the busiest holder."""
        for group in GROUPS:
            holders = HolderSteps._choose(context, group)
            orders = [
                rank_holders(group, host, holders)
                for host in context.registered
            ]
            lost = Counter(o[0] for o in orders).most_common(1)[0][0]
            others = {o[1] for o in orders if o[0] == lost}
            assert len(others) >= count, others

    @staticmethod
    @then('the holders depend on the group but not on the member')
    def check_group_only(context: Any) -> None:
        """Check that the group and the zone determine the holders."""
        one = HolderSteps._choose(context, 'ledger')
        assert one == HolderSteps._choose(context, 'ledger')
        other = HolderSteps._choose(context, 'other')
        assert one.hosts != other.hosts

    @staticmethod
    @then('{count:d} hosts vote on a primary, {each:d} of each zone')
    def check_voters(context: Any, count: int, each: int) -> None:
        """Check the voters of each group."""
        for group in GROUPS:
            voters = choose_voters(group, context.registered)
            assert len(voters) == count, voters
            assert set(Counter(voters.values()).values()) == {each}, voters

    @staticmethod
    @then("the voters hold connections to the group's members")
    def check_voters_hold(context: Any) -> None:
        """Check that each voter is a holder of the members in its zone."""
        for group in GROUPS:
            for host, zone in choose_voters(group, context.registered).items():
                holders = choose_holders(
                    group,
                    zone,
                    context.live,
                    context.connections,
                    len(context.registered),
                )
                assert host in holders.hosts, (host, holders)

    @staticmethod
    @then('a host that does not vote starts a failover after all voters')
    def check_failover_order(context: Any) -> None:
        """Check that the voters have the shortest failover delays.

        The delays of all hosts must differ.
        """
        registered = context.registered
        for group in GROUPS:
            voters = choose_voters(group, registered)
            delays = {
                h: failover_delay_s(group, h, registered) for h in registered
            }
            last = max(delays[h] for h in voters)
            others = [delays[h] for h in registered if h not in voters]
            assert last < min(others), delays
            assert len(set(delays.values())) == len(registered), delays

    @staticmethod
    def _choose(context: Any, group: str) -> Any:
        return choose_holders(
            group,
            'a',
            context.live,
            context.connections,
            len(context.registered),
        )


class RelayedPathSteps:
    """Steps on a deployment whose members accept few connections."""

    @staticmethod
    @given(
        'an emulated deployment of {hosts:d} hosts with {connections:d} '
        'connections a member'
    )
    def make(context: Any, hosts: int, connections: int) -> None:
        """Start a deployment and wait until every host serves a read."""
        context.deployment = EmulatedDeployment(hosts, connections)
        context.cleanups.append(context.deployment.stop)
        context.deployment.start()
        for host in context.deployment.hosts:
            directory = host.proxy.directory
            wait_until(
                lambda d=directory: RelayedPathSteps._is_settled(d, hosts)
            )
        for server in context.deployment.group.servers.values():
            server.runs.clear()
        for host in range(hosts):
            wait_until(
                lambda host=host: (
                    execute_once(context, 'orders', host, 'READ none').code
                    == 'DONE'
                )
            )

    @staticmethod
    def _is_settled(directory: Any, hosts: int) -> bool:
        """Return whether a host knows all hosts and all members."""
        group = directory.groups.get('ledger')
        live = sum(len(z) for z in directory.live_hosts.values())
        return live == hosts and group is not None and len(group.accesses) == 3

    @staticmethod
    @then('only one host holds connections to each member')
    def check_holders(context: Any) -> None:
        """Check which hosts used or kept connections to the members.

        A host that is asked whether a member answers connects to it, sends
        nothing and closes the connection.
        """
        for server in context.deployment.group.servers.values():
            users = {r.customer for r in server.runs}
            assert len(users) <= 1, (users, server.runs)
            wait_until(
                lambda s=server, users=users: (
                    len(users | set(+s.open_connections)) <= 1
                )
            )

    @staticmethod
    @then('no lease stays active')
    def check_no_leases(context: Any) -> None:
        """Wait until every host has ended its leases."""
        for host in context.deployment.hosts:
            wait_until(
                lambda host=host: host.proxy.relay_server.lease_count == 0
            )

    @staticmethod
    @given(
        'a caller of "{database}" at a host that relays its requests to the '
        'primary'
    )
    def connect(context: Any, database: str) -> None:
        """Open a session at a host that is not a holder of the primary."""
        primary = context.deployment.group.primary.state.member
        for host in context.deployment.hosts:
            access = host.proxy.directory.groups['ledger'].accesses[primary]
            if access.is_relayed:
                context.holder = access.holders[0]
                context.caller = host.connect(database)
        context.cleanups.append(context.caller.close)

    @staticmethod
    @when('the holder of the primary is drained while the caller writes')
    def drain_holder(context: Any) -> None:
        """Drain the holder while the caller writes without a pause."""
        deployment = context.deployment
        number = int(context.holder.rpartition('-')[2])
        drain = gevent.spawn(deployment.hosts[number].drain)
        context.answers = []
        while not drain.ready() or len(context.answers) < 20:
            item = len(context.answers)
            answer = context.caller.execute(f'WRITE w{item} {item}')
            context.answers.append(answer)

    @staticmethod
    @then('every write of the caller was answered')
    def check_answers(context: Any) -> None:
        """Check that no write was interrupted or refused."""
        codes = Counter(a.code for a in context.answers)
        assert set(codes) == {'DONE'}, codes


class _RecordingUpstream(UpstreamSession):
    """Connection that records the requests and answers them at once."""

    def __init__(self) -> None:
        self.sent: list[Call] = []
        self.is_open = True

    @property
    def is_usable(self) -> bool:
        return self.is_open

    def exchange(
        self, calls: Sequence[Call], timeout_s: float
    ) -> Result[tuple[Reply, ...], Failure]:
        self.sent.extend(calls)
        is_opening = isinstance(calls[-1], OpenTransaction)
        state = TransactionState.OPEN if is_opening else TransactionState.IDLE
        return Success(tuple(Reply(state=state) for _ in calls))

    def close(self) -> None:
        self.is_open = False


class _SingleConnectionDialer(UpstreamDialer):
    """Returns the same connection at each dial."""

    def __init__(self) -> None:
        self.upstream = _RecordingUpstream()

    def dial(
        self, member: MemberRecord, timeout_s: float, customer: str = ''
    ) -> Result[UpstreamSession, Failure]:
        return Success(self.upstream)


class RelayServerSteps:
    """Steps on a holder and the requests that it sends to the member."""

    PEER = PeerIdentity('host-b', 'b', 1, 7)

    @staticmethod
    @given('a holder with a free connection')
    def make_holder(context: Any) -> None:
        """Create a holder of one connection to one member."""
        clock = context.clock = BoottimeClock()
        context.group = Group('ledger')
        context.group.state.update(
            [
                MemberRecord(
                    'm', 'ledger', Endpoint('127.0.0.1', 1), 'a', True, False
                )
            ]
        )
        context.dialer = _SingleConnectionDialer()
        context.pool = MemberPool(
            context.group.state.members['m'], context.dialer, clock
        )
        # The host's share is one connection. The refusal keeps the host from
        # opening more connections than its share.
        context.pool.share.update(1, 1)
        context.pool.share.on_refused(clock.now() + 3600)
        context.group.accesses['m'] = MemberAccess(context.pool)
        context.relay_server = RelayServer(
            {'ledger': context.group},
            Exchanger(clock, DirectMetrics()),
            clock,
        )

    @staticmethod
    @given('a holder without a free connection')
    def make_holder_without_connection(context: Any) -> None:
        """Create a holder and acquire its only connection."""
        RelayServerSteps.make_holder(context)
        deadline = context.clock.now() + 60
        result = context.pool.acquire(
            make_request(0, deadline), SessionState()
        )
        context.acquired = result.unwrap()

    @staticmethod
    @when('another host relays a read and ends its lease')
    def relay_and_end(context: Any) -> None:
        """Relay a read and end its lease while no connection is free."""
        relayed = gevent.spawn(
            context.relay_server.on_calls,
            _relayed_read(),
            RelayServerSteps.PEER,
        )
        wait_until(lambda: context.pool.waiting == 1)
        context.relay_server.on_end(EndLease(1), RelayServerSteps.PEER)
        context.relayed = relayed

    @staticmethod
    @when('another host relays a read and the holder takes no new work')
    def relay_and_stop(context: Any) -> None:
        """Relay a read and stop while no connection is free."""
        relayed = gevent.spawn(
            context.relay_server.on_calls,
            _relayed_read(),
            RelayServerSteps.PEER,
        )
        wait_until(lambda: context.pool.waiting == 1)
        context.relay_server.refuse()
        context.relayed = relayed

    @staticmethod
    @when('the holder takes no new work and another host relays a read')
    def stop_and_relay(context: Any) -> None:
        """Relay a read to a holder that stops; it must be refused."""
        context.relay_server.refuse()
        answer = context.relay_server.on_calls(
            _relayed_read(), RelayServerSteps.PEER
        )
        assert isinstance(answer, RelayRefused), answer

    @staticmethod
    @when('a connection is released')
    def release(context: Any) -> None:
        """Release the connection and check that the read is refused."""
        context.pool.release(context.acquired)
        assert isinstance(context.relayed.get(), RelayRefused)

    @staticmethod
    @when('a relayed read is served after the end of its lease')
    def relay_after_end(context: Any) -> None:
        """Serve the end of the lease first.

        A host that was paused reads both messages together. The reader of a
        connection handles the end at once, before the read is served.
        """
        context.relay_server.on_end(EndLease(1), RelayServerSteps.PEER)
        answer = context.relay_server.on_calls(
            _relayed_read(), RelayServerSteps.PEER
        )
        assert isinstance(answer, RelayRefused), answer

    @staticmethod
    @then('the member was sent no relayed request')
    def check_unsent(context: Any) -> None:
        """Check that no request was sent and no lease is left."""
        assert context.dialer.upstream.sent == []
        assert context.relay_server.lease_count == 0

    @staticmethod
    @when(
        'another host opens a transaction and then loses its connection to '
        'the holder'
    )
    def open_and_disconnect(context: Any) -> None:
        """Open a relayed transaction, then close the peer's connection."""
        opening = _relayed_calls(OpenTransaction(is_read_only=False))
        context.relay_server.on_calls(opening, RelayServerSteps.PEER)
        assert context.relay_server.lease_count == 1
        context.relay_server.on_peer_closed(RelayServerSteps.PEER)

    @staticmethod
    @then('the connection to the member is closed')
    def check_closed(context: Any) -> None:
        """Check the close, at which the member rolls back."""
        assert not context.dialer.upstream.is_open
        assert context.relay_server.lease_count == 0

    @staticmethod
    @when('the host relays a write of that transaction')
    def relay_late_write(context: Any) -> None:
        """Relay a write that requires the lost transaction."""
        write = _relayed_calls(RunStatement('q2', 'WRITE a 1'), is_pinned=True)
        context.answer = context.relay_server.on_calls(
            write, RelayServerSteps.PEER
        )

    @staticmethod
    @then('the host is told that the transaction is lost')
    def check_lost(context: Any) -> None:
        """Check the reply to the write."""
        assert isinstance(context.answer, PooledFailure), context.answer
        assert context.answer.code == 'transaction-lost', context.answer

    @staticmethod
    @then('the member was sent no write')
    def check_no_write(context: Any) -> None:
        """Check that no statement was sent on the connection."""
        sent = context.dialer.upstream.sent
        assert not any(isinstance(c, RunStatement) for c in sent), sent


class HostDownSteps:
    """Steps on requests to a host that is down."""

    @staticmethod
    @given('a host that does not answer')
    def make(context: Any) -> None:
        """Create peers whose dials are counted and fail after 10 ms."""
        context.dials = 0

        def find_endpoint(host: str) -> None:
            context.dials += 1
            gevent.sleep(0.01)

        context.peers = Peers(
            PeerHello('me', 'a', 1, 'secret'), None, find_endpoint, None
        )

    @staticmethod
    @when('{count:d} requests to the host are made at the same time')
    def call(context: Any, count: int) -> None:
        """Call the host from many greenlets."""
        greenlets = [
            gevent.spawn(context.peers.call_host, 'other', EndLease(1), 1.0)
            for _ in range(count)
        ]
        gevent.joinall(greenlets)
        context.failures = [g.value.failure() for g in greenlets]

    @staticmethod
    @then('the host was dialled once and each request is reported as not run')
    def check(context: Any) -> None:
        """Check the number of dials and the failures."""
        assert context.dials == 1, context.dials
        states = {f.run_state for f in context.failures}
        assert states == {RunState.NOT_RUN}, context.failures


class DrainSteps:
    """Steps on the drain of a host."""

    GRACE_S = 3.0

    @staticmethod
    @given('a host without sessions that relays a transaction of another host')
    def make(context: Any) -> None:
        """Create the clock of the host."""
        context.clock = BoottimeClock()

    @staticmethod
    @when('the host is drained and the transaction stays open')
    def drain_with_lease(context: Any) -> None:
        """Drain while a lease stays active."""
        DrainSteps._drain(context, lease_count=1)

    @staticmethod
    @when('the host is drained and the transaction has ended')
    def drain_without_lease(context: Any) -> None:
        """Drain without an active lease."""
        DrainSteps._drain(context, lease_count=0)

    @staticmethod
    @then('the drain lasts until the end of its grace period')
    def check_incomplete(context: Any) -> None:
        """Check that the drain did not complete."""
        assert not context.is_complete

    @staticmethod
    @then('the drain completes before the end of its grace period')
    def check_complete(context: Any) -> None:
        """Check that the drain completed."""
        assert context.is_complete

    @staticmethod
    def _drain(context: Any, lease_count: int) -> None:
        registry = SessionRegistry(context.clock)
        context.is_complete = registry.drain(
            DrainSteps.GRACE_S, lambda: lease_count, lambda: None
        )


def _relayed_read() -> RelayedCalls:
    return _relayed_calls(RunStatement('q1', 'READ a'))


def _relayed_calls(call: Call, is_pinned: bool = False) -> RelayedCalls:
    return RelayedCalls(
        'ledger',
        'm',
        1,
        1,
        60000,
        60000,
        (call,),
        {},
        is_pinned=is_pinned,
    )
