"""Detection that a host is isolated from the primaries and other hosts.

Load pattern: an availability zone is partitioned from the others while
callers still reach its hosts. These hosts cannot reach most primaries and
refuse most requests, and the callers reconnect to the same hosts. An isolated
host therefore reports itself as unavailable to the load balancer and closes
its idle sessions, so that the callers connect to hosts of other zones.
"""

from __future__ import annotations

from dataclasses import dataclass

ISOLATION_DELAY_S = 0.3
"""Time for which a host must appear isolated, in seconds.

The time is longer than two rounds of reachability checks.
"""


@dataclass(frozen=True, slots=True)
class Reachability:
    """Groups and hosts that a host reaches at one time."""

    groups: int
    """Groups that serve a route."""

    groups_lost: int
    """Groups whose primary does not answer or is unknown."""

    hosts: int
    """Registered hosts, including this host."""

    reachable_hosts: int
    """Hosts that answer, including this host."""

    @property
    def is_isolated(self) -> bool:
        """Whether this host, rather than the other hosts, is isolated.

        The connection to the platform's service is not considered: a watch
        on a broken connection cannot be told from a watch without changes.
        """
        if not self.groups or 2 * self.reachable_hosts > self.hosts:
            return False
        return 2 * self.groups_lost > self.groups


class IsolationDetector:
    """Detects an isolation that lasts longer than a short disturbance."""

    def __init__(self) -> None:
        self._isolated_since: float | None = None

    def update(self, reachability: Reachability, now: float) -> None:
        """Record the groups and hosts that this host reaches now."""
        if not reachability.is_isolated:
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now

    def duration_s(self, now: float) -> float:
        """Return for how long the host has been isolated, in seconds.

        0 if the host is not isolated.
        """
        if self._isolated_since is None:
            return 0.0
        return max(0.0, now - self._isolated_since - ISOLATION_DELAY_S)
