"""Settles changes of primary that have left the old primary in place."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

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
    from trefoilpulley_node.direct.member_prober import MemberProber
    from trefoilpulley_node.direct.primary_changer import PrimaryChanger
    from trefoilpulley_node.direct.promotion_runner import PromotionRunner

CHANGE_TIMEOUT_S = 3.0
"""Time in which the holder of a claim ends its change itself, in seconds.

Covers the attempts of its order and the wait for the new primary.
"""

RETRY_INTERVAL_S = 0.7
"""Time between two attempts to settle a change, in seconds."""


class ChangeSettler:
    """Supersedes orders that may be out while the old primary leads.

    Load pattern: a primary is silent for a moment, and the order to promote
    another member gets no answer. It may be carried out seconds later, when
    the primary serves again.

    Parameters
    ----------
    host : str
        Name of this host.
    changer : PrimaryChanger
        Waits for this host's turn and claims changes.
    prober : MemberProber
        Sends status requests to the members.
    claims : ClaimStore
        Newest claim of each group.
    promotions : PromotionRunner
        Orders promotions.
    judge : CommitJudge
        Judges whether the primary has every acknowledged commit.
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
        judge: CommitJudge,
        live_hosts: Callable[[], Container[str]],
        clock: Clock,
    ) -> None:
        self._host = host
        self._changer = changer
        self._prober = prober
        self._claims = claims
        self._promotions = promotions
        self._judge = judge
        self._live_hosts = live_hosts
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}
        self._retries_due: dict[str, float] = {}
        self._refused_rounds: dict[str, int] = {}

    def is_open(self, group: Group) -> bool:
        """Return whether the newest change may still have an effect."""
        return self._claims.is_open(group.state)

    def is_due(self, group: Group) -> bool:
        """Return whether this host should settle the newest change now."""
        name = group.state.group
        if not self.is_open(group):
            return False
        now = self._clock.now()
        claim = self._claims.newest(name)
        if self._seen.get(name, (0, now))[0] != claim.round:
            self._seen[name] = claim.round, now
        if now < self._retries_due.get(name, now):
            return False
        if (
            claim.holder == self._host
            or claim.holder not in self._live_hosts()
        ):
            return True
        return now - self._seen[name][1] > CHANGE_TIMEOUT_S

    def settle(self, group: Group, primary: str) -> None:
        """Make sure that no earlier order replaces a primary that leads."""
        name = group.state.group
        after_round = self._changer.begin(group, primary)
        if after_round is None:
            return
        self._retries_due[name] = self._clock.now() + RETRY_INTERVAL_S
        self._prober.verify_leader(group, primary)
        if not self.is_open(group):
            # Without a proof, a host that has just started can't tell.
            return
        term = self._find_leading_term(group, primary)
        if term is None:
            return
        claimed = self._claim(group, primary, term)
        if claimed is None:
            return
        answer = self._promotions.confirm(group, primary, claimed)
        if answer is OrderAnswer.REFUSED:
            self._refused_rounds[name] = claimed.number
        if answer is not OrderAnswer.ACCEPTED:
            return
        # An order that was accepted just before may still take effect.
        gevent.sleep(EXPECTED_PROMOTION_S)
        if self._find_leading_term(group, primary) != term:
            return
        if self._claims.last_round(name) != claimed.number:
            return
        self._claims.settle(name, claimed.number)
        events.CHANGE_SETTLED.log(
            group=name, member=primary, round=claimed.number
        )
        group.check_requested.set()

    def _claim(self, group: Group, primary: str, term: int) -> Round | None:
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
            group, self._claims.last_round(name), primary, term
        )

    def _is_own_confirmation(self, claim: Claim, primary: str) -> bool:
        return (
            claim.holder == self._host
            and claim.target == primary
            and claim.is_claimed
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
