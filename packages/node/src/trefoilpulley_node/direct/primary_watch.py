"""Monitors the primary of one database group from this host."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.lag_relief import needs_relief
from trefoilpulley_node.direct.reach_check import ReachCheck
from trefoilpulley_node import events
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_node.direct.change_settler import ChangeSettler
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.evidence_exchange import EvidenceExchange
    from trefoilpulley_node.direct.host_vote import HostVote
    from trefoilpulley_node.direct.member_prober import MemberProber
    from trefoilpulley_node.direct.primary_changer import PrimaryChanger

CHECK_INTERVAL_S = 0.1
"""Time between two health checks of the primary, in seconds."""

RELAY_CHECK_INTERVAL_S = 0.4
"""Check interval on a host without connections to the group, in seconds.

The hosts that hold connections check the primary more often. A failed
statement triggers a check at once on any host.
"""

MAX_EVIDENCE_AGE_S = 0.4
"""Age at which the evidence of a group in use is renewed, in seconds."""

EVIDENCE_REQUEST_AGE_S = 0.7
"""Age of the newest evidence at which other hosts are asked, in seconds."""

EVIDENCE_REQUEST_INTERVAL_S = 0.3
"""Time between two evidence requests to other hosts, in seconds.

The other hosts may have no evidence either, since there is none before the
first write.
"""

RELAY_EVIDENCE_REQUEST_AGE_S = 0.8
"""Evidence age at which a host without connections asks, in seconds.

Applies where other hosts hold the connections to the primary and prove its
leadership. Their replies to relayed statements also carry evidence. With one
check interval added, the age stays below 1.5 s, the smallest maximum age that
a route accepts.
"""

IN_USE_TIMEOUT_S = 2.0
"""Time after its last request for which a group is in use, in seconds."""

LEADERLESS_TIMEOUT_S = 0.4
"""Time without a leader before a failover starts, in seconds.

Applies while the members answer but none of them leads.
"""

REPLICA_CHECK_INTERVAL_S = 0.4
"""Time between two health checks of a failed replica, in seconds."""

LEADER_SEARCH_INTERVAL_S = 0.5
"""Time between two leader searches through other hosts, in seconds.

