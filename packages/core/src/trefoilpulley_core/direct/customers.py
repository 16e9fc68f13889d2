"""Customers of a deployment, the keys that name them and their limits."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import hashlib
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_DIGEST_KEY = secrets.token_bytes(32)


@dataclass(frozen=True, slots=True)
class CustomerLimit:
    """Limit of a customer's operations, summed over all hosts."""

    rate_per_s: float
    """Operations per second that are admitted in the long run."""

    burst: float
    """Operations that may be admitted at once."""


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer."""

    name: str
    """Name, unique within the deployment; members are told this name."""

    priority: int = 0
    """Priority; 0 is the highest."""

    limit: CustomerLimit | None = None
    """Limit of the customer's operations, or ``None``."""


@dataclass(frozen=True, slots=True)
class CustomerTable:
    """Customers of one version of the configuration."""

    customers: Mapping[str, Customer] = field(default_factory=dict)
    """Customers by name."""

    names_by_digest: Mapping[bytes, str] = field(
        default_factory=dict, repr=False
    )
    """Names of the customers by the digest of a key."""

    def find_by_key(self, key: str) -> Customer | None:
        """Return the customer that holds a key, or ``None``."""
        name = self.names_by_digest.get(digest_key(key))
        return None if name is None else self.customers.get(name)


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is kept and looked up.

    The process keeps no key, and the time of a look-up does not depend on how
    much of a key is right.
    """
    return hashlib.blake2b(key.encode(), key=_DIGEST_KEY).digest()
