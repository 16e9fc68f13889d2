"""Recurring work of a host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.drain import BALANCER_DETECTION_S
from trefoilpulley_core.direct.isolation import IsolationDetector
from trefoilpulley_core.direct.isolation import Reachability
from trefoilpulley_node import events
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.direct.claim_store import ClaimStore
    from trefoilpulley_node.direct.directory import GroupDirectory
    from trefoilpulley_node.direct.host_view import HostView
    from trefoilpulley_node.direct.platform_follower import PlatformFollower
    from trefoilpulley_node.direct.primary_wait import PrimaryWait
    from trefoilpulley_node.direct.relay_server import RelayServer
    from trefoilpulley_node.direct.session_registry import SessionRegistry

MAINTENANCE_INTERVAL_S = 0.25
"""Time between two maintenance runs, in seconds."""


class HostMaintenance(Service):
    """Ends what has expired and notices whether the host is cut off.

    Parameters
    ----------
    directory : GroupDirectory
        Groups and their connections.
    follower : PlatformFollower
        Follows the platform's service.
    claims : ClaimStore
        Claims that the service may lack.
    relay_server : RelayServer
        Leases of other hosts.
    sessions : SessionRegistry
        Sessions of callers.
    primary_wait : PrimaryWait
        Tells which groups have lost their primary.
    hosts : HostView
        Registered and reachable hosts.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        directory: GroupDirectory,
        follower: PlatformFollower,
        claims: ClaimStore,
        relay_server: RelayServer,
        sessions: SessionRegistry,
        primary_wait: PrimaryWait,
        hosts: HostView,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._follower = follower
        self._claims = claims
        self._relay_server = relay_server
        self._sessions = sessions
        self._primary_wait = primary_wait
        self._hosts = hosts
        self._clock = clock
        self._isolation = IsolationDetector()
        self._greenlet: gevent.Greenlet | None = None
        self.is_isolated = False
        """Whether the host was cut off at the last run."""

    @property
    def isolated_s(self) -> float:
        """Time for which the host has been cut off, in seconds."""
        return self._isolation.duration_s(self._clock.now())

    @property
    def lost_group_count(self) -> int:
        """Number of groups whose primary does not answer."""
        groups = self._directory.groups.values()
        return sum(self._primary_wait.is_lost(g) for g in groups)

    def start(self) -> None:
        """Start the recurring runs."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the recurring runs."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_INTERVAL_S)
            try:
                self._maintain()
            # An unexpected error must not end the maintenance.
            except Exception as exc:
                events.HANDLER_CRASHED.log(
                    message='maintenance', error=repr(exc)
                )

    def _maintain(self) -> None:
        self._follower.remove_expired()
        self._directory.trim()
        self._relay_server.end_idle(
            self._directory.table.transaction_idle_timeout_s
        )
        self._update_isolation()
        if self._follower.is_following:
            self._claims.publish()

    def _update_isolation(self) -> None:
        now = self._clock.now()
        self._isolation.update(
            Reachability(
                len(self._directory.groups),
                self.lost_group_count,
                len(self._hosts.registered),
                self._hosts.count_reachable(now),
            ),
            now,
        )
        isolated_s = self.isolated_s
        if self.is_isolated != (isolated_s > 0):
            self.is_isolated = isolated_s > 0
            events.ISOLATION_CHANGED.log(is_cut_off=self.is_isolated)
        if isolated_s > BALANCER_DETECTION_S:
            self._sessions.close_idle()
