"""Steps on statements through the connections of other hosts."""

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
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_core.proxy.connection_holders import choose_holders
from trefoilpulley_core.proxy.connection_holders import rank_holders
from trefoilpulley_core.proxy.group_state import MemberRecord
from trefoilpulley_core.proxy.relay_messages import EndLease
from trefoilpulley_core.proxy.relay_messages import RelayedCalls
from trefoilpulley_core.proxy.relay_messages import RelayRefused
from trefoilpulley_core.proxy.session_state import SessionState
from trefoilpulley_core.proxy.succession import choose_voters
from trefoilpulley_core.proxy.succession import failover_delay_s
from trefoilpulley_core.proxy.upstream_session import Call
from trefoilpulley_core.proxy.upstream_session import OpenTransaction
from trefoilpulley_core.proxy.upstream_session import Reply
from trefoilpulley_core.proxy.upstream_session import RunStatement
from trefoilpulley_core.proxy.upstream_session import TransactionState
from trefoilpulley_core.proxy.upstream_session import UpstreamDialer
from trefoilpulley_core.proxy.upstream_session import UpstreamSession
from trefoilpulley_emulator.deployment import EmulatedDeployment
from trefoilpulley_node.clock import BoottimeClock
from trefoilpulley_node.peer_server import PeerIdentity
from trefoilpulley_node.peers import Peers
from trefoilpulley_node.proxy.connection_lender import RelayServer
from trefoilpulley_node.proxy.directory import Group
from trefoilpulley_node.proxy.exchange import Exchanger
from trefoilpulley_node.proxy.member_access import MemberAccess
from trefoilpulley_node.proxy.member_pool import MemberPool
from trefoilpulley_node.proxy.proxy_metrics import ProxyMetrics
from trefoilpulley_node.proxy.session_registry import SessionRegistry

ZONES = ('a', 'b', 'c')

GROUPS = tuple(f'ledger-{i}' for i in range(20))
"""Groups over which a property must hold."""


class HolderSteps:
    """Steps on who holds connections."""

    @staticmethod
    @given(
        '{hosts:d} hosts in 3 zones and members of {connections:d} connections'
    )
    def make_hosts(context: Any, hosts: int, connections: int) -> None:
        """Spread hosts over the zones."""
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
    @when("the hosts of the member's zone are gone")
    def remove_zone(context: Any) -> None:
        """Take the hosts of one zone away."""
        context.live = {**context.live, 'a': ()}

    @staticmethod
    @then('{count:d} hosts of its zone hold the connections of a member')
    def check_near(context: Any, count: int) -> None:
        """Check the holders of each group."""
        for group in GROUPS:
            found = HolderSteps._choose(context, group)
            assert len(found.hosts) == found.sharing_hosts == count, found
            assert set(found.hosts) <= set(context.live['a']), found

    @staticmethod
    @then('{count:d} hosts of other zones hold the connections of a member')
    def check_far(context: Any, count: int) -> None:
        """Check the holders of each group."""
        others = {*context.live['b'], *context.live['c']}
        for group in GROUPS:
            found = HolderSteps._choose(context, group)
            assert len(found.hosts) == count, found
            assert set(found.hosts) <= others, found

    @staticmethod
    @then('every host holds connections of its own')
    def check_own(context: Any) -> None:
        """Check that nobody relays."""
        found = HolderSteps._choose(context, 'ledger')
        assert found.hosts == (), found
        assert found.sharing_hosts == len(context.registered), found

    @staticmethod
    @then('each holder is the first choice of {least:d} to {most:d} hosts')
    def check_spread(context: Any, least: int, most: int) -> None:
        """Count the first choices for each group."""
        for group in GROUPS:
            holders = HolderSteps._choose(context, group)
            counts = Counter(
                rank_holders(group, host, holders)[0]
                for host in context.registered
            )
            assert set(counts) == set(holders.hosts), counts
            assert least <= min(counts.values()), counts
            assert max(counts.values()) <= most, counts

    @staticmethod
    @then('those of a holder that is gone choose {count:d} others or more')
    def check_successors(context: Any, count: int) -> None:
        """Check the second choices of the hosts of one holder."""
        for group in GROUPS:
            holders = HolderSteps._choose(context, group)
            orders = [
                rank_holders(group, host, holders)
                for host in context.registered
            ]
            gone = Counter(o[0] for o in orders).most_common(1)[0][0]
            others = {o[1] for o in orders if o[0] == gone}
            assert len(others) >= count, others

    @staticmethod
    @then('the holders do not depend on the member')
    def check_member(context: Any) -> None:
        """Check that only group and zone decide."""
        one = HolderSteps._choose(context, 'ledger')
        assert one == HolderSteps._choose(context, 'ledger')
        other = HolderSteps._choose(context, 'other')
        assert one.hosts != other.hosts

    @staticmethod
    @then('{count:d} hosts vote on a primary, {each:d} of each zone')
    def check_jury(context: Any, count: int, each: int) -> None:
        """Check the jury of each group."""
        for group in GROUPS:
            jury = choose_voters(group, context.registered)
            assert len(jury) == count, jury
            assert set(Counter(jury.values()).values()) == {each}, jury

    @staticmethod
    @then("they hold connections to the group's members")
    def check_jury_holds(context: Any) -> None:
        """Check that each juror uses a member all the time."""
        for group in GROUPS:
            for host, zone in choose_voters(group, context.registered).items():
                holders = choose_holders(
                    group, zone, context.live, context.connections
                )
                assert host in holders.hosts, (host, holders)

    @staticmethod
    @then('a host that does not vote acts after all of them')
    def check_order(context: Any) -> None:
        """Check the head starts."""
        registered = context.registered
        for group in GROUPS:
            jury = choose_voters(group, registered)
            delays = {
                h: failover_delay_s(group, h, registered, False)
                for h in registered
            }
            last = max(delays[h] for h in jury)
            others = [delays[h] for h in registered if h not in jury]
            assert last < min(others), delays
            assert len(set(delays.values())) == len(registered), delays

    @staticmethod
    def _choose(context: Any, group: str) -> Any:
        return choose_holders(group, 'a', context.live, context.connections)


