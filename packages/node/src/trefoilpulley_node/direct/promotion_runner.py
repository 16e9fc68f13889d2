"""Orders the promotion of a member and waits until the member leads."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.direct.failover import fencing_token
from trefoilpulley_core.direct.failover import OrderNotice
from trefoilpulley_core.direct.promotion_service import ClaimOutdated
from trefoilpulley_core.direct.promotion_service import PromotionRefused
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.failover import Round
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.promotion_service import PromotionService
    from trefoilpulley_core.direct.upstream_session import LogStatus
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import Lease
    from trefoilpulley_core.position import Position
    from trefoilpulley_node.direct.claim_store import ClaimStore
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.leader_recorder import LeaderRecorder
    from trefoilpulley_node.direct.member_prober import MemberProber

EXPECTED_PROMOTION_S = 0.8
"""Expected duration of a promotion with a margin, in seconds."""

MAX_ORDER_ATTEMPTS = 4
"""Attempts to send a promotion order that gets no answer."""

LEAD_POLL_INTERVAL_S = 0.03
"""Time between two checks whether the new primary leads, in seconds."""

PROOF_CHECK_INTERVAL_S = 0.005
"""Time between two looks for a proof of the new primary, in seconds."""

LEAD_TIMEOUT_S = 1.5
"""Timeout for a promoted member to lead, in seconds.

After the timeout, the next check of the group decides again.
"""

DEMOTION_DELAY_S = 0.42
"""Delay from the promotion order to the old primary's demotion, in seconds.

