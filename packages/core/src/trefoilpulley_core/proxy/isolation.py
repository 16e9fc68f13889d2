"""Whether a host is cut off from what it needs to serve.

Load pattern: an availability zone is cut off while its callers still reach
its hosts. These can't reach most primaries, refuse most work, and their
callers come back to them. A host that tells the balancer so, and closes
its idle sessions, lets the callers go to the hosts of other zones.
"""

from __future__ import annotations

from dataclasses import dataclass

ISOLATION_DELAY_S = 0.3
"""Time for which a host must look cut off, in seconds.

Longer than two rounds of looking around.
"""


@dataclass(frozen=True, slots=True)
class Reachability:
    """What a host reaches at one moment."""

    groups: int
    """Groups that routes lead to."""

    groups_lost: int
    """Groups whose primary does not answer or is not known."""

    hosts: int
    """Registered hosts, this one included."""

    reachable_hosts: int
    """Hosts that answer, this one included."""

    @property
    def is_isolated(self) -> bool:
        """Whether it is this host, not the others, that is cut off.

        The platform's service says nothing here: a watch that waits on a
        link that was cut looks like one that waits for news.
        """
        if not self.groups or 2 * self.reachable_hosts > self.hosts:
            return False
        return 2 * self.groups_lost > self.groups


class IsolationDetector:
    """Tells a cut that lasts from a short disturbance."""

    def __init__(self) -> None:
        self._since: float | None = None

    def update(self, seen: Reachability, now: float) -> None:
        """Take what the host reaches now."""
        if not seen.is_isolated:
            self._since = None
        elif self._since is None:
            self._since = now

    def duration_s(self, now: float) -> float:
        """Return for how long the host has counted as cut off; 0 if not."""
        if self._since is None:
            return 0.0
        return max(0.0, now - self._since - ISOLATION_DELAY_S)
