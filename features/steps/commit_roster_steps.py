"""Steps for the members that count for the completeness of logs."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from features.fakes.fake_platform import FakePlatform
from features.fakes.rosters import join_names
from features.fakes.rosters import make_record
from features.fakes.rosters import make_records
from features.fakes.rosters import make_roster
from features.fakes.rosters import parse_position
from features.fakes.rosters import read_service
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.target_choice import choose_target
from trefoilpulley_core.direct.target_choice import judge_logs
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart
from trefoilpulley_node.direct.roster_store import read_roster
from trefoilpulley_node.direct.roster_store import RosterStore


class JudgementSteps:
    """Steps on the judgement of logs."""

    @staticmethod
    @given('a roster of {members} with the floor {floor}')
    def set_roster(context: Any, members: str, floor: str) -> None:
        """Make a roster and a group without members."""
        context.roster = make_roster(members, floor)
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
        context.state.update(make_records(members))

    @staticmethod
    @when('the logs {logs} are judged with {count:d} synchronous replica')
    @when('the logs {logs} are judged with {count:d} synchronous replicas')
    def judge(context: Any, logs: str, count: int) -> None:
        """Judge the logs of the members that answer."""
        pairs = (text.split('=') for text in logs.split())
        statuses = {
            m: LogStatus(False, 1, parse_position(p)) for m, p in pairs
        }
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
        others = [r for r in make_records('a b c') if r.member != member]
        if 'announces' in ends:
            leaving = make_record(member, is_leaving=True)
            context.roster = context.roster.with_listed([*others, leaving])
            if 'stays' in ends:
                others.append(leaving)
        port = ord(member) if address == 'its address' else None
        others.append(make_record(successor, port))
        context.roster = context.roster.with_listed(others)

    @staticmethod
    @then('the roster has the members {members}')
    def check_members(context: Any, members: str) -> None:
        """Compare the members."""
        assert join_names(context.roster) == members, context.roster


class RosterStoreSteps:
    """Steps on `RosterStore`."""

    @staticmethod
    @given('two hosts with the roster {members} in the service')
    def make_stores(context: Any, members: str) -> None:
        """Write the roster with one host and read it with another."""
        context.kv = FakePlatform()
        context.first = RosterStore(context.kv)
        context.second = RosterStore(context.kv)
        context.first.add_listed('ledger', make_records(members))
        context.first.publish('ledger', make_roster(members)).unwrap()
        read_service(context, context.second)

    @staticmethod
    @when('a host that has started since sees "{member}" listed alone')
    def start_newcomer(context: Any, member: str) -> None:
        """Read the service as a new host."""
        context.found = RosterStore(context.kv)
        read_service(context, context.found)
        context.found.add_listed('ledger', make_records(member))

    @staticmethod
    @then('the new host counts {members}')
    def check_newcomer(context: Any, members: str) -> None:
        """Compare the roster in force."""
        found = context.found.find('ledger').in_force
        assert join_names(found) == members, found

    @staticmethod
    @when('the first host writes that "{member}" no longer counts')
    def write_settled(context: Any, member: str) -> None:
        """Write the roster without a member."""
        roster = context.first.find('ledger').in_force
        listed = make_records('a b')
        settled = roster.settle([member], listed, Position(1, 9))
        context.first.publish('ledger', settled).unwrap()

    @staticmethod
    @when('the second host sees "{member}" listed and writes before it knows')
    def write_late(context: Any, member: str) -> None:
        """Write a roster that follows an outdated one."""
        roster = context.second.add_listed('ledger', make_records(member))
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
        read_service(context, context.second)
        found = context.second.find('ledger').in_force
        assert join_names(found) == members, found

    @staticmethod
    @when(
        'the service comes back with the roster {members} of an earlier time'
    )
    def restore_older(context: Any, members: str) -> None:
        """Let the first host read an older roster in a new era."""
        roster = make_roster(members)
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
        roster = make_roster(members, version=version)
        context.first.add_reported('ledger', roster)

    @staticmethod
    @then('the first host counts {members}')
    def check_first(context: Any, members: str) -> None:
        """Compare the roster in force."""
        found = context.first.find('ledger').in_force
        assert join_names(found) == members, found

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
