"""Number of members that hold a record."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.upstream import MemberStatus


def count_copies(status: MemberStatus, position: Position) -> int:
    """Return the number of members that hold a record.

    A member counts for a record of an earlier term only if it also holds
    the first record of the current term. Until a majority holds that
    first record, a later promotion could still choose a member without
    the earlier records (Ongaro and Ousterhout, "In Search of an
    Understandable Consensus Algorithm", section 5.4.2).

    Parameters
    ----------
    status : MemberStatus
        Status of the primary.
    position : Position
        Record that must be held.

    Returns
    -------
    int
        Number of members, including the primary; 0 where the status is
        not of a primary whose log contains the record.
    """
    if not status.is_primary or not status.history.starts:
        return 0
    start = status.history.starts[-1]
    if start.term != status.term:
        return 0
    if not status.history.contains(position):
        return 0
    needed = max(position.index, start.index)
    replicas = sum(
        1 for ack in status.acknowledgements if ack.position.index >= needed
    )
    return 1 + replicas
