"""Recurring work of a host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.drain import BALANCER_DETECTION_S
from trefoilpulley_node import events
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from trefoilpulley_node.direct.claim_store import ClaimStore
    from trefoilpulley_node.direct.directory import GroupDirectory
    from trefoilpulley_node.direct.isolation_watch import IsolationWatch
    from trefoilpulley_node.direct.platform_follower import PlatformFollower
    from trefoilpulley_node.direct.primary_wait import PrimaryWait
    from trefoilpulley_node.direct.relay_server import RelayServer
    from trefoilpulley_node.direct.roster_keeper import RosterKeeper
    from trefoilpulley_node.direct.session_registry import SessionRegistry

MAINTENANCE_INTERVAL_S = 0.25
"""Time between two maintenance runs, in seconds."""


class HostMaintenance(Service):
    """Ends what has expired, and idle sessions of an isolated host.

    Parameters
    ----------
    directory : GroupDirectory
        Groups and their connections.
    follower : PlatformFollower
        Follows the platform's service.
    claims : ClaimStore
        Claims that the service may lack.
    rosters : RosterKeeper
        Members that may have confirmed commits.
    relay_server : RelayServer
        Leases of other hosts.
    sessions : SessionRegistry
        Sessions of callers.
    primary_wait : PrimaryWait
        Tells which groups have lost their primary.
    isolation : IsolationWatch
        Tells since when this host has been isolated.
    """

    def __init__(
        self,
        directory: GroupDirectory,
        follower: PlatformFollower,
        claims: ClaimStore,
        rosters: RosterKeeper,
        relay_server: RelayServer,
        sessions: SessionRegistry,
        primary_wait: PrimaryWait,
        isolation: IsolationWatch,
    ) -> None:
        self._directory = directory
        self._follower = follower
        self._claims = claims
        self._rosters = rosters
        self._relay_server = relay_server
        self._sessions = sessions
        self._primary_wait = primary_wait
        self._isolation = isolation
        self._greenlet: gevent.Greenlet | None = None

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
        if self._isolation.isolated_s > BALANCER_DETECTION_S:
            self._sessions.close_idle()
        if self._follower.is_following:
            self._claims.publish()
            self._rosters.check(self._directory.groups.values())
