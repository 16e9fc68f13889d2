"""Pooler's section of the state dump."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from trefoilpulley_node.pooler.pooled_member import PooledMember
    from trefoilpulley_node.pooler.pooler import Pooler


@dataclass(frozen=True, slots=True)
class MemberState:
    """State of one pooled member."""

    member: str
    """Name of the member."""

    is_reachable: bool
    """Whether the member has reported within the timeout."""

    is_primary: bool
    """Whether the member leads its term."""

    term: int
    """Term that the member leads or follows."""

    last: Position
    """Last position of the member's log."""

    age_ms: int | None
    """Highest possible age of the data in milliseconds, if known."""

    slots_in_use: int
    """Number of slots held by work."""

    waiting: int
    """Number of requests that wait for a slot."""

    connections: int
    """Number of connections open for work."""

    waiting_for_copies: int
    """Number of writes that wait for their copies."""

    is_paused: bool
    """Whether a handover has paused the writes."""


@dataclass(frozen=True, slots=True)
class PoolerState:
    """State of the pooler role."""

    members: tuple[MemberState, ...]
    """Pooled members."""

    transactions: int
    """Number of open transactions."""


def dump_pooler(pooler: Pooler) -> PoolerState:
    """Return the state of the pooler role."""
    return PoolerState(
        tuple(_dump_member(m) for m in pooler.members.values()),
        len(pooler.transactions),
    )


def _dump_member(member: PooledMember) -> MemberState:
    status = member.monitor.status
    return MemberState(
        member.entry.name,
        member.monitor.is_reachable,
        member.is_primary,
        0 if status is None else status.term,
        BEGINNING if status is None else status.history.last,
        member.age_ms(),
        member.pool.slots_in_use,
        member.pool.waiting,
        member.pool.connections,
        len(member.monitor.copy_waiters),
        member.pool.write_pause.is_active,
    )
