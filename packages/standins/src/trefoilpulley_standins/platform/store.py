"""In-memory keys, revisions, leases and watches, without I/O or a clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.platform import LeaseExpired

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

MAX_RETAINED_CHANGES = 10_000
"""Changes kept for watches that start at an earlier revision."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Value of a key with its revisions."""

    key: bytes
    """Key."""

    value: bytes = b''
    """Value."""

    create_revision: int = 0
    """Revision that created the key; 0 if the key does not exist."""

    mod_revision: int = 0
    """Revision of the last change."""

    version: int = 0
    """Number of writes since the creation, which counts as the first."""

    lease: int = 0
    """Lease that the key is bound to, or 0."""


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from ``start``, inclusive, to ``end``, exclusive."""

    start: bytes
    """First key."""

    end: bytes = b''
    """End; empty for the single key ``start``, a zero byte for no end."""

    def contains(self, key: bytes) -> bool:
        """Return whether a key is in the range."""
        if not self.end:
            return key == self.start
        return key >= self.start and (self.end == b'\0' or key < self.end)


class Target(StrEnum):
    """Property of a key that a condition compares."""

    VERSION = 'VERSION'
    CREATE = 'CREATE'
    MOD = 'MOD'
    VALUE = 'VALUE'
    LEASE = 'LEASE'


class Relation(StrEnum):
    """Comparison operator of a condition."""

    EQUAL = 'EQUAL'
    GREATER = 'GREATER'
    LESS = 'LESS'
    NOT_EQUAL = 'NOT_EQUAL'


@dataclass(frozen=True, slots=True)
class Condition:
    """Condition of a transaction."""

    key: bytes
    """Key."""

    target: Target
    """Property that is compared with the operand."""

    relation: Relation
    """Comparison operator."""

    operand: int | bytes
    """Value that the property is compared with."""


@dataclass(frozen=True, slots=True)
class Put:
    """Operation that writes a key."""

    key: bytes
    """Key."""

    value: bytes
    """New value."""

    lease: int = 0
    """Lease to bind the key to, or 0."""


@dataclass(frozen=True, slots=True)
class Delete:
    """Operation that deletes the keys of a range."""

    keys: KeyRange
    """Keys."""


@dataclass(frozen=True, slots=True)
class Get:
    """Operation that reads the keys of a range."""

    keys: KeyRange
    """Keys."""


Operation = Put | Delete | Get
"""Operation of a transaction."""


@dataclass(frozen=True, slots=True)
class OperationResult:
    """Result of one operation of a transaction."""

    operation: Operation
    """Operation."""

    values: tuple[StoredValue, ...] = ()
    """Values that a read found or that a deletion removed."""


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Result of a transaction."""

    is_success: bool
    """Whether every condition was met."""

    revision: int
    """Revision of the store after the transaction."""

    results: tuple[OperationResult, ...]
    """Result of each operation, in order."""


@dataclass(frozen=True, slots=True)
class Change:
    """Write or deletion of a key."""

    value: StoredValue
    """Value after the change; a deleted key has version 0."""


@dataclass(slots=True)
class GrantedLease:
    """Lease with its expiry time."""

    lease_id: int
    """Identifier."""

    ttl_s: int
    """Time to live after each renewal, in seconds."""

    expires_at: float
    """Monotonic time at which the lease expires, in seconds."""


