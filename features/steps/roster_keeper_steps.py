"""Steps for the host that keeps a roster, and for failovers by it."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.fake_platform import FakePlatform
from features.fakes.rosters import HOSTS
from features.fakes.rosters import join_names
from features.fakes.rosters import KEY
from features.fakes.rosters import make_record
from features.fakes.rosters import make_records
from features.fakes.rosters import make_roster
from features.fakes.rosters import parse_position
from features.fakes.rosters import read_service
from features.fakes.virtual_time import VirtualTime
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.failover import has_loss_quorum
from trefoilpulley_core.direct.failover import ReachReport
from trefoilpulley_core.direct.routes import GroupLimits
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_node.direct.claim_store import ClaimStore
from trefoilpulley_node.direct.commit_judge import CommitJudge
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.primary_changer import PrimaryChanger
from trefoilpulley_node.direct.roster_keeper import RosterKeeper
from trefoilpulley_node.direct.roster_store import read_roster
from trefoilpulley_node.direct.roster_store import RosterStore

CHECK_INTERVAL_S = 0.25
"""Time between two checks of a group, in seconds."""

SOME_CHECKS = 20


class RosterKeeperSteps:
    """Steps on `RosterKeeper`."""

    @staticmethod
    @given(
        'a host that watches the members {members} with the primary "a" at '
        '{position}'
    )
    def start_keeper(context: Any, members: str, position: str) -> None:
        """Watch a group whose roster has been written at 1.1."""
        RosterKeeperSteps._make(context, members)
        context.world.position = Position(1, 1)
        RosterKeeperSteps.check(context, SOME_CHECKS)
        context.world.position = parse_position(position)
        context.writes_before = context.kv.calls['compare_and_swap']

    @staticmethod
    @given('a host that watches the members {members} without a primary')
    def start_without_primary(context: Any, members: str) -> None:
        """Watch a group whose primary does not answer."""
        RosterKeeperSteps._make(context, members)
        context.world.is_answering = False

    @staticmethod
    @given('the group has no synchronous replicas')
    def make_asynchronous(context: Any) -> None:
        """Change the configuration."""
        context.group.limits = GroupLimits(16, 0)

    @staticmethod
    @when('the entry of "{member}" is gone and {situation}')
    def lose(context: Any, member: str, situation: str) -> None:
        """Remove an entry."""
        world, state = context.world, context.group.state
        world.is_reached_here = situation == 'this host reaches it'
        world.is_reached_there = situation == 'the other voters reach it'
        world.is_answering = situation != 'the primary does not answer'
        world.is_leading = situation != 'the primary leads no more'
        world.is_replicating = 'no replica' not in situation
        state.update(
            [h.record for h in state.members.values()], unlisted=[member]
        )

    @staticmethod
    @when('"{member}" is started again')
    def restart(context: Any, member: str) -> None:
        """Change the start time in the entry of a member."""
        state = context.group.state
        others = [h.record for m, h in state.members.items() if m != member]
        state.update([*others, make_record(f'{member}*')])

    @staticmethod
    @when('the primary "a" is back at {position}')
    def bring_back(context: Any, position: str) -> None:
        """Let the primary answer."""
        context.world.is_answering = True
        context.world.position = parse_position(position)

    @staticmethod
    @when('{count:d} checks are made')
    def check(context: Any, count: int) -> None:
        """Check the group repeatedly in virtual time."""
        for _ in range(count):
            context.time.do(lambda: context.keeper.check([context.group]))
            context.time.run_for(CHECK_INTERVAL_S)
            read_service(context, context.rosters)

    @staticmethod
    @then(
        'after some checks the service has the roster {members} with {floor}'
    )
    def check_stored(context: Any, members: str, floor: str) -> None:
        """Compare the stored roster."""
        RosterKeeperSteps.check(context, SOME_CHECKS)
        roster = read_roster(context.kv.values[KEY]).unwrap()
        assert join_names(roster) == members, roster
        assert roster.floor == parse_position(floor), roster

    @staticmethod
    @then('after some checks the service has no roster')
    def check_none(context: Any) -> None:
        """Check that nothing was written."""
        RosterKeeperSteps.check(context, SOME_CHECKS)
        assert KEY not in context.kv.values

    @staticmethod
    @then('the host has nothing left to write')
    def check_settled(context: Any) -> None:
        """Check that further checks make no call."""
        before = context.kv.calls['compare_and_swap']
        RosterKeeperSteps.check(context, SOME_CHECKS)
        assert context.kv.calls['compare_and_swap'] == before

    @staticmethod
    @then('the host has written {count:d} time')
    @then('the host has written {count:d} times')
    def check_writes(context: Any, count: int) -> None:
        """Compare the number of writes since the first roster."""
        writes = context.kv.calls['compare_and_swap'] - context.writes_before
        assert writes == count, context.kv.calls

    @staticmethod
    def _make(context: Any, members: str) -> None:
        context.time = VirtualTime()
        context.kv = FakePlatform()
        context.world = _World()
        context.rosters = RosterStore(context.kv)
        context.keeper = RosterKeeper(
            'h1',
            context.rosters,
            context.world,
            context.world,
            lambda: HOSTS,
            context.time.clock,
        )
        context.group = Group('ledger')
        context.group.limits = GroupLimits(16, 1)
        context.group.state.update(make_records(members))


class MajoritySteps:
    """Steps on the members of which a majority has to answer."""

    @staticmethod
    @given('a host that has lost the primary "a" of the members {members}')
    def lose_primary(context: Any, members: str) -> None:
        """Make a group whose members are in their grace period."""
        context.kv = FakePlatform()
        context.rosters = RosterStore(context.kv)
        context.group = Group('ledger')
        context.group.state.update(make_records(members), unlisted=['a', 'd'])

    @staticmethod
    @given(
        'the service has the roster {members}, and the entries of a and d are '
        'gone'
    )
    def store_roster(context: Any, members: str) -> None:
        """Write the roster."""
        context.rosters.publish('ledger', make_roster(members)).unwrap()

    @staticmethod
    @when(
        'the logs {logs} answer a failover of a group with {count:d} '
        'synchronous replicas'
    )
    def fail_over(context: Any, logs: str, count: int) -> None:
        """Fail over with a vote that has lost the primary."""
        pairs = (text.split('=') for text in logs.split())
        world = context.world = _FailoverWorld(
            {m: LogStatus(False, 1, parse_position(p)) for m, p in pairs}
        )
        context.group.limits = GroupLimits(16, count)
        clock = VirtualTime().clock
        changer = PrimaryChanger(
            'h1',
            world,
            world,
            ClaimStore('h1', context.kv, lambda: HOSTS, clock),
            world,
            None,
            CommitJudge(context.rosters),
            lambda: HOSTS,
            lambda: HOSTS,
            {'ledger': context.group},
            clock,
        )
        changer.fail_over(context.group, 'a')

    @staticmethod
    @then('{count:d} promotion is ordered')
    def check_orders(context: Any, count: int) -> None:
        """Count the orders."""
        assert context.world.order_count == count, context.world.order_count


class _FailoverWorld:
    """Members, voters and promotions of a lost primary."""

    def __init__(self, statuses: dict[str, LogStatus]) -> None:
        self.order_count = 0
        self._statuses = statuses

    def collect_reports(self, *question: Any) -> tuple[ReachReport, ...]:
        return ()

    def is_lost(self, *question: Any) -> bool:
        return True

    def voters(self, group: Group) -> dict[str, str]:
        return HOSTS

    def read_statuses(
        self, group: Group, members: tuple[str, ...]
    ) -> dict[str, LogStatus]:
        return self._statuses

    def pause_replication(
        self, group: Group, statuses: dict[str, LogStatus]
    ) -> dict[str, LogStatus]:
        return statuses

    def verify_leader(self, group: Group, member: str) -> bool:
        return False

    def promote(self, *order: Any, **details: Any) -> bool:
        self.order_count += 1
        return True


class _World:
    """Members and voters as a host sees them."""

    def __init__(self) -> None:
        self.position = BEGINNING
        self.is_answering = self.is_leading = self.is_replicating = True
        self.is_reached_here = self.is_reached_there = False

    def can_connect(
        self, group: Group, member: str, endpoint: Endpoint
    ) -> bool:
        return self.is_reached_here

    def collect_reports(
        self, group: Group, member: str, endpoint: Endpoint
    ) -> tuple[ReachReport, ...]:
        return tuple(
            ReachReport(h, self.is_reached_there) for h in ('h2', 'h3')
        )

    def is_lost(
        self,
        group: Group,
        member: str,
        reports: tuple[ReachReport, ...],
        is_service_available: bool,
    ) -> bool:
        return has_loss_quorum(reports, HOSTS, 'zone', is_service_available)

    def verify_leader(self, group: Group, member: str) -> bool:
        return self.is_answering and self.is_leading

    def read_status(self, group: Group, member: str) -> LogStatus | None:
        if not self.is_answering:
            return None
        return LogStatus(self.is_leading, 1, self.position)

    def read_statuses(
        self, group: Group, members: tuple[str, ...]
    ) -> dict[str, LogStatus]:
        position = self.position if self.is_replicating else Position(1, 1)
        return {m: LogStatus(False, 1, position) for m in members}