class RelayedPathSteps:
    """Steps on a deployment whose members take few connections."""

    @staticmethod
    @given(
        'an emulated deployment of {hosts:d} hosts with {connections:d} '
        'connections a member'
    )
    def make(context: Any, hosts: int, connections: int) -> None:
        """Start a deployment and wait until it serves."""
        context.deployment = EmulatedDeployment(hosts, connections)
        context.cleanups.append(context.deployment.stop)
        context.deployment.start()
        for host in context.deployment.hosts:
            directory = host.proxy.directory
            wait_until(
                lambda d=directory: RelayedPathSteps._is_settled(d, hosts)
            )
        for server in context.deployment.group.servers.values():
            server.caller_names.clear()
        for host in range(hosts):
            wait_until(
                lambda host=host: (
                    execute_once(context, 'orders', host, 'READ none').code
                    == 'DONE'
                )
            )

    @staticmethod
    def _is_settled(directory: Any, hosts: int) -> bool:
        """Return whether a host knows every other one."""
        group = directory.groups.get('ledger')
        live = sum(len(z) for z in directory.live_hosts.values())
        return live == hosts and group is not None and len(group.accesses) == 3

    @staticmethod
    @then('one host alone has connected to each member')
    def check_holders(context: Any) -> None:
        """Check who has opened connections since all hosts are known."""
        for server in context.deployment.group.servers.values():
            assert len(set(server.caller_names)) <= 1, server.caller_names

    @staticmethod
    @then('no connection stays lent')
    def check_returned(context: Any) -> None:
        """Wait until every lease has ended."""
        for host in context.deployment.hosts:
            wait_until(
                lambda host=host: host.proxy.relay_server.lease_count == 0
            )

    @staticmethod
    @given(
        'a caller of "{database}" at a host that holds no connection to the '
        'primary'
    )
    def connect(context: Any, database: str) -> None:
        """Open a session at a host that relays."""
        primary = context.deployment.group.primary.state.member
        for host in context.deployment.hosts:
            access = host.proxy.directory.groups['ledger'].accesses[primary]
            if access.is_relayed:
                context.holder = access.holders[0]
                context.caller = host.connect(database)
        context.cleanups.append(context.caller.close)

    @staticmethod
    @when('the holder of the primary is told to stop while the caller writes')
    def stop_holder(context: Any) -> None:
        """Drain the holder under a caller that never rests."""
        deployment = context.deployment
        number = int(context.holder.rpartition('-')[2])
        drain = gevent.spawn(deployment.hosts[number].proxy.drain)
        context.answers = []
        while not drain.ready() or len(context.answers) < 20:
            item = len(context.answers)
            answer = context.caller.execute(f'WRITE w{item} {item}')
            context.answers.append(answer)

    @staticmethod
    @then('every write of the caller was answered')
    def check_answers(context: Any) -> None:
        """Check that none was cut or refused."""
        codes = Counter(a.code for a in context.answers)
        assert set(codes) == {'DONE'}, codes


