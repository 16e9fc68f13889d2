"""Change of the primary where every replica lags and the primary is full.

Load pattern: the replicas receive the log at once but apply it many seconds
late, and they stay behind long after the cause has ended. All reads that
accept older data go to the primary, whose few slots are needed for the writes,
so that the group refuses work until the replicas have caught up. A member that
is promoted leads with all that it has received, and the old primary becomes a
replica without a backlog: a planned handover gives the group two members that
serve instead of one, and loses no commit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.upstream_session import LogStatus

MIN_OVERLOAD_S = 0.7
"""Time for which the primary must have refused work, in seconds.

A shorter overload is over before a handover would end.
"""

MIN_LAG_S = 1.5
"""Lag of every replica that is worth the pause of a handover, in seconds."""

MIN_TENURE_S = 5.0
"""Time for which a primary is kept after a change, in seconds.

Prevents a series of changes where the new primary is overloaded as well.
"""

RECEIPT_DELAY_S = 0.05
"""Time for the records of a known position to reach the replicas, in seconds.

A replica that lacks the position after this time does not receive the log, and
its promotion would lose commits.
"""


def needs_relief(group: GroupState, now: float) -> bool:
    """Return whether another member should lead the group.

    Parameters
    ----------
    group : GroupState
        Members and primary of the group as seen by this host.
    now : float
        Current time in seconds.
    """
    primary = group.members.get(group.primary or '')
    if primary is None or now - group.primary_since < MIN_TENURE_S:
        return False
    if primary.overload.duration_s(now) < MIN_OVERLOAD_S:
        return False
    replicas = [h for h in group.members.values() if h is not primary]
    return any(map(_can_lead, replicas)) and all(
        not _can_lead(h) or h.expected_lag_s(now) >= MIN_LAG_S
        for h in replicas
    )


def choose_relief_target(
    group: GroupState,
    primary_status: LogStatus,
    statuses: Mapping[str, LogStatus],
) -> str | None:
    """Return the replica that should lead, or ``None`` if no one may.

    Parameters
    ----------
    group : GroupState
        Members of the group.
    primary_status : LogStatus
        Status of the primary.
    statuses : Mapping[str, LogStatus]
        Statuses of the replicas that answered, read at least
        ``RECEIPT_DELAY_S`` after that of the primary.
    """
    if not primary_status.is_primary:
        return None
    complete = {
        member: status.received
        for member, status in sorted(statuses.items())
        if member in group.members
        and _can_lead(group.members[member])
        and not group.lineage.has_left(status.received)
        and status.received >= primary_status.received
    }
    return max(complete, key=complete.__getitem__, default=None)


def _can_lead(health: MemberHealth) -> bool:
    return health.failing_since is None and not health.record.is_leaving
