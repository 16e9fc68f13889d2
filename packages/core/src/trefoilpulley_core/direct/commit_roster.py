"""Members of a group whose logs may hold acknowledged commits."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.direct.log_lineage import LogLineage
    from trefoilpulley_core.direct.upstream_session import LogStatus


@dataclass(frozen=True, slots=True)
class RosterMember:
    """Member that may have confirmed commits."""

    member: str
    """Identifier of the member."""

    endpoint: Endpoint
    """Address of the member."""

    incarnation: int
    """Start time of the member; changes at each restart."""

    is_leaving: bool = False
    """Whether the member has announced that it stops."""


@dataclass(frozen=True, slots=True)
class CommitRoster:
    """Members that count for the completeness of a group's logs.

    Every acknowledged commit is at or before ``floor``, or has been received
    by the primary and the required number of replicas among ``members``. A
    member that is no longer listed remains until a primary, asked after the
    loss, has shown a position: what the lost member has confirmed is at or
    before that position.
    """

    members: tuple[RosterMember, ...] = ()
    """Members in the order of their identifiers."""

    floor: Position = BEGINNING
    """Position that a new primary must have received."""

    version: int = 0
    """Number of changes that the platform's service has stored; 0: none."""

    @property
    def names(self) -> tuple[str, ...]:
        """Identifiers of the members."""
        return tuple(m.member for m in self.members)

    def with_listed(self, listed: Collection[MemberRecord]) -> CommitRoster:
        """Return the roster with the members that are listed now.

        A member that has left is followed by the member at its address, to
        which its log is transferred.
        """
        listed_names = {r.member for r in listed}
        listed_endpoints = {r.endpoint for r in listed}
        known = {
            m.member: m
            for m in self.members
            if m.member in listed_names
            or not m.is_leaving
            or m.endpoint not in listed_endpoints
        }
        for record in listed:
            former = known.get(record.member)
            known[record.member] = RosterMember(
                record.member,
                record.endpoint,
                former.incarnation if former else record.incarnation,
                record.is_leaving,
            )
        return self._with_members(known.values())

    def find_unsettled(
        self, listed: Collection[MemberRecord]
    ) -> tuple[RosterMember, ...]:
        """Return members that are lost, or may have lost their logs.

        The latter have been started again since they were entered.
        """
        incarnations = {r.member: r.incarnation for r in listed}
        return tuple(
            m
            for m in self.members
            if incarnations.get(m.member) != m.incarnation
        )

    def settle(
        self,
        members: Collection[str],
        listed: Collection[MemberRecord],
        position: Position,
    ) -> CommitRoster:
        """Return the roster after a primary has shown its position.

        Parameters
        ----------
        members : Collection[str]
            Members that were found lost or restarted before the primary was
            asked.
        listed : Collection[MemberRecord]
            Entries of the group's members at that time.
        position : Position
            End of the primary's log.
        """
        incarnations = {r.member: r.incarnation for r in listed}
        kept = [
            replace(m, incarnation=incarnations[m.member])
            if m.member in members
            else m
            for m in self.members
            if m.member not in members or m.member in incarnations
        ]
        return replace(
            self._with_members(kept), floor=max(self.floor, position)
        )

    def merge(self, other: CommitRoster) -> CommitRoster:
        """Return a roster that holds for all commits of two rosters."""
        known = {m.member: m for m in (*other.members, *self.members)}
        return CommitRoster(
            self._with_members(known.values()).members,
            max(self.floor, other.floor),
            max(self.version, other.version),
        )

    def find_unknown(
        self,
        listed: Collection[MemberRecord],
        statuses: Mapping[str, LogStatus],
    ) -> tuple[str, ...]:
        """Return the members whose former logs no status shows.

        The empty log of a member that was started again shows nothing of
        what the member had confirmed.
        """
        restarted = {m.member for m in self.find_unsettled(listed)}
        return tuple(
            name
            for name in self.names
            if name not in statuses
            or (name in restarted and statuses[name].received.index == 0)
        )

    def is_floor_reached(
        self, received: Position, lineage: LogLineage
    ) -> bool:
        """Return whether a log holds the commits up to the floor.

        Parameters
        ----------
        received : Position
            End of the log, which must not have left the group's log.
        lineage : LogLineage
            Starts of the group's terms. Records of the floor's term from the
            start of a later one on have been rolled back.
        """
        return received >= lineage.last_before_later_terms(self.floor)

    def _with_members(self, members: Iterable[RosterMember]) -> CommitRoster:
        ordered = tuple(sorted(members, key=lambda m: m.member))
        return replace(self, members=ordered)
