"""Fraction of the statements that a member has failed recently.

Load pattern: a member passes its health checks but fails its statements, all
of them or a part. It fails them at once, so that its latency is the shortest
of the group, and a choice by latency alone sends it ever more reads. The rate
rises with each failure and adds to the cost of the member. It decays while the
member is not used, so that the member is tried again now and then and gets its
share back in steps. The rate never excludes a member: where the others are
worse or missing, the member is still used.
"""

from __future__ import annotations

FAILURE_WEIGHT = 0.4
"""Weight of a new outcome in the moving average of the rate.

A host of a large deployment sends a member few statements a second and has to
learn from the first failures.
"""

RATE_HALF_LIFE_S = 0.6
"""Half-life of the rate while the member is not used, in seconds."""

NEGLIGIBLE_RATE = 0.05
"""Rate up to which a member is treated like one without failures."""

COST_OF_FAILURE_S = 0.5
"""Cost of a statement that fails, in seconds of latency.

The statement is repeated at another member, and its first run was for nothing.
"""


class FailureRate:
    """Moving average of the outcomes of a member's statements."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = float('-inf')

    def value(self, now: float) -> float:
        """Return the rate, from 0 to 1.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if not self._rate:
            return 0.0
        age_s = max(0.0, now - self._updated_at)
        return self._rate * 0.5 ** (age_s / RATE_HALF_LIFE_S)

    def cost_s(self, now: float) -> float:
        """Return the expected cost of failures per statement, in seconds."""
        rate = self.value(now)
        return COST_OF_FAILURE_S * rate if rate > NEGLIGIBLE_RATE else 0.0

    def record(self, has_failed: bool, now: float) -> None:
        """Record the outcome of a statement."""
        rate = self.value(now)
        self._rate = rate + FAILURE_WEIGHT * (has_failed - rate)
        self._updated_at = now
