"""Keeps the roster of a group: adds members, and removes lost ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.direct.failover import roster_delay_s
from trefoilpulley_core.direct.lag_relief import RECEIPT_DELAY_S
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.commit_roster import CommitRoster
    from trefoilpulley_core.direct.commit_roster import RosterMember
    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.position import Position
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.host_vote import HostVote
    from trefoilpulley_node.direct.member_prober import MemberProber
    from trefoilpulley_node.direct.roster_store import KnownRoster
    from trefoilpulley_node.direct.roster_store import RosterStore

UPDATE_INTERVAL_S = 0.5
"""Time between two attempts to update a roster, in seconds."""


class RosterKeeper:
    """Keeps the rosters of groups with synchronous replicas.

    Parameters
    ----------
    host : str
        Name of this host.
    rosters : RosterStore
        Rosters in the platform's service.
    prober : MemberProber
        Asks the primary for its position.
    vote : HostVote
        Asks other hosts whether they reach a member.
    registered_hosts : Callable[[], Mapping[str, str]]
        Availability zone of each registered host, this one included.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        rosters: RosterStore,
        prober: MemberProber,
        vote: HostVote,
        registered_hosts: Callable[[], Mapping[str, str]],
        clock: Clock,
    ) -> None:
        self._host = host
        self._rosters = rosters
        self._prober = prober
        self._vote = vote
        self._registered_hosts = registered_hosts
        self._clock = clock
        self._updates_due: dict[str, float] = {}
        # What a group was checked with when nothing was left to do.
        self._current: dict[
            str, tuple[KnownRoster, tuple[MemberRecord, ...]]
        ] = {}

    def check(self, groups: Iterable[Group]) -> None:
        """Bring the rosters up to date where it is this host's turn.

        Load pattern: every host sees a member leave at the same moment. The
        hosts take turns, so that the first one's write is the only one.
        """
        for group in groups:
            if group.synchronous_replicas:
                self._check_group(group)

    def _check_group(self, group: Group) -> None:
        name, listed = group.state.group, group.state.listed
        known, current_list = self._current.get(name, (None, None))
        if known is self._rosters.find(name) and listed is current_list:
            return
        if not listed or self._is_current(name, listed):
            self._updates_due.pop(name, None)
            self._current[name] = self._rosters.find(name), listed
            return
        now = self._clock.now()
        if name not in self._updates_due:
            # The rank among all hosts is not worked out at every check.
            self._updates_due[name] = now + roster_delay_s(
                name, self._host, self._registered_hosts()
            )
        if now >= self._updates_due[name]:
            self._updates_due[name] = now + UPDATE_INTERVAL_S
            gevent.spawn(self._update, group)

    def _is_current(self, name: str, listed: tuple[MemberRecord, ...]) -> bool:
        """Return whether the stored roster holds just the listed members."""
        roster = self._rosters.add_listed(name, listed)
        is_stored = roster == self._rosters.find(name).stored
        return is_stored and not roster.find_unsettled(listed)

    def _update(self, group: Group) -> None:
        """Write the members of a group, without those that are settled."""
        name, listed = group.state.group, group.state.listed
        settled = self._find_settled(group, listed)
        is_first = not self._rosters.find(name).stored.version
        position = None
        if settled or is_first:
            position = self._read_received_position(group)
        if is_first and position is None:
            # Members that are not listed any more may have confirmed commits.
            return
        if listed is not group.state.listed:
            # The next check decides from the members that are listed then.
            return
        roster = self._rosters.add_listed(name, listed)
        if position is not None:
            roster = roster.settle(settled, listed, position)
        if roster != self._rosters.find(name).stored:
            self._publish(name, roster)

    def _find_settled(
        self, group: Group, listed: tuple[MemberRecord, ...]
    ) -> tuple[str, ...]:
        """Return the members whose former processes confirm nothing more.

        A member without an entry may be cut off from the service alone. It
        counts until the voters do not reach it either.
        """
        roster = self._rosters.add_listed(group.state.group, listed)
        names = {r.member for r in listed}
        return tuple(
            m.member
            for m in roster.find_unsettled(listed)
            if m.member in names or self._is_lost(group, m)
        )

    def _read_received_position(self, group: Group) -> Position | None:
        """Return the end of the primary's log once a replica has received it.

        A floor that no replica reaches would prevent a failover if the
        primary was lost with commits that it has not acknowledged.
        """
        position = self._read_position(group)
        if position is None:
            return None
        gevent.sleep(RECEIPT_DELAY_S)
        statuses = self._prober.read_statuses(
            group, group.state.members_except(group.state.primary)
        )
        if all(s.received < position for s in statuses.values()):
            return None
        return position

    def _read_position(self, group: Group) -> Position | None:
        """Return the end of the primary's log; ``None`` without a primary."""
        primary = group.state.primary or ''
        if not self._prober.verify_leader(group, primary):
            return None
        status = self._prober.read_status(group, primary)
        is_primary = status is not None and status.is_primary
        return status.received if is_primary else None

    def _is_lost(self, group: Group, lost: RosterMember) -> bool:
        name, endpoint = lost.member, lost.endpoint
        if self._prober.can_connect(group, name, endpoint):
            return False
        reports = self._vote.collect_reports(group, name, endpoint)
        return self._vote.is_lost(group, name, reports, True)

    def _publish(self, name: str, roster: CommitRoster) -> None:
        result = self._rosters.publish(name, roster)
        failure = None if isinstance(result, Success) else result.failure()
        events.ROSTER_WRITTEN.log(
            group=name,
            members=roster.names,
            floor=roster.floor.as_text,
            failure=failure.code if failure else None,
        )