The platform takes some hundred milliseconds longer to finish the promotion.
During that time, the last log records reach the new primary. Writes wait no
longer than that time.
"""


class OrderAnswer(Enum):
    """Answers to an order of promotion."""

    ACCEPTED = 'accepted'
    """The platform has accepted the order."""

    REFUSED = 'refused'
    """The token is outdated, or the member is not running."""

    NOT_SENT = 'not-sent'
    """The platform has not got the order."""

    LOST = 'lost'
    """An attempt got no answer, and may be carried out later."""


class PromotionRunner:
    """Carries out the promotions that this host has claimed.

    Parameters
    ----------
    host : str
        Name of this host.
    prober : MemberProber
        Sends status requests and commands to the members.
    claims : ClaimStore
        Newest claim of each group.
    service : PromotionService
        Orders promotions from the platform.
    leaders : LeaderRecorder
        Confirms new primaries to the other hosts.
    first_lease : Callable[[], Lease | None]
        First lease of this host, which is unique among the running hosts;
        ``None`` before it is granted.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Counts primary changes.
    """

    def __init__(
        self,
        host: str,
        prober: MemberProber,
        claims: ClaimStore,
        service: PromotionService,
        leaders: LeaderRecorder,
        first_lease: Callable[[], Lease | None],
        clock: Clock,
        metrics: DirectMetrics,
    ) -> None:
        self._host = host
        self._prober = prober
        self._claims = claims
        self._service = service
        self._leaders = leaders
        self._first_lease = first_lease
        self._clock = clock
        self._metrics = metrics

    def promote(
        self,
        group: Group,
        target: str,
        claimed: Round,
        old_status: tuple[str, LogStatus] | None,
        cause: str = 'lost',
        received: Position | None = None,
    ) -> bool:
        """Order a promotion and wait until it takes effect.

        A promotion without effect is not repeated here. The next check of the
        group decides again from the state of the members at that time.

        Parameters
        ----------
        group : Group
            Group whose primary changes.
        target : str
            Member to promote.
        claimed : Round
            Round of the change.
        old_status : tuple[str, LogStatus] or None
            Primary to demote, with its status; ``None`` if there is none.
        cause : str
            Cause of the change, for the metrics.
        received : Position or None
            End of the target's log if the target receives nothing more.

        Returns
        -------
        bool
            Whether an order may take effect, or has done so; false if the
            platform has got none.
        """
        state = group.state
        began_at = self._clock.now()
        answer = self._order(group, target, claimed)
        if answer not in (OrderAnswer.ACCEPTED, OrderAnswer.LOST):
            return answer is not OrderAnswer.NOT_SENT
        due_at = self._clock.now() + EXPECTED_PROMOTION_S
        state.primary_change_due_at = due_at
        if old_status is not None:
            demoted = self._demote_after_delay(group, *old_status)
            is_complete = demoted is not None and not demoted.is_primary
        else:
            demoted = None
            # With synchronous replicas, only a member with every acknowledged
            # commit is promoted. An order that got no answer may have no
            # effect.
            is_complete = (
                bool(group.synchronous_replicas)
                and answer is OrderAnswer.ACCEPTED
            )
        if is_complete:
            gevent.spawn(
                self._leaders.record_successor,
                group,
                target,
                claimed.number,
                demoted,
                due_at,
            )
        status = self._wait_for_lead(group, target, answer is OrderAnswer.LOST)
        has_taken_effect = status is not None
        outcome = 'over' if has_taken_effect else 'no-effect'
        self._metrics.count('primary_changes', cause, outcome)
        if has_taken_effect:
            duration_s = self._clock.now() - began_at
            events.CHANGE_OVER.log(
                group=state.group,
                member=target,
                took_ms=round(1000 * duration_s),
            )
        is_confirmed = has_taken_effect and self._leaders.record(
            group, target, claimed.number, received, status
        )
        state.end_change(due_at)
        if is_confirmed:
            self._claims.settle(state.group, claimed.number)
        return True

    def confirm(
        self, group: Group, primary: str, claimed: Round
    ) -> OrderAnswer:
        """Order the promotion of the present primary.

        An accepted order changes nothing, and the platform refuses the orders
        of earlier rounds from then on.
        """
        return self._order(group, primary, claimed)

    def demote(
        self, group: Group, leaving: str, old_status: LogStatus
    ) -> LogStatus | None:
        """Demote the old primary and return its status, if it answers."""
        demoted = self._prober.demote(group, leaving, old_status.term + 1)
        events.HANDOVER_STEP.log(
            group=group.state.group,
            step='demote',
            member=leaving,
            term=old_status.term + 1,
            received=str(demoted.received) if demoted else None,
        )
        return demoted

    def _order(self, group: Group, target: str, claimed: Round) -> OrderAnswer:
        """Order a promotion; return what the platform has answered."""
        holder = self._first_lease()
        if holder is None:
            return OrderAnswer.NOT_SENT
        name = group.state.group
        if not claimed.is_claimed:
            # The other hosts learn of the order by this notice only.
            self._leaders.notify_hosts(
                OrderNotice(name, target, claimed.number)
            )
        token = fencing_token(claimed, holder)
        failure: Failure | None = None
        is_answer_lost = False
        for _ in range(MAX_ORDER_ATTEMPTS):
            verified = self._claims.verify_claim(name, claimed)
            if not isinstance(verified, Success):
                failure = verified.failure()
                break
            group.state.turn.on_ordered(self._clock.now())
            # Repeating the order is safe: once the promotion is carried out, a
            # late repetition is rejected, since the member leads already or
            # the platform has seen a higher token.
            result = self._service.promote(name, target, self._host, token)
            failure = None if isinstance(result, Success) else result.failure()
            if not isinstance(failure, PlatformAnswerLost):
                break
            is_answer_lost = True
        events.PROMOTION_ORDERED.log(
            group=name,
            member=target,
            token=token,
            failure=failure.code if failure else None,
            detail=failure.detail if failure else None,
            is_answer_lost=is_answer_lost,
        )
        if isinstance(failure, PromotionRefused):
            self._claims.advance_round(name, claimed.number)
        if failure is None:
            return OrderAnswer.ACCEPTED
        if is_answer_lost:
            return OrderAnswer.LOST
        if isinstance(failure, PromotionRefused | ClaimOutdated):
            return OrderAnswer.REFUSED
        return OrderAnswer.NOT_SENT

    def _demote_after_delay(
        self, group: Group, leaving: str, old_status: LogStatus
    ) -> LogStatus | None:
        gevent.sleep(DEMOTION_DELAY_S)
        if group.state.primary != leaving:
            return None
        return self.demote(group, leaving, old_status)

    def _wait_for_lead(
        self, group: Group, target: str, is_answer_lost: bool
    ) -> LogStatus | None:
        """Wait until a member leads; return its status, if it does.

        The wait ends earlier if the order got no answer, and another member
        leads at a time when the promotion should be over.
        """
        state = group.state
        due_at = self._clock.now() + EXPECTED_PROMOTION_S
        deadline = self._clock.now() + LEAD_TIMEOUT_S
        while self._clock.now() < deadline:
            status = self._prober.read_status(group, target)
            if status is not None and status.is_primary:
                return status
            if (
                is_answer_lost
                and state.primary != target
                and state.last_proof_at > due_at
            ):
                return None
            self._wait_for_proof(state, target)
        return None

    def _wait_for_proof(self, state: GroupState, target: str) -> None:
        """Wait until the next poll, or until a member is known to lead.

        The monitoring of the group asks the member as soon as its entry tells
        that it leads.
        """
        next_poll_at = self._clock.now() + LEAD_POLL_INTERVAL_S
        while self._clock.now() < next_poll_at:
            proof = state.unconfirmed
            is_proved = proof is not None and proof.member == target
            if is_proved or state.primary == target:
                return
            gevent.sleep(PROOF_CHECK_INTERVAL_S)
