"""Choice of the member to promote from the logs of the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.upstream_session import LogStatus


def has_every_commit(replicas: int, answering: int, synchronous: int) -> bool:
    """Return whether one of the answering replicas has every commit.

    If a commit is acknowledged after ``synchronous`` replicas have received
    it, at most ``synchronous - 1`` replicas may be missing. If replication
    is asynchronous, no replica is guaranteed to have every commit, and any
    replica may become the primary.

    Parameters
    ----------
    replicas : int
        Number of replicas of the group.
    answering : int
        Number of replicas whose log is known and whose replication is
        stopped.
    synchronous : int
        Number of replicas that receive a commit before its
        acknowledgement.
    """
    return not synchronous or answering > replicas - synchronous


def choose_target(
    group: GroupState, statuses: Mapping[str, LogStatus]
) -> str | None:
    """Return the member to promote, or ``None`` if no member can be.

    The member with the most advanced log is chosen, because log records
    that the new primary lacks are lost. Among members with equal logs, a
    member that is not leaving is preferred. A member whose log has left the
    group's log is not chosen: its records would come back into force, and
    reads that were answered without them would have been stale. Neither is
    one that has lost its log.
    """
    best = None
    for member, status in sorted(statuses.items()):
        health = group.members.get(member)
        if health is None or not group.lineage.may_lead(status.received):
            continue
        key = (status.received, not health.record.is_leaving)
        if best is None or key > best[0]:
            best = (key, member)
    return best[1] if best else None


def choose_staying_target(
    group: GroupState, statuses: Mapping[str, LogStatus]
) -> str | None:
    """Return the member to promote before the primary stops, or ``None``.

    Parameters
    ----------
    group : GroupState
        Members of the group.
    statuses : Mapping[str, LogStatus]
        Statuses of the members that answered, without the primary's.
    """
    staying = {
        member: status
        for member, status in statuses.items()
        if member in group.members
        and not group.members[member].record.is_leaving
    }
    return choose_target(group, staying)


def has_caught_up(
    group: GroupState, status: LogStatus, demoted: LogStatus
) -> bool:
    """Return whether a replica has the whole log of a demoted primary."""
    if group.lineage.has_left(status.received):
        return False
    return status.received >= demoted.received
