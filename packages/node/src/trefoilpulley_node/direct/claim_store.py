"""Claims to change a primary, coordinated by the platform's service."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
import json
from typing import TYPE_CHECKING
from typing import TypeVar

import gevent
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.failover import Claim
from trefoilpulley_core.direct.failover import publication_delay_s
from trefoilpulley_core.direct.failover import Round
from trefoilpulley_core.direct.log_lineage import LogLineage
from trefoilpulley_core.direct.promotion_service import ClaimOutdated
from trefoilpulley_core.entry_fields import DECODE_ERRORS
from trefoilpulley_core.entry_fields import read_count
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.keys import CLAIM_PREFIX
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_core.position import TermStart

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from typing import Any

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import Platform

CLAIM_TIMEOUT_S = 0.3
"""Timeout of each call for a claim, in seconds.

Without an answer, a failover continues without the service.
"""

CLAIM_RENEWAL_S = 0.85
"""Time after which an order needs its claim written again, in seconds.

`CLAIM_HOLDER_TIMEOUT_S` less the time in which an order is answered: another
host may claim after that, and the holder would learn of it too late.
"""

_Answer = TypeVar('_Answer')


@dataclass(frozen=True, slots=True)
class KnownClaim:
    """Newest claim of a group that this host knows."""

    claim: Claim
    """Claim."""

    revision: int
    """Revision of the claim's key in the service; 0 where it is absent."""

    era: int
    """Era of the revision."""

    at: float
    """Time at which this host learned of the claim, in seconds."""

    former_primary: str | None = None
    """Primary when this host first looked for the effect of the claim."""

    @property
    def version(self) -> tuple[int, int]:
        """Era and revision, in the order of changes."""
        return self.era, self.revision


