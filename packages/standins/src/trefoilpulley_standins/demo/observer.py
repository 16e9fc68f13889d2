"""Asks the members themselves, apart from the proxy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.upstream import Statement
from trefoilpulley_standins.demo.checker import StoredRow
from trefoilpulley_standins.member.replication import Observe
from trefoilpulley_standins.member.replication import REPLICATION_CODEC
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.member_codec import MEMBER_CODEC
from trefoilpulley_wire.member_codec import MemberResult
from trefoilpulley_wire.member_codec import Read

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.upstream import MemberStatus
    from trefoilpulley_standins.layout import Layout
    from trefoilpulley_wire.channel import Channel

TIMEOUT_S = 2.0
"""Longest wait for a member's answer, in seconds."""

PAGE_ROWS = 2000
"""Rows read at once."""


class Observer:
    """Connections to every member's replication port.

    Parameters
    ----------
    layout : Layout
        Deployment.
    """

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._channels: dict[str, Channel] = {}

    def statuses(self, database: DatabaseEntry) -> tuple[MemberStatus, ...]:
        """Return the status of each member that answers."""
        found = (self._ask(m.name) for m in database.members)
        return tuple(s for s in found if s is not None)

    def find_primary(self, database: DatabaseEntry) -> MemberStatus | None:
        """Return the primary of the highest term."""
        leaders = [s for s in self.statuses(database) if s.is_primary]
        return max(leaders, key=lambda s: s.term, default=None)

    def is_settled(self, database: DatabaseEntry) -> bool:
        """Return whether every member holds the primary's whole log."""
        primary = self.find_primary(database)
        if primary is None:
            return False
        held = [a.position for a in primary.acknowledgements]
        is_whole = len(held) == len(database.members) - 1
        return is_whole and all(p == primary.history.last for p in held)

    def read_rows(self, member: MemberEntry) -> tuple[StoredRow, ...]:
        """Return every row of a member."""
        channel = dial(member.endpoint, MEMBER_CODEC).unwrap()
        rows: list[StoredRow] = []
        try:
            while page := self._read_page(channel, len(rows)):
                rows.extend(page)
        finally:
            channel.close()
        return tuple(rows)

    def close(self) -> None:
        """Close the connections."""
        for channel in self._channels.values():
            channel.close()

    def _read_page(self, channel: Channel, offset: int) -> list[StoredRow]:
        table = self._layout.deployment.table
        statement = Statement(
            f'select id, request, session, part from {table} '
            'order by id limit ? offset ?',
            (PAGE_ROWS, offset),
        )
        reply = channel.call(Read(statement, BEGINNING), TIMEOUT_S).unwrap()
        if not isinstance(reply, MemberResult):
            raise RuntimeError(reply.code)
        return [StoredRow(*row) for row in reply.result.rows]

    def _ask(self, member: str) -> MemberStatus | None:
        channel = self._channels.get(member)
        if channel is None or not channel.is_open:
            endpoint = self._layout.replication[member]
            dialled = dial(endpoint, REPLICATION_CODEC)
            if not is_successful(dialled):
                return None
            channel = self._channels[member] = dialled.unwrap()
        reply = channel.call(Observe(), TIMEOUT_S)
        return reply.unwrap().status if is_successful(reply) else None
