"""Steps for the members that count for the completeness of logs."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from features.fakes.fake_platform import FakePlatform
from features.fakes.virtual_time import VirtualTime
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commit_roster import CommitRoster
from trefoilpulley_core.direct.commit_roster import RosterMember
from trefoilpulley_core.direct.failover import has_loss_quorum
from trefoilpulley_core.direct.failover import ReachReport
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.routes import GroupLimits
from trefoilpulley_core.direct.target_choice import choose_target
from trefoilpulley_core.direct.target_choice import judge_logs
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart
from trefoilpulley_node.direct.claim_store import ClaimStore
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.primary_changer import PrimaryChanger
from trefoilpulley_node.direct.roster_keeper import RosterKeeper
from trefoilpulley_node.direct.roster_store import read_roster
from trefoilpulley_node.direct.roster_store import roster_key
from trefoilpulley_node.direct.roster_store import RosterStore

HOSTS = {'h1': 'x', 'h2': 'y', 'h3': 'z'}
"""Availability zones of the hosts."""

CHECK_INTERVAL_S = 0.25
"""Time between two checks of a group, in seconds."""

SOME_CHECKS = 20


def _position(text: str) -> Position:
    if text == '-':
        return BEGINNING
    term, _, index = text.partition('.')
    return Position(int(term), int(index))


def _record(
    name: str, port: int | None = None, is_leaving: bool = False
) -> MemberRecord:
    """Return the entry of a member; a star marks a second start."""
    member = name.rstrip('*')
    return MemberRecord(
        member,
        'ledger',
        Endpoint('h', port or ord(member)),
        'zone',
        member == 'a',
        is_leaving,
        incarnation=2 if name.endswith('*') else 1,
    )


def _records(text: str) -> tuple[MemberRecord, ...]:
    return tuple(_record(name) for name in text.split())


def _roster(text: str, floor: str = '-', version: int = 0) -> CommitRoster:
    members = tuple(
        RosterMember(r.member, r.endpoint, r.incarnation)
        for r in _records(text)
    )
    return CommitRoster(members, _position(floor), version)


def _names(roster: CommitRoster) -> str:
    return ' '.join(roster.names)


class JudgementSteps:
    """Steps on the judgement of logs."""

    @staticmethod
    @given('a roster of {members} with the floor {floor}')
    def make_roster(context: Any, members: str, floor: str) -> None:
        """Make a roster and a group without members."""
        context.roster = _roster(members, floor)
        context.state = GroupState('ledger')

    @staticmethod
    @given('a group whose term 2 began at 6')
    def record_start(context: Any) -> None:
        """Record the start of the term."""
        context.state.lineage.record(TermStart(2, 6))

    @staticmethod
    @given('members that are listed: {members}')
    def list_members(context: Any, members: str) -> None:
        """Set the group's entries."""
        context.state.update(_records(members))

    @staticmethod
    @when('the logs {logs} are judged with {count:d} synchronous replica')
    @when('the logs {logs} are judged with {count:d} synchronous replicas')
    def judge(context: Any, logs: str, count: int) -> None:
        """Judge the logs of the members that answer."""
        pairs = (text.split('=') for text in logs.split())
        statuses = {m: LogStatus(False, 1, _position(p)) for m, p in pairs}
        context.judgement = judge_logs(
            context.roster,
            context.state,
            statuses,
            choose_target(context.state, statuses),
            count,
        )

    @staticmethod
    @then('the logs are {verdict} and "{missed}" are missed')
    @then('the logs are {verdict} and "" are missed')
    def check_judgement(context: Any, verdict: str, missed: str = '') -> None:
        """Compare the verdict."""
        found = context.judgement
        assert found.is_complete == (verdict == 'complete'), found
        assert ' '.join(found.missed) == missed, found

    @staticmethod
    @when('"{member}" {ends} and "{successor}" is listed at {address}')
    def succeed(
        context: Any, member: str, ends: str, successor: str, address: str
    ) -> None:
        """List a member's end and another member."""
        others = [r for r in _records('a b c') if r.member != member]
        if 'announces' in ends:
            leaving = _record(member, is_leaving=True)
            context.roster = context.roster.with_listed([*others, leaving])
            if 'stays' in ends:
                others.append(leaving)
        port = ord(member) if address == 'its address' else None
        others.append(_record(successor, port))
        context.roster = context.roster.with_listed(others)

    @staticmethod
    @then('the roster has the members {members}')
    def check_members(context: Any, members: str) -> None:
        """Compare the members."""
        assert _names(context.roster) == members, context.roster


