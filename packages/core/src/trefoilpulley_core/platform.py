"""Interface to the platform's key-value service.

The node package implements `Platform` over the published etcd v3 JSON
gateway.
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
class KeyValue:
    """Value of one key."""

    key: str
    """Key."""

    value: bytes
    """Value, at most one megabyte."""

    mod_revision: int
    """Revision of the last change; 0 where the key does not exist."""

    lease_id: int = 0
    """Lease that the key is bound to, or 0."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease granted by the service."""

    lease_id: int
    """Identifier."""

    ttl_s: float
    """Time to live in seconds, counted from before the request left."""


class Watch(abc.ABC):
    """Running watch on a prefix."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the watch."""


class Platform(abc.ABC):
    """Client of the platform's key-value service."""

    @abc.abstractmethod
    def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Return the value of a key, or ``None`` where it is absent."""

    @abc.abstractmethod
    def get_prefix(self, prefix: str) -> Result[tuple[KeyValue, ...], Failure]:
        """Return the values of every key with a prefix."""

    def get_revisions(
        self, prefix: str
    ) -> Result[tuple[KeyValue, ...], Failure]:
        """Return the keys under a prefix; their values may be left out."""
        return self.get_prefix(prefix)

    @abc.abstractmethod
    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[int, Failure]:
        """Write a key where its revision is as expected.

        Parameters
        ----------
        key : str
            Key to write.
        expected_revision : int
            Revision the key must have; 0 for a key that must be absent.
        value : bytes
            New value.
        lease_id : int
            Lease to bind the key to, or 0 for none.

        Returns
        -------
        Result[int, Failure]
            The new revision, or `RevisionConflict`, `PlatformDown`,
            `PlatformAnswerLost` or `LeaseExpired`.
        """

    @abc.abstractmethod
    def delete(
        self, key: str, expected_revision: int
    ) -> Result[None, Failure]:
        """Delete a key where its revision is as expected."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s: int) -> Result[Lease, Failure]:
        """Grant a lease."""

    @abc.abstractmethod
    def keep_alive(self, lease_id: int) -> Result[Lease, Failure]:
        """Renew a lease once."""

    @abc.abstractmethod
    def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease and delete the keys bound to it."""

    @abc.abstractmethod
    def watch(
        self,
        prefix: str,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
    ) -> Watch:
        """Call back for each change under a prefix, until cancelled.

        A deleted key comes with an empty value. A broken watch calls
        ``on_failure`` once and ends. Returns once the watch is in
        force, so that a read that follows misses no change. A watch
        that follows a broken one may go on where that one ended; it
        fails with `WatchExpired` where changes in between are lost.
        """
