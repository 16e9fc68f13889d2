"""Steps on the orders of hosts that can't claim a change of primary."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Failure as Failed
from returns.result import Success

from features.fakes.fake_platform import FakePlatform
from features.fakes.virtual_sleep import VirtualSleep
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.failover import OrderNotice
from trefoilpulley_core.direct.failover import RANK_DELAY_NO_SERVICE_S
from trefoilpulley_core.direct.failover import RANK_DELAY_S
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.keys import CLAIM_PREFIX
from trefoilpulley_core.platform import Lease
from trefoilpulley_core.platform import PlatformDown
from trefoilpulley_core.position import Position
from trefoilpulley_core.rendezvous import rank_hosts
from trefoilpulley_node.direct.claim_store import ClaimStore
from trefoilpulley_node.direct.claim_store import read_claim
from trefoilpulley_node.direct.commit_judge import CommitJudge
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.leader_recorder import LeaderRecorder
from trefoilpulley_node.direct.primary_changer import PrimaryChanger
from trefoilpulley_node.direct.primary_watch import CHECK_INTERVAL_S
from trefoilpulley_node.direct.promotion_runner import PromotionRunner
from trefoilpulley_node.direct.roster_store import RosterStore

HOSTS = rank_hosts('ledger', ('one', 'two'))
"""Hosts in their rank for the group."""

CALL_S = 0.02
"""Virtual time that an order takes to be accepted, in seconds."""


@dataclass
class _World:
    """Members and promotions, as both hosts find them."""

    time: VirtualSleep = field(default_factory=VirtualSleep)
    promotion_s: float = 0.6
    orders: list[tuple[str, float]] = field(default_factory=list)
    leads_at: float = float('inf')

    def promote(self, *order: Any) -> Any:
        """Accept an order; the member leads after the promotion."""
        host = order[2]
        self.orders.append((host, self.time.clock.now()))
        self.leads_at = min(
            self.leads_at, self.time.clock.now() + CALL_S + self.promotion_s
        )
        gevent.sleep(CALL_S)
        return Success(None)

    def read_statuses(self, group: Group, members: Any) -> Any:
        """Return the log of the replica, which does not lead yet."""
        return {'replica': LogStatus(False, 1, Position(1, 5))}

    def read_status(self, group: Group, member: str) -> LogStatus:
        """Return the log of the replica, which leads after the promotion."""
        is_primary = self.verify_leader(group, member)
        return LogStatus(is_primary, 1 + is_primary, Position(1, 5))

    def verify_leader(self, group: Group, member: str) -> bool:
        """Return whether the promotion has taken effect."""
        return member == 'replica' and self.time.clock.now() >= self.leads_at

    def can_connect(self, group: Group, member: str) -> bool:
        """Return whether a member answers; the primary does not."""
        return False


class _AgreedVote:
    """Vote in which every host has lost the primary."""

    def collect_reports(self, *question: Any) -> Any:
        """Return no report; the loss is decided."""
        return ()

    def is_lost(self, *question: Any, **details: Any) -> bool:
        """Return that the primary is lost."""
        return True

    def voters(self, group: Group) -> dict[str, str]:
        """Return the only voter that counts for the choice of a target."""
        return {HOSTS[0]: 'a'}


class _DirectPeers:
    """Connections between the hosts of a scenario."""

    def __init__(self) -> None:
        self.changers: dict[str, PrimaryChanger] = {}
        self.is_cut = False

    def call_host(self, host: str, message: Any, timeout_s: float) -> Any:
        """Deliver a notice, unless the hosts are cut off."""
        if self.is_cut:
            return Failed(PlatformDown())
        changer = self.changers[host]
        if isinstance(message, OrderNotice):
            return Success(changer.on_order_notice(message))
        return Success(changer.on_leader_notice(message))


class PrimaryOrderSteps:
    """Steps on two hosts that may both order a promotion."""

    @staticmethod
    @given('two hosts that have lost a primary and the service, {link}')
    def make_hosts(context: Any, link: str) -> None:
        """Create two hosts that share the view of one group."""
        context.world = _World()
        context.peers = _DirectPeers()
        context.groups = []
        context.peers.is_cut = 'lose' in link
        live = HOSTS[1:] if 'stopped' in link else HOSTS
        platform = FakePlatform(is_down=True)
        context.failovers = [
            PrimaryOrderSteps._make_host(context, name, live, platform)
            for name in HOSTS
        ]

    @staticmethod
    @given(
        'two hosts that have lost a primary, and a member that is cut off '
        'once it is promoted'
    )
    def make_claiming_hosts(context: Any) -> None:
        """Create two hosts that claim changes; no promoted member answers."""
        context.world = _World()
        context.peers = _DirectPeers()
        context.groups = []
        platform = FakePlatform()
        context.failovers = [
            PrimaryOrderSteps._make_host(context, name, HOSTS, platform)
            for name in HOSTS
        ]

    @staticmethod
    @when('both look for a primary for {duration_s:d} s')
    def search(context: Any, duration_s: int) -> None:
        """Let both hosts check the group, as their monitoring does."""
        context.world.promotion_s = float('inf')
        clock = context.world.time.clock
        end = clock.now() + duration_s

        def check_often(fail_over: Any) -> None:
            while clock.now() < end:
                fail_over()
                gevent.sleep(CHECK_INTERVAL_S)

        context.world.time.run(
            *(partial(check_often, f) for f in context.failovers)
        )

    @staticmethod
    @then('each host has ordered a promotion')
    def check_all_order(context: Any) -> None:
        """Check that no host waits for the other one for good."""
        ordering = {host for host, _ in context.world.orders}
        assert ordering == set(HOSTS), context.world.orders

    @staticmethod
    @then(
        'no host orders within {lease_s:d} s of its last order if another one '
        'has ordered since'
    )
    def check_turns(context: Any, lease_s: int) -> None:
        """Find orders of one host with another host's order between them."""
        orders = context.world.orders
        for number, (host, at) in enumerate(orders):
            later = [o for o in orders[number:] if o[1] < at + lease_s]
            names = [h for h, _ in later]
            other = next((i for i, h in enumerate(names) if h != host), None)
            assert other is None or host not in names[other:], later

    @staticmethod
    @when('both start a failover and a promotion takes {duration_ms:d} ms')
    def run_both(context: Any, duration_ms: int) -> None:
        """Run both failovers side by side in virtual time."""
        context.world.promotion_s = duration_ms / 1000
        context.began_at = context.world.time.clock.now()
        context.world.time.run(*context.failovers)

    @staticmethod
    @when('the other host starts a failover')
    def run_second(context: Any) -> None:
        """Run the failover of the second host in rank."""
        context.began_at = context.world.time.clock.now()
        context.world.time.run(context.failovers[1])

    @staticmethod
    @then('the first host in rank has ordered a promotion at once')
    def check_first(context: Any) -> None:
        """Check that nothing has delayed the host that acts first."""
        first = context.world.orders[0]
        assert first == (HOSTS[0], context.began_at), context.world.orders

    @staticmethod
    @then('the other host has ordered none')
    def check_single(context: Any) -> None:
        """Check that the first host's order is the only one."""
        ordering = [host for host, _ in context.world.orders]
        assert ordering == [HOSTS[0]], context.world.orders

    @staticmethod
    @then("the other host's requests wait for the change")
    def check_waiting(context: Any) -> None:
        """Check that the other host has not given up the change."""
        state = context.groups[1].state
        assert state.no_primary_change_until == float('-inf'), state

    @staticmethod
    @then('it has ordered a promotion after the delay of one rank')
    def check_second(context: Any) -> None:
        """Compare the time of the order in virtual time."""
        ((host, at),) = context.world.orders
        waited_s = RANK_DELAY_S + RANK_DELAY_NO_SERVICE_S
        assert host == HOSTS[1], host
        assert abs(at - context.began_at - waited_s) < 1e-6, at

    @staticmethod
    def _make_host(
        context: Any, name: str, live: Any, platform: FakePlatform
    ) -> Any:
        world, peers = context.world, context.peers
        group = Group('ledger')
        context.groups.append(group)
        group.state.update(
            MemberRecord(
                member, 'ledger', Endpoint('h', 1), 'a', is_primary, False
            )
            for member, is_primary in (('primary', True), ('replica', False))
        )
        group.state.members['primary'].on_unreachable(world.time.clock.now())
        claims = ClaimStore(name, platform, lambda: HOSTS, world.time.clock)
        leaders = LeaderRecorder(
            name,
            world,
            claims,
            peers,
            lambda: dict.fromkeys(HOSTS, 'a'),
            world.time.clock,
        )
        runner = PromotionRunner(
            name,
            world,
            claims,
            world,
            leaders,
            lambda: Lease(HOSTS.index(name) + 1, 30, 1),
            world.time.clock,
            DirectMetrics(),
        )
        changer = peers.changers[name] = PrimaryChanger(
            name,
            world,
            _AgreedVote(),
            claims,
            runner,
            leaders,
            CommitJudge(RosterStore(FakePlatform())),
            lambda: dict.fromkeys(HOSTS, 'a'),
            lambda: live,
            {'ledger': group},
            world.time.clock,
        )

        def on_change(entry: Any) -> None:
            claim = read_claim(entry).unwrap()
            if claims.record_claim(
                'ledger', claim, entry.mod_revision, entry.era
            ):
                changer.on_claim('ledger', claim)

        platform.watch(CLAIM_PREFIX, on_change, lambda failure: None)
        return lambda: changer.fail_over(group, 'primary')


