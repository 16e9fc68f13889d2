"""Asks the hosts whether a primary is lost, and answers them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.proxy.succession import choose_voters
from trefoilpulley_core.proxy.succession import has_loss_quorum
from trefoilpulley_core.proxy.succession import ReachQuestion
from trefoilpulley_core.proxy.succession import ReachReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.proxy.directory import Group
    from trefoilpulley_node.proxy.member_prober import MemberProber

VOTE_TIMEOUT_S = 0.35
"""Longest wait for what other hosts say of a member, in seconds."""

VOTE_VALID_S = 1.5
"""Time for which a vote tells how many hosts answer, in seconds.

Votes follow each other sooner while a primary is missed.
"""

RECENT_ANSWER_S = 0.15
"""Age up to which an answer shows that a member is reached."""


class HostVote:
    """What the registered hosts say of a member.

    Parameters
    ----------
    host : str
        Name of this host.
    prober : MemberProber
        Asks the members.
    peers : Peers
        Other hosts.
    registered_hosts : Callable[[], Mapping[str, str]]
        Availability zone of each registered host, this one included.
    groups : Mapping[str, Group]
        Groups by name.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        prober: MemberProber,
        peers: Peers,
        registered_hosts: Callable[[], Mapping[str, str]],
        groups: Mapping[str, Group],
        clock: Clock,
    ) -> None:
        self._host = host
        self._prober = prober
        self._peers = peers
        self._registered = registered_hosts
        self._groups = groups
        self._clock = clock
        self._answers = 1.0
        self._asked_at = float('-inf')

    def ask(self, group: Group, lost: str | None) -> tuple[ReachReport, ...]:
        """Return what the hosts say that answer in time."""
        if lost is None:
            return ()
        question = ReachQuestion(group.state.group, lost)
        jury = [h for h in self.jury(group) if h != self._host]
        asked = [
            gevent.spawn(self._peers.call_host, host, question, VOTE_TIMEOUT_S)
            for host in jury
        ]
        reports: tuple[ReachReport, ...] = ()
        for done in gevent.iwait(asked, timeout=VOTE_TIMEOUT_S):
            report = done.value.value_or(None) if done.value else None
            if not isinstance(report, ReachReport):
                continue
            reports = (*reports, report)
            if self.is_lost(group, lost, reports, is_claimed=False):
                # No answer that is still out can change the outcome.
                break
        gevent.killall(asked, block=False)
        self._answers = (1 + len(reports)) / (1 + len(jury))
        self._asked_at = self._clock.now()
        return reports

    def jury(self, group: Group) -> dict[str, str]:
        """Return the zones of the hosts that vote, this one included."""
        jury = choose_voters(group.state.group, self._registered())
        jury.setdefault(self._host, self._registered()[self._host])
        return jury

    def is_reached(
        self, group: Group, member: str, hosts: Iterable[str]
    ) -> bool:
        """Return whether a member answers one of some hosts."""
        question = ReachQuestion(group.state.group, member)
        asked = [
            gevent.spawn(self._peers.call_host, host, question, VOTE_TIMEOUT_S)
            for host in hosts
        ]
        for done in gevent.iwait(asked, timeout=VOTE_TIMEOUT_S):
            report = done.value.value_or(None) if done.value else None
            if isinstance(report, ReachReport) and report.is_reached:
                return True
        return False

    def is_lost(
        self,
        group: Group,
        lost: str,
        reports: Sequence[ReachReport],
        is_claimed: bool,
    ) -> bool:
        """Return whether enough hosts miss a member."""
        health = group.state.members.get(lost)
        zone = health.record.zone if health else ''
        return has_loss_quorum(reports, self.jury(group), zone, is_claimed)

    def on_reach_question(self, question: ReachQuestion) -> ReachReport:
        """Return whether a member answers this host."""
        group = self._groups.get(question.group)
        if group is None:
            return ReachReport(self._host, is_reached=False)
        health = group.state.members.get(question.member)
        now = self._clock.now()
        if health and now - health.last_answer_at < RECENT_ANSWER_S:
            return ReachReport(self._host, is_reached=True)
        reached = self._prober.reach(group, question.member)
        if not reached:
            access = group.pool_of(question.member)
            if access is not None and access.is_relayed:
                # Without statements of its own it would not notice.
                access.health.on_unreachable(now)
            group.attention.set()
        return ReachReport(self._host, reached)

    def recent_answers(self, now: float) -> float | None:
        """Return the part of the hosts that answered a recent vote."""
        if now - self._asked_at > VOTE_VALID_S:
            return None
        return self._answers
