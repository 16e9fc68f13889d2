"""Turn of a host to change the primary of a group.

Load pattern: a promotion has no effect, since its member is cut off. The hosts
that have ordered promotions notice this one after the other, and each of them
would order again while the change of the other one is on its way.
"""

from __future__ import annotations

CLAIM_HOLDER_TIMEOUT_S = 1.1
"""Time in which only the host that holds the claim acts, in seconds.

Another host starts no change of the same group before this time is over.
"""

MIN_ALTERNATION_S = 3.3
"""Least time between two orders of a host with another host's between them.

In seconds. The platform takes hosts that order in turn within a lease of 3 s
for two holders of one duty.
"""


class ChangeTurn:
    """Tells when this host may begin a change of a group's primary."""

    def __init__(self) -> None:
        self._ordered_at = float('-inf')
        self.begins_at = float('-inf')
        """Time from which this host may begin a change, in seconds."""

    def is_due(self, now: float) -> bool:
        """Return whether this host may begin a change now."""
        return now >= self.begins_at

    def on_ordered(self, now: float) -> None:
        """Record that this host orders a promotion."""
        self._ordered_at = now

    def on_other_host(self, now: float) -> None:
        """Record that another host has begun a change."""
        self.begins_at = max(
            self.begins_at,
            now + CLAIM_HOLDER_TIMEOUT_S,
            self._ordered_at + MIN_ALTERNATION_S,
        )
