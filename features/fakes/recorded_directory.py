"""Directory that only records the members."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.direct.group_state import MemberRecord


@dataclass
class RecordedDirectory:
    """Members in use by a host."""

    members: dict[str, MemberRecord] = field(default_factory=dict)

    unlisted: set[str] = field(default_factory=set)
    """Members without an entry."""

    def set_member(self, record: MemberRecord) -> None:
        """Add or update a member."""
        self.unlisted.discard(record.member)
        self.members[record.member] = record

    def mark_unlisted(self, member: str) -> None:
        """Note that a member's entry was deleted."""
        self.unlisted.add(member)

    def remove_member(self, member: str) -> None:
        """Remove a member."""
        self.members.pop(member, None)
