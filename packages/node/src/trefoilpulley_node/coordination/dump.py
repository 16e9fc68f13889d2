"""State of the coordinator role for the state dump."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.shard_coordinator import ShardCoordinator

if TYPE_CHECKING:
    from trefoilpulley_core.coordination.database import DatabaseCoordinator


@dataclass(frozen=True, slots=True)
class DatabaseState:
    """State of one database's coordination."""

    database: str
    """Name of the database."""

    verdict: str
    """What the evidence says of its primary."""

    term: int
    """Recorded term."""

    primary: str
    """Recorded primary."""

    granted_terms: tuple[int, ...]
    """Terms that this process may use."""

    promotion: str
    """Stage of the promotion in progress; empty for none."""

    handover: str
    """Stage of the handover in progress; empty for none."""

    relapses: int
    """Handovers that failed or were undone of late."""


@dataclass(frozen=True, slots=True)
class ShardState:
    """State of one shard at this host."""

    shard: int
    """Number of the shard."""

    is_acting: bool
    """Whether this host has the duty now."""

    pending_edits: int
    """Changes that the platform's service does not hold yet."""

    databases: tuple[DatabaseState, ...]
    """Databases of the shard."""


@dataclass(frozen=True, slots=True)
class CoordinationState:
    """State of the coordinator role."""

    holder: str
    """Name under which this process holds terms and duties."""

    is_service_up: bool
    """Whether the platform's service answered the last call."""

    lease_left_s: float
    """Time for which this host's lease holds; 0 without one."""

    shards: tuple[ShardState, ...]
    """Shards for which this host acts or keeps ready."""


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
