"""Steps on the relief of an overloaded primary."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.asking import wait_until
from features.fakes.fake_entry_parts import FakeClock
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.lag_relief import choose_relief_target
from trefoilpulley_core.direct.lag_relief import needs_relief
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.position import Position
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.host_vote import HostVote

REFUSAL_GAP_S = 0.1
"""Time between two refusals of the replayed overload, in seconds."""

START = 100.0
"""Virtual time at which the scenarios begin, in seconds."""


def _status(text: str, is_primary: bool = False) -> LogStatus:
    term, _, index = text.partition('.')
    position = Position(int(term), int(index))
    return LogStatus(is_primary, position.term, position)


class ReliefDecisionSteps:
    """Steps on the decision, with a virtual clock."""

    @staticmethod
    @given('a group whose replicas refuse reads for a lag of {lag_ms:d} ms')
    def make(context: Any, lag_ms: int) -> None:
        """Create a group with the primary ``p``."""
        endpoint = Endpoint('127.0.0.1', 1)
        state = context.state = GroupState('ledger')
        state.update(
            MemberRecord(name, 'ledger', endpoint, 'a', name == 'p', False)
            for name in ('p', 'r', 's')
        )
        state.primary = 'p'
        context.lag_s = lag_ms / 1000
        context.now = START

    @staticmethod
    @when('the primary refuses work for {overload_ms:d} ms')
    def refuse(context: Any, overload_ms: int) -> None:
        """Replay refusals of the primary and of the replicas."""
        members = context.state.members
        end = context.now + overload_ms / 1000
        while context.now < end:
            members['p'].overload.on_refused(context.now)
            for name in ('r', 's'):
                members[name].on_floor_missing(context.lag_s, context.now)
            context.now += REFUSAL_GAP_S

    @staticmethod
    @when('no time passes')
    def do_nothing(context: Any) -> None:
        """Judge at once."""

    @staticmethod
    @when('{gap_ms:d} ms pass without a refusal')
    def wait(context: Any, gap_ms: int) -> None:
        """Let the overload end."""
        context.now += gap_ms / 1000

    @staticmethod
    @when('one replica holds the floors')
    def catch_up(context: Any) -> None:
        """Let one replica serve reads again."""
        context.state.members['s'].lag_s = 0.1

    @staticmethod
    @when('the replicas are unreachable')
    def lose_replicas(context: Any) -> None:
        """Let only the primary answer."""
        for name in ('r', 's'):
            context.state.members[name].on_unreachable(context.now)

    @staticmethod
    @when('the primary has led for {tenure:d} s')
    def shorten_tenure(context: Any, tenure: int) -> None:
        """Set how long the primary has led."""
        context.state.primary_since = context.now - tenure

    @staticmethod
    @when(
        'the primary is at {primary} and the replicas have received {r} '
        'and {s}'
    )
    def choose(context: Any, primary: str, r: str, s: str) -> None:
        """Choose the next primary by the positions of the members."""
        context.target = choose_relief_target(
            context.state,
            _status(primary, is_primary=True),
            {'r': _status(r), 's': _status(s)},
        )

    @staticmethod
    @when(
        'the primary has lost its lead and the replicas have received {text}'
    )
    def choose_without_lead(context: Any, text: str) -> None:
        """Choose while another member leads already."""
        context.target = choose_relief_target(
            context.state, _status(text), {'r': _status(text)}
        )

    @staticmethod
    @then('the primary is to be relieved')
    def check_relief(context: Any) -> None:
        """Check that another member should lead."""
        assert needs_relief(context.state, context.now)

    @staticmethod
    @then('the primary is kept')
    def check_kept(context: Any) -> None:
        """Check that no change of the primary is due."""
        assert not needs_relief(context.state, context.now)

    @staticmethod
    @then('"{member}" is to lead the group')
    def check_target(context: Any, member: str) -> None:
        """Check the chosen member."""
        assert context.target == member, context.target

    @staticmethod
    @then('no replica is to lead the group')
    def check_no_target(context: Any) -> None:
        """Check that no member was chosen."""
        assert context.target is None, context.target


class ReliefAttemptSteps:
    """Steps on the hosts that try to relieve a primary."""

    @staticmethod
    @given('{count:d} hosts in {zones:d} zones that see an overloaded primary')
    def make(context: Any, count: int, zones: int) -> None:
        """Create the vote of every host."""
        hosts = {f'h{i}': f'z{i % zones}' for i in range(count)}
        clock = FakeClock()
        context.votes = [
            HostVote(h, None, None, lambda: hosts, {}, clock) for h in hosts
        ]

    @staticmethod
    @then('{count:d} of the hosts may try to relieve the primary')
    def check(context: Any, count: int) -> None:
        """Count the hosts that act."""
        group = Group('ledger')
        found = sum(vote.is_voter(group) for vote in context.votes)
        assert found == count, found


class ReliefPathSteps:
    """Steps on a relief in an emulated deployment."""

    @staticmethod
    @given('a lag of {lag:d} s of every replica')
    def set_lag(context: Any, lag: int) -> None:
        """Let the replicas apply later records late."""
        group = context.deployment.group
        context.old_primary = group.primary.state.member
        for member, server in group.servers.items():
            if member != context.old_primary:
                server.state.lag_s = float(lag)

    @staticmethod
    @when('host {host:d} relieves the primary')
    def relieve(context: Any, host: int) -> None:
        """Carry out the handover of an overloaded primary."""
        proxy = context.deployment.hosts[host].proxy
        group = proxy.directory.groups[context.deployment.group.name]
        proxy.changer.relieve(group, context.old_primary)

    @staticmethod
    @when('the replicas receive nothing more')
    def cut_replicas(context: Any) -> None:
        """Let later commits reach no replica."""
        group = context.deployment.group
        for member, server in group.servers.items():
            if member != context.old_primary:
                server.state.held_term = server.state.term + 1

    @staticmethod
    @then('the primary still leads')
    def check_primary_kept(context: Any) -> None:
        """Check that the lead has not moved."""
        found = context.deployment.group.primary.state.member
        assert found == context.old_primary, found

    @staticmethod
    @then('the old primary is a replica that has applied every commit')
    def check_old_primary(context: Any) -> None:
        """Check the role and the log of the old primary."""
        group = context.deployment.group
        assert group.primary.state.member != context.old_primary
        assert not group.log.rolled_back
        old = group.servers[context.old_primary].state
        wait_until(lambda: old.applied_count() == len(old.log))
