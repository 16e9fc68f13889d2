"""Calls to the platform's service for the records of a shard."""

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
    """Outcome of a call for the records of a shard."""

    is_answered = True
    """Whether the service has answered."""

    @abc.abstractmethod
    def tell(self, shard: ShardCoordinator, now: float) -> Commands:
        """Pass the outcome on."""


@dataclass(frozen=True, slots=True)
class Loaded(StoreOutcome):
    """The records were read."""

    value: bytes
    """JSON form, empty where there is none."""

    revision: int
    """Revision of the key."""

    def tell(self, shard: ShardCoordinator, now: float) -> Commands:
        """Pass the records on."""
        return shard.on_loaded(self.value, self.revision, now)


@dataclass(frozen=True, slots=True)
class Stored(StoreOutcome):
    """The records were written."""

    revision: int
    """New revision of the key."""

    def tell(self, shard: ShardCoordinator, now: float) -> Commands:
        """Pass the success on."""
        return shard.on_stored(self.revision, now)


@dataclass(frozen=True, slots=True)
class Unsure(StoreOutcome):
    """Another writer came first, or the answer was lost."""

    is_conflict: bool
    """Whether the service has answered with a conflict."""

    @property
    def is_answered(self) -> bool:
        """Whether the service has answered."""
        return self.is_conflict

    def tell(self, shard: ShardCoordinator, now: float) -> Commands:
        """Have the records read again."""
        return shard.on_store_outcome_unknown(now)


@dataclass(frozen=True, slots=True)
class Down(StoreOutcome):
    """The service could not be reached."""

    is_answered = False

    def tell(self, shard: ShardCoordinator, now: float) -> Commands:
        """Have the call repeated later."""
        return shard.on_service_down(now)


class ShardStore:
    """Reads and writes the records of shards.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def run(self, command: LoadShard | StoreShard) -> StoreOutcome:
        """Carry out a call and return its outcome."""
        if isinstance(command, LoadShard):
            return self._load(command)
        return self._save(command)

    def _load(self, command: LoadShard) -> StoreOutcome:
        found = self._platform.get(shard_key(command.shard))
        if not isinstance(found, Success):
            return Down()
        pair = found.unwrap()
        if pair is None:
            return Loaded(b'', 0)
        return Loaded(pair.value, pair.mod_revision)

    def _save(self, command: StoreShard) -> StoreOutcome:
        stored = self._platform.compare_and_swap(
            shard_key(command.shard), command.expected_revision, command.value
        )
        if isinstance(stored, Success):
            return Stored(stored.unwrap())
        return _explain(stored.failure())


def _explain(failure: Failure) -> StoreOutcome:
    if isinstance(failure, PlatformDown):
        return Down()
    return Unsure(isinstance(failure, RevisionConflict))
