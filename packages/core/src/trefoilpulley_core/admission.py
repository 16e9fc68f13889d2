"""Admission of requests at an entry host."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import Overloaded

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.targets import ClassTargets

REQUEST_LIMIT = 10_000
"""Requests that an entry host works on at once."""

_FREE_SHARE = 0.5
_SINGLE_RESERVE = 0.1


class Admission:
    """Bounds the requests in work, fair between tenants.

    A tenant may use what is free up to half of the limit; beyond that
    each active tenant has an equal share, and so has a tenant that may
    come. The last part is kept for writes that may not be repeated.

    Parameters
    ----------
    targets : ClassTargets
        Declared classes of work.
    limit : int
        Requests in work at once.
    """

    def __init__(
        self, targets: ClassTargets, limit: int = REQUEST_LIMIT
    ) -> None:
        self._targets = targets
        self._limit = limit
        self._total = 0
        self._by_tenant: Counter[str] = Counter()

    @property
    def total(self) -> int:
        """Requests in work."""
        return self._total

    def admit(
        self, tenant: str, work_class: str, deadline: float, now: float
    ) -> Result[None, Failure]:
        """Take a request in, or refuse it with ``Overloaded``.

        Each admitted request ends with `finish`.
        """
        if deadline <= now:
            return Failed(Overloaded('the deadline has passed'))
        limit = self._limit_of(work_class)
        if self._total >= limit:
            return Failed(Overloaded('the host is full'))
        if self._is_beyond_share(tenant, limit):
            return Failed(Overloaded('the tenant is beyond its share'))
        self._total += 1
        self._by_tenant[tenant] += 1
        return Success(None)

    def finish(self, tenant: str) -> None:
        """Count an admitted request as ended."""
        self._total -= 1
        self._by_tenant[tenant] -= 1
        if not self._by_tenant[tenant]:
            del self._by_tenant[tenant]

    def _limit_of(self, work_class: str) -> float:
        if self._targets.strictness(work_class).is_single:
            return self._limit
        return self._limit * (1 - _SINGLE_RESERVE)

    def _is_beyond_share(self, tenant: str, limit: float) -> bool:
        if self._total < self._limit * _FREE_SHARE:
            return False
        held = self._by_tenant.get(tenant, 0)
        others = len(self._by_tenant) - (held > 0)
        return held >= limit / (others + 2)
