"""Retries as a share of fresh traffic."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from trefoilpulley_core.failure import Failure

RETRIES_PER_REQUEST = 0.1
"""Retries allowed for each fresh request."""

MAX_SAVED_RETRIES = 10.0
"""Retries that an upstream may save up, and starts with."""

MAX_UPSTREAMS = 4096
"""Upstreams that are remembered, the latest used."""


class RetryBudget:
    """Allows retries to an upstream as a share of its fresh requests."""

    def __init__(self) -> None:
        self._retries: OrderedDict[str, float] = OrderedDict()

    def record_fresh(self, upstream: str) -> None:
        """Count a first attempt at an upstream."""
        available_retries = self._retries.get(upstream, MAX_SAVED_RETRIES)
        self._store(
            upstream,
            min(MAX_SAVED_RETRIES, available_retries + RETRIES_PER_REQUEST),
        )

    def try_retry(
        self, upstream: str, failure: Failure, is_repeatable: bool
    ) -> bool:
        """Spend one retry on an upstream where a failure allows it.

        A replica that is behind refuses before it takes a slot, and is
        not asked twice, so that going on to another costs no retry.

        Parameters
        ----------
        upstream : str
            Member that the retry would go to.
        failure : Failure
            How the attempt before ended.
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
        available_retries = self._retries.get(upstream, MAX_SAVED_RETRIES)
        if available_retries < 1:
            return False
        self._store(upstream, available_retries - 1)
        return True

    def available_retries(self, upstream: str) -> float:
        """Return the retries that an upstream may still get."""
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
        How the attempt before ended.
    is_repeatable : bool
        Whether the request may run more than once.
    """
    if failure.run_state is RunState.NOT_RUN:
        return failure.is_repeatable
    if failure.run_state is RunState.UNKNOWN:
        return is_repeatable
    return False
