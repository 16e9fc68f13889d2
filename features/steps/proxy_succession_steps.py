"""Steps on failover decisions."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from fakes.fake_entry_parts import FakeClock
from fakes.fake_platform import FakePlatform
from fakes.fake_platform import Fault
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.failover import can_choose_target
from trefoilpulley_core.direct.failover import Claim
from trefoilpulley_core.direct.failover import fencing_token
from trefoilpulley_core.direct.failover import has_loss_quorum
from trefoilpulley_core.direct.failover import PUBLICATION_RANK_DELAY_S
from trefoilpulley_core.direct.failover import ReachReport
from trefoilpulley_core.direct.failover import Round
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.target_choice import choose_target
from trefoilpulley_core.direct.target_choice import has_every_commit
from trefoilpulley_core.direct.upstream_session import LogStatus
from trefoilpulley_core.platform import EraChanged
from trefoilpulley_core.platform import Lease
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_core.position import Position
from trefoilpulley_core.rendezvous import rank_hosts
from trefoilpulley_node.direct.claim_store import claim_key
from trefoilpulley_node.direct.claim_store import ClaimStore
from trefoilpulley_node.direct.claim_store import read_claim


HOSTS = rank_hosts('ledger', ('one', 'two'))
"""Hosts with claims, in their rank for the group."""


def _reports(losing: str, reaching: str = '') -> tuple[ReachReport, ...]:
    return (
        *(ReachReport(h, False) for h in losing.split()),
        *(ReachReport(h, True) for h in reaching.split()),
    )


class LossQuorumSteps:
    """Steps on the votes of hosts about a lost member."""

    @staticmethod
    @given('hosts "{names}" by zone')
    def make_hosts(context: Any, names: str) -> None:
        """Register hosts whose zone is the first letter of their name."""
        context.registered = {n: n[0] for n in names.split()}
        context.is_service_available = True

    @staticmethod
    @given("the platform's service is unavailable")
    def stop_service(context: Any) -> None:
        """Let the following steps judge without the service."""
        context.is_service_available = False

    @staticmethod
    @when(
        'a host has lost a member of zone "{zone}" and "{reaching}" reach it'
    )
    def judge_single_loss(context: Any, zone: str, reaching: str) -> None:
        """Judge a loss that only one host has detected."""
        LossQuorumSteps._judge(context, zone, _reports('', reaching))

    @staticmethod
    @when(
        'a host has lost a member of zone "{zone}" with "{losing}" and '
        '"{reaching}" reaches it'
    )
    def judge_shared_loss(
        context: Any, zone: str, losing: str, reaching: str
    ) -> None:
        """Judge a loss that several hosts have detected."""
        LossQuorumSteps._judge(context, zone, _reports(losing, reaching))

    @staticmethod
    @when(
        'a host has lost a member of zone "{zone}" with "{losing}" and no '
        'other host answers'
    )
    def judge_partition(context: Any, zone: str, losing: str) -> None:
        """Judge a loss while the remaining hosts do not answer."""
        LossQuorumSteps._judge(context, zone, _reports(losing))

    @staticmethod
    @then('there is a loss quorum for the member')
    def check_lost(context: Any) -> None:
        """Check that the failover may continue."""
        assert context.is_lost

    @staticmethod
    @then('there is no loss quorum for the member')
    def check_not_lost(context: Any) -> None:
        """Check that the primary is kept."""
        assert not context.is_lost

    @staticmethod
    @then(
        'a side with {answering:d} of {members:d} members and answers of '
        '"{hosts}" {verdict} choose'
    )
    def check_side(
        context: Any, answering: int, members: int, hosts: str, verdict: str
    ) -> None:
        """Check whether one side of a partition may choose a target."""
        found = can_choose_target(
            members, answering, _reports(hosts), context.registered
        )
        assert found is (verdict == 'may'), found

    @staticmethod
    @then(
        'a side with {answering:d} of {members:d} members and answers of '
        '"" {verdict} choose'
    )
    def check_side_without_answers(
        context: Any, answering: int, members: int, verdict: str
    ) -> None:
        """Check a side of the partition on which no other host answers."""
        LossQuorumSteps.check_side(context, answering, members, '', verdict)

    @staticmethod
    def _judge(
        context: Any, zone: str, reports: tuple[ReachReport, ...]
    ) -> None:
        context.is_lost = has_loss_quorum(
            reports, context.registered, zone, context.is_service_available
        )


class ConfirmedCommitSteps:
    """Steps on commits that replicas have confirmed."""

    @staticmethod
    @then(
        'with {sync:d} of {replicas:d} replicas confirming, {answering:d} '
        'that answer {verdict}'
    )
    def check_has_every_commit(
        context: Any, sync: int, replicas: int, answering: int, verdict: str
    ) -> None:
        """Check whether an answering replica is sure to have every commit."""
        found = has_every_commit(replicas, answering, sync)
        assert found is (verdict == 'are enough'), found


class TargetSteps:
    """Steps on the choice of the next primary."""

    @staticmethod
    @given('a group of "{names}"')
    def make_group(context: Any, names: str) -> None:
        """Create a group whose first member is the primary."""
        context.group = GroupState('ledger')
        context.names = names.split()
        TargetSteps._update_members(context, '')

    @staticmethod
    @when('"{one}" has received {first} and "{other}" has received {second}')
    def choose_target_by_logs(
        context: Any, one: str, first: str, other: str, second: str
    ) -> None:
        """Choose a target between two members with the given log ends."""
        is_leaving = second.endswith(' but leaves')
        TargetSteps._update_members(context, other if is_leaving else '')
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
        """Check the member to promote."""
        assert context.target == name, context.target

    @staticmethod
    def _update_members(context: Any, leaving: str) -> None:
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
    """Steps on claims in the platform's service."""

    @staticmethod
    @given('two hosts that know round 1 of a group')
    def make_stores(context: Any, kv: FakePlatform | None = None) -> None:
        """Store a claim that both hosts have recorded."""
        context.kv = kv or FakePlatform()
        context.clock = FakeClock()
        context.first, context.second = (
            ClaimStore(name, context.kv, lambda: HOSTS, context.clock)
            for name in HOSTS
        )
        assert context.first.try_claim('ledger', 0, 'x') == Success(
            Round(1, context.kv.era)
        )
        ClaimSteps._record_stored_claim(context.second, context.kv)

    @staticmethod
    @when(
        'the first host uses round 2 without the service and then publishes it'
    )
    def use_round_without_service(context: Any) -> None:
        """Advance the round without the service, then publish it."""
        context.first.advance_round('ledger', 2)
        context.first.publish()

    @staticmethod
    @when('the first host uses round 3 while it writes round 2')
    def advance_during_write(context: Any) -> None:
        """Let a notice of round 3 arrive before the answer to the write."""
        store, kv = context.first, context.kv
        write = kv.compare_and_swap

        def write_and_advance(*args: Any, **kwargs: Any) -> Any:
            result = write(*args, **kwargs)
            kv.compare_and_swap = write
            store.advance_round('ledger', 3)
            return result

        store.advance_round('ledger', 2)
        kv.compare_and_swap = write_and_advance
        store.publish()

    @staticmethod
    @then('the first host knows round 3 and writes it as well')
    def check_both_rounds(context: Any) -> None:
        """Check the known and, after another write, the stored round."""
        assert context.first.last_round('ledger') == 3
        context.first.publish()
        entry = context.kv.get(claim_key('ledger')).unwrap()
        assert read_claim(entry).unwrap().round == 3, entry

    @staticmethod
    @when('the answer to the next claim is lost {order} the claim took effect')
    def lose_answer(context: Any, order: str) -> None:
        """Let the service lose the answer to the next write."""
        fault = Fault.LOST_AFTER if order == 'after' else Fault.LOST_BEFORE
        context.kv.faults.append(fault)

    @staticmethod
    @when(
        'the second host claims round 2 and the answer to the next claim is '
        'lost'
    )
    def lose_answer_after_claim(context: Any) -> None:
        """Let another host claim first, then lose the answer of a claim."""
        assert context.second.try_claim('ledger', 1, 'x') == Success(
            Round(2, context.kv.era)
        )
        context.kv.faults.append(Fault.LOST_BEFORE)

    @staticmethod
    @when(
        'the answer to the next claim is lost and the service comes back from '
        'a copy'
    )
    def lose_answer_and_era(context: Any) -> None:
        """Restore a copy that holds the claim before it is read back."""
        kv = context.kv
        kv.faults.append(Fault.LOST_AFTER)
        get = kv.get

        def restore_and_get(key: str) -> Any:
            kv.restore(kv.take_copy())
            return get(key)

        kv.get = restore_and_get

    @staticmethod
    @when('the service comes back from a copy of its state')
    def restore(context: Any) -> None:
        """Start a new era; the hosts have not read it."""
        context.kv.restore(context.kv.take_copy())

    @staticmethod
    @then('the first host cannot claim round 2, as the era has changed')
    def check_era_changed(context: Any) -> None:
        """Claim by what the host knows of the lost era."""
        result = context.first.try_claim('ledger', 1, 'y')
        assert isinstance(result.failure(), EraChanged), result
        assert context.first.last_round('ledger') == 1

    @staticmethod
    @then('the first host holds round 2')
    def check_claim_held(context: Any) -> None:
        """Claim the next round; the host must know that it holds it."""
        assert context.first.try_claim('ledger', 1, 'y') == Success(
            Round(2, context.kv.era)
        )
        assert context.first.last_round('ledger') == 2

    @staticmethod
    @then('the first host does not know whether it holds round 2')
    def check_claim_unknown(context: Any) -> None:
        """Claim the next round; the outcome must be unknown."""
        result = context.first.try_claim('ledger', 1, 'y')
        assert isinstance(result.failure(), PlatformAnswerLost), result
        assert context.first.last_round('ledger') == 1

    @staticmethod
    @when(
        'the second host decides after round 1 and then learns of the first '
        "host's claim"
    )
    def record_newer_claim(context: Any) -> None:
        """Let the first host claim after the second host's decision."""
        assert context.first.try_claim('ledger', 1, 'y') == Success(
            Round(2, context.kv.era)
        )
        ClaimSteps._record_stored_claim(context.second, context.kv)

    @staticmethod
    @given('two hosts that know a round which the service has lost {claim}')
    def lose_claim(context: Any, claim: str) -> None:
        """Restore a copy from before round 2, or from before round 1."""
        kv = context.kv = FakePlatform()
        copy = kv.take_copy()
        ClaimSteps.make_stores(context, kv)
        if claim == 'to round 1':
            copy = kv.take_copy()
        kv.put('other', b'x')
        assert context.second.try_claim('ledger', 1, 'y') == Success(
            Round(2, context.kv.era)
        )
        assert ClaimSteps._record_stored_claim(context.first, kv)
        kv.restore(copy)
        for store in (context.first, context.second):
            if claim == 'to round 1':
                assert not ClaimSteps._record_stored_claim(store, kv)
            store.begin_era(kv.era)

    @staticmethod
    @when(
        'a host that has started since claims the round after the stored one'
    )
    def claim_lost_round(context: Any) -> None:
        """Claim by what the service holds in the new era."""
        kv = context.kv
        store = ClaimStore('newcomer', kv, lambda: HOSTS, context.clock)
        if kv.get(claim_key('ledger')).unwrap() is not None:
            ClaimSteps._record_stored_claim(store, kv)
        store.begin_era(kv.era)
        after_round = store.last_round('ledger')
        result = store.try_claim('ledger', after_round, 'z')
        assert isinstance(result, Success), result

    @staticmethod
    @then('the second host learns of a new change')
    def check_announced(context: Any) -> None:
        """Record the stored claim, which must announce a change."""
        assert ClaimSteps._record_stored_claim(context.second, context.kv)

    @staticmethod
    @then('the second host cannot claim round 3 after its decision')
    def check_decision_outdated(context: Any) -> None:
        """Claim after round 2, as decided before."""
        result = context.second.try_claim('ledger', 2, 'z')
        assert isinstance(result.failure(), RevisionConflict), result

    @staticmethod
    @when('the first host in rank writes the claim again')
    def write_again(context: Any) -> None:
        """Let both hosts publish when it is the turn of the first."""
        context.writes = context.kv.calls['compare_and_swap']
        context.second.publish()
        context.first.publish()

    @staticmethod
    @then('the service holds round 2 after a single write')
    def check_round(context: Any) -> None:
        """Check the stored claim, also after the turn of the second host."""
        is_new_change = ClaimSteps._record_stored_claim(
            context.second, context.kv
        )
        assert not is_new_change
        context.clock.at += 10
        context.second.publish()
        entry = context.kv.get(claim_key('ledger')).unwrap()
        claim = read_claim(entry).unwrap()
        assert (claim.holder, claim.round) == (HOSTS[1], 2), claim
        writes = context.kv.calls['compare_and_swap'] - context.writes
        assert writes == 1, writes

    @staticmethod
    @when('the first host in rank does not write the claim again')
    def pass_turn(context: Any) -> None:
        """Let the turn of the first host pass."""
        context.writes = context.kv.calls['compare_and_swap']
        context.clock.at += PUBLICATION_RANK_DELAY_S
        context.second.publish()

    @staticmethod
    @then('the second host claims round 3 and not round 2')
    def check_next_round(context: Any) -> None:
        """Claim the round that follows the lost one."""
        assert context.second.last_round('ledger') == 2
        assert context.second.try_claim('ledger', 2, 'z') == Success(
            Round(3, context.kv.era)
        )

    @staticmethod
    @then('the second host cannot claim round 2 after round 1')
    @then("the second host's claim is refused")
    def check_refused(context: Any) -> None:
        """Check that a claim after round 1 conflicts with the stored claim."""
        result = context.second.try_claim('ledger', 1, 'z')
        assert isinstance(result.failure(), RevisionConflict), result

    @staticmethod
    @then(
        'the tokens of {rounds:d} rounds and {holders:d} holders are unique '
        'and increase'
    )
    def check_tokens(context: Any, rounds: int, holders: int) -> None:
        """Check tokens of three eras, in which rounds and leases recur."""
        tokens = [
            [
                fencing_token(Round(number, era), Lease(lease, 1.0, since))
                for lease in range(70_000, 70_000 + 13 * holders, 13)
                for since in range(1, era + 1)
            ]
            for era in (1, 2, 3)
            for number in range(rounds)
        ]
        flat = [token for row in tokens for token in row]
        assert len(set(flat)) == len(flat)
        for row, later in zip(tokens, tokens[1:]):
            assert max(row) < min(later)

    @staticmethod
    def _record_stored_claim(store: ClaimStore, kv: FakePlatform) -> bool:
        entry = kv.get(claim_key('ledger')).unwrap()
        claim: Claim = read_claim(entry).unwrap()
        return store.record_claim(
            'ledger', claim, entry.mod_revision, entry.era
        )


def _status(received: str) -> LogStatus:
    term, _, index = received.partition('.')
    return LogStatus(False, 3, Position(int(term), int(index)))
