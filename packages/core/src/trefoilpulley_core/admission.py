"""Admission control of requests at an entry host."""

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

MAX_REQUESTS = 10_000
"""Requests that an entry host processes concurrently."""

_UNRESTRICTED_SHARE = 0.5
"""Share of the limit that is not divided between tenants."""

_UNREPEATABLE_WRITE_RESERVE = 0.1
"""Share of the limit that is reserved for writes that may run only once."""


class Admission:
    """Limits the concurrent requests, with fair shares for tenants.

    Up to half of the limit is not divided between tenants. Above that,
    each active tenant may use an equal share, and one more share is
    reserved for a tenant that is not active yet. The last part of the
    limit is reserved for writes that may not be repeated.

    Parameters
    ----------
    targets : ClassTargets
        Declared classes of work.
    limit : int
        Number of concurrent requests.
    """

    def __init__(
        self, targets: ClassTargets, limit: int = MAX_REQUESTS
    ) -> None:
        self._targets = targets
        self._limit = limit
        self._total = 0
        self._by_tenant: Counter[str] = Counter()

    @property
    def total(self) -> int:
        """Number of requests in progress."""
        return self._total

    def admit(
        self, tenant: str, work_class: str, deadline: float, now: float
    ) -> Result[None, Failure]:
        """Admit a request, or refuse it with ``Overloaded``.

        The caller must call `finish` after each admitted request.
        """
        if deadline <= now:
            return Failed(Overloaded('the deadline has passed'))
        limit = self._class_limit(work_class)
        if self._total >= limit:
            return Failed(Overloaded('the host has reached its request limit'))
        if self._is_over_share(tenant, limit):
            return Failed(Overloaded('the tenant has used up its share'))
        self._total += 1
        self._by_tenant[tenant] += 1
        return Success(None)

    def finish(self, tenant: str) -> None:
        """Record the end of an admitted request."""
        self._total -= 1
        self._by_tenant[tenant] -= 1
        if not self._by_tenant[tenant]:
            del self._by_tenant[tenant]

    def _class_limit(self, work_class: str) -> float:
        if self._targets.priority(work_class).is_unrepeatable_write:
            return self._limit
        return self._limit * (1 - _UNREPEATABLE_WRITE_RESERVE)

    def _is_over_share(self, tenant: str, limit: float) -> bool:
        if self._total < self._limit * _UNRESTRICTED_SHARE:
            return False
        in_use = self._by_tenant.get(tenant, 0)
        others = len(self._by_tenant) - (in_use > 0)
        return in_use >= limit / (others + 2)
