"""Steps for logs that have left the log of their group."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Success

from features.fakes.asking import execute_once
from features.fakes.asking import wait_until
from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_platform import FakePlatform
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.failover import Claim
from trefoilpulley_core.direct.failover import LeaderNotice
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.lag_relief import choose_relief_target
from trefoilpulley_core.direct.target_choice import choose_staying_target
from trefoilpulley_core.direct.target_choice import choose_target
from trefoilpulley_core.direct.target_choice import has_caught_up
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.platform import Lease
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart
from trefoilpulley_node.direct.claim_store import claim_key
from trefoilpulley_node.direct.claim_store import ClaimStore
from trefoilpulley_node.direct.claim_store import read_claim
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import Group
from trefoilpulley_node.direct.leader_recorder import LeaderRecorder
from trefoilpulley_node.direct.primary_changer import PrimaryChanger
from trefoilpulley_node.direct.promotion_runner import PromotionRunner

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_emulator.member_server import MemberServer

FORK = LogStatus(False, 1, Position(1, 182))
"""Log of a former primary whose successor began at index 124."""

TERM_START = TermStart(2, 124)
"""Start of the successor's term."""

DECISION_TIME_S = 2.0
"""Time in which a failover would be decided several times, in seconds."""


def _position(text: str) -> Position:
    if text == '-':
        return BEGINNING
    term, _, index = text.partition('.')
    return Position(int(term), int(index))


def _make_group(members: Iterable[str]) -> GroupState:
    state = GroupState('ledger')
    state.update(
        MemberRecord(m, 'ledger', Endpoint('h', 1), 'a', m == 'p', False)
        for m in members
    )
    return state


class ForkedDeploymentSteps:
    """Steps on a former primary of an emulated deployment."""

    @staticmethod
    @when('all members have 3 commits')
    def commit(context: Any) -> None:
        """Make commits that every replica receives."""
        for number in range(3):
            text = f'WRITE k all.{number}'
            answer = execute_once(context, 'orders', 0, text)
            assert answer.code == 'DONE', answer

    @staticmethod
    @when('the primary makes 5 commits that no replica receives, and crashes')
    def fork_primary(context: Any) -> None:
        """Crash the primary with commits of its own."""
        context.former = ForkedDeploymentSteps._crash_with_commits(context, 5)
        context.former_commits = context.former.state.log[-5:]

    @staticmethod
    @when('its successor makes 1 commit that no replica receives, and crashes')
    def crash_successor(context: Any) -> None:
        """Crash the next primary with a commit of its own."""
        ForkedDeploymentSteps._wait_lead(context)
        context.successor = ForkedDeploymentSteps._crash_with_commits(
            context, 1
        )

    @staticmethod
    @when('the third member starts anew with an empty log')
    def empty_third(context: Any) -> None:
        """Remove the log of the member that has never led."""
        for server in context.deployment.group.servers.values():
            if server.state.is_running:
                server.state.log.clear()
                server.state.max_applied = 0

    @staticmethod
    @when('the former primary comes back with its log')
    def bring_back(context: Any) -> None:
        """Start the former primary, which finds no primary to follow."""
        context.former.start()
        context.deployment.group.publish_member(context.former.state.member)

    @staticmethod
    @then(
        'the third member is promoted without the commits of the former '
        'primary'
    )
    def check_third_promoted(context: Any) -> None:
        """Wait for a primary, which must not hold the forked commits."""
        ForkedDeploymentSteps._wait_lead(context)
        primary = context.deployment.group.primary
        assert primary not in (context.former, context.successor), primary
        kept = [r for r in context.former_commits if r in primary.state.log]
        assert not kept, kept

    @staticmethod
    @then(
        'no member is promoted until the successor comes back and leads again'
    )
    def check_none_promoted(context: Any) -> None:
        """Let time pass for several decisions, then end the wait."""
        promotions = context.deployment.promotion_server.requests
        count = len(promotions)
        gevent.sleep(DECISION_TIME_S)
        assert len(promotions) == count, promotions
        context.successor.start()
        context.deployment.group.publish_member(context.successor.state.member)
        ForkedDeploymentSteps._wait_lead(context)
        assert context.deployment.group.primary is context.successor
        assert len(promotions) == count, promotions

    @staticmethod
    def _crash_with_commits(context: Any, count: int) -> MemberServer:
        group = context.deployment.group
        server = group.primary
        for other in group.servers.values():
            other.state.held_term = other.state.term + 1
        for number in range(count):
            text = f'WRITE k {server.state.member}.{number}'
            wait_until(
                lambda text=text: (
                    execute_once(context, 'orders', 0, text).code == 'DONE'
                )
            )
        group.crash(server.state.member)
        return server

    @staticmethod
    def _wait_lead(context: Any) -> None:
        """Wait until a running member leads and a host has its proof."""
        group = context.deployment.group
        wait_until(lambda: group.primary.state.is_running)
        wait_until(
            lambda: (
                execute_once(context, 'filings', 0, 'READ k').code == 'DONE'
            )
        )