class RosterStoreSteps:
    """Steps on `RosterStore`."""

    @staticmethod
    @given('two hosts with the roster {members} in the service')
    def make_stores(context: Any, members: str) -> None:
        """Write the roster with one host and read it with another."""
        context.kv = FakePlatform()
        context.first = RosterStore(context.kv)
        context.second = RosterStore(context.kv)
        context.first.add_listed('ledger', _records(members))
        context.first.publish('ledger', _roster(members)).unwrap()
        _read(context, context.second)

    @staticmethod
    @when('a host that has started since sees "{member}" listed alone')
    def start_newcomer(context: Any, member: str) -> None:
        """Read the service as a new host."""
        context.found = RosterStore(context.kv)
        _read(context, context.found)
        context.found.add_listed('ledger', _records(member))

    @staticmethod
    @then('the new host counts {members}')
    def check_newcomer(context: Any, members: str) -> None:
        """Compare the roster in force."""
        found = context.found.find('ledger').in_force
        assert _names(found) == members, found

    @staticmethod
    @when('the first host writes that "{member}" no longer counts')
    def write_settled(context: Any, member: str) -> None:
        """Write the roster without a member."""
        roster = context.first.find('ledger').in_force
        listed = _records('a b')
        settled = roster.settle([member], listed, Position(1, 9))
        context.first.publish('ledger', settled).unwrap()

    @staticmethod
    @when('the second host sees "{member}" listed and writes before it knows')
    def write_late(context: Any, member: str) -> None:
        """Write a roster that follows an outdated one."""
        roster = context.second.add_listed('ledger', _records(member))
        context.result = context.second.publish('ledger', roster)

    @staticmethod
    @then("the second host's write is refused")
    def check_refused(context: Any) -> None:
        """Check that the write had no effect."""
        assert isinstance(context.result.failure(), RevisionConflict)

    @staticmethod
    @then('the second host counts {members} after it has read the service')
    def check_second(context: Any, members: str) -> None:
        """Compare the roster after the newer one was read."""
        _read(context, context.second)
        found = context.second.find('ledger').in_force
        assert _names(found) == members, found

    @staticmethod
    @when(
        'the service comes back with the roster {members} of an earlier time'
    )
    def restore_older(context: Any, members: str) -> None:
        """Let the first host read an older roster in a new era."""
        roster = _roster(members)
        context.first.record('ledger', roster, 1, era=7)
        context.first.begin_era(7)
        context.era = 7

    @staticmethod
    @when('the service comes back without the roster')
    def restore_empty(context: Any) -> None:
        """Let the first host read a service without the key."""
        context.kv.values.clear()
        context.first.begin_era(7)
        context.era = 7

    @staticmethod
    @when('a voter reports the roster {members} with version {version:d}')
    def report(context: Any, members: str, version: int) -> None:
        """Learn of a voter's roster."""
        roster = _roster(members, version=version)
        context.first.add_reported('ledger', roster)

    @staticmethod
    @then('the first host counts {members}')
    def check_first(context: Any, members: str) -> None:
        """Compare the roster in force."""
        found = context.first.find('ledger').in_force
        assert _names(found) == members, found

    @staticmethod
    @then('it writes them to the service')
    def check_written_again(context: Any) -> None:
        """Check that what the service lacks is due to be written."""
        known = context.first.find('ledger')
        assert known.in_force != known.stored, known
        assert known.era == context.era, known
        assert known.in_force.version > known.stored.version, known

    @staticmethod
    @when('a roster "{value}" is read')
    def read(context: Any, value: str) -> None:
        """Decode a value."""
        context.result = read_roster(KeyValue('k', value.encode(), 1))

    @staticmethod
    @then('it is malformed')
    def check_malformed(context: Any) -> None:
        """Check that the value was refused."""
        assert not isinstance(context.result, Success), context.result


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
        context.world.position = _position(position)
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
        state.update([*others, _record(f'{member}*')])

    @staticmethod
    @when('the primary "a" is back at {position}')
    def bring_back(context: Any, position: str) -> None:
        """Let the primary answer."""
        context.world.is_answering = True
        context.world.position = _position(position)

    @staticmethod
    @when('{count:d} checks are made')
    def check(context: Any, count: int) -> None:
        """Check the group repeatedly in virtual time."""
        for _ in range(count):
            context.time.do(lambda: context.keeper.check([context.group]))
            context.time.run_for(CHECK_INTERVAL_S)
            _read(context, context.rosters)

    @staticmethod
    @then(
        'after some checks the service has the roster {members} with {floor}'
    )
    def check_stored(context: Any, members: str, floor: str) -> None:
        """Compare the stored roster."""
        RosterKeeperSteps.check(context, SOME_CHECKS)
        roster = read_roster(context.kv.values[KEY]).unwrap()
        assert _names(roster) == members, roster
        assert roster.floor == _position(floor), roster

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
        context.group.state.update(_records(members))


class MajoritySteps:
    """Steps on the members of which a majority has to answer."""

    @staticmethod
    @given('a host that has lost the primary "a" of the members {members}')
    def lose_primary(context: Any, members: str) -> None:
        """Make a group whose members are in their grace period."""
        context.kv = FakePlatform()
        context.rosters = RosterStore(context.kv)
        context.group = Group('ledger')
        context.group.state.update(_records(members), unlisted=['a', 'd'])

    @staticmethod
    @given(
        'the service has the roster {members}, and the entries of a and d are '
        'gone'
    )
    def store_roster(context: Any, members: str) -> None:
        """Write the roster."""
        context.rosters.publish('ledger', _roster(members)).unwrap()

    @staticmethod
    @when(
        'the logs {logs} answer a failover of a group with {count:d} '
        'synchronous replicas'
    )
    def fail_over(context: Any, logs: str, count: int) -> None:
        """Fail over with a vote that has lost the primary."""
        pairs = (text.split('=') for text in logs.split())
        world = context.world = _FailoverWorld(
            {m: LogStatus(False, 1, _position(p)) for m, p in pairs}
        )
        context.group.limits = GroupLimits(16, count)
        clock = VirtualTime().clock
        changer = PrimaryChanger(
            'h1',
            world,
            world,
            ClaimStore('h1', context.kv, lambda: HOSTS, clock),
            world,
            context.rosters,
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


KEY = roster_key('ledger')


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

    def promote(self, *order: Any, **details: Any) -> None:
        self.order_count += 1


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


def _read(context: Any, rosters: RosterStore) -> None:
    """Let a host read the roster of the service."""
    entry = context.kv.values.get(KEY)
    if entry is not None:
        roster = read_roster(entry).unwrap()
        rosters.record('ledger', roster, entry.mod_revision, entry.era)