class _Upstream(UpstreamSession):
    """Connection that answers at once and notes what it was sent."""

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
        is_begun = isinstance(calls[-1], OpenTransaction)
        state = TransactionState.OPEN if is_begun else TransactionState.IDLE
        return Success(tuple(Reply(state=state) for _ in calls))

    def close(self) -> None:
        self.is_open = False


class _OneConnection(UpstreamDialer):
    """Opens the one connection there is."""

    def __init__(self) -> None:
        self.upstream = _Upstream()

    def dial(
        self, member: MemberRecord, timeout_s: float
    ) -> Result[UpstreamSession, Failure]:
        return Success(self.upstream)


class LenderSteps:
    """Steps on one holder and what reaches the member."""

    BORROWER = PeerIdentity('host-b', 'b', 1, 7)

    @staticmethod
    @given('a holder with a free connection')
    def make_holder(context: Any) -> None:
        """Make a holder of one connection to one member."""
        clock = context.clock = BoottimeClock()
        context.group = Group('ledger')
        context.group.state.update(
            [
                MemberRecord(
                    'm', 'ledger', Endpoint('127.0.0.1', 1), 'a', True, False
                )
            ]
        )
        context.dialer = _OneConnection()
        context.pool = MemberPool(
            context.group.state.members['m'], context.dialer, clock
        )
        # An equal share of one connection, and no growth above it.
        context.pool.share.update(1, 1)
        context.pool.share.on_refused(clock.now() + 3600)
        context.group.accesses['m'] = MemberAccess(context.pool)
        context.relay_server = RelayServer(
            {'ledger': context.group},
            Exchanger(clock, ProxyMetrics()),
            clock,
        )

    @staticmethod
    @given('a holder whose connections are all taken')
    def make_busy_holder(context: Any) -> None:
        """Lend the only connection."""
        LenderSteps.make_holder(context)
        deadline = context.clock.now() + 60
        lent = context.pool.acquire(0, deadline, SessionState())
        context.taken = lent.unwrap()

    @staticmethod
    @when('another host sends a read and gives it up')
    def send_and_give_up(context: Any) -> None:
        """Send a read, then its end, while no connection is free."""
        asked = gevent.spawn(
            context.relay_server.on_calls, _read(), LenderSteps.BORROWER
        )
        wait_until(lambda: context.pool.waiting == 1)
        context.relay_server.on_end(EndLease(1), LenderSteps.BORROWER)
        context.asked = asked

    @staticmethod
    @when('a connection comes free')
    def free(context: Any) -> None:
        """Give the connection back."""
        context.pool.release(context.taken)
        assert isinstance(context.asked.get(), RelayRefused)

    @staticmethod
    @when("another host's read arrives behind its end")
    def send_behind_end(context: Any) -> None:
        """Serve the end first, as a connection's reader does."""
        context.relay_server.on_end(EndLease(1), LenderSteps.BORROWER)
        answer = context.relay_server.on_calls(_read(), LenderSteps.BORROWER)
        assert isinstance(answer, RelayRefused), answer

    @staticmethod
    @then('the member was sent nothing')
    def check_unsent(context: Any) -> None:
        """Check the connection."""
        assert context.dialer.upstream.sent == []
        assert context.relay_server.lease_count == 0

    @staticmethod
    @when('another host opens a transaction and its connection breaks')
    def open_and_break(context: Any) -> None:
        """Open a transaction, then lose the borrower."""
        opening = _calls(OpenTransaction(is_read_only=False))
        context.relay_server.on_calls(opening, LenderSteps.BORROWER)
        assert context.relay_server.lease_count == 1
        context.relay_server.on_peer_closed(LenderSteps.BORROWER)

    @staticmethod
    @then('the connection to the member is closed')
    def check_closed(context: Any) -> None:
        """Check that the member rolls back."""
        assert not context.dialer.upstream.is_open
        assert context.relay_server.lease_count == 0

    @staticmethod
    @when('the host sends a write of that transaction again')
    def send_late(context: Any) -> None:
        """Go on where nothing is open any more."""
        write = _calls(RunStatement('q2', 'WRITE a 1'), is_pinned=True)
        context.answer = context.relay_server.on_calls(
            write, LenderSteps.BORROWER
        )

    @staticmethod
    @then('it is told that the transaction is lost')
    def check_lost(context: Any) -> None:
        """Check the answer."""
        assert isinstance(context.answer, PooledFailure), context.answer
        assert context.answer.code == 'transaction-lost', context.answer

    @staticmethod
    @then('the member was sent no write')
    def check_no_write(context: Any) -> None:
        """Check the connection."""
        sent = context.dialer.upstream.sent
        assert not any(isinstance(c, RunStatement) for c in sent), sent