class ClaimStore:
    """Keeps the newest claim of every group.

    Parameters
    ----------
    host : str
        Name of this host.
    platform : Platform
        The platform's service.
    registered_hosts : Callable[[], Iterable[str]]
        Names of the registered hosts.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        platform: Platform,
        registered_hosts: Callable[[], Iterable[str]],
        clock: Clock,
    ) -> None:
        self._host = host
        self._platform = platform
        self._registered_hosts = registered_hosts
        self._clock = clock
        self._newest_claims: dict[str, KnownClaim] = {}
        self._publications_due: dict[str, float] = {}
        self._lineages: dict[str, LogLineage] = {}
        self._claimed_at: dict[str, float] = {}

    def last_round(self, group: str) -> int:
        """Return the round of a group's newest claim, or 0."""
        newest = self._newest_claims.get(group)
        return newest.claim.round if newest else 0

    def leader_of(self, group: str) -> str:
        """Return the member whose term every later change goes on from.

        Empty where no change has told one.
        """
        newest = self._newest_claims.get(group)
        return newest.claim.leader if newest else ''

    def is_change_known(self, group: str, member: str) -> bool:
        """Return whether only a member's own change may be under way."""
        newest = self._newest_claims.get(group)
        if newest is None or newest.claim.is_settled:
            return True
        return newest.claim.target == member

    def newest(self, group: str) -> Claim | None:
        """Return a group's newest claim, or ``None`` if none is known."""
        newest = self._newest_claims.get(group)
        return newest.claim if newest else None

    def is_open(self, state: GroupState) -> bool:
        """Return whether a group's newest change may still have an effect.

        A change has taken effect if its target has become the primary since
        the claim. It stays over then, whatever becomes of that member.
        """
        known = self._newest_claims.get(state.group)
        if known is None or known.claim.is_settled:
            return False
        if known.former_primary is None:
            known = replace(known, former_primary=state.primary or '')
            self._newest_claims[state.group] = known
        claim = known.claim
        is_new = (
            known.former_primary != claim.target
            or state.last_proof_at >= known.at
        )
        is_over = is_new and state.primary == claim.target
        if claim.is_confirmation or not is_over:
            return True
        self._mark_settled(state.group, claim.round)
        return False

    def confirm_leader(
        self,
        group: str,
        round_number: int,
        leader: str,
        starts: Iterable[TermStart] = (),
    ) -> Result[None, Failure]:
        """Write to the claim of a round which member leads.

        A host that claims a later change has read it, and goes on from the
        leader's log.

        Parameters
        ----------
        group : str
            Group of the change.
        round_number : int
            Round of the newest claim.
        leader : str
            Member that leads, or that will once it is promoted.
        starts : Iterable[TermStart], optional
            Starts of the group's terms that this host knows.

        Returns
        -------
        Result[None, Failure]
            `ClaimOutdated` where another host has begun a change, and
            `RevisionConflict` where the claim was written meanwhile; other
            failures where the service can't confirm the write.
        """
        self.record_term_starts(group, starts)
        if self.last_round(group) != round_number:
            return Failed(ClaimOutdated(f'round {round_number}'))
        known = self._known(group)
        claim = replace(
            known.claim, leader=leader, term_starts=self.term_starts(group)
        )
        result = self._write(group, known, claim)
        if not isinstance(result, Success):
            return Failed(result.failure())
        newest = self._newest_claims.get(group, known)
        if newest.version == known.version:
            self._newest_claims[group] = replace(
                newest, revision=result.unwrap()
            )
        self.set_leader(group, round_number, leader)
        return Success(None)

    def set_leader(self, group: str, round_number: int, leader: str) -> None:
        """Record the leader that a change has confirmed.

        The leader of an earlier round than the newest is out of date. One
        that the service has not been told is published.
        """
        newest = self._known(group)
        is_known = newest.claim.leader == leader
        if newest.claim.round != round_number or is_known:
            return
        claim = replace(newest.claim, leader=leader)
        self._newest_claims[group] = replace(newest, claim=claim)
        if not claim.is_claimed:
            self._publications_due[group] = self._clock.now()

    def settle(self, group: str, round_number: int) -> None:
        """Record and publish that a change can have no effect any more."""
        if self._mark_settled(group, round_number):
            self._publications_due[group] = self._clock.now()

    def find_round(self, group: str) -> Round:
        """Return the round of a group's newest claim."""
        known = self._known(group)
        return Round(known.claim.round, known.era, known.claim.is_claimed)

    def record_claim(
        self, group: str, claim: Claim, revision: int, era: int
    ) -> bool:
        """Record a claim; return whether it announces a new change.

        A claim that was written again announces none.
        """
        self.record_term_starts(group, claim.term_starts)
        newest = self._newest_claims.get(group)
        now = self._clock.now()
        if newest is None:
            self._newest_claims[group] = KnownClaim(claim, revision, era, now)
            return True
        if newest.version >= (era, revision):
            return False
        if claim == newest.claim and newest.claim.is_settled:
            claim = replace(claim, is_settled=True)
        is_higher = claim.round > newest.claim.round
        is_other = claim != newest.claim
        if not is_higher and is_other and self._is_new(claim, era, newest):
            # The holder does not know the higher round. Its change follows
            # that round, so that decisions made before are out of date.
            claim = replace(claim, round=newest.claim.round + 1)
            self._newest_claims[group] = KnownClaim(claim, revision, era, now)
            self._publish_in_turn(group)
            return True
        if claim.round < newest.claim.round:
            # A round used while the service was unavailable, or lost by the
            # service, is higher than the stored round.
            self._newest_claims[group] = replace(
                newest, revision=revision, era=era
            )
            self._publish_in_turn(group)
            return False
        known = KnownClaim(claim, revision, era, now)
        if claim == newest.claim:
            known = replace(
                known, at=newest.at, former_primary=newest.former_primary
            )
        self._newest_claims[group] = known
        self._publications_due.pop(group, None)
        return is_higher or (is_other and claim.is_claimed)

    def term_starts(self, group: str) -> tuple[TermStart, ...]:
        """Return the starts of a group's terms that claims have told."""
        lineage = self._lineages.get(group)
        return lineage.starts if lineage else ()

    def record_term_starts(
        self, group: str, starts: Iterable[TermStart]
    ) -> None:
        """Record starts of terms, which the next claim passes on."""
        self._lineages.setdefault(group, LogLineage()).merge(starts)

    def publish_term_starts(
        self, group: str, starts: Iterable[TermStart]
    ) -> None:
        """Write starts of terms to the group's claim.

        Hosts that start later can't learn them from the members.
        """
        known = self.term_starts(group)
        self.record_term_starts(group, starts)
        if self.term_starts(group) != known and group in self._newest_claims:
            self._publications_due[group] = self._clock.now()

    def use_round(
        self, group: str, round_number: int, target: str = ''
    ) -> Round:
        """Return a round that this host uses without a claim."""
        self.advance_round(group, round_number, target)
        return Round(round_number, self._known(group).era, is_claimed=False)

    def begin_era(self, era: int) -> None:
        """Prepare to write again the claims that the service has lost.

        Parameters
        ----------
        era : int
            Era of a read whose claims have been recorded.
        """
        for group, newest in self._newest_claims.items():
            if newest.era < era:
                self._newest_claims[group] = replace(
                    newest, revision=0, era=era
                )
                self._publish_in_turn(group)

    def advance_round(
        self, group: str, round_number: int, target: str = ''
    ) -> None:
        """Record a round that was used without a claim in the service.

        Parameters
        ----------
        group : str
            Group of the change.
        round_number : int
            Number of the change.
        target : str
            Member whose promotion was ordered; empty if the change is over.
        """
        if round_number > self.last_round(group):
            claim = Claim(
                self._host,
                round_number,
                target,
                is_settled=not target,
                is_claimed=False,
                leader=self.leader_of(group),
            )
            self._newest_claims[group] = replace(
                self._known(group),
                claim=claim,
                at=self._clock.now(),
                former_primary=None,
            )
            self._publications_due[group] = self._clock.now()

    def publish(self) -> None:
        """Write the rounds and starts of terms that the service lacks.

        A host that does not know the rounds either then can't claim one of
        them.
        """
        for group, due_at in tuple(self._publications_due.items()):
            if self._clock.now() < due_at:
                continue
            newest = self._newest_claims[group]
            starts = self.term_starts(group)
            claim = replace(newest.claim, term_starts=starts)
            result = self._platform.compare_and_swap(
                claim_key(group),
                newest.revision,
                _encode_claim(claim),
                era=newest.era,
            )
            if isinstance(result, Success):
                written = replace(newest, claim=claim)
                self._on_published(group, written, result.unwrap())
            elif isinstance(result.failure(), RevisionConflict):
                # Another host has published the same or a later round.
                self._publications_due.pop(group, None)

    def _on_published(
        self, group: str, written: KnownClaim, revision: int
    ) -> None:
        newest = self._newest_claims[group]
        starts = self.term_starts(group)
        is_complete = (
            starts == written.claim.term_starts
            and newest.claim.is_settled == written.claim.is_settled
            and newest.claim.leader == written.claim.leader
        )
        if newest.claim == written.claim and is_complete:
            self._publications_due.pop(group, None)
        if newest.version == written.version:
            # A later round may have been used during the write.
            self._newest_claims[group] = replace(newest, revision=revision)

    def refresh(self, group: str) -> bool:
        """Read the newest claim of a group; return whether it is known now."""
        fetched = self._call(lambda: self._platform.get(claim_key(group)))
        if not isinstance(fetched, Success):
            return False
        entry = fetched.unwrap()
        if entry is not None:
            claim = read_claim(entry).value_or(None)
            if claim is not None:
                self.record_claim(group, claim, entry.mod_revision, entry.era)
        return True

    def try_claim(
        self,
        group: str,
        after_round: int,
        target: str,
        is_confirmation: bool = False,
        primary: str = '',
    ) -> Result[Round, Failure]:
        """Claim the change of a group that follows a round.

        Parameters
        ----------
        group : str
            Group of the change.
        after_round : int
            Round that this host has decided on.
        target : str
            Member to promote.
        is_confirmation : bool
            Whether the target is the present primary.
        primary : str
            Last known primary, which leads if no change has told a leader.

        Returns
        -------
        Result[Round, Failure]
            Round of the claim; `RevisionConflict` where another host claimed
            first; `PlatformDown` or `PlatformAnswerLost` where the service
            can't confirm the claim; `EraChanged` where the service has lost
            writes since the claims were read.
        """
        if self.last_round(group) != after_round:
            return Failed(RevisionConflict(group))
        known = self._known(group)
        starts = self.term_starts(group)
        claim = Claim(
            self._host,
            after_round + 1,
            target,
            starts,
            is_confirmation,
            leader=self.leader_of(group) or primary,
        )
        began_at = self._clock.now()
        result = self._write(group, known, claim)
        if isinstance(result, Success):
            revision = result.unwrap()
        elif isinstance(result.failure(), PlatformAnswerLost):
            found = self._find_own_claim(group, claim, known.era)
            if found is None:
                return result
            revision = found
        else:
            return result
        self.record_claim(group, claim, revision, known.era)
        self._claimed_at[group] = began_at
        return Success(Round(claim.round, known.era))

    def verify_claim(
        self, group: str, claimed: Round
    ) -> Result[None, Failure]:
        """Make sure that no other host has begun a change since a round.

        A claim that is older than the time of its holder is written again,
        which fails once another host has claimed.

        Parameters
        ----------
        group : str
            Group of the change.
        claimed : Round
            Round of this host.

        Returns
        -------
        Result[None, Failure]
            `ClaimOutdated` where another host has begun a change; other
            failures where the service can't confirm the claim.
        """
        outdated = Failed(ClaimOutdated(f'round {claimed.number}'))
        if self.last_round(group) > claimed.number:
            return outdated
        claimed_at = self._claimed_at.get(group, float('-inf'))
        is_recent = self._clock.now() < claimed_at + CLAIM_RENEWAL_S
        if is_recent or not claimed.is_claimed:
            return Success(None)
        known = self._known(group)
        claim = replace(known.claim, term_starts=self.term_starts(group))
        result = self._write(group, known, claim)
        if isinstance(result, Success):
            written = replace(known, claim=claim)
            self._on_published(group, written, result.unwrap())
            return Success(None)
        if isinstance(result.failure(), RevisionConflict):
            return outdated
        return Failed(result.failure())

    def _write(
        self, group: str, known: KnownClaim, claim: Claim
    ) -> Result[int, Failure]:
        """Replace the claim that this host knows; return the new revision."""
        return self._call(
            lambda: self._platform.compare_and_swap(
                claim_key(group),
                known.revision,
                _encode_claim(claim),
                era=known.era,
            )
        )

    def _is_new(self, claim: Claim, era: int, newest: KnownClaim) -> bool:
        """Return whether a claim was written after the read of its era."""
        return newest.era == era and claim.is_claimed

    def _mark_settled(self, group: str, round_number: int) -> bool:
        """Mark the newest claim as settled if it is that of a round."""
        newest = self._newest_claims.get(group)
        if newest is None or newest.claim.round != round_number:
            return False
        claim = replace(newest.claim, is_settled=True)
        self._newest_claims[group] = replace(newest, claim=claim)
        return True

    def _publish_in_turn(self, group: str) -> None:
        """Let the first host in rank write a claim that every host knows."""
        delay_s = publication_delay_s(
            group, self._host, self._registered_hosts()
        )
        self._publications_due.setdefault(group, self._clock.now() + delay_s)

    def _known(self, group: str) -> KnownClaim:
        """Return the newest claim of a group, or an absent one of round 0."""
        newest = self._newest_claims.get(group)
        if newest is not None:
            return newest
        absent = Claim('', 0, '', is_settled=True)
        return KnownClaim(absent, 0, self._platform.era, self._clock.now())

    def _find_own_claim(
        self, group: str, claim: Claim, era: int
    ) -> int | None:
        """Return the revision of a claim whose answer was lost.

        ``None`` if the claim is not in the service, or if the service has
        lost writes since, so that it may have lost the claim. Only this host
        writes claims with its name, and a round is claimed once.
        """
        fetched = self._call(lambda: self._platform.get(claim_key(group)))
        entry = fetched.value_or(None)
        if entry is None or entry.era != era:
            return None
        if read_claim(entry).value_or(None) != claim:
            return None
        return entry.mod_revision

    def _call(
        self, call: Callable[[], Result[_Answer, Failure]]
    ) -> Result[_Answer, Failure]:
        """Call the service within the time that a failover can wait."""
        result: Result[_Answer, Failure] = Failed(
            PlatformAnswerLost('no answer in time')
        )
        with gevent.Timeout(CLAIM_TIMEOUT_S, False):
            result = call()
        return result


def claim_key(group: str) -> str:
    """Return the key of a group's newest claim."""
    return f'{CLAIM_PREFIX}{group}'


def read_claim(entry: KeyValue) -> Result[Claim, Failure]:
    """Decode the value of a claim's key."""
    try:
        fields = json.loads(entry.value)
        target = str(fields['target'])
        return Success(
            Claim(
                str(fields['holder']),
                read_count(fields, 'round'),
                target,
                _read_term_starts(fields.get('term_starts', [])),
                fields.get('is_confirmation') is True,
                fields.get('is_settled') is not False,
                bool(fields.get('is_claimed', bool(target))),
                str(fields.get('leader', '')),
            )
        )
    except DECODE_ERRORS as exc:
        return Failed(MalformedMessage(f'{entry.key}: {exc!r}'))


def _encode_claim(claim: Claim) -> bytes:
    return json.dumps(asdict(claim)).encode()


def _read_term_starts(entries: list[dict[str, Any]]) -> tuple[TermStart, ...]:
    return tuple(
        TermStart(read_count(e, 'term'), read_count(e, 'index'))
        for e in entries
    )
