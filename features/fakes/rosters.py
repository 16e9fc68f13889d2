"""Rosters, member entries and positions in the short form of features."""

from __future__ import annotations

from typing import Any

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.commit_roster import CommitRoster
from trefoilpulley_core.direct.commit_roster import RosterMember
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_node.direct.roster_store import read_roster
from trefoilpulley_node.direct.roster_store import roster_key
from trefoilpulley_node.direct.roster_store import RosterStore

KEY = roster_key('ledger')
"""Key of the only group's roster."""

HOSTS = {'h1': 'x', 'h2': 'y', 'h3': 'z'}
"""Availability zones of the hosts."""


def parse_position(text: str) -> Position:
    """Return a position such as 1.9; a dash is the beginning."""
    if text == '-':
        return BEGINNING
    term, _, index = text.partition('.')
    return Position(int(term), int(index))


def make_record(
    name: str, port: int | None = None, is_leaving: bool = False
) -> MemberRecord:
    """Return the entry of a member; a star marks a second start."""
    member = name.rstrip('*')
    return MemberRecord(
        member,
        'ledger',
        Endpoint('h', port or ord(member)),
        'zone',
        member == 'a',
        is_leaving,
        incarnation=2 if name.endswith('*') else 1,
    )


def make_records(text: str) -> tuple[MemberRecord, ...]:
    """Return the entries of members."""
    return tuple(make_record(name) for name in text.split())


def make_roster(text: str, floor: str = '-', version: int = 0) -> CommitRoster:
    """Return a roster of members."""
    members = tuple(
        RosterMember(r.member, r.endpoint, r.incarnation)
        for r in make_records(text)
    )
    return CommitRoster(members, parse_position(floor), version)


def join_names(roster: CommitRoster) -> str:
    """Return the members of a roster in one text."""
    return ' '.join(roster.names)


def read_service(context: Any, rosters: RosterStore) -> None:
    """Let a host read the roster of the service."""
    entry = context.kv.values.get(KEY)
    if entry is not None:
        roster = read_roster(entry).unwrap()
        rosters.record('ledger', roster, entry.mod_revision, entry.era)
