"""Changes the primary of a group, by failover or by planned handover."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.direct.change_turn import CLAIM_HOLDER_TIMEOUT_S
from trefoilpulley_core.direct.failover import can_choose_target
from trefoilpulley_core.direct.failover import failover_delay_s
from trefoilpulley_core.direct.failover import order_delay_s
from trefoilpulley_core.direct.lag_relief import choose_relief_target
from trefoilpulley_core.direct.lag_relief import RECEIPT_DELAY_S
from trefoilpulley_core.direct.target_choice import choose_staying_target
from trefoilpulley_core.direct.target_choice import choose_target
from trefoilpulley_core.direct.target_choice import has_caught_up
from trefoilpulley_core.platform import EraChanged
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.failover import Claim
    from trefoilpulley_core.direct.failover import LeaderNotice
    from trefoilpulley_core.direct.failover import OrderNotice
    from trefoilpulley_core.direct.failover import ReachReport
    from trefoilpulley_core.direct.failover import Round
    from trefoilpulley_core.direct.upstream_session import LogStatus
    from trefoilpulley_core.position import Position
    from trefoilpulley_node.direct.claim_store import ClaimStore
    from trefoilpulley_node.direct.commit_judge import CommitJudge
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.host_vote import HostVote
    from trefoilpulley_node.direct.leader_recorder import LeaderRecorder
    from trefoilpulley_node.direct.member_prober import MemberProber
    from trefoilpulley_node.direct.promotion_runner import PromotionRunner

CATCH_UP_TIMEOUT_S = 1.5
"""Timeout for the next primary to receive the whole log, in seconds."""

CATCH_UP_POLL_INTERVAL_S = 0.03
"""Time between two checks of the next primary's log, in seconds."""

TURN_CHECK_INTERVAL_S = 0.1
"""Time between two checks whether a preceding host has stopped, in seconds."""

FAILOVER_BACKOFF_S = 0.7
"""Time without a new failover after one was abandoned, in seconds.

Applies for example where most hosts still reach a primary that this host can't
reach.
"""

RECHECK_S = 1.0
"""Longest time in which a host decides on a failover, in seconds."""