class _CountingService:
    """Promotion service that accepts every order."""

    def __init__(self) -> None:
        self.count = 0

    def promote(self, *order: Any) -> Any:
        """Count an order."""
        self.count += 1
        return Success(None)


class RepeatedOrderSteps:
    """Steps on an order that its holder repeats."""

    @staticmethod
    @when('{wait_ms:d} ms pass and the second host {verb} round 2')
    def claim(context: Any, wait_ms: int, verb: str) -> None:
        """Let the second host claim; the first one does not hear of it."""
        context.claimed = context.first.find_round('ledger')
        context.clock.at += wait_ms / 1000
        if verb == 'claims':
            result = context.second.try_claim('ledger', 1, 'y')
            assert isinstance(result, Success), result

    @staticmethod
    @when('the first host repeats its order of round 1')
    def repeat(context: Any) -> None:
        """Confirm a primary by the round that the host holds."""
        context.service = _CountingService()
        context.writes = context.kv.calls['compare_and_swap']
        runner = PromotionRunner(
            HOSTS[0],
            None,
            context.first,
            context.service,
            None,
            lambda: Lease(1, 30, 1),
            context.clock,
            DirectMetrics(),
        )
        runner.confirm(Group('ledger'), 'x', context.claimed)

    @staticmethod
    @then(
        'the service has got {orders:d} orders after {writes:d} writes of a '
        'claim'
    )
    def check(context: Any, orders: int, writes: int) -> None:
        """Compare what the service has received."""
        written = context.kv.calls['compare_and_swap'] - context.writes
        assert (context.service.count, written) == (orders, writes), written
