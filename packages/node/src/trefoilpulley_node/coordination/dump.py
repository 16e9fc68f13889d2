"""Coordinator's section of the state dump."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.shard_coordinator import ShardCoordinator

if TYPE_CHECKING:
    from trefoilpulley_core.coordination.database import DatabaseCoordinator


@dataclass(frozen=True, slots=True)
class DatabaseState:
    """Coordination state of one database."""

    database: str
    """Name of the database."""

    verdict: str
    """Verdict on the primary from the collected evidence."""

    term: int
    """Term in the database's record."""

    primary: str
    """Primary in the database's record."""

    granted_terms: tuple[int, ...]
    """Terms that the record grants to this process."""

    promotion: str
    """Stage of the running promotion, or an empty string."""

    handover: str
    """Stage of the running handover, or an empty string."""

    relapses: int
    """Number of recent handovers that failed or were reversed."""


@dataclass(frozen=True, slots=True)
class ShardState:
    """State of one shard on this host."""

    shard: int
    """Shard number."""

    is_acting: bool
    """Whether this host currently holds the shard's duty."""

    pending_edits: int
    """Number of changes not yet stored in the platform's service."""

    databases: tuple[DatabaseState, ...]
    """Databases of the shard."""


@dataclass(frozen=True, slots=True)
class CoordinationState:
    """State of the coordinator role."""

    holder: str
    """Name under which this process holds terms, duties and its lease."""

    is_service_up: bool
    """Whether the platform's service answered the most recent call."""

    lease_left_s: float
    """Remaining time of this host's lease in seconds; 0 without a lease."""

    shards: tuple[ShardState, ...]
    """Shards that this host coordinates or is a standby for."""


def describe_shard(
    number: int, shard: ShardCoordinator, is_acting: bool
) -> ShardState:
    """Return the state of a shard."""
    return ShardState(
        number,
        is_acting,
        len(shard.pending),
        tuple(_describe(d) for d in shard.databases.values()),
    )


def _describe(coordinator: DatabaseCoordinator) -> DatabaseState:
    record = coordinator.record
    promotion = coordinator.promotion
    handover = coordinator.handover
    return DatabaseState(
        coordinator.database,
        coordinator.verdict.value,
        record.term,
        record.primary,
        tuple(g.term for g in record.grants if g.holder == coordinator.holder),
        '' if promotion is None else promotion.stage.value,
        '' if handover is None else handover.stage.value,
        record.relapses,
    )
