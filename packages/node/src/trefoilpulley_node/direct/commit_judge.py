"""Judges whether a failover keeps every acknowledged commit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.direct.target_choice import judge_logs
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.direct.failover import ReachReport
    from trefoilpulley_core.direct.target_choice import LogJudgement
    from trefoilpulley_core.direct.upstream_session import LogStatus
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.roster_store import RosterStore


class CommitJudge:
    """Judges the logs of groups with synchronous replicas.

    Parameters
    ----------
    rosters : RosterStore
        Members of each group that may have confirmed commits.
    """

    def __init__(self, rosters: RosterStore) -> None:
        self._rosters = rosters
        self._reported: dict[str, LogJudgement] = {}

    def has_every_commit(
        self, group: Group, statuses: Mapping[str, LogStatus], target: str
    ) -> bool:
        """Return whether a member is known to have every commit.

        A verdict is logged when it differs from the last one. With
        asynchronous replicas no member is known to, and any will do.
        """
        synchronous = group.synchronous_replicas
        if not synchronous:
            return True
        name = group.state.group
        roster = self._rosters.find(name).in_force
        judgement = judge_logs(
            roster, group.state, statuses, target, synchronous
        )
        if judgement != self._reported.get(name):
            self._reported[name] = judgement
            events.COMMITS_JUDGED.log(
                group=name,
                is_complete=judgement.is_complete,
                members=roster.names,
                missed=judgement.missed,
                needed=judgement.needed,
                floor=judgement.floor.as_text,
                received={m: s.received.as_text for m, s in statuses.items()},
            )
        return judgement.is_complete

    def count_members(self, group: Group) -> int:
        """Return of how many members a majority has to answer.

        A member that is settled may still be in its grace period.
        """
        roster = self._rosters.find(group.state.group).in_force
        if not group.synchronous_replicas or not roster.version:
            return len(group.state.members)
        return len(roster.with_listed(group.state.listed).names)

    def add_rosters(
        self, group: Group, reports: Iterable[ReachReport]
    ) -> None:
        """Learn of members that the service could not tell this host."""
        for report in reports:
            if report.roster is not None:
                self._rosters.add_reported(group.state.group, report.roster)
