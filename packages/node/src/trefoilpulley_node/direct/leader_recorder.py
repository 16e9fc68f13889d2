"""Confirms new primaries: later changes go on from the log that they have."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.direct.failover import choose_voters
from trefoilpulley_core.direct.failover import LeaderNotice
from trefoilpulley_core.direct.promotion_service import ClaimOutdated
from trefoilpulley_core.direct.target_choice import has_caught_up
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_core.position import TermStart
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.failover import OrderNotice
    from trefoilpulley_core.direct.upstream_session import LogStatus
    from trefoilpulley_core.position import Position
    from trefoilpulley_node.direct.claim_store import ClaimStore
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.member_prober import MemberProber
    from trefoilpulley_node.peers import Peers

NOTICE_TIMEOUT_S = 0.35
"""Timeout of a notice to another host, in seconds."""

CATCH_UP_POLL_INTERVAL_S = 0.03
"""Time between two checks of a successor's log, in seconds."""


class LeaderRecorder:
    """Confirms a new primary to every host that may begin a later change.

    A member that is promoted leads with the log that it has. A host that does
    not know where its term begins may promote a longer log of an earlier term
    later, with commits that reads at the member lacked. So a new primary
    serves only once the start of its term is written to the claim or, while
    the service is unavailable, known to most hosts.

    Parameters
    ----------
    host : str
        Name of this host.
    prober : MemberProber
        Sends status requests to the members.
    claims : ClaimStore
        Newest claim of each group.
    peers : Peers
        Connections to the other hosts.
    registered_hosts : Callable[[], Mapping[str, str]]
        Availability zone of each registered host, this one included.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        prober: MemberProber,
        claims: ClaimStore,
        peers: Peers,
        registered_hosts: Callable[[], Mapping[str, str]],
        clock: Clock,
    ) -> None:
        self._host = host
        self._prober = prober
        self._claims = claims
        self._peers = peers
        self._registered_hosts = registered_hosts
        self._clock = clock

    def record(
        self,
        group: Group,
        member: str,
        round_number: int,
        received: Position | None = None,
        status: LogStatus | None = None,
    ) -> bool:
        """Confirm a member that leads; return whether it is confirmed.

        Parameters
        ----------
        group : Group
            Group of the member.
        member : str
            Member that leads.
        round_number : int
            Round of the newest claim.
        received : Position or None
            End of the member's log before its promotion, if nothing can have
            reached it since.
        status : LogStatus or None
            Status of the member since it leads, if it is known already.
        """
        name = group.state.group
        if self._claims.leader_of(name) == member:
            # The other hosts wait for the leader only.
            self.announce(group, member, round_number)
            self._read_term_start(group, member, received, status)
            self._claims.publish_term_starts(name, group.state.lineage.starts)
            if not self._claims.find_round(name).is_claimed:
                # Nothing but another notice tells the other hosts the start.
                self.announce(group, member, round_number)
            return True
        if not self._read_term_start(group, member, received, status):
            return False
        written = self._claims.confirm_leader(
            name, round_number, member, group.state.lineage.starts
        )
        is_confirmed = isinstance(written, Success)
        if not is_confirmed and not isinstance(
            written.failure(), ClaimOutdated | RevisionConflict
        ):
            is_confirmed = self._ask_hosts(group, member, round_number)
        events.LEADER_CONFIRMED.log(
            group=name,
            member=member,
            round=round_number,
            is_confirmed=is_confirmed,
            failure=written.swap().map(lambda f: f.code).value_or(None),
        )
        if is_confirmed:
            self._claims.set_leader(name, round_number, member)
            self.on_confirmed(group)
            self.announce(group, member, round_number)
        return is_confirmed

    def record_successor(
        self,
        group: Group,
        target: str,
        round_number: int,
        demoted: LogStatus | None,
        until: float,
    ) -> None:
        """Confirm the target of a change before it leads, if it has the log.

        Parameters
        ----------
        group : Group
            Group of the member.
        target : str
            Member whose promotion is ordered.
        round_number : int
            Round of the change.
        demoted : LogStatus or None
            Status of the former primary, which no longer leads; ``None`` if
            the target is known to have every acknowledged commit.
        until : float
            Time at which the promotion should be over, in seconds.
        """
        while demoted is not None:
            status = self._prober.read_status(group, target)
            if status and has_caught_up(group.state, status, demoted):
                break
            if self._clock.now() >= until:
                return
            gevent.sleep(CATCH_UP_POLL_INTERVAL_S)
        self._claims.confirm_leader(group.state.group, round_number, target)

    def on_confirmed(self, group: Group) -> None:
        """Let requests run at a leader that has been confirmed."""
        if group.state.on_leader_confirmed():
            group.notify_primary_changed()
        elif group.state.primary is None:
            group.check_requested.set()

    def announce(self, group: Group, member: str, round_number: int) -> None:
        """Notify all hosts of a confirmed leader.

        A host that can't reach the platform's service learns of the leader by
        this notice only.
        """
        notice = LeaderNotice(
            group.state.group,
            member,
            round_number,
            group.state.lineage.starts,
        )
        self.notify_hosts(notice)

    def notify_hosts(self, notice: LeaderNotice | OrderNotice) -> None:
        """Send a notice to all other hosts without waiting for them."""
        self._notify(self._registered_hosts(), notice)

    def _notify(
        self, hosts: Iterable[str], notice: LeaderNotice | OrderNotice
    ) -> dict[str, gevent.Greenlet]:
        return {
            host: gevent.spawn(
                self._peers.call_host, host, notice, NOTICE_TIMEOUT_S
            )
            for host in hosts
            if host != self._host
        }

    def _read_term_start(
        self,
        group: Group,
        member: str,
        received: Position | None,
        status: LogStatus | None,
    ) -> bool:
        """Record where the term of a primary begins, if the primary tells.

        A commit that the primary has made since then hides the start. The end
        of its log before the promotion is then the latest that is certain.
        """
        lineage = group.state.lineage
        if status is None:
            status = self._prober.read_status(group, member)
        if status is None or not status.is_primary:
            return False
        lineage.on_status(status)
        has_commit = status.received.term == status.term
        if has_commit and received is not None:
            lineage.record(TermStart(status.term, received.index + 1))
        return True

    def _ask_hosts(self, group: Group, member: str, round_number: int) -> bool:
        """Return whether most hosts confirm that they know the term's start.

        Most voters outside the member's zone must confirm it as well: only
        they decide on a failover while that zone is cut off.
        """
        state = group.state
        voters = choose_voters(state.group, self._registered_hosts())
        notice = LeaderNotice(
            state.group,
            member,
            round_number,
            state.lineage.starts,
            is_confirmed=False,
        )
        pending = self._notify(voters, notice)
        gevent.joinall(list(pending.values()), timeout=NOTICE_TIMEOUT_S)
        knowing = {self._host} | {
            host
            for host, greenlet in pending.items()
            if greenlet.value is not None
            and greenlet.value.value_or(None) == notice
        }
        health = state.members.get(member)
        zone = health.record.zone if health else ''
        outside = {h for h, z in voters.items() if z != zone}
        return _is_majority(knowing, set(voters)) and _is_majority(
            knowing, outside
        )


def _is_majority(hosts: set[str], among: set[str]) -> bool:
    return 2 * len(hosts & among) > len(among) or not among