class PrimaryChanger:
    """Carries out the primary changes that this host is responsible for.

    Parameters
    ----------
    host : str
        Name of this host.
    prober : MemberProber
        Sends health checks and status requests to the members.
    vote : HostVote
        Collects reports from the other hosts.
    claims : ClaimStore
        Newest claim of each group.
    promotions : PromotionRunner
        Carries out the promotions.
    leaders : LeaderRecorder
        Confirms new primaries to the other hosts.
    judge : CommitJudge
        Judges whether a member has every acknowledged commit.
    registered_hosts : Callable[[], Mapping[str, str]]
        Availability zone of each registered host, this one included.
    live_hosts : Callable[[], Collection[str]]
        Hosts that are not known to have stopped.
    groups : Mapping[str, Group]
        Groups by name.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        prober: MemberProber,
        vote: HostVote,
        claims: ClaimStore,
        promotions: PromotionRunner,
        leaders: LeaderRecorder,
        judge: CommitJudge,
        registered_hosts: Callable[[], Mapping[str, str]],
        live_hosts: Callable[[], Collection[str]],
        groups: Mapping[str, Group],
        clock: Clock,
    ) -> None:
        self._host = host
        self._prober = prober
        self._vote = vote
        self._claims = claims
        self._promotions = promotions
        self._leaders = leaders
        self._judge = judge
        self._registered_hosts = registered_hosts
        self._live_hosts = live_hosts
        self._groups = groups
        self._clock = clock
        self._backoff_until: dict[str, float] = {}
        self._reported_forks: dict[str, dict[str, str]] = {}

    def fail_over(self, group: Group, lost_primary: str | None) -> None:
        """Promote another member where most voters can't reach the primary.

        Parameters
        ----------
        group : Group
            Group whose primary does not answer this host.
        lost_primary : str | None
            Primary that does not answer; ``None`` where no primary is known.
        """
        now = self._clock.now()
        state = group.state
        if not self._is_due(group):
            return
        if now < self._backoff_until.get(state.group, now):
            return
        after_round = self._claims.last_round(state.group)
        if not self._wait_turn(group, after_round):
            return
        pending_reports = gevent.spawn(
            self._vote.collect_reports, group, lost_primary
        )
        statuses = self._prober.read_statuses(
            group, state.members_except(lost_primary)
        )
        reports = pending_reports.get()
        if lost_primary and not self._vote.is_lost(
            group, lost_primary, reports, True
        ):
            self._keep_primary(group, lost_primary, reports)
            return
        if self._has_leader(group, lost_primary, statuses):
            return
        for report in reports:
            state.lineage.merge(report.term_starts)
        self._update_lineage(group, statuses)
        self._judge.add_rosters(group, reports)
        target = choose_target(state, statuses)
        if target and not self._judge.has_every_commit(
            group, statuses, target
        ):
            # No claim: the other hosts would let requests wait for a change.
            self._refuse_change(group)
            return
        if not can_choose_target(
            self._judge.count_members(group),
            len(statuses),
            reports,
            self._vote.voters(group),
        ):
            self._back_off(group)
            return
        if target is None:
            if statuses:
                # Another member has to come back first.
                self._back_off(group)
            return
        state.no_primary_change_until = float('-inf')
        claimed = self.claim_round(group, after_round, target)
        if claimed is None:
            claimed = self._claim_without_service(
                group, after_round, target, lost_primary, reports
            )
        if claimed is not None:
            # The claim may have told where a term begins that was not known
            # when the member was chosen.
            self._update_lineage(group, statuses)
            if choose_target(state, statuses) != target:
                statuses = {}
            if statuses and group.synchronous_replicas:
                statuses = self._pause_replicas(group, lost_primary, statuses)
            target = choose_target(state, statuses)
        if claimed is None and self._has_begun(group, after_round):
            # Requests wait for the change that another host carries out.
            return
        if claimed is None:
            self._back_off(group)
        elif target is None:
            self._give_up(group, claimed)
            self._back_off(group)
        else:
            received = statuses[target].received
            self._promote(group, target, claimed, None, received=received)

    def hand_over(self, group: Group, leaving: str) -> None:
        """Promote another member before the present primary stops."""
        after_round = self.begin(group, leaving)
        if after_round is None:
            return
        statuses = self._prober.read_statuses(
            group, tuple(group.state.members)
        )
        self._update_lineage(group, statuses)
        old_status = statuses.pop(leaving, None)
        if old_status is None:
            return
        target = choose_staying_target(group.state, statuses)
        self._hand_over_to(
            group, target, (leaving, old_status), after_round, 'leaving'
        )

    def relieve(self, group: Group, primary: str) -> None:
        """Promote a replica that lags instead of an overloaded primary."""
        after_round = self.begin(group, primary)
        if after_round is None:
            return
        old_status = self._prober.read_status(group, primary)
        if old_status is None:
            return
        gevent.sleep(RECEIPT_DELAY_S)
        statuses = self._prober.read_statuses(
            group, group.state.members_except(primary)
        )
        self._update_lineage(group, {primary: old_status, **statuses})
        target = choose_relief_target(group.state, old_status, statuses)
        events.HANDOVER_STEP.log(
            group=group.state.group,
            step='relieve',
            member=primary,
            target=target,
        )
        self._hand_over_to(
            group, target, (primary, old_status), after_round, 'overloaded'
        )

    def begin(self, group: Group, old_primary: str) -> int | None:
        """Wait for this host's turn; return the last round if it may act.

        ``None`` if another host acts, or if the given member leads no more.
        """
        state = group.state
        if not self._is_due(group):
            return None
        after_round = self._claims.last_round(state.group)
        if not self._wait_turn(group, after_round):
            return None
        unconfirmed = state.unconfirmed
        is_leading = state.primary == old_primary or (
            unconfirmed is not None and unconfirmed.member == old_primary
        )
        return after_round if is_leading else None

    def confirm_leader(self, group: Group, member: str) -> None:
        """Confirm a member that leads, in place of the host that promoted it.

        Where that is not possible, this host may be cut off with the member.
        No request waits then.
        """
        after_round = self.begin(group, member)
        if after_round is None or group.state.is_confirmed(member):
            return
        if not self._leaders.record(group, member, after_round):
            self._back_off(group)

    def on_leader(self, name: str) -> None:
        """Let requests run at a leader that a claim has confirmed."""
        group = self._groups.get(name)
        if group is not None and group.state.unconfirmed is not None:
            self._leaders.on_confirmed(group)

    def _hand_over_to(
        self,
        group: Group,
        target: str | None,
        old: tuple[str, LogStatus],
        after_round: int,
        cause: str,
    ) -> None:
        """Promote a member while the old primary still answers."""
        if target is None:
            return
        claimed = self.claim_round(group, after_round, target)
        if claimed is None:
            return
        if not group.synchronous_replicas:
            self._promote(group, target, claimed, old, cause)
        elif self._demote_and_catch_up(group, *old, target):
            self._promote(group, target, claimed, None, cause)
        else:
            self._give_up(group, claimed)

    def _promote(
        self,
        group: Group,
        target: str,
        claimed: Round,
        old_status: tuple[str, LogStatus] | None,
        cause: str = 'lost',
        received: Position | None = None,
    ) -> None:
        """Promote a member; give the change up if nothing was ordered."""
        if not self._promotions.promote(
            group, target, claimed, old_status, cause, received
        ):
            self._give_up(group, claimed)

    def _give_up(self, group: Group, claimed: Round) -> None:
        """End a change that has ordered nothing; resume the replication.

        The replicas hold, and the claim stays open, if an order of an earlier
        change may be out: a replica that is not promoted by it could confirm a
        commit, and the promoted one would lack the commit.
        """
        name = group.state.group
        if claimed.follows_open:
            return
        if self._claims.last_round(name) == claimed.number:
            self.resume_replication(group)
        self._claims.settle(name, claimed.number)

    def resume_replication(self, group: Group) -> None:
        """Resume the replication of a group whose claim this host holds."""
        if group.synchronous_replicas:
            self._prober.resume_replication(
                group, group.state.members_except(group.state.primary)
            )

    def on_claim(self, name: str, claim: Claim) -> None:
        """Leave the change of a group to the host that has claimed it."""
        group = self._groups.get(name)
        if group is None or claim.holder == self._host:
            return
        self._leave_to_other(group)
        group.check_requested.set()

    def on_first_read(self) -> None:
        """Leave the changes that are open at the start of this host.

        It may have ordered a promotion itself before it was restarted.
        """
        for name, group in self._groups.items():
            claim = self._claims.newest(name)
            if claim is None or claim.is_settled or claim.holder == self._host:
                continue
            group.state.turn.on_ordered(self._clock.now())
            self._leave_to_other(group)

    def on_order_notice(self, notice: OrderNotice) -> OrderNotice:
        """Leave a change to the host that has ordered it; return the notice.

        Notices of rounds that this host knows are out of date.
        """
        if notice.round > self._claims.last_round(notice.group):
            self._claims.advance_round(
                notice.group, notice.round, notice.member
            )
            group = self._groups.get(notice.group)
            if group is not None:
                self._leave_to_other(group)
        return notice

    def on_leader_notice(self, notice: LeaderNotice) -> LeaderNotice:
        """Check whether the announced member leads; return the notice."""
        self._claims.record_term_starts(notice.group, notice.term_starts)
        last_round = self._claims.last_round(notice.group)
        if notice.round < last_round:
            return replace(notice, round=last_round)
        if not notice.is_confirmed:
            return notice
        self._claims.advance_round(notice.group, notice.round)
        self._claims.set_leader(notice.group, notice.round, notice.member)
        self.on_leader(notice.group)
        group = self._groups.get(notice.group)
        if group is not None and group.state.primary != notice.member:
            self._prober.verify_leader(group, notice.member)
        return notice

    def _back_off(self, group: Group) -> None:
        """Suspend failovers of a group, and let no request wait for one."""
        deadline = self._clock.now() + FAILOVER_BACKOFF_S
        self._backoff_until[group.state.group] = deadline
        group.state.no_primary_change_until = deadline

    def _refuse_change(self, group: Group) -> None:
        """Let no request wait until the members have been asked once more."""
        self._back_off(group)
        group.state.no_primary_change_until += RECHECK_S

    def _update_lineage(
        self, group: Group, statuses: Mapping[str, LogStatus]
    ) -> None:
        """Record what claims and logs show of the starts of terms."""
        state = group.state
        state.lineage.merge(self._claims.term_starts(state.group))
        for status in statuses.values():
            state.lineage.on_status(status)
        forked = {
            member: status.received.as_text
            for member, status in statuses.items()
            if state.lineage.has_left(status.received)
        }
        if forked and forked != self._reported_forks.get(state.group):
            events.LOGS_FORKED.log(
                group=state.group,
                received=forked,
                term_starts=[
                    f'{s.term}.{s.index}' for s in state.lineage.starts
                ],
            )
        self._reported_forks[state.group] = forked

    def _pause_replicas(
        self,
        group: Group,
        lost_primary: str | None,
        statuses: dict[str, LogStatus],
    ) -> dict[str, LogStatus]:
        """Pause the replicas that confirm commits; return their statuses.

        The result is empty if no replica that answers is known to have every
        commit. Only the host that holds the claim pauses and resumes
        replication: if another host resumed it, a replica that is not promoted
        could confirm a commit, and the new primary would lack the commit.
        """
        paused_statuses = self._prober.pause_replication(group, statuses)
        target = choose_target(group.state, paused_statuses)
        if target and self._judge.has_every_commit(
            group, paused_statuses, target
        ):
            return paused_statuses
        return {}

    def _demote_and_catch_up(
        self, group: Group, leaving: str, old_status: LogStatus, target: str
    ) -> bool:
        """Demote a leaving primary; return whether the target has its log."""
        demoted = self._promotions.demote(group, leaving, old_status)
        deadline = self._clock.now() + CATCH_UP_TIMEOUT_S
        while demoted is not None and self._clock.now() < deadline:
            status = self._prober.read_status(group, target)
            if status and has_caught_up(group.state, status, demoted):
                return True
            gevent.sleep(CATCH_UP_POLL_INTERVAL_S)
        return False

    def _wait_turn(self, group: Group, after_round: int) -> bool:
        """Wait for this host's turn; return whether a change is still due.

        The hosts that precede this host in rank act first.
        """
        delay_s = failover_delay_s(
            group.state.group, self._host, self._registered_hosts()
        )
        gevent.sleep(delay_s)
        return self._is_turn(group, after_round)

    def _wait_turn_without_service(
        self, group: Group, after_round: int
    ) -> bool:
        """Wait for the orders of the hosts that precede this host in rank."""
        began_at = self._clock.now()
        while self._is_turn(group, after_round):
            # A host that precedes this one may be found to have stopped.
            delay_s = order_delay_s(
                group.state.group,
                self._host,
                self._registered_hosts(),
                self._live_hosts(),
            )
            remaining_s = began_at + delay_s - self._clock.now()
            if remaining_s <= 0:
                return True
            gevent.sleep(min(remaining_s, TURN_CHECK_INTERVAL_S))
        return False

    def _is_turn(self, group: Group, after_round: int) -> bool:
        """Return whether no other host has begun the change."""
        if self._has_begun(group, after_round):
            return False
        return self._is_due(group)

    def _is_due(self, group: Group) -> bool:
        """Return whether no change of another host is on its way."""
        now = self._clock.now()
        state = group.state
        return now >= state.primary_change_due_at and state.turn.is_due(now)

    def _leave_to_other(self, group: Group) -> None:
        """Let another host finish the change that it has begun."""
        now = self._clock.now()
        group.state.expect_change(now + CLAIM_HOLDER_TIMEOUT_S)
        group.state.turn.on_other_host(now)

    def _has_begun(self, group: Group, after_round: int) -> bool:
        """Return whether a host has begun the change after a round."""
        return self._claims.last_round(group.state.group) != after_round

    def _has_leader(
        self,
        group: Group,
        lost_primary: str | None,
        statuses: dict[str, LogStatus],
    ) -> bool:
        """Return whether a member leads, so that no failover is needed."""
        access = group.find_access(lost_primary or '')
        if access is not None:
            # Answers through other holders do not end the change.
            if access.local_pool.reach.own.failing_since is None:
                return True
        return any(
            s.is_primary and self._prober.verify_leader(group, m)
            for m, s in statuses.items()
        )

    def _keep_primary(
        self, group: Group, lost_primary: str, reports: Sequence[ReachReport]
    ) -> None:
        self._back_off(group)
        events.PRIMARY_KEPT.log(
            group=group.state.group,
            member=lost_primary,
            missed_by=1 + sum(1 for r in reports if not r.is_reached),
            reached_by=sum(1 for r in reports if r.is_reached),
            hosts=len(self._vote.voters(group)),
        )

    def claim_round(
        self,
        group: Group,
        after_round: int,
        target: str,
        is_confirmation: bool = False,
    ) -> Round | None:
        """Claim the change; return its round, or ``None`` where that failed.

        The attempt fails where another host holds the claim or the platform's
        service can't confirm the claim.

        Parameters
        ----------
        group : Group
            Group whose primary changes.
        after_round : int
            Round that this host has decided on.
        target : str
            Member to promote.
        is_confirmation : bool
            Whether the target is the present primary.
        """
        name = group.state.group
        follows_open = self._claims.is_open(group.state)
        claimed = self._claims.try_claim(
            name,
            after_round,
            target,
            is_confirmation,
            group.state.last_primary or '',
        )
        failure = None if isinstance(claimed, Success) else claimed.failure()
        events.CHANGE_CLAIMED.log(
            group=name,
            target=target,
            round=after_round + 1,
            failure=failure.code if failure else None,
        )
        if failure is None:
            return replace(claimed.unwrap(), follows_open=follows_open)
        if isinstance(failure, RevisionConflict | EraChanged):
            # Another host holds the claim and needs time to finish the change;
            # in a new era, one may hold it.
            self._leave_to_other(group)
        return None

    def _claim_without_service(
        self,
        group: Group,
        after_round: int,
        target: str,
        lost_primary: str | None,
        reports: Sequence[ReachReport],
    ) -> Round | None:
        """Return a round to use while the platform's service is unavailable.

        Only a host on the side of a network partition that has a majority of
        all hosts may continue without a claim. The hosts take turns, and none
        continues once a member leads.
        """
        if lost_primary is None or not self._is_due(group):
            return None
        if not self._vote.is_lost(
            group, lost_primary, reports, is_service_available=False
        ):
            return None
        if not self._wait_turn_without_service(group, after_round):
            return None
        if self._prober.can_connect(
            group, lost_primary
        ) or self._has_leading_member(group):
            return None
        if not self._is_turn(group, after_round):
            # The notice of an order has arrived during the checks.
            return None
        name = group.state.group
        follows_open = self._claims.is_open(group.state)
        claimed = self._claims.use_round(name, after_round + 1, target)
        events.CHANGE_CLAIMED.log(
            group=name, target=target, round=after_round + 1, failure='alone'
        )
        return replace(claimed, follows_open=follows_open)

    def _has_leading_member(self, group: Group) -> bool:
        return any(
            self._prober.verify_leader(group, m)
            for m in tuple(group.state.members)
        )
