"""Model of the platform's service, for replay and exploration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class ModelValue:
    """Value of one key."""

    value: bytes
    """Content."""

    revision: int
    """Revision of the last change."""

    lease_id: int = 0
    """Lease that the key is bound to."""


@dataclass(slots=True)
class ModelService:
    """Keys with revisions, and leases."""

    is_up: bool = True
    """Whether calls are answered."""

    is_losing_answers: bool = False
    """Whether answers are lost after the change took effect."""

    delay_s: float = 0.002
    """Time of one call."""

    revision: int = 0
    """Number of changes."""

    values: dict[str, ModelValue] = field(default_factory=dict)
    """Values by their keys."""

    leases: dict[int, float] = field(default_factory=dict)
    """End of each lease, in seconds."""

    writes: int = 0
    """Calls that write."""

    reads: int = 0
    """Calls that read."""

    def expire(self, now: float) -> None:
        """Drop the leases that have lapsed, with their keys."""
        expired_ids = {
            k for k, expires_at in self.leases.items() if expires_at <= now
        }
        for lease_id in expired_ids:
            self.revoke(lease_id)

    def revoke(self, lease_id: int) -> None:
        """Drop a lease with its keys."""
        self.leases.pop(lease_id, None)
        bound = [k for k, v in self.values.items() if v.lease_id == lease_id]
        for key in bound:
            del self.values[key]

    def grant(self, ttl_s: float, now: float) -> int:
        """Grant a lease."""
        self.writes += 1
        self.revision += 1
        self.leases[self.revision] = now + ttl_s
        return self.revision

    def renew(self, lease_id: int, ttl_s: float, now: float) -> bool:
        """Renew a lease; false where it has lapsed."""
        self.writes += 1
        if lease_id not in self.leases:
            return False
        self.leases[lease_id] = now + ttl_s
        return True

    def read(self, key: str) -> ModelValue | None:
        """Return a value, or ``None``."""
        self.reads += 1
        return self.values.get(key)

    def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes, lease_id: int = 0
    ) -> int | None:
        """Write by compare-and-swap; ``None`` on a conflict."""
        self.writes += 1
        current = self.values.get(key)
        if (current.revision if current else 0) != expected_revision:
            return None
        if lease_id and lease_id not in self.leases:
            return None
        self.revision += 1
        self.values[key] = ModelValue(value, self.revision, lease_id)
        return self.revision