class KeyValueStore:
    """Keys, leases and watches of the service."""

    def __init__(self) -> None:
        self.revision = 1
        """Revision of the last change."""

        self._values: dict[bytes, StoredValue] = {}
        self._leases: dict[int, GrantedLease] = {}
        self._last_lease_id = 1000
        self._retained_changes: deque[Change] = deque(
            maxlen=MAX_RETAINED_CHANGES
        )
        self._last_dropped_revision = 0
        self._watchers: list[Callable[[tuple[Change, ...]], None]] = []

    def get(self, keys: KeyRange) -> tuple[StoredValue, ...]:
        """Return the values of a key range, sorted by key."""
        if not keys.end:
            found = self._values.get(keys.start)
            return () if found is None else (found,)
        return tuple(
            self._values[k] for k in sorted(self._values) if keys.contains(k)
        )

    def execute(
        self,
        conditions: Iterable[Condition],
        success: tuple[Operation, ...],
        failure: tuple[Operation, ...] = (),
    ) -> Result[TxnResult, Failure]:
        """Execute a transaction, whose changes share a single revision.

        The operations of ``success`` run if every condition is met, those
        of ``failure`` otherwise. Fails with ``LeaseExpired`` if a write
        names an unknown lease.
        """
        is_success = all(self._is_met(c) for c in conditions)
        operations = success if is_success else failure
        for operation in operations:
            lease = operation.lease if isinstance(operation, Put) else 0
            if lease and lease not in self._leases:
                return Failed(LeaseExpired('requested lease not found'))
        results = self._run_operations(operations)
        return Success(TxnResult(is_success, self.revision, results))

    def grant(self, ttl_s: int, now: float) -> GrantedLease:
        """Grant a lease."""
        self._last_lease_id += 1
        lease = GrantedLease(self._last_lease_id, ttl_s, now + ttl_s)
        self._leases[lease.lease_id] = lease
        return lease

    def renew(self, lease_id: int, now: float) -> GrantedLease | None:
        """Renew a lease; return ``None`` if the lease has expired."""
        self.expire(now)
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires_at = now + lease.ttl_s
        return lease

    def find_lease(self, lease_id: int) -> GrantedLease | None:
        """Return a lease, or ``None`` if the lease has expired."""
        return self._leases.get(lease_id)

    def keys_of(self, lease_id: int) -> tuple[bytes, ...]:
        """Return the keys that are bound to a lease, sorted."""
        bound = (v.key for v in self._values.values() if v.lease == lease_id)
        return tuple(sorted(bound))

    def revoke(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return false if it is unknown."""
        if self._leases.pop(lease_id, None) is None:
            return False
        keys = self.keys_of(lease_id)
        self._run_operations(tuple(Delete(KeyRange(key)) for key in keys))
        return True

    def expire(self, now: float) -> None:
        """Revoke every lease that has expired at a time."""
        expired = [
            lease.lease_id
            for lease in self._leases.values()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.revoke(lease_id)

    def is_retained(self, revision: int) -> bool:
        """Return whether the store still has every change since a revision."""
        return revision > self._last_dropped_revision

    def changes_since(self, revision: int) -> tuple[Change, ...]:
        """Return the retained changes since a revision, inclusive."""
        return tuple(
            change
            for change in self._retained_changes
            if change.value.mod_revision >= revision
        )

    def watch(self, callback: Callable[[tuple[Change, ...]], None]) -> None:
        """Register a callback that receives the changes of each revision."""
        self._watchers.append(callback)

    def unwatch(self, callback: Callable[[tuple[Change, ...]], None]) -> None:
        """Remove a callback that was registered with `watch`."""
        self._watchers.remove(callback)

    def _is_met(self, condition: Condition) -> bool:
        stored = self._values.get(condition.key, StoredValue(condition.key))
        found = {
            Target.VERSION: stored.version,
            Target.CREATE: stored.create_revision,
            Target.MOD: stored.mod_revision,
            Target.VALUE: stored.value,
            Target.LEASE: stored.lease,
        }[condition.target]
        return {
            Relation.EQUAL: found == condition.operand,
            Relation.NOT_EQUAL: found != condition.operand,
            Relation.GREATER: found > condition.operand,
            Relation.LESS: found < condition.operand,
        }[condition.relation]

    def _run_operations(
        self, operations: tuple[Operation, ...]
    ) -> tuple[OperationResult, ...]:
        revision = self.revision + 1
        changes: list[Change] = []
        results = tuple(
            self._run_operation(operation, revision, changes)
            for operation in operations
        )
        if changes:
            self.revision = revision
            self._publish(tuple(changes))
        return results

    def _run_operation(
        self, operation: Operation, revision: int, changes: list[Change]
    ) -> OperationResult:
        if isinstance(operation, Get):
            return OperationResult(operation, self.get(operation.keys))
        if isinstance(operation, Put):
            changes.append(Change(self._put(operation, revision)))
            return OperationResult(operation)
        deleted = self.get(operation.keys)
        for stored in deleted:
            del self._values[stored.key]
            tombstone = StoredValue(stored.key, mod_revision=revision)
            changes.append(Change(tombstone))
        return OperationResult(operation, deleted)

    def _put(self, operation: Put, revision: int) -> StoredValue:
        previous = self._values.get(operation.key)
        if previous is None:
            previous = StoredValue(operation.key, create_revision=revision)
        stored = replace(
            previous,
            value=operation.value,
            mod_revision=revision,
            version=previous.version + 1,
            lease=operation.lease,
        )
        self._values[operation.key] = stored
        return stored

    def _publish(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if len(self._retained_changes) == MAX_RETAINED_CHANGES:
                dropped = self._retained_changes[0].value.mod_revision
                self._last_dropped_revision = dropped
            self._retained_changes.append(change)
        for callback in list(self._watchers):
            callback(changes)
