"""Watches the primary of one group from this host."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_node import events
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.proxy.group_state import MemberHealth
    from trefoilpulley_node.proxy.directory import Group
    from trefoilpulley_node.proxy.evidence_exchange import EvidenceExchange
    from trefoilpulley_node.proxy.host_vote import HostVote
    from trefoilpulley_node.proxy.member_prober import MemberProber
    from trefoilpulley_node.proxy.primary_changer import PrimaryChanger
    from trefoilpulley_node.proxy.proxy_metrics import ProxyMetrics

CHECK_INTERVAL_S = 0.1
"""Time between two looks at the primary, in seconds."""

RELAY_CHECK_INTERVAL_S = 0.4
"""The same on a host that holds no connection to the group, in seconds.

Whoever holds one looks at the primary; trouble with a statement wakes the
watch at once.
"""

SILENCE_TIMEOUT_S = 0.25
"""Silence of a primary with statements in flight that needs a look.

Above the time of the slowest statement behind a full queue.
"""

MAX_EVIDENCE_AGE_S = 0.4
"""Age at which evidence is renewed while the group is in use."""

EVIDENCE_REQUEST_AGE_S = 0.7
"""Age of the newest evidence at which other hosts are asked for theirs."""

EVIDENCE_REQUEST_INTERVAL_S = 0.3
"""Time between two questions for evidence, in seconds.

Others may have none either, as long as nobody has written.
"""

RELAY_EVIDENCE_REQUEST_AGE_S = 0.8
"""The same where the holders of the primary prove its lead, in seconds.

Replies of holders bring evidence along; with one look more it stays below
1.5 s, the least age that routes accept.
"""

IN_USE_TIMEOUT_S = 2.0
"""Time after its last request for which a group counts as in use."""

LEADERLESS_TIMEOUT_S = 0.4
"""Time without a leader, at members that answer, before one is chosen."""

REPLICA_CHECK_INTERVAL_S = 0.4
"""Time between two questions to a replica that does not answer."""

LEADER_SEARCH_INTERVAL_S = 0.5
"""Time between two searches for a leader through other hosts, in seconds.

Its notice and its entry come without a search in most cases.
"""

MAX_HOSTS_PER_ROLE = 2
"""Holders, and voters, that are asked for a member together."""

LOG_INTERVAL_S = 1.0
"""Time between two log lines on one primary that is missed."""


class PrimaryWatch(Service):
    """Keeps proof of the primary fresh and notices its loss.

    Parameters
    ----------
    group : Group
        Group to watch.
    prober : MemberProber
        Asks the members.
    vote : HostVote
        Asks other hosts for a member.
    changer : PrimaryChanger
        Changes the primary.
    evidence : EvidenceExchange
        Asks other hosts for proved positions.
    clock : Clock
        Monotonic time.
    metrics : ProxyMetrics
        Takes the time without a primary.
    """

    def __init__(
        self,
        group: Group,
        prober: MemberProber,
        vote: HostVote,
        changer: PrimaryChanger,
        evidence: EvidenceExchange,
        clock: Clock,
        metrics: ProxyMetrics,
    ) -> None:
        self._metrics = metrics
        self._group = group
        self._prober = prober
        self._vote = vote
        self._changer = changer
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

    def start(self) -> None:
        """Begin to watch."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to watch."""
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
            except Exception as exc:  # a fault here must not end the watch
                events.HANDLER_CRASHED.log(
                    message='primary-watch', error=repr(exc)
                )
            gevent.sleep(0.01)

    def _check_primary(self) -> None:
        state = self._group.state
        self._report_primary()
        self._check_failed_replicas()
        self._request_evidence()
        health = state.members.get(state.primary or '')
        if health is None:
            self._search_leader()
            return
        self._leaderless_since = None
        now = self._clock.now()
        health.note_leaving(now)
        if _is_suspect(health, now):
            self._on_suspect(health)
        elif health.record.is_leaving:
            member = health.record.member
            self._spawn_change(self._changer.hand_over, self._group, member)
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
        if now - self._leaderless_since > LEADERLESS_TIMEOUT_S:
            self._spawn_change(self._changer.fail_over, self._group, None)

    def _is_search_allowed(self) -> bool:
        """Return whether to ask the members now which one leads."""
        now = self._clock.now()
        if (
            self._is_relay_only
            and now - self._searched_at < LEADER_SEARCH_INTERVAL_S
        ):
            return False
        self._searched_at = now
        return True

    def _is_member_reachable(self, member: str) -> bool:
        """Return whether a member answers, at the least cost to it."""
        access = self._group.find_access(member)
        voters = list(self._vote.voters(self._group))
        if access is None or not access.is_relayed:
            return self._prober.can_connect(self._group, member)
        hosts = {
            *access.holders[:MAX_HOSTS_PER_ROLE],
            *voters[:MAX_HOSTS_PER_ROLE],
        }
        if not self._vote.is_reached(self._group, member, sorted(hosts)):
            return False
        access.health.on_answer(self._clock.now(), access.health.position)
        return True

    def _on_suspect(self, health: MemberHealth) -> None:
        member = health.record.member
        if self._is_member_reachable(member):
            return
        now = self._clock.now()
        if health.failing_since is None:
            health.on_unreachable(now)
        if now - self._logged_at > LOG_INTERVAL_S:
            self._logged_at = now
            events.PRIMARY_MISSED.log(
                group=self._group.state.group,
                member=member,
                failing_ms=round(1000 * (now - health.failing_since)),
            )
        self._spawn_change(self._changer.fail_over, self._group, member)
        if self._group.state.primary == member:
            self._prober.find_leader(self._group)

    def _spawn_change(
        self, change: Callable[..., None], *arguments: Any
    ) -> None:
        """Run a change beside the watch, one at a time."""
        if self._change_greenlet is None or self._change_greenlet.ready():
            self._change_greenlet = gevent.spawn(change, *arguments)

    def _check_failed_replicas(self) -> None:
        """Ask the replicas that stopped to answer, now and then."""
        now = self._clock.now()
        if now - self._replicas_checked_at < REPLICA_CHECK_INTERVAL_S:
            return
        self._replicas_checked_at = now
        state = self._group.state
        for member, health in state.members.items():
            if health.failing_since is not None and member != state.primary:
                gevent.spawn(self._is_member_reachable, member)

    def _request_evidence(self) -> None:
        """Ask other hosts while this one has no proof of its own."""
        state = self._group.state
        now = self._clock.now()
        if now - state.asked_at > IN_USE_TIMEOUT_S:
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
        """Whether this host holds no connection to the group."""
        accesses = self._group.accesses.values()
        return bool(accesses) and all(p.is_relayed for p in accesses)

    @property
    def _is_primary_relayed(self) -> bool:
        """Whether other hosts hold the connections to the primary."""
        access = self._group.find_access(self._group.state.primary or '')
        return access is not None and access.is_relayed

    def _is_evidence_due(self, now: float) -> bool:
        state = self._group.state
        if self._is_primary_relayed:
            # The holders prove it for every host.
            return False
        if now - state.asked_at > IN_USE_TIMEOUT_S:
            return False
        return now - state.proved_at > MAX_EVIDENCE_AGE_S

    def _record_gap(self, health: MemberHealth | None) -> None:
        """Note how long the group has had no primary that answers."""
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


def _is_suspect(health: MemberHealth, now: float) -> bool:
    if health.failing_since is not None:
        return True
    if not health.in_flight:
        return False
    return (
        now - max(health.last_answer_at, health.silent_since)
        > SILENCE_TIMEOUT_S
    )
