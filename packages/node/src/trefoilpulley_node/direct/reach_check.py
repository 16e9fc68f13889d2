"""Checks of one group's members: by this host itself, and by any path."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.host_vote import HostVote
    from trefoilpulley_node.direct.member_access import MemberAccess
    from trefoilpulley_node.direct.member_prober import MemberProber

SILENCE_TIMEOUT_S = 0.25
"""Time without an answer after which the primary is checked, in seconds.

Applies while statements are in flight. The timeout exceeds the duration of the
slowest statement behind a full queue of the member.
"""

MAX_HOSTS_PER_ROLE = 2
"""Maximum number of holders, and of voters, asked to check a member."""


class ReachCheck:
    """Checks whether members answer, and records what was found.

    Parameters
    ----------
    group : Group
        Group of the members.
    prober : MemberProber
        Sends health checks to the members.
    vote : HostVote
        Asks other hosts whether they reach a member.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, group: Group, prober: MemberProber, vote: HostVote, clock: Clock
    ) -> None:
        self._group = group
        self._prober = prober
        self._vote = vote
        self._clock = clock
        self._path_greenlets: dict[str, gevent.Greenlet] = {}

    def stop(self) -> None:
        """Stop the checks that run."""
        for greenlet in self._path_greenlets.values():
            greenlet.kill(block=False)

    def is_reachable(self, member: str) -> bool:
        """Return whether a member answers.

        Where other hosts hold the connections to the member, the check goes
        through these hosts, so that the member gets no additional connection
        from this host.
        """
        access = self._group.find_access(member)
        if access is None or not access.is_relayed:
            return self._prober.can_connect(self._group, member)
        hosts = self._checking_hosts(access)
        if not self._vote.is_reached(self._group, member, sorted(hosts)):
            return False
        access.local_pool.reach.on_answer(self._clock.now())
        return True

    def is_failing(self, health: MemberHealth) -> bool:
        """Return whether a member does not answer, this host or by any path.

        A holder that is cut off checks the member although it is reachable
        through other holders.
        """
        if health.failing_since is not None:
            return True
        access = self._group.find_access(health.record.member)
        if access is None:
            return False
        return access.local_pool.reach.own.failing_since is not None

    def is_suspect(self, health: MemberHealth, now: float) -> bool:
        """Return whether a member fails, or is silent for too long."""
        if self.is_failing(health):
            return True
        access = self._group.find_access(health.record.member)
        if access is None:
            return False
        return access.local_pool.reach.own.is_silent(now, SILENCE_TIMEOUT_S)

    def on_missed(self, health: MemberHealth, now: float) -> float:
        """Record that this host misses a member; return since when."""
        access = self._group.find_access(health.record.member)
        if access is None:
            health.on_unreachable(now)
            return health.failing_since
        access.local_pool.on_unreachable(now)
        self._check_paths(access)
        return access.local_pool.reach.own.failing_since

    def check_replica(self, member: str) -> None:
        """Check a replica that does not answer."""
        access = self._group.find_access(member)
        if not self.is_reachable(member) and access is not None:
            self._check_paths(access)

    def _checking_hosts(self, access: MemberAccess) -> set[str]:
        """Return the hosts that check a member for a host that relays."""
        voters = list(self._vote.voters(self._group))
        return {
            *access.holders[:MAX_HOSTS_PER_ROLE],
            *voters[:MAX_HOSTS_PER_ROLE],
        }

    def _check_paths(self, access: MemberAccess) -> None:
        """Check whether the holders that were not asked reach a member.

        Requests go through them although neither this host nor the hosts that
        check for it reach the member.
        """
        member = access.health.record.member
        asked = self._checking_hosts(access) if access.is_relayed else set()
        others = sorted(set(access.other_holders) - asked)
        if not others:
            if self.is_failing(access.health):
                access.health.on_unreachable(self._clock.now())
            return
        running = self._path_greenlets.get(member)
        if running is None or running.ready():
            self._path_greenlets[member] = gevent.spawn(
                self._ask_holders, access, others
            )

    def _ask_holders(self, access: MemberAccess, holders: list[str]) -> None:
        health = access.health
        member = health.record.member
        if self._vote.is_reached(self._group, member, holders):
            # The change of a primary goes by what this host itself reaches.
            health.on_answer(self._clock.now(), health.position)
        elif self.is_failing(health):
            health.on_unreachable(self._clock.now())
