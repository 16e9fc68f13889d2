"""Recognition of members' entries that are older than what is known.

A service that comes back from an older copy lists what its members wrote
before the copy: a member that is leaving as ready, a former primary as the
primary, and a member that has left as present. The members write again soon.
Each start of a member counts its entries, so that the older one is known.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.direct.group_state import MemberRecord

MAX_ABSENT_MEMBERS = 1000
"""Number of absent members whose last version is kept."""

MAX_FORMER_INCARNATIONS = 4
"""Number of earlier starts that are kept for each member."""


@dataclass(frozen=True, slots=True)
class MemberVersion:
    """Version of the last accepted entry of a member."""

    incarnation: int
    """Start time of the member."""

    sequence: int
    """Count of the entry since the start."""

    era: int
    """Era of the service in which the entry was read."""

    former_incarnations: tuple[int, ...] = ()
    """Earlier starts of the member, the latest last."""

    is_removed: bool = False
    """Whether this very entry was deleted, so that the member has left."""


class MemberVersions:
    """Versions of the members, absent ones included."""

    def __init__(self) -> None:
        self._listed: dict[str, MemberVersion] = {}
        self._absent: dict[str, MemberVersion] = {}

    def accept(self, record: MemberRecord, era: int) -> bool:
        """Return whether an entry is not older than what is known.

        Within one era, the service itself orders the entries. In a later
        era, the entry must not be of an earlier start that is known; the
        entry of the same start must not be of a lower count, and must be of a
        higher one if the member has left. Starts are not compared as times,
        since the clocks of machines may jump.

        Parameters
        ----------
        record : MemberRecord
            Entry of a member.
        era : int
            Era of the service in which the entry was read.
        """
        member = record.member
        known = self._listed.get(member) or self._absent.get(member)
        if known is not None and _is_outdated(record, known, era):
            return False
        self._absent.pop(member, None)
        self._listed[member] = MemberVersion(
            record.incarnation,
            record.sequence,
            era,
            _former_incarnations(record, known),
        )
        return True

    def remove(self, member: str, era: int) -> None:
        """Record that a member has no entry in an era.

        An entry that is absent in a later era only may be one that the
        service has lost; it is accepted when it is written again.
        """
        known = self._listed.pop(member, None)
        if known is None:
            return
        self._absent[member] = replace(known, is_removed=era == known.era)
        if len(self._absent) > MAX_ABSENT_MEMBERS:
            # Members that are only missing in a new era come back soon.
            missing = (m for m, v in self._absent.items() if not v.is_removed)
            oldest = next(iter(self._absent))
            del self._absent[next(missing, oldest)]


def _is_outdated(record: MemberRecord, known: MemberVersion, era: int) -> bool:
    if era <= known.era:
        return False
    if record.incarnation != known.incarnation:
        return record.incarnation in known.former_incarnations
    return record.sequence < known.sequence + known.is_removed


def _former_incarnations(
    record: MemberRecord, known: MemberVersion | None
) -> tuple[int, ...]:
    if known is None:
        return ()
    former = (*known.former_incarnations, known.incarnation)
    return tuple(i for i in former if i != record.incarnation)[
        -MAX_FORMER_INCARNATIONS:
    ]
