"""Rosters of the groups, kept in the platform's service."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
import json
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.commit_roster import CommitRoster
from trefoilpulley_core.direct.commit_roster import RosterMember
from trefoilpulley_core.entry_fields import DECODE_ERRORS
from trefoilpulley_core.entry_fields import make_endpoint
from trefoilpulley_core.entry_fields import read_count
from trefoilpulley_core.entry_fields import read_text
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.keys import ROSTER_PREFIX
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from typing import Any

    from returns.result import Result

    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import Platform

_EMPTY = CommitRoster()


@dataclass(frozen=True, slots=True)
class KnownRoster:
    """Roster of a group that this host knows."""

    in_force: CommitRoster = _EMPTY
    """Roster that decisions use; may have members the service lacks."""

    stored: CommitRoster = _EMPTY
    """Newest roster of the service; version 0 where there is none."""

    revision: int = 0
    """Revision of the roster's key in the service; 0 where it is absent."""

    era: int = 0
    """Era of the revision."""


class RosterStore:
    """Keeps the newest roster of every group.

    Members are added as soon as this host sees them listed, and removed
    only by a write to the service, so that a host that has just started
    knows no fewer members than the others.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._known: dict[str, KnownRoster] = {}

    def find(self, group: str) -> KnownRoster:
        """Return what this host knows of a group's roster."""
        known = self._known.get(group)
        if known is None:
            known = self._known[group] = KnownRoster(era=self._platform.era)
        return known

    def record(
        self, group: str, roster: CommitRoster, revision: int, era: int
    ) -> None:
        """Record a roster of the service."""
        known = self.find(group)
        if (known.era, known.revision) >= (era, revision):
            return
        if roster.version > known.in_force.version:
            in_force = roster.merge(_added_here(known))
        else:
            # The service has come back from an older copy.
            in_force = known.in_force.merge(roster)
        self._known[group] = KnownRoster(in_force, roster, revision, era)

    def begin_era(self, era: int) -> None:
        """Prepare to write again the rosters that the service has lost.

        Parameters
        ----------
        era : int
            Era of a read whose rosters have been recorded.
        """
        for group, known in self._known.items():
            if known.era < era:
                self._known[group] = KnownRoster(known.in_force, era=era)

    def add_listed(
        self, group: str, listed: Collection[MemberRecord]
    ) -> CommitRoster:
        """Add members that are listed now; return the roster in force."""
        known = self.find(group)
        in_force = known.in_force.with_listed(listed)
        if in_force != known.in_force:
            self._known[group] = replace(known, in_force=in_force)
        return in_force

    def add_reported(self, group: str, roster: CommitRoster) -> None:
        """Add what another host knows while the service is unavailable."""
        known = self.find(group)
        if roster.version > known.in_force.version:
            in_force = roster.merge(_added_here(known))
        elif roster.version == known.in_force.version:
            in_force = known.in_force.merge(roster)
        else:
            return
        self._known[group] = replace(known, in_force=in_force)

    def publish(
        self, group: str, roster: CommitRoster
    ) -> Result[CommitRoster, Failure]:
        """Write a roster that follows the stored one.

        Returns
        -------
        Result[CommitRoster, Failure]
            Roster as it was written; `RevisionConflict` where another host
            has written first; another failure where the service can't
            confirm the write.
        """
        known = self.find(group)
        version = max(known.stored.version, known.in_force.version) + 1
        written = replace(roster, version=version)
        result = self._platform.compare_and_swap(
            roster_key(group),
            known.revision,
            json.dumps(asdict(written)).encode(),
            era=known.era,
        )
        if not isinstance(result, Success):
            return result
        self.record(group, written, result.unwrap(), known.era)
        return Success(written)


def roster_key(group: str) -> str:
    """Return the key of a group's roster."""
    return f'{ROSTER_PREFIX}{group}'


def read_roster(entry: KeyValue) -> Result[CommitRoster, Failure]:
    """Decode the value of a roster's key."""
    try:
        fields = json.loads(entry.value)
        floor = fields['floor']
        return Success(
            CommitRoster(
                tuple(_read_member(f) for f in fields['members']),
                Position(
                    read_count(floor, 'term'), read_count(floor, 'index')
                ),
                read_count(fields, 'version'),
            )
        )
    except DECODE_ERRORS as exc:
        return Failed(MalformedMessage(f'{entry.key}: {exc!r}'))


def _read_member(fields: Mapping[str, Any]) -> RosterMember:
    return RosterMember(
        read_text(fields, 'member'),
        make_endpoint(**fields['endpoint']),
        read_count(fields, 'incarnation'),
        fields['is_leaving'] is True,
    )


def _added_here(known: KnownRoster) -> CommitRoster:
    """Return the members that this host has added and not written yet."""
    stored = known.stored.names
    return CommitRoster(
        tuple(m for m in known.in_force.members if m.member not in stored)
    )
