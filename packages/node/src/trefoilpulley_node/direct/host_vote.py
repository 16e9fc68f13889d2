"""Asks other hosts whether they reach a member, and answers them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.failover import choose_voters
from trefoilpulley_core.direct.failover import has_loss_quorum
from trefoilpulley_core.direct.failover import ReachQuestion
from trefoilpulley_core.direct.failover import ReachReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.commit_roster import CommitRoster
    from trefoilpulley_core.position import TermStart
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.member_prober import MemberProber
    from trefoilpulley_node.peers import Peers

VOTE_TIMEOUT_S = 0.35
"""Timeout for the reports of other hosts on a member, in seconds."""

MAX_RECENT_ANSWER_AGE_S = 0.15
"""Age up to which a member's last answer proves it reachable, in seconds."""


class HostVote:
    """Collects the reports of a group's voters on a member.

    Parameters
    ----------
    host : str
        Name of this host.
    prober : MemberProber
        Checks whether this host reaches a member.
    peers : Peers
        Connections to the other hosts.
    registered_hosts : Callable[[], Mapping[str, str]]
        Availability zone of each registered host, this one included.
    groups : Mapping[str, Group]
        Groups by name.
    clock : Clock
        Monotonic time.
    find_roster : Callable[[str], CommitRoster | None], optional
        Returns the roster that this host knows of a group.
    find_term_starts : Callable[[str], tuple[TermStart, ...]], optional
        Returns the starts of a group's terms that this host knows.
    """

    def __init__(
        self,
        host: str,
        prober: MemberProber,
        peers: Peers,
        registered_hosts: Callable[[], Mapping[str, str]],
        groups: Mapping[str, Group],
        clock: Clock,
        find_roster: Callable[[str], CommitRoster | None] = lambda _: None,
        find_term_starts: Callable[
            [str], tuple[TermStart, ...]
        ] = lambda _: (),
    ) -> None:
        self._host = host
        self._prober = prober
        self._peers = peers
        self._registered_hosts = registered_hosts
        self._groups = groups
        self._clock = clock
        self._find_roster = find_roster
        self._find_term_starts = find_term_starts

    def collect_reports(
        self,
        group: Group,
        lost_member: str | None,
        endpoint: Endpoint | None = None,
    ) -> tuple[ReachReport, ...]:
        """Return the reports of the voters that answer before the timeout.

        Parameters
        ----------
        group : Group
            Group of the member.
        lost_member : str or None
            Member that this host does not reach.
        endpoint : Endpoint, optional
            Address of the member if it may not be listed any more.
        """
        if lost_member is None:
            return ()
        question = ReachQuestion(group.state.group, lost_member, endpoint)
        voters = [h for h in self.voters(group) if h != self._host]
        greenlets = [
            gevent.spawn(self._peers.call_host, host, question, VOTE_TIMEOUT_S)
            for host in voters
        ]
        reports: tuple[ReachReport, ...] = ()
        for greenlet in gevent.iwait(greenlets, timeout=VOTE_TIMEOUT_S):
            report = greenlet.value.value_or(None) if greenlet.value else None
            if not isinstance(report, ReachReport):
                continue
            reports = (*reports, report)
            if self.is_lost(
                group, lost_member, reports, is_service_available=False
            ):
                # The outcome is decided: no outstanding report can change it.
                break
        gevent.killall(greenlets, block=False)
        return reports

    def voters(self, group: Group) -> dict[str, str]:
        """Return the availability zone of each voter, this host included."""
        voters = choose_voters(group.state.group, self._registered_hosts())
        voters.setdefault(self._host, self._registered_hosts()[self._host])
        return voters

    def is_voter(self, group: Group) -> bool:
        """Return whether this host is one of the few that watch a group."""
        registered = self._registered_hosts()
        return self._host in choose_voters(group.state.group, registered)

    def is_reached(
        self, group: Group, member: str, hosts: Iterable[str]
    ) -> bool:
        """Return whether at least one of the given hosts reaches a member."""
        question = ReachQuestion(group.state.group, member)
        greenlets = [
            gevent.spawn(self._peers.call_host, host, question, VOTE_TIMEOUT_S)
            for host in hosts
        ]
        for greenlet in gevent.iwait(greenlets, timeout=VOTE_TIMEOUT_S):
            report = greenlet.value.value_or(None) if greenlet.value else None
            if isinstance(report, ReachReport) and report.is_reached:
                return True
        return False

    def is_lost(
        self,
        group: Group,
        lost_member: str,
        reports: Sequence[ReachReport],
        is_service_available: bool,
    ) -> bool:
        """Return whether enough voters can't reach a member."""
        health = group.state.members.get(lost_member)
        zone = health.record.zone if health else ''
        return has_loss_quorum(
            reports, self.voters(group), zone, is_service_available
        )

    def on_reach_question(self, question: ReachQuestion) -> ReachReport:
        """Return whether this host reaches a member.

        Answers that a holder has got through other holders do not count.
        """
        group = self._groups.get(question.group)
        if group is None:
            return ReachReport(self._host, is_reached=False)
        known = (
            self._find_roster(question.group),
            self._find_term_starts(question.group),
        )
        access = group.find_access(question.member)
        now = self._clock.now()
        if access is not None:
            answered_at = access.local_pool.reach.own.last_answer_at
            if now - answered_at < MAX_RECENT_ANSWER_AGE_S:
                return ReachReport(self._host, True, *known)
        is_reachable = self._prober.can_connect(
            group, question.member, question.endpoint
        )
        if not is_reachable:
            if access is not None and access.is_relayed:
                # This host sends no statements of its own to the member, so
                # that no failed statement would reveal the loss. The primary
                # is checked; requests may still reach it through its holders.
                access.local_pool.on_unreachable(now)
            group.check_requested.set()
        return ReachReport(self._host, is_reachable, *known)
