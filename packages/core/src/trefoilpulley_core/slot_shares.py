"""Fair shares of one class of work between tenants."""

from __future__ import annotations

MAX_LEAD_S = 10.0
"""Longest time by which a tenant's work is put back, in seconds."""

PRUNE_INTERVAL_S = 0.1
"""Time between two looks for tenants that have gone quiet, in seconds."""


class TenantShares:
    """Dates each tenant's work as if it came at the tenant's fair rate.

    A tenant that stays within its share is never put back. Work of a
    tenant beyond its share is put back by the time that it is ahead.
    """

    __slots__ = ('_finishes', '_pruned_at', '_slots')

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._finishes: dict[str, float] = {}
        self._pruned_at = 0.0

    def __len__(self) -> int:
        return len(self._finishes)

    def lead_s(self, tenant: str, now: float) -> float:
        """Return by how long a tenant is ahead of its share."""
        return max(0.0, self._finishes.get(tenant, now) - now)

    def charge(self, tenant: str, service_s: float, now: float) -> None:
        """Charge admitted work to its tenant."""
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
