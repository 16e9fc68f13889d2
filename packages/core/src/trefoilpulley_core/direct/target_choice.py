"""Choice of the member to promote from the logs of the members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpulley_core.direct.commit_roster import CommitRoster
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.upstream_session import LogStatus
    from trefoilpulley_core.position import Position


@dataclass(frozen=True, slots=True)
class LogJudgement:
    """Whether the logs of the answering members hold every commit."""

    is_complete: bool
    """Whether the chosen log holds every acknowledged commit."""

    missed: tuple[str, ...]
    """Members whose logs are not known."""

    needed: int
    """Number of the missed members that must answer first; 0 if none."""

    floor: Position
    """Position that the chosen log must have reached."""


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


def judge_logs(
    roster: CommitRoster,
    group: GroupState,
    statuses: Mapping[str, LogStatus],
    target: str | None,
    synchronous: int,
) -> LogJudgement:
    """Return whether a member holds every commit that was acknowledged.

    A commit is acknowledged once the primary and ``synchronous`` replicas
    have received it, so that as many members may be missing.

    Parameters
    ----------
    roster : CommitRoster
        Members that may have confirmed commits.
    group : GroupState
        Listed members and the starts of the terms.
    statuses : Mapping[str, LogStatus]
        Logs of the members that answer.
    target : str or None
        Member with the most advanced of these logs that may lead.
    synchronous : int
        Number of replicas that receive a commit before its acknowledgement.
    """
    listed = group.listed
    if not roster.version:
        roster = roster.with_listed([h.record for h in group.members.values()])
    current = roster.with_listed(listed)
    names = current.names
    missed = current.find_unknown(listed, statuses)
    has_enough = has_every_commit(
        len(names) - 1, len(names) - len(missed), synchronous
    )
    is_floor_reached = target is not None and current.is_floor_reached(
        statuses[target].received, group.lineage
    )
    return LogJudgement(
        not synchronous or (has_enough and is_floor_reached),
        missed,
        max(0, len(missed) - synchronous),
        current.floor,
    )
