"""Fair sharing of one class of work between tenants."""

from __future__ import annotations

MAX_LEAD_S = 10.0
"""Longest time by which a tenant's work is deferred, in seconds."""

PRUNE_INTERVAL_S = 0.1
"""Interval at which inactive tenants are removed, in seconds."""


class TenantShares:
    """Defers the work of tenants that exceed their fair share.

    For each tenant the finish time of its work at the tenant's fair
    rate is tracked. Work is deferred by the time until that finish, so
    the work of a tenant within its share is never deferred.
    """

    __slots__ = ('_finishes', '_pruned_at', '_slots')

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._finishes: dict[str, float] = {}
        self._pruned_at = 0.0

    def __len__(self) -> int:
        return len(self._finishes)

    def lead_s(self, tenant: str, now: float) -> float:
        """Return the time by which a tenant's work is deferred, in seconds."""
        return max(0.0, self._finishes.get(tenant, now) - now)

    def charge(self, tenant: str, service_s: float, now: float) -> None:
        """Charge the expected service time of queued work to its tenant."""
        self._prune(now)
        start = max(now, self._finishes.get(tenant, now))
        active = len(self._finishes) + (tenant not in self._finishes)
        finish = start + service_s * active / self._slots
        self._finishes[tenant] = min(finish, now + MAX_LEAD_S)

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        quiet = [t for t, finish in self._finishes.items() if finish <= now]
        for tenant in quiet:
            del self._finishes[tenant]
