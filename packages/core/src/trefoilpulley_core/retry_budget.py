"""Limit of retries in proportion to first attempts."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from trefoilpulley_core.failure import Failure

RETRIES_PER_REQUEST = 0.1
"""Number of retries that each first attempt adds to the budget."""

MAX_SAVED_RETRIES = 10.0
"""Largest and initial retry budget of an upstream."""

MAX_UPSTREAMS = 4096
"""Maximum number of upstreams whose budgets are kept.

The budgets of the most recently used upstreams are kept.
"""


class RetryBudget:
    """Limits the retries at an upstream to a share of the first attempts."""

    def __init__(self) -> None:
        self._retries: OrderedDict[str, float] = OrderedDict()

    def record_fresh(self, upstream: str) -> None:
        """Record a first attempt at an upstream."""
        available_retries = self._retries.get(upstream, MAX_SAVED_RETRIES)
        self._store(
            upstream,
            min(MAX_SAVED_RETRIES, available_retries + RETRIES_PER_REQUEST),
        )

    def try_retry(
        self, upstream: str, failure: Failure, is_repeatable: bool
    ) -> bool:
        """Use one retry of an upstream's budget where a failure permits it.

        A replica that is behind refuses a request before using a slot
        and does not receive the request again, so a retry at another
        member is free.

        Parameters
        ----------
        upstream : str
            Member that the retry would be sent to.
        failure : Failure
            Failure of the previous attempt.
        is_repeatable : bool
            Whether the request may run more than once.

        Returns
        -------
        bool
            Whether the request may be sent again.
        """
        if not may_repeat(failure, is_repeatable):
            return False
        if isinstance(failure, ReplicaBehind):
            return True
        return self.try_spend(upstream)

    def try_spend(self, upstream: str) -> bool:
        """Use one retry of an upstream's budget, if there is one.

        Parameters
        ----------
        upstream : str
            Member, or group of members, that the retry would be sent to.
        """
        available_retries = self._retries.get(upstream, MAX_SAVED_RETRIES)
        if available_retries < 1:
            return False
        self._store(upstream, available_retries - 1)
        return True

    def available_retries(self, upstream: str) -> float:
        """Return the remaining retry budget of an upstream."""
        return self._retries.get(upstream, MAX_SAVED_RETRIES)

    def _store(self, upstream: str, available_retries: float) -> None:
        self._retries[upstream] = available_retries
        self._retries.move_to_end(upstream)
        if len(self._retries) > MAX_UPSTREAMS:
            self._retries.popitem(last=False)


def may_repeat(failure: Failure, is_repeatable: bool) -> bool:
    """Return whether a request may be sent again after a failure.

    Parameters
    ----------
    failure : Failure
        Failure of the previous attempt.
    is_repeatable : bool
        Whether the request may run more than once.
    """
    if failure.run_state is RunState.NOT_RUN:
        return failure.is_repeatable
    if failure.run_state is RunState.UNKNOWN:
        return is_repeatable
    return False
