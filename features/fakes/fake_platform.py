"""Simulated key-value service of the platform, with scripted faults."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.platform import EraChanged
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_core.platform import Lease
from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_core.platform import Platform
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_core.platform import PlatformDown
from trefoilpulley_core.platform import PrefixRead
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_core.platform import Watch
from trefoilpulley_core.platform import WatchExpired

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.failure import Failure


class Fault(StrEnum):
    """Faults of a write."""

    DOWN = 'down'
    """The service is down and the call has no effect."""

    LOST_BEFORE = 'lost-before'
    """The answer is lost before the call takes effect."""

    LOST_AFTER = 'lost-after'
    """The answer is lost after the call has taken effect."""

    CONFLICT = 'conflict'
    """The call fails because another writer changed the key first."""


@dataclass
class FakeLease:
    """Lease at the simulated service."""

    lease_id: int
    ttl_s: int
    expires_at: float


@dataclass
class FakeWatch(Watch):
    """Watch at the simulated service."""

    platform: FakePlatform
    prefix: str
    on_change: Callable[[KeyValue], None]
    on_failure: Callable[[Failure], None]
    on_answer: Callable[[float], None] | None = None

    def answer(self) -> None:
        """Report an answer of the service."""
        if self.on_answer is not None:
            self.on_answer(0.0)

    def cancel(self) -> None:
        """Stop the watch."""
        if self in self.platform.watches:
            self.platform.watches.remove(self)


@dataclass(frozen=True)
class FakeCopy:
    """Copy of the simulated service."""

    values: dict[str, KeyValue]
    revision: int
    leases: dict[int, FakeLease]


@dataclass
class FakePlatform(Platform):
    """Simulated service with a virtual clock.

    Each call advances the clock by ``delay_s``.
    """

    now: float = 0.0
    """Virtual time in seconds; a scenario may set it."""

    delay_s: float = 0.0
    """Time that each call takes, in seconds."""

    is_down: bool = False
    """Whether every call fails without effect."""

    faults: list[Fault] = field(default_factory=list)
    """Faults of the next writes in order."""

    values: dict[str, KeyValue] = field(default_factory=dict)
    """Existing keys and their values."""

    watches: list[FakeWatch] = field(default_factory=list)
    """Active watches."""

    calls: Counter[str] = field(default_factory=Counter)
    """Number of calls by name."""

    revision: int = 0
    """Revision of the newest change."""

    leases: dict[int, FakeLease] = field(default_factory=dict)
    """Leases that have not expired."""

    newest_era: int = 1
    """Era of the service."""

    @property
    def era(self) -> int:
        """Era of the service."""
        return self.newest_era

    def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Return the value of a key, or ``None`` if the key does not exist."""
        if not self._begin('get'):
            return Failed(PlatformDown())
        return Success(self.values.get(key))

    def get_prefix(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Return the values of all keys with a prefix, sorted by key."""
        if not self._begin('get'):
            return Failed(PlatformDown())
        keys = sorted(k for k in self.values if k.startswith(prefix))
        entries = tuple(self.values[k] for k in keys)
        return Success(PrefixRead(entries, self.revision, self.newest_era))

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
        era: int = 0,
    ) -> Result[int, Failure]:
        """Write a key if its revision is the expected one."""
        return self._write(
            'compare_and_swap',
            lambda: self._swap(key, expected_revision, value, lease_id),
            era,
        )

    def delete(
        self, key: str, expected_revision: int, era: int = 0
    ) -> Result[None, Failure]:
        """Delete a key if its revision is the expected one."""
        return self._write(
            'delete', lambda: self._swap(key, expected_revision, b'', 0), era
        ).map(lambda revision: None)

    def grant_lease(self, ttl_s: int) -> Result[Lease, Failure]:
        """Grant a lease."""
        return self._write('grant_lease', lambda: self._grant(ttl_s))

    def keep_alive(
        self, lease_id: int, era: int = 0
    ) -> Result[Lease, Failure]:
        """Renew a lease."""
        return self._write('keep_alive', lambda: self._renew(lease_id), era)

    def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease and delete the keys bound to it."""
        return self._write('revoke_lease', lambda: self._revoke(lease_id))

    def watch(
        self,
        prefix: str,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
        on_answer: Callable[[float], None] | None = None,
    ) -> Watch:
        """Call back for each change under a prefix, until cancelled."""
        watch = FakeWatch(self, prefix, on_change, on_failure, on_answer)
        if self._begin('watch'):
            self.watches.append(watch)
            watch.answer()
        else:
            on_failure(PlatformDown())
        return watch

    def put(self, key: str, value: bytes) -> int:
        """Write a key without a check, as another writer."""
        return self._store(key, value, 0)

    def answer_watches(self) -> None:
        """Answer the open watches without a change."""
        for watch in tuple(self.watches):
            watch.answer()

    def take_down(self) -> None:
        """Begin an outage and end all watches with a failure."""
        self.is_down = True
        watches, self.watches = self.watches, []
        for watch in watches:
            watch.on_failure(PlatformDown())

    def take_copy(self) -> FakeCopy:
        """Return a copy of the present state."""
        return FakeCopy(dict(self.values), self.revision, dict(self.leases))

    def restore(self, copy: FakeCopy) -> None:
        """Come back from a copy in a new era; end all watches."""
        self.newest_era += 1
        self.values = {
            k: replace(v, era=self.newest_era) for k, v in copy.values.items()
        }
        self.revision = copy.revision
        self.leases = dict(copy.leases)
        watches, self.watches = self.watches, []
        for watch in watches:
            watch.on_failure(WatchExpired())

    def bring_up(self) -> None:
        """End the outage."""
        self.is_down = False

    def expire_lease(self, lease_id: int) -> None:
        """Expire a lease and delete the keys bound to it."""
        self.leases.pop(lease_id, None)
        bound = [k for k, v in self.values.items() if v.lease_id == lease_id]
        for key in bound:
            self._store(key, b'', 0)

    def expire_due_leases(self) -> None:
        """Expire every lease whose time to live has passed."""
        due = [i for i, v in self.leases.items() if v.expires_at <= self.now]
        for lease_id in due:
            self.expire_lease(lease_id)

    def _begin(self, name: str) -> bool:
        self.calls[name] += 1
        self.now += self.delay_s
        self.expire_due_leases()
        return not self.is_down

    def _write(
        self, name: str, effect: Callable[[], Result], era: int | None = None
    ) -> Result:
        if not self._begin(name):
            return Failed(PlatformDown())
        fault = self.faults.pop(0) if self.faults else None
        if fault is Fault.DOWN:
            return Failed(PlatformDown())
        if fault is Fault.LOST_BEFORE:
            return Failed(PlatformAnswerLost())
        if fault is Fault.CONFLICT:
            return Failed(RevisionConflict())
        result = effect()
        if era not in (None, 0, self.newest_era):
            return Failed(EraChanged())
        if fault is Fault.LOST_AFTER:
            return Failed(PlatformAnswerLost())
        return result

    def _swap(
        self, key: str, expected: int, value: bytes, lease_id: int
    ) -> Result[int, Failure]:
        current = self.values.get(key)
        if (current.mod_revision if current else 0) != expected:
            return Failed(RevisionConflict())
        if lease_id and lease_id not in self.leases:
            return Failed(LeaseExpired())
        return Success(self._store(key, value, lease_id))

    def _store(self, key: str, value: bytes, lease_id: int) -> int:
        self.revision += 1
        entry = KeyValue(key, value, self.revision, lease_id, self.newest_era)
        if value:
            self.values[key] = entry
        else:
            self.values.pop(key, None)
        for watch in list(self.watches):
            if key.startswith(watch.prefix):
                watch.on_change(entry)
        return self.revision

    def _grant(self, ttl_s: int) -> Result[Lease, Failure]:
        self.revision += 1
        lease_id = self.revision
        expires_at = self.now + ttl_s
        self.leases[lease_id] = FakeLease(lease_id, ttl_s, expires_at)
        return Success(Lease(lease_id, ttl_s, self.newest_era))

    def _renew(self, lease_id: int) -> Result[Lease, Failure]:
        lease = self.leases.get(lease_id)
        if lease is None:
            return Failed(LeaseExpired())
        lease.expires_at = self.now + lease.ttl_s
        return Success(Lease(lease_id, lease.ttl_s, self.newest_era))

    def _revoke(self, lease_id: int) -> Result[None, Failure]:
        if lease_id not in self.leases:
            return Failed(LeaseExpired())
        self.expire_lease(lease_id)
        return Success(None)