The leader notice and the member's entry in the platform's service usually
arrive first, so that no search is needed.
"""

RELIEF_INTERVAL_S = 2.0
"""Time between two attempts to relieve an overloaded primary, in seconds."""

LOG_INTERVAL_S = 1.0
"""Time between two log events about one unreachable primary, in seconds."""


class PrimaryWatch(Service):
    """Keeps the evidence of a group recent and detects a lost primary.

    Parameters
    ----------
    group : Group
        Group to monitor.
    prober : MemberProber
        Sends health checks and status requests to the members.
    vote : HostVote
        Asks other hosts whether they reach a member.
    changer : PrimaryChanger
        Carries out failovers and handovers.
    settler : ChangeSettler
        Settles changes that have left the primary in place.
    evidence : EvidenceExchange
        Requests proved positions from other hosts.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Records how long the group had no primary.
    """

    def __init__(
        self,
        group: Group,
        prober: MemberProber,
        vote: HostVote,
        changer: PrimaryChanger,
        settler: ChangeSettler,
        evidence: EvidenceExchange,
        clock: Clock,
        metrics: DirectMetrics,
    ) -> None:
        self._metrics = metrics
        self._group = group
        self._prober = prober
        self._vote = vote
        self._check = ReachCheck(group, prober, vote, clock)
        self._changer = changer
        self._settler = settler
        self._evidence = evidence
        self._clock = clock
        self._greenlet: gevent.Greenlet | None = None
        self._leaderless_since: float | None = None
        self._reported_primary: str | None = None
        self._lost_at: float | None = None
        self._change_greenlet: gevent.Greenlet | None = None
        self._evidence_greenlet: gevent.Greenlet | None = None
        self._logged_at = float('-inf')
        self._searched_at = float('-inf')
        self._evidence_requested_at = float('-inf')
        self._replicas_checked_at = float('-inf')
        self._relief_due_at = float('-inf')
        self._was_open = False

    def start(self) -> None:
        """Start monitoring."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop monitoring."""
        self._check.stop()
        for greenlet in (
            self._greenlet,
            self._change_greenlet,
            self._evidence_greenlet,
        ):
            if greenlet is not None:
                greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            interval_s = (
                RELAY_CHECK_INTERVAL_S
                if self._is_relay_only
                else CHECK_INTERVAL_S
            )
            self._group.check_requested.wait(timeout=interval_s)
            self._group.check_requested.clear()
            try:
                self._check_primary()
            # An unexpected error must not end the monitoring.
            except Exception as exc:
                events.HANDLER_CRASHED.log(
                    message='primary-watch', error=repr(exc)
                )
            gevent.sleep(0.01)

    def _check_primary(self) -> None:
        state = self._group.state
        self._report_primary()
        self._report_settled()
        self._check_failed_replicas()
        self._request_evidence()
        health = state.members.get(state.primary or '')
        if health is None:
            self._search_leader()
            return
        self._leaderless_since = None
        now = self._clock.now()
        self._settler.check_replicas(self._group)
        if self._check.is_suspect(health, now):
            self._check_suspect(health)
        elif self._settler.is_due(self._group):
            member = health.record.member
            self._spawn_change(self._settler.settle, self._group, member)
        elif health.record.is_leaving:
            member = health.record.member
            self._spawn_change(self._changer.hand_over, self._group, member)
        elif self._is_relief_due(now):
            self._relief_due_at = now + RELIEF_INTERVAL_S
            member = health.record.member
            self._spawn_change(self._changer.relieve, self._group, member)
        elif self._is_evidence_due(now):
            self._prober.verify_leader(self._group, health.record.member)

    def _search_leader(self) -> None:
        if not self._group.state.members or not self._is_search_allowed():
            return
        if self._prober.find_leader(self._group):
            self._leaderless_since = None
            return
        now = self._clock.now()
        if self._leaderless_since is None:
            self._leaderless_since = now
        if self._group.state.unconfirmed is not None:
            self._confirm_leader(now)
        elif now - self._leaderless_since > LEADERLESS_TIMEOUT_S:
            self._spawn_change(self._changer.fail_over, self._group, None)

    def _confirm_leader(self, now: float) -> None:
        """Confirm a leader that is not confirmed for some time.

        Its promoter confirms it at once. Of the other hosts only the voters
        do, in turn.
        """
        state = self._group.state
        if now - state.unconfirmed.sent_at > LEADERLESS_TIMEOUT_S:
            # The member may not lead any more.
            state.unconfirmed = None
        elif (
            now - self._leaderless_since > LEADERLESS_TIMEOUT_S
            and self._vote.is_voter(self._group)
        ):
            self._spawn_change(self._settler.confirm_leader, self._group)

    def _is_search_allowed(self) -> bool:
        """Return whether the members may be asked now which one leads."""
        now = self._clock.now()
        if (
            self._is_relay_only
            and now - self._searched_at < LEADER_SEARCH_INTERVAL_S
        ):
            return False
        self._searched_at = now
        return True

    def _check_suspect(self, health: MemberHealth) -> None:
        member = health.record.member
        if self._check.is_reachable(member):
            return
        now = self._clock.now()
        failing_since = self._check.on_missed(health, now)
        if now - self._logged_at > LOG_INTERVAL_S:
            self._logged_at = now
            events.PRIMARY_MISSED.log(
                group=self._group.state.group,
                member=member,
                failing_ms=round(1000 * (now - failing_since)),
            )
        self._spawn_change(self._changer.fail_over, self._group, member)
        if self._group.state.primary == member:
            self._prober.find_leader(self._group)

    def _spawn_change(
        self, change: Callable[..., None], *arguments: Any
    ) -> None:
        """Run a change in its own greenlet unless one is running already."""
        if self._change_greenlet is None or self._change_greenlet.ready():
            self._change_greenlet = gevent.spawn(change, *arguments)

    def _check_failed_replicas(self) -> None:
        """Check the replicas that do not answer, at most once per interval."""
        now = self._clock.now()
        if now - self._replicas_checked_at < REPLICA_CHECK_INTERVAL_S:
            return
        self._replicas_checked_at = now
        state = self._group.state
        for member, health in state.members.items():
            if member != state.primary and self._check.is_failing(health):
                gevent.spawn(self._check.check_replica, member)

    def _request_evidence(self) -> None:
        """Request evidence from other hosts where the newest is too old."""
        state = self._group.state
        now = self._clock.now()
        if now - state.last_request_at > IN_USE_TIMEOUT_S:
            return
        newest = state.evidence.newest
        max_age_s = (
            RELAY_EVIDENCE_REQUEST_AGE_S
            if self._is_primary_relayed
            else EVIDENCE_REQUEST_AGE_S
        )
        if newest is not None and now - newest.at < max_age_s:
            return
        if now - self._evidence_requested_at < EVIDENCE_REQUEST_INTERVAL_S:
            return
        self._evidence_requested_at = now
        if self._evidence_greenlet is None or self._evidence_greenlet.ready():
            self._evidence_greenlet = gevent.spawn(
                self._evidence.request_evidence, self._group
            )

    @property
    def _is_relay_only(self) -> bool:
        """Whether this host has no connection of its own to any member."""
        accesses = self._group.accesses.values()
        return bool(accesses) and all(a.is_relayed for a in accesses)

    @property
    def _is_primary_relayed(self) -> bool:
        """Whether other hosts hold the connections to the primary."""
        access = self._group.find_access(self._group.state.primary or '')
        return access is not None and access.is_relayed

    def _is_relief_due(self, now: float) -> bool:
        """Return whether this host should relieve the primary now.

        Only the voters act: a status request takes a slot of the primary, and
        every host sees the overload.
        """
        if now < self._relief_due_at:
            return False
        return needs_relief(self._group.state, now) and self._vote.is_voter(
            self._group
        )

    def _is_evidence_due(self, now: float) -> bool:
        state = self._group.state
        if self._is_primary_relayed:
            # The holders prove the primary's leadership for every host.
            return False
        if now - state.last_request_at > IN_USE_TIMEOUT_S:
            return False
        return now - state.last_proof_at > MAX_EVIDENCE_AGE_S

    def _report_settled(self) -> None:
        """Wake the writes that have waited for the end of a change."""
        was_open, self._was_open = (
            self._was_open,
            self._settler.is_open(self._group),
        )
        if was_open and not self._was_open:
            self._group.notify_primary_changed()

    def _record_gap(self, health: MemberHealth | None) -> None:
        """Record how long the group had no primary that answers."""
        now = self._clock.now()
        is_lost = health is None or health.failing_since is not None
        if is_lost and self._lost_at is None:
            self._lost_at = now
        elif not is_lost and self._lost_at is not None:
            self._metrics.observe('primary_gap_seconds', now - self._lost_at)
            self._lost_at = None

    def _report_primary(self) -> None:
        state = self._group.state
        self._record_gap(state.members.get(state.primary or ''))
        if state.primary != self._reported_primary:
            self._reported_primary = state.primary
            events.PRIMARY_PROVED.log(
                group=state.group, member=state.primary, term=state.term
            )
