"""Preferred primary of a database."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Presence

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.declarations import Declarations


def stopped_zones(
    declarations: Declarations, entry: DatabaseEntry
) -> frozenset[str]:
    """Return the zones with a planned stop of a database's members."""
    return frozenset(
        s.zone for s in declarations.stops if s.ledger == entry.ledger
    )


def is_departing(member: MemberEntry, stopped: frozenset[str]) -> bool:
    """Return whether a member is leaving or in a planned stop."""
    return member.presence is Presence.LEAVING or member.zone in stopped


def desired_primary(
    entry: DatabaseEntry, stopped: frozenset[str]
) -> MemberEntry:
    """Return the preferred primary while all members are healthy."""
    staying = (m for m in entry.members if not is_departing(m, stopped))
    return next(staying, entry.members[0])


def ranked_members(entry: DatabaseEntry, stopped: frozenset[str]) -> list[str]:
    """Return the members' names in order of preference as primary."""
    ranked = sorted(entry.members, key=lambda m: is_departing(m, stopped))
    return [m.name for m in ranked]
