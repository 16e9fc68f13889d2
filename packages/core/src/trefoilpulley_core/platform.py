"""Interface to the platform's key-value service.

The node package implements `Platform` for the JSON gateway of etcd v3.
"""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result


@dataclass(frozen=True, slots=True)
class PlatformDown(Failure):
    """The service could not be reached; the call had no effect."""

    code = 'platform-down'
    run_state = RunState.NOT_RUN
    is_repeatable = True


@dataclass(frozen=True, slots=True)
class PlatformAnswerLost(Failure):
    """The answer was lost; the call may have taken effect."""

    code = 'platform-answer-lost'


@dataclass(frozen=True, slots=True)
class RevisionConflict(Failure):
    """The key has another revision than the caller expected."""

    code = 'revision-conflict'
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class LeaseExpired(Failure):
    """The lease has lapsed."""

    code = 'lease-expired'
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class WatchExpired(Failure):
    """The service no longer has the history that the watch needs."""

    code = 'watch-expired'
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class EraChanged(Failure):
    """The service has come back from an older copy in a new era.

    What the caller expected belongs to another era, and the call may have
    taken effect.
    """

    code = 'era-changed'


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key and its value."""

    key: str
    """Name of the key."""

    value: bytes
    """Value of the key, at most one megabyte."""

    mod_revision: int
    """Revision of the last change; 0 where the key does not exist."""

    lease_id: int = 0
    """Identifier of the lease that the key is bound to, or 0."""

    era: int = 0
    """Era of the revision; 0 where the service names no era."""

    @property
    def version(self) -> tuple[int, int]:
        """Era and revision of the last change, in the order of changes."""
        return self.era, self.mod_revision


@dataclass(frozen=True, slots=True)
class WatchPosition:
    """Revision of the service in one of its eras."""

    era: int
    """Era of the revision; 0 where the service names no era."""

    revision: int
    """Revision up to which every change is known."""


@dataclass(frozen=True, slots=True)
class PrefixRead:
    """Keys with a prefix, which may have been read page by page.

    The pages are no snapshot: a key that changed after the first page was
    read may be listed with its old value, with its new value or not at all.
    """

    entries: tuple[KeyValue, ...]
    """Listed keys and their values."""

    revision: int
    """Revision of the service when it read the first page.

    The read shows every change up to this revision.
    """

    era: int = 0
    """Era of every entry; 0 where the service names no era."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease granted by the service."""

    lease_id: int
    """Identifier of the lease."""

    ttl_s: float
    """Time to live in seconds, measured from the sending of the request."""

    era: int = 0
    """Era in which the number is valid; 0 where the service names no era."""


class Watch(abc.ABC):
    """Active watch on a prefix."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the watch."""


class Platform(abc.ABC):
    """Client of the platform's key-value service."""

    @property
    def era(self) -> int:
        """Newest era that an answer of the service has named.

        The era rises when the service comes back from an older copy, so that
        what it has acknowledged since is lost. It is 0 where the service
        names no era.
        """
        return 0

    @abc.abstractmethod
    def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Return a key and its value, or ``None`` if the key is absent."""

    @abc.abstractmethod
    def get_prefix(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Return all keys with a prefix and their values."""

    def get_revisions(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Return all keys with a prefix; their values may be empty."""
        return self.get_prefix(prefix)

    @abc.abstractmethod
    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
        era: int = 0,
    ) -> Result[int, Failure]:
        """Write a key if it has the expected revision.

        Parameters
        ----------
        key : str
            Name of the key.
        expected_revision : int
            Required revision of the key; 0 if the key must be absent.
        value : bytes
            New value.
        lease_id : int
            Identifier of the lease to bind the key to, or 0 for none.
        era : int
            Era in which the revision and the lease were learnt; 0 where the
            service names no era.

        Returns
        -------
        Result[int, Failure]
            The new revision, or `RevisionConflict`, `PlatformDown`,
            `PlatformAnswerLost`, `LeaseExpired` or `EraChanged`.
        """

    @abc.abstractmethod
    def delete(
        self, key: str, expected_revision: int, era: int = 0
    ) -> Result[None, Failure]:
        """Delete a key if it has the revision expected in an era."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s: int) -> Result[Lease, Failure]:
        """Request a new lease."""

    @abc.abstractmethod
    def keep_alive(
        self, lease_id: int, era: int = 0
    ) -> Result[Lease, Failure]:
        """Renew a lease of an era once."""

    @abc.abstractmethod
    def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease and delete the keys bound to it."""

    @abc.abstractmethod
    def watch(
        self,
        prefix: str,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
        on_answer: Callable[[float], None] | None = None,
    ) -> Watch:
        """Watch the keys with a prefix until the watch is cancelled.

        ``on_change`` is called for each change, with an empty value for
        a deleted key. If the watch breaks, ``on_failure`` is called once
        and the watch ends. The method returns when the watch is active,
        so that a subsequent read misses no change. A watch that is
        started after a broken one may continue where the broken watch
        ended. Such a watch fails with `WatchExpired` if changes in between
        are no longer available. Any watch fails with `WatchExpired` as soon
        as an answer to any call names a new era.

        ``on_answer`` is called for each answer, with or without changes,
        after its changes have been reported. It gets the age of the answer
        in seconds: every change up to that time has been reported.
        """


class PositionedPlatform(Platform):
    """Client of a service whose watches tell and take a position."""

    @abc.abstractmethod
    def resume_watch(self, position: WatchPosition) -> None:
        """Let the next watch begin after a position.

        Changes up to the position have been learnt from another host.
        """

    @abc.abstractmethod
    def subscribe_progress(
        self, on_progress: Callable[[WatchPosition], None]
    ) -> None:
        """Register a callback for each answer of the service to a watch.

        It is called after the changes of the answer have been reported, with
        the position up to which they are complete.
        """

    @abc.abstractmethod
    def subscribe_restored(self, on_restored: Callable[[], None]) -> None:
        """Register a callback for the begin of a new era."""
