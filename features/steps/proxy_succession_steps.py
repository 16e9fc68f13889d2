"""Steps on who changes a primary."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from fakes.fake_platform import FakePlatform
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_core.position import Position
from trefoilpulley_core.proxy.group_state import GroupState
from trefoilpulley_core.proxy.group_state import MemberRecord
from trefoilpulley_core.proxy.succession import can_choose_target
from trefoilpulley_core.proxy.succession import choose_target
from trefoilpulley_core.proxy.succession import Claim
from trefoilpulley_core.proxy.succession import fencing_token
from trefoilpulley_core.proxy.succession import has_every_commit
from trefoilpulley_core.proxy.succession import has_loss_quorum
from trefoilpulley_core.proxy.succession import ReachReport
from trefoilpulley_core.proxy.upstream_session import LogStatus
from trefoilpulley_node.proxy.claims import claim_key
from trefoilpulley_node.proxy.claims import ClaimStore
from trefoilpulley_node.proxy.claims import read_claim


def _reports(missing: str, reaching: str = '') -> tuple[ReachReport, ...]:
    return (
        *(ReachReport(h, False) for h in missing.split()),
        *(ReachReport(h, True) for h in reaching.split()),
    )


class SuccessionSteps:
    """Steps on votes, targets and claims."""

    @staticmethod
    @given('hosts "{names}" by zone')
    def make_hosts(context: Any, names: str) -> None:
        """Register hosts whose zone is their first letter."""
        context.registered = {n: n[0] for n in names.split()}
        context.is_claimed = True

    @staticmethod
    @given("no claim can be made")
    def lose_service(context: Any) -> None:
        """Let nobody claim a change."""
        context.is_claimed = False

    @staticmethod
    @when('a host misses a member of zone "{zone}" and "{reaching}" reach it')
    def miss_alone(context: Any, zone: str, reaching: str) -> None:
        """Let one host miss the member."""
        SuccessionSteps._judge(context, zone, _reports('', reaching))

    @staticmethod
    @when(
        'a host misses a member of zone "{zone}" with "{missing}" and '
        '"{reaching}" reaches it'
    )
    def miss_with(
        context: Any, zone: str, missing: str, reaching: str
    ) -> None:
        """Let several hosts miss the member."""
        SuccessionSteps._judge(context, zone, _reports(missing, reaching))

    @staticmethod
    @when(
        'a host misses a member of zone "{zone}" with "{missing}" and '
        'nobody else answers'
    )
    def miss_in_cut(context: Any, zone: str, missing: str) -> None:
        """Let several hosts miss the member and the rest be silent."""
        SuccessionSteps._judge(context, zone, _reports(missing))

    @staticmethod
    @then('the member counts as lost')
    def check_lost(context: Any) -> None:
        """Check that the change goes on."""
        assert context.is_lost

    @staticmethod
    @then('the member does not count as lost')
    def check_kept(context: Any) -> None:
        """Check that nothing changes."""
        assert not context.is_lost

    @staticmethod
    @then(
        'a side with {answering:d} of {members:d} members and answers of '
        '"{hosts}" {verdict} choose'
    )
    def check_side(
        context: Any, answering: int, members: int, hosts: str, verdict: str
    ) -> None:
        """Check whether a side may choose."""
        found = can_choose_target(
            members, answering, _reports(hosts), context.registered
        )
        assert found is (verdict == 'may'), found

    @staticmethod
    @then(
        'a side with {answering:d} of {members:d} members and answers of '
        '"" {verdict} choose'
    )
    def check_lone_side(
        context: Any, answering: int, members: int, verdict: str
    ) -> None:
        """Check whether a side without other hosts may choose."""
        SuccessionSteps.check_side(context, answering, members, '', verdict)

    @staticmethod
    def _judge(
        context: Any, zone: str, reports: tuple[ReachReport, ...]
    ) -> None:
        context.is_lost = has_loss_quorum(
            reports, context.registered, zone, context.is_claimed
        )


class ConfirmedSteps:
    """Steps on commits that replicas confirmed."""

    @staticmethod
    @then(
        'with {sync:d} of {replicas:d} replicas confirming, {answering:d} '
        'that answer {verdict}'
    )
    def check_enough(
        context: Any, sync: int, replicas: int, answering: int, verdict: str
    ) -> None:
        """Check whether one of them has every commit."""
        found = has_every_commit(replicas, answering, sync)
        assert found is (verdict == 'are enough'), found


class TargetSteps:
    """Steps on the choice of the next primary."""

    @staticmethod
    @given('a group of "{names}"')
    def make_group(context: Any, names: str) -> None:
        """Make a group that is led by its first member."""
        context.group = GroupState('ledger')
        context.names = names.split()
        TargetSteps._list(context, '')

    @staticmethod
    @when('"{one}" has received {first} and "{other}" has received {second}')
    def receive(
        context: Any, one: str, first: str, other: str, second: str
    ) -> None:
        """Tell how far two logs go."""
        is_leaving = second.endswith(' but leaves')
        TargetSteps._list(context, other if is_leaving else '')
        context.target = choose_target(
            context.group,
            {
                one: _status(first),
                other: _status(second.removesuffix(' but leaves')),
            },
        )

    @staticmethod
    @then('"{name}" is chosen')
    def check_target(context: Any, name: str) -> None:
        """Check who is to lead."""
        assert context.target == name, context.target

    @staticmethod
    def _list(context: Any, leaving: str) -> None:
        context.group.update(
            MemberRecord(
                name,
                'ledger',
                Endpoint('127.0.0.1', 1),
                name,
                name == context.names[0],
                name == leaving,
            )
            for name in context.names
        )


class ClaimSteps:
    """Steps on claims through the platform's service."""

    @staticmethod
    @given('two hosts that know round 1 of a group')
    def make_books(context: Any) -> None:
        """Store a claim and let two hosts learn it."""
        context.kv = FakePlatform()
        context.first = ClaimStore('first', context.kv)
        context.second = ClaimStore('second', context.kv)
        assert context.first.try_claim('ledger', 0, 'x') == Success(1)
        ClaimSteps._learn(context.second, context.kv)

    @staticmethod
    @when('the first changes the group alone and publishes its round')
    def change_alone(context: Any) -> None:
        """Use a round without the service, then publish it."""
        context.first.advance_round('ledger', 2)
        context.first.publish()

    @staticmethod
    @when("the second decides after round 1 and then sees the first's claim")
    def see_claim(context: Any) -> None:
        """Let the claim arrive between decision and claim."""
        assert context.first.try_claim('ledger', 1, 'y') == Success(2)
        ClaimSteps._learn(context.second, context.kv)

    @staticmethod
    @then("the second can't claim round 2 with what it knew")
    @then("the second's claim is refused")
    def check_refused(context: Any) -> None:
        """Check that the claim after round 1 is refused."""
        done = context.second.try_claim('ledger', 1, 'z')
        assert isinstance(done.failure(), RevisionConflict), done

    @staticmethod
    @then(
        'tokens of {rounds:d} rounds and {holders:d} holders are all '
        'different and rise'
    )
    def check_tokens(context: Any, rounds: int, holders: int) -> None:
        """Check that tokens are unique and rise with the round."""
        tokens = [
            [fencing_token(r, 70_000 + 13 * h) for h in range(holders)]
            for r in range(rounds)
        ]
        flat = [token for row in tokens for token in row]
        assert len(set(flat)) == len(flat)
        for row, later in zip(tokens, tokens[1:]):
            assert max(row) < min(later)

    @staticmethod
    def _learn(book: ClaimStore, kv: FakePlatform) -> None:
        entry = kv.get(claim_key('ledger')).unwrap()
        claim: Claim = read_claim(entry).unwrap()
        book.record_claim('ledger', claim, entry.mod_revision)


def _status(received: str) -> LogStatus:
    term, _, index = received.partition('.')
    return LogStatus(False, 3, Position(int(term), int(index)))
