"""Ends what changes of primary leave behind while the old primary leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.failover import choose_voters
from trefoilpulley_core.direct.failover import find_first_voter
from trefoilpulley_core.direct.target_choice import choose_target
from trefoilpulley_node.direct.promotion_runner import EXPECTED_PROMOTION_S
from trefoilpulley_node.direct.promotion_runner import OrderAnswer
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Mapping

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.failover import Claim
    from trefoilpulley_core.direct.failover import Round
    from trefoilpulley_core.direct.upstream_session import LogStatus
    from trefoilpulley_node.direct.claim_store import ClaimStore
    from trefoilpulley_node.direct.commit_judge import CommitJudge
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.leader_recorder import LeaderRecorder
    from trefoilpulley_node.direct.member_prober import MemberProber
    from trefoilpulley_node.direct.primary_changer import PrimaryChanger
    from trefoilpulley_node.direct.promotion_runner import PromotionRunner

CHANGE_TIMEOUT_S = 3.0
"""Time in which the holder of a claim ends its change itself, in seconds.

Covers the attempts of its order and the wait for the new primary.
"""

RETRY_INTERVAL_S = 0.7
"""Time between two attempts to settle a change, in seconds."""

HELD_CHECK_INTERVAL_S = 2.0
"""Time between two checks whether replicas hold, in seconds."""


class ChangeSettler:
    """Supersedes orders that may be out, and resumes replicas that hold.

    Load pattern: a primary is silent for a moment, and the order to promote
    another member gets no answer. It may be carried out seconds later, when
    the primary serves again. Until then, the replicas hold.

    Parameters
    ----------
    host : str
        Name of this host.
    changer : PrimaryChanger
        Waits for this host's turn and claims changes.
    prober : MemberProber
        Sends status requests and commands to the members.
    claims : ClaimStore
        Newest claim of each group.
    promotions : PromotionRunner
        Orders promotions.
    leaders : LeaderRecorder
        Confirms new primaries to the other hosts.
    judge : CommitJudge
        Judges whether the primary has every acknowledged commit.
    registered_hosts : Callable[[], Mapping[str, str]]
        Availability zone of each registered host, this one included.
    live_hosts : Callable[[], Container[str]]
        Hosts that are not known to have stopped.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        changer: PrimaryChanger,
        prober: MemberProber,
        claims: ClaimStore,
        promotions: PromotionRunner,
        leaders: LeaderRecorder,
        judge: CommitJudge,
        registered_hosts: Callable[[], Mapping[str, str]],
        live_hosts: Callable[[], Container[str]],
        clock: Clock,
    ) -> None:
        self._host = host
        self._changer = changer
        self._prober = prober
        self._claims = claims
        self._promotions = promotions
        self._leaders = leaders
        self._judge = judge
        self._registered_hosts = registered_hosts
        self._live_hosts = live_hosts
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}
        self._retries_due: dict[str, float] = {}
        self._refused_rounds: dict[str, int] = {}
        self._checks_due: dict[str, float] = {}
        self._held_groups: set[str] = set()

    def is_open(self, group: Group) -> bool:
        """Return whether the newest change may still have an effect."""
        return self._claims.is_open(group.state)

    def is_due(self, group: Group) -> bool:
        """Return whether this host should settle the newest change now.

        The holder of the claim settles it first. Of the other hosts only the
        voters do, since every host sees that the change is open.
        """
        name = group.state.group
        now = self._clock.now()
        if not self.is_open(group):
            return name in self._held_groups and now >= self._retries_due.get(
                name, now
            )
        claim = self._claims.newest(name)
        if self._seen.get(name, (0, now))[0] != claim.round:
            self._seen[name] = claim.round, now
        if now < self._retries_due.get(name, now):
            return False
        if claim.is_claimed and claim.holder == self._host:
            return True
        if self._host not in choose_voters(name, self._registered_hosts()):
            return False
        is_holder_live = claim.holder in self._live_hosts()
        return (
            not is_holder_live or now - self._seen[name][1] > CHANGE_TIMEOUT_S
        )

    def check_replicas(self, group: Group) -> None:
        """Look for replicas that hold although no change is open.

        Such a replica was cut off when it was told to resume, or the host that
        told it to hold did not hold a claim any more.
        """
        if not group.synchronous_replicas or self.is_open(group):
            return
        name = group.state.group
        now = self._clock.now()
        if now < self._checks_due.get(name, now):
            return
        self._checks_due[name] = now + HELD_CHECK_INTERVAL_S
        first = find_first_voter(
            name, self._registered_hosts(), self._live_hosts()
        )
        if first == self._host:
            gevent.spawn(self._find_held, group)

    def confirm_leader(self, group: Group) -> None:
        """Confirm a leader that its promoter has not confirmed.

        While a change to another member is under way, its order has to be
        superseded first.
        """
        unconfirmed = group.state.unconfirmed
        if unconfirmed is None:
            return
        name, member = group.state.group, unconfirmed.member
        if self._claims.is_change_known(name, member):
            self._changer.confirm_leader(group, member)
        else:
            self.settle(group, member)

    def settle(self, group: Group, primary: str) -> None:
        """Make sure that no earlier order replaces a primary that leads.

        Replicas that hold are resumed. The claim keeps other hosts from a
        change, for which a resumed replica would be a fault.
        """
        name = group.state.group
        after_round = self._changer.begin(group, primary)
        if after_round is None:
            return
        self._retries_due[name] = self._clock.now() + RETRY_INTERVAL_S
        self._prober.verify_leader(group, primary)
        is_open = self.is_open(group)
        if not is_open and name not in self._held_groups:
            # Without a proof, a host that has just started can't tell.
            return
        term = self._find_leading_term(group, primary)
        if term is None:
            return
        claimed = self._claim(group, primary)
        if claimed is None:
            return
        if is_open and not self._supersede(group, primary, claimed, term):
            return
        if self._claims.last_round(name) != claimed.number:
            return
        if not group.state.is_confirmed(primary) and not self._leaders.record(
            group, primary, claimed.number
        ):
            return
        self._changer.resume_replication(group)
        self._held_groups.discard(name)
        self._claims.settle(name, claimed.number)
        events.CHANGE_SETTLED.log(
            group=name, member=primary, round=claimed.number
        )
        group.check_requested.set()

    def _supersede(
        self, group: Group, primary: str, claimed: Round, term: int
    ) -> bool:
        """Return whether orders of earlier rounds can have no effect."""
        if group.synchronous_replicas:
            # A member that has started since was not told to hold.
            replicas = group.state.members_except(primary)
            self._prober.pause_replication(
                group, self._prober.read_statuses(group, replicas)
            )
        answer = self._promotions.confirm(group, primary, claimed)
        if answer is OrderAnswer.REFUSED:
            self._refused_rounds[group.state.group] = claimed.number
        if answer is not OrderAnswer.ACCEPTED:
            return False
        # An order that was accepted just before may still take effect.
        gevent.sleep(EXPECTED_PROMOTION_S)
        return self._find_leading_term(group, primary) == term

    def _find_held(self, group: Group) -> None:
        replicas = group.state.members_except(group.state.primary)
        statuses = self._prober.read_statuses(group, replicas)
        held = sorted(m for m, s in statuses.items() if s.is_held)
        if held and not self.is_open(group):
            self._held_groups.add(group.state.group)
            events.REPLICAS_HELD.log(group=group.state.group, members=held)

    def _claim(self, group: Group, primary: str) -> Round | None:
        """Claim the confirmation of a primary, unless it is claimed already.

        A round that the platform has refused is not used again.
        """
        name = group.state.group
        claim = self._claims.newest(name)
        if (
            self._is_own_confirmation(claim, primary)
            and self._refused_rounds.get(name) != claim.round
        ):
            return self._claims.find_round(name)
        return self._changer.claim_round(
            group,
            self._claims.last_round(name),
            primary,
            is_confirmation=True,
        )

    def _is_own_confirmation(self, claim: Claim | None, primary: str) -> bool:
        return (
            claim is not None
            and claim.holder == self._host
            and claim.target == primary
            and claim.is_confirmation
            and not claim.is_settled
        )

    def _find_leading_term(self, group: Group, primary: str) -> int | None:
        """Return the term of a primary that no other member has left.

        ``None`` if the primary does not lead, if a member follows a later
        term, or if another member may have commits that the primary lacks.
        """
        statuses = self._prober.read_statuses(
            group, tuple(group.state.members)
        )
        status = statuses.get(primary)
        if status is None:
            return None
        if not status.is_primary:
            group.state.on_not_leading(primary)
            group.check_requested.set()
            return None
        if any(s.term > status.term for s in statuses.values()):
            return None
        if not self._has_every_commit(group, statuses, status):
            return None
        return status.term

    def _has_every_commit(
        self,
        group: Group,
        statuses: Mapping[str, LogStatus],
        status: LogStatus,
    ) -> bool:
        target = choose_target(group.state, statuses)
        if target is None or statuses[target].received > status.received:
            return False
        return self._judge.has_every_commit(group, statuses, target)
