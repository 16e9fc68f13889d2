"""Customers of a deployment, the keys that name them and their limits."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

HASH_BYTES = 32
"""Length of the hash of a key, in bytes."""

_DIGEST_KEY = secrets.token_bytes(32)
_INDEX_BYTES = 16
_HASH_PERSON = b'trefoilpulleykey'


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
class KeyDigest:
    """Key of a customer as a host keeps it.

    The digest is keyed with a secret of the process, so that the time of a
    look-up does not depend on how much of a key is right.
    """

    value: bytes = field(repr=False)
    """Digest of the key's hash."""

    @classmethod
    def of_key(cls, key: str) -> KeyDigest:
        """Return the digest of a key."""
        return cls.of_hash(hash_key(key))

    @classmethod
    def of_hash(cls, key_hash: bytes) -> KeyDigest:
        """Return the digest of a key by its hash."""
        return cls(hashlib.blake2b(key_hash, key=_DIGEST_KEY).digest())

    @property
    def index(self) -> bytes:
        """Part of the digest by which the digest is looked up."""
        return self.value[:_INDEX_BYTES]


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """Customer that holds a key."""

    digest: KeyDigest
    """Digest of the key."""

    name: str
    """Name of the customer."""


class CustomerFaultCode(StrEnum):
    """Reasons why the entry of a customer is left out."""

    NOT_AN_OBJECT = 'not-an-object'
    """The entry is no object."""

    INVALID_NAME = 'invalid-name'
    """The name is missing or a key, or is not one word of printable ASCII."""

    DUPLICATE_NAME = 'duplicate-name'
    """An earlier entry has the same name."""

    NO_KEYS = 'no-keys'
    """The entry has no list of keys, or an empty one."""

    INVALID_KEY = 'invalid-key'
    """A key is not a non-empty string."""

    SHARED_KEY = 'shared-key'
    """An earlier entry holds one of the keys."""

    INVALID_PRIORITY = 'invalid-priority'
    """The priority is not an integer."""

    INVALID_LIMIT = 'invalid-limit'
    """The rate or the burst is not a finite number of at least 0."""


@dataclass(frozen=True, slots=True)
class CustomerFault:
    """Entry of a customer that is left out; it never holds a key."""

    position: int
    """Position of the entry in the list, from 0."""

    name: str
    """Name in the entry; empty if the name is not usable."""

    code: CustomerFaultCode
    """Why the entry is left out."""


@dataclass(frozen=True, slots=True)
class CustomerTable:
    """Customers of one version of the configuration."""

    customers: Mapping[str, Customer] = field(default_factory=dict)
    """Customers by name."""

    holders: Mapping[bytes, KeyHolder] = field(
        default_factory=dict, repr=False
    )
    """Holders of the keys by the index of the key's digest."""

    faults: tuple[CustomerFault, ...] = ()
    """Entries that are left out."""

    def find_by_key(self, key: str) -> Customer | None:
        """Return the customer that holds a key, or ``None``."""
        return self.find_by_digest(KeyDigest.of_key(key))

    def find_by_digest(self, digest: KeyDigest) -> Customer | None:
        """Return the customer that holds the key of a digest, or ``None``."""
        holder = self.holders.get(digest.index)
        if holder is None or not hmac.compare_digest(
            holder.digest.value, digest.value
        ):
            return None
        return self.customers.get(holder.name)


def hash_key(key: str) -> bytes:
    """Return the hash by which hosts tell each other of a key.

    Bytes that are no UTF-8 are expected as surrogate escapes.
    """
    return hashlib.blake2b(
        key.encode(errors='surrogateescape'),
        digest_size=HASH_BYTES,
        person=_HASH_PERSON,
    ).digest()
