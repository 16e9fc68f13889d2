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


@dataclass(frozen=True, slots=True)
class MemberVersion:
    """Version of the last accepted entry of a member."""

    incarnation: int
    """Start time of the member."""

    sequence: int
    """Count of the entry since the start."""

    era: int
    """Era of the service in which the entry was read."""

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
        era, the entry of the same start must not be of a lower count, and
        must be of a higher one if the member has left.

        Parameters
        ----------
        record : MemberRecord
            Entry of a member.
        era : int
            Era of the service in which the entry was read.
        """
        member = record.member
        known = self._listed.get(member) or self._absent.get(member)
        if (
            known is not None
            and era > known.era
            and record.incarnation == known.incarnation
            and record.sequence < known.sequence + known.is_removed
        ):
            return False
        self._absent.pop(member, None)
        self._listed[member] = MemberVersion(
            record.incarnation, record.sequence, era
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
            del self._absent[next(iter(self._absent))]
