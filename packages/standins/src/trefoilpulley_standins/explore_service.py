"""Model of the platform service, for simulation and exploration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class ModelValue:
    """Value of one key with its revision and lease."""

    value: bytes
    """Content of the value."""

    revision: int
    """Revision of the last change."""

    lease_id: int = 0
    """Lease that the key is attached to; 0 for none."""


@dataclass(slots=True)
class ModelService:
    """Key-value store with revisions and leases."""

    is_up: bool = True
    """Whether the service answers calls."""

    is_losing_answers: bool = False
    """Whether answers are lost after the call has taken effect."""

    delay_s: float = 0.002
    """Duration of one call, in seconds."""

    revision: int = 0
    """Number of changes."""

    values: dict[str, ModelValue] = field(default_factory=dict)
    """Values by key."""

    leases: dict[int, float] = field(default_factory=dict)
    """Expiry time of each lease, in seconds, by lease id."""

    writes: int = 0
    """Number of calls that write."""

    reads: int = 0
    """Number of calls that read."""

    def expire(self, now: float) -> None:
        """Remove the expired leases and their keys."""
        expired_ids = {
            k for k, expires_at in self.leases.items() if expires_at <= now
        }
        for lease_id in expired_ids:
            self.revoke(lease_id)

    def revoke(self, lease_id: int) -> None:
        """Remove a lease and its keys."""
        self.leases.pop(lease_id, None)
        bound = [k for k, v in self.values.items() if v.lease_id == lease_id]
        for key in bound:
            del self.values[key]

    def grant(self, ttl_s: float, now: float) -> int:
        """Grant a lease; return the lease id."""
        self.writes += 1
        self.revision += 1
        self.leases[self.revision] = now + ttl_s
        return self.revision

    def renew(self, lease_id: int, ttl_s: float, now: float) -> bool:
        """Renew a lease; return false if the lease has expired."""
        self.writes += 1
        if lease_id not in self.leases:
            return False
        self.leases[lease_id] = now + ttl_s
        return True

    def read(self, key: str) -> ModelValue | None:
        """Return the value of a key, or ``None``."""
        self.reads += 1
        return self.values.get(key)

    def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> int | None:
        """Write a value if the key's revision is as expected.

        Returns
        -------
        int | None
            New revision; ``None`` on a conflict or an expired lease.
        """
        self.writes += 1
        current = self.values.get(key)
        if (current.revision if current else 0) != expected_revision:
            return None
        if lease_id and lease_id not in self.leases:
            return None
        self.revision += 1
        self.values[key] = ModelValue(value, self.revision, lease_id)
        return self.revision