class LineageDecisionSteps:
    """Steps on the choice of a primary by the members' logs."""

    @staticmethod
    @given('a group whose primary has led {leads}')
    def make_group(context: Any, leads: str) -> None:
        """Create a group with proofs, or statuses, of its primaries."""
        context.state = _make_group('pxy')
        for lead in leads.split(', '):
            term, _, received = lead.partition(' from ')
            if received:
                status = LogStatus(True, int(term), _position(received))
                context.state.lineage.on_status(status)
            else:
                context.state.on_leadership_proof('p', 1.0, _position(lead))

    @staticmethod
    @given('a group whose primary leads term 2 and has received {received}')
    def make_led_group(context: Any, received: str) -> None:
        """Create a group with the status of its primary."""
        context.state = _make_group('pxy')
        context.primary = LogStatus(True, 2, _position(received))
        context.state.lineage.on_status(context.primary)

    @staticmethod
    @when('members report the logs {logs}')
    def report(context: Any, logs: str) -> None:
        """Set the statuses that the members report."""
        pairs = (log.split('=') for log in logs.split())
        context.statuses = {
            member: LogStatus(False, 1, _position(position))
            for member, position in pairs
        }
        for status in context.statuses.values():
            context.state.lineage.on_status(status)

    @staticmethod
    @then('the failover chooses "{member}"')
    def check_target(context: Any, member: str) -> None:
        """Compare the member to promote."""
        found = choose_target(context.state, context.statuses)
        assert (found or 'none') == member, found

    @staticmethod
    @then('the handover chooses "{member}" and the relief "{relieving}"')
    def check_planned(context: Any, member: str, relieving: str) -> None:
        """Compare the targets of both planned changes."""
        found = choose_staying_target(context.state, context.statuses)
        assert (found or 'none') == member, found
        found = choose_relief_target(
            context.state, context.primary, context.statuses
        )
        assert (found or 'none') == relieving, found

    @staticmethod
    @then('the replicas that have caught up are "{members}"')
    def check_caught_up(context: Any, members: str) -> None:
        """Compare the members that hold the log of the demoted primary."""
        found = [
            member
            for member, status in context.statuses.items()
            if has_caught_up(context.state, status, context.primary)
        ]
        assert found == members.split(), found

    @staticmethod
    @then('the replicas that have caught up are ""')
    def check_none_caught_up(context: Any) -> None:
        """Check that no member holds the log of the demoted primary."""
        LineageDecisionSteps.check_caught_up(context, '')


class _PromotedMember:
    """Member that leads, as its prober finds it, and its platform."""

    def __init__(self, status: LogStatus) -> None:
        self.status = status

    def promote(self, *order: Any) -> Any:
        """Accept an order."""
        return Success(None)

    def verify_leader(self, group: Group, member: str) -> bool:
        """Return that the member leads."""
        return True

    def read_status(self, group: Group, member: str) -> LogStatus:
        """Return the status of the member."""
        return self.status


class TermStartSteps:
    """Steps for the start of a term that a promotion begins."""

    @staticmethod
    @given('a host that promotes a member which had received {received}')
    def note_received(context: Any, received: str) -> None:
        """Note the log of the member before its promotion."""
        context.received = _position(received)

    @staticmethod
    @when('the member leads term {term:d} and has received {received}')
    def promote(context: Any, term: int, received: str) -> None:
        """Promote the member."""
        clock = FakeClock()
        status = LogStatus(True, term, _position(received))
        member = _PromotedMember(status)
        context.claims = ClaimStore('h', FakePlatform(), list, clock)
        runner = PromotionRunner(
            'h',
            member,
            context.claims,
            member,
            LeaderRecorder('h', member, context.claims, None, dict, clock),
            lambda: Lease(1, 30, 1),
            clock,
            DirectMetrics(),
        )
        group = Group('ledger')
        claimed = context.claims.try_claim('ledger', 0, 'y').unwrap()
        runner.promote(group, 'y', claimed, None, received=context.received)

    @staticmethod
    @then('the host knows that term {term:d} began at {index:d}')
    def check_start(context: Any, term: int, index: int) -> None:
        """Compare the start that the host publishes."""
        starts = context.claims.term_starts('ledger')
        assert TermStart(term, index) in starts, starts


class LineageClaimSteps:
    """Steps on starts of terms in claims and notices."""

    @staticmethod
    @when('the first host publishes that term 2 began at 124')
    def publish(context: Any) -> None:
        """Write the start to the claim; let the second host follow."""
        context.first.publish_term_starts('ledger', [TERM_START])
        context.first.publish()
        entry = context.kv.get(claim_key('ledger')).unwrap()
        claim = read_claim(entry).unwrap()
        is_announced = context.second.record_claim(
            'ledger', claim, entry.mod_revision, entry.era
        )
        assert not is_announced

    @staticmethod
    @when(
        'the service is unavailable and a notice tells that term 2 began at '
        '124'
    )
    def notify(context: Any) -> None:
        """Hand the notice to the second host."""
        changer = PrimaryChanger(
            'h',
            None,
            None,
            context.second,
            None,
            None,
            None,
            dict,
            list,
            {},
            None,
        )
        changer.on_leader_notice(LeaderNotice('ledger', 'y', 1, (TERM_START,)))

    @staticmethod
    @then('a host that has started since does not choose a log to 1.182')
    def check_newcomer(context: Any) -> None:
        """Read the claim as a new host, and choose between two logs."""
        entry = context.kv.get(claim_key('ledger')).unwrap()
        newcomer = ClaimStore('new', context.kv, list, context.clock)
        newcomer.record_claim(
            'ledger', read_claim(entry).unwrap(), entry.mod_revision, entry.era
        )
        state = _make_group('xy')
        state.lineage.merge(newcomer.term_starts('ledger'))
        statuses = {'x': FORK, 'y': LogStatus(False, 1, Position(1, 123))}
        assert choose_target(state, statuses) == 'y'

    @staticmethod
    @then('the second host passes the start on with its next claim')
    def check_next_claim(context: Any) -> None:
        """Claim the next round and read the claim back."""
        context.second.try_claim('ledger', 1, 'y').unwrap()
        entry = context.kv.get(claim_key('ledger')).unwrap()
        claim = read_claim(entry).unwrap()
        assert claim == Claim(claim.holder, 2, 'y'), claim
        assert claim.term_starts == (TERM_START,), json.loads(entry.value)
