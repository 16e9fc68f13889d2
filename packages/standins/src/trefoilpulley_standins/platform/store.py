"""Keys, revisions, leases and watches, without I/O or a clock."""

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

RETAINED_EVENTS = 10_000
"""Changes kept for watches that begin in the past."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """One key with its revisions."""

    key: bytes
    """Key."""

    value: bytes = b''
    """Value."""

    create_revision: int = 0
    """Revision that created the key; 0 where it does not exist."""

    mod_revision: int = 0
    """Revision of the last change."""

    version: int = 0
    """Number of changes since the key was created."""

    lease: int = 0
    """Lease that the key is bound to, or 0."""


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from ``start`` up to but without ``end``."""

    start: bytes
    """First key."""

    end: bytes = b''
    """End; empty for the one key, a zero byte for no end."""

    def contains(self, key: bytes) -> bool:
        """Return whether a key is in the range."""
        if not self.end:
            return key == self.start
        return key >= self.start and (self.end == b'\0' or key < self.end)


class Target(StrEnum):
    """What a condition looks at."""

    VERSION = 'VERSION'
    CREATE = 'CREATE'
    MOD = 'MOD'
    VALUE = 'VALUE'
    LEASE = 'LEASE'


class Relation(StrEnum):
    """How a condition compares."""

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
    """What is compared."""

    relation: Relation
    """How it is compared."""

    operand: int | bytes
    """What it is compared with."""


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a key."""

    key: bytes
    """Key."""

    value: bytes
    """New value."""

    lease: int = 0
    """Lease to bind the key to, or 0."""


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes the keys of a range."""

    keys: KeyRange
    """Keys."""


@dataclass(frozen=True, slots=True)
class Get:
    """Reads the keys of a range."""

    keys: KeyRange
    """Keys."""


Operation = Put | Delete | Get
"""Operation of a transaction."""


@dataclass(frozen=True, slots=True)
class Effect:
    """What one operation found or changed."""

    operation: Operation
    """Operation."""

    values: tuple[StoredValue, ...] = ()
    """Values found, or as they were before a deletion."""


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Outcome of a transaction."""

    is_success: bool
    """Whether every condition held."""

    revision: int
    """Revision of the store after the transaction."""

    effects: tuple[Effect, ...]
    """One effect an operation."""


@dataclass(frozen=True, slots=True)
class Change:
    """Change of one key; a deleted one has version 0."""

    value: StoredValue
    """Key after the change."""


@dataclass(slots=True)
class GrantedLease:
    """Lease with its end."""

    lease_id: int
    """Identifier."""

    ttl_s: int
    """Time to live after each renewal, in seconds."""

    expires_at: float
    """Monotonic time of its end, in seconds."""


class KeyValueStore:
    """The whole state of the service."""

    def __init__(self) -> None:
        self.revision = 1
        """Revision of the last change."""

        self._values: dict[bytes, StoredValue] = {}
        self._leases: dict[int, GrantedLease] = {}
        self._next_lease = 1000
        self._events: deque[Change] = deque(maxlen=RETAINED_EVENTS)
        self._dropped_revision = 0
        self._watchers: list[Callable[[tuple[Change, ...]], None]] = []

    def get(self, keys: KeyRange) -> tuple[StoredValue, ...]:
        """Return the values of a range in the order of their keys."""
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
        """Run one list of operations or the other in one revision."""
        holds = all(self._holds(c) for c in conditions)
        operations = success if holds else failure
        for operation in operations:
            lease = operation.lease if isinstance(operation, Put) else 0
            if lease and lease not in self._leases:
                return Failed(LeaseExpired('requested lease not found'))
        effects = self._run(operations)
        return Success(TxnResult(holds, self.revision, effects))

    def grant(self, ttl_s: int, now: float) -> GrantedLease:
        """Grant a lease."""
        self._next_lease += 1
        lease = GrantedLease(self._next_lease, ttl_s, now + ttl_s)
        self._leases[lease.lease_id] = lease
        return lease

    def renew(self, lease_id: int, now: float) -> GrantedLease | None:
        """Renew a lease, or return ``None`` where it has lapsed."""
        self.expire(now)
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires_at = now + lease.ttl_s
        return lease

    def find_lease(self, lease_id: int) -> GrantedLease | None:
        """Return a lease, or ``None`` where it has lapsed."""
        return self._leases.get(lease_id)

    def keys_of(self, lease_id: int) -> tuple[bytes, ...]:
        """Return the keys that are bound to a lease."""
        bound = (v.key for v in self._values.values() if v.lease == lease_id)
        return tuple(sorted(bound))

    def revoke(self, lease_id: int) -> bool:
        """End a lease and delete its keys; false where it is unknown."""
        if self._leases.pop(lease_id, None) is None:
            return False
        keys = self.keys_of(lease_id)
        self._run(tuple(Delete(KeyRange(key)) for key in keys))
        return True

    def expire(self, now: float) -> None:
        """End the leases whose time has passed."""
        lapsed = [
            lease.lease_id
            for lease in self._leases.values()
            if lease.expires_at <= now
        ]
        for lease_id in lapsed:
            self.revoke(lease_id)

    def is_retained(self, revision: int) -> bool:
        """Return whether every change from a revision on is kept."""
        return revision > self._dropped_revision

    def changes_since(self, revision: int) -> tuple[Change, ...]:
        """Return the kept changes from a revision on."""
        return tuple(
            e for e in self._events if e.value.mod_revision >= revision
        )

    def watch(self, callback: Callable[[tuple[Change, ...]], None]) -> None:
        """Call back with the changes of each revision."""
        self._watchers.append(callback)

    def unwatch(self, callback: Callable[[tuple[Change, ...]], None]) -> None:
        """Stop to call back."""
        self._watchers.remove(callback)

    def _holds(self, condition: Condition) -> bool:
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

    def _run(self, operations: tuple[Operation, ...]) -> tuple[Effect, ...]:
        revision = self.revision + 1
        changes: list[Change] = []
        effects = tuple(
            self._apply(operation, revision, changes)
            for operation in operations
        )
        if changes:
            self.revision = revision
            self._publish(tuple(changes))
        return effects

    def _apply(
        self, operation: Operation, revision: int, changes: list[Change]
    ) -> Effect:
        if isinstance(operation, Get):
            return Effect(operation, self.get(operation.keys))
        if isinstance(operation, Put):
            changes.append(Change(self._put(operation, revision)))
            return Effect(operation)
        deleted = self.get(operation.keys)
        for stored in deleted:
            del self._values[stored.key]
            gone = StoredValue(stored.key, mod_revision=revision)
            changes.append(Change(gone))
        return Effect(operation, deleted)

    def _put(self, operation: Put, revision: int) -> StoredValue:
        before = self._values.get(operation.key)
        if before is None:
            before = StoredValue(operation.key, create_revision=revision)
        stored = replace(
            before,
            value=operation.value,
            mod_revision=revision,
            version=before.version + 1,
            lease=operation.lease,
        )
        self._values[operation.key] = stored
        return stored

    def _publish(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if len(self._events) == RETAINED_EVENTS:
                dropped = self._events[0].value.mod_revision
                self._dropped_revision = dropped
            self._events.append(change)
        for callback in list(self._watchers):
            callback(changes)
