"""Loads and stores shard records in the platform's service."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.coordination.commands import LoadShard
from trefoilpulley_core.coordination.commands import StoreShard
from trefoilpulley_core.coordination.shard_coordinator import ShardCoordinator
from trefoilpulley_core.keys import shard_key
from trefoilpulley_core.platform import PlatformDown
from trefoilpulley_core.platform import RevisionConflict

if TYPE_CHECKING:
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import Platform


class StoreOutcome(abc.ABC):
    """Outcome of a load or store of a shard's records."""

    is_answered = True
    """Whether the service answered the call."""

    @abc.abstractmethod
    def report_to(self, shard: ShardCoordinator, now: float) -> Commands:
        """Report the outcome to the shard's coordinator."""


@dataclass(frozen=True, slots=True)
class RecordsLoaded(StoreOutcome):
    """The records were loaded."""

    value: bytes
    """Records as JSON; empty if the key does not exist."""

    revision: int
    """Revision of the key; 0 if the key does not exist."""

    def report_to(self, shard: ShardCoordinator, now: float) -> Commands:
        """Report the loaded records."""
        return shard.on_loaded(self.value, self.revision, now)


@dataclass(frozen=True, slots=True)
class RecordsStored(StoreOutcome):
    """The records were stored."""

    revision: int
    """New revision of the key."""

    def report_to(self, shard: ShardCoordinator, now: float) -> Commands:
        """Report the new revision."""
        return shard.on_stored(self.revision, now)


@dataclass(frozen=True, slots=True)
class StoreUncertain(StoreOutcome):
    """The store conflicted with another writer, or its answer was lost."""

    is_conflict: bool
    """Whether the service reported a revision conflict."""

    @property
    def is_answered(self) -> bool:
        """Whether the service answered the call."""
        return self.is_conflict

    def report_to(self, shard: ShardCoordinator, now: float) -> Commands:
        """Make the coordinator load the records again."""
        return shard.on_store_outcome_unknown(now)


@dataclass(frozen=True, slots=True)
class ServiceDown(StoreOutcome):
    """The service could not be reached."""

    is_answered = False

    def report_to(self, shard: ShardCoordinator, now: float) -> Commands:
        """Make the coordinator repeat the call later."""
        return shard.on_service_down(now)


class ShardStore:
    """Loads and stores the records of shards.

    Parameters
    ----------
    platform : Platform
        Client of the platform's key-value service.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def run(self, command: LoadShard | StoreShard) -> StoreOutcome:
        """Execute a command and return its outcome."""
        if isinstance(command, LoadShard):
            return self._load(command)
        return self._store(command)

    def _load(self, command: LoadShard) -> StoreOutcome:
        fetched = self._platform.get(shard_key(command.shard))
        if not isinstance(fetched, Success):
            return ServiceDown()
        pair = fetched.unwrap()
        if pair is None:
            return RecordsLoaded(b'', 0)
        return RecordsLoaded(pair.value, pair.mod_revision)

    def _store(self, command: StoreShard) -> StoreOutcome:
        stored = self._platform.compare_and_swap(
            shard_key(command.shard), command.expected_revision, command.value
        )
        if isinstance(stored, Success):
            return RecordsStored(stored.unwrap())
        return _outcome_of_failure(stored.failure())


def _outcome_of_failure(failure: Failure) -> StoreOutcome:
    if isinstance(failure, PlatformDown):
        return ServiceDown()
    return StoreUncertain(isinstance(failure, RevisionConflict))