class DeadHostSteps:
    """Steps on a host that is dead."""

    @staticmethod
    @given('a host that does not answer')
    def make(context: Any) -> None:
        """Count the dials; each fails after a moment."""
        context.dials = 0

        def find_endpoint(host: str) -> None:
            context.dials += 1
            gevent.sleep(0.01)

        context.peers = Peers(
            PeerHello('me', 'a', 1, 'secret'), None, find_endpoint, None
        )

    @staticmethod
    @when('{count:d} requests for it come at the same time')
    def ask(context: Any, count: int) -> None:
        """Ask from many greenlets."""
        asked = [
            gevent.spawn(context.peers.call_host, 'other', EndLease(1), 1.0)
            for _ in range(count)
        ]
        gevent.joinall(asked)
        context.failures = [g.value.failure() for g in asked]

    @staticmethod
    @then('it was dialled once and all are told that nothing was sent')
    def check(context: Any) -> None:
        """Check the dials and the answers."""
        assert context.dials == 1, context.dials
        states = {f.run_state for f in context.failures}
        assert states == {RunState.NOT_RUN}, context.failures


class StoppingSteps:
    """Steps on a host that is told to stop."""

    GRACE_S = 3.0

    @staticmethod
    @given('a host without sessions on which another host has a transaction')
    def make(context: Any) -> None:
        """Make the registry of a host."""
        context.clock = BoottimeClock()

    @staticmethod
    @when('the host is told to stop and the transaction stays open')
    def stop_busy(context: Any) -> None:
        """Drain while a lease stays."""
        StoppingSteps._drain(context, lease_count=1)

    @staticmethod
    @when('the host is told to stop and the transaction has ended')
    def stop_idle(context: Any) -> None:
        """Drain without a lease."""
        StoppingSteps._drain(context, lease_count=0)

    @staticmethod
    @then('it waits until its grace is over')
    def check_waited(context: Any) -> None:
        """Check that the drain did not end by itself."""
        assert not context.is_complete

    @staticmethod
    @then('it ends before its grace is over')
    def check_ended(context: Any) -> None:
        """Check that the drain ended by itself."""
        assert context.is_complete

    @staticmethod
    def _drain(context: Any, lease_count: int) -> None:
        registry = SessionRegistry(context.clock)
        context.is_complete = registry.drain(
            StoppingSteps.GRACE_S, lambda: lease_count
        )


def _read() -> RelayedCalls:
    return _calls(RunStatement('q1', 'READ a'))


def _calls(call: Call, is_pinned: bool = False) -> RelayedCalls:
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
