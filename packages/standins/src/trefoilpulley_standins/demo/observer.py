"""Reads the state and rows of members without the proxy."""

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

CALL_TIMEOUT_S = 2.0
"""Timeout of a call to a member, in seconds."""

ROWS_PER_PAGE = 2000
"""Number of rows read by one statement."""


class Observer:
    """Reads members directly, over their replication and member ports.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    """

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._channels: dict[str, Channel] = {}

    def statuses(self, database: DatabaseEntry) -> tuple[MemberStatus, ...]:
        """Return the status of each member that responds."""
        found = (self._fetch_status(m.name) for m in database.members)
        return tuple(s for s in found if s is not None)

    def find_primary(self, database: DatabaseEntry) -> MemberStatus | None:
        """Return the status of the primary with the highest term."""
        leaders = [s for s in self.statuses(database) if s.is_primary]
        return max(leaders, key=lambda s: s.term, default=None)

    def is_settled(self, database: DatabaseEntry) -> bool:
        """Return whether every replica holds the primary's entire log."""
        primary = self.find_primary(database)
        if primary is None:
            return False
        held = [a.position for a in primary.acknowledgements]
        has_all_replicas = len(held) == len(database.members) - 1
        return has_all_replicas and all(
            p == primary.history.last for p in held
        )

    def read_rows(self, member: MemberEntry) -> tuple[StoredRow, ...]:
        """Return all rows of a member in order of their numbers."""
        channel = dial(member.endpoint, MEMBER_CODEC).unwrap()
        rows: list[StoredRow] = []
        try:
            while page := self._read_page(channel, len(rows)):
                rows.extend(page)
        finally:
            channel.close()
        return tuple(rows)

    def close(self) -> None:
        """Close the connections to the replication ports."""
        for channel in self._channels.values():
            channel.close()

    def _read_page(self, channel: Channel, offset: int) -> list[StoredRow]:
        table = self._layout.deployment.table
        statement = Statement(
            f'select id, request, session, part from {table} '
            'order by id limit ? offset ?',
            (ROWS_PER_PAGE, offset),
        )
        reply = channel.call(
            Read(statement, BEGINNING), CALL_TIMEOUT_S
        ).unwrap()
        if not isinstance(reply, MemberResult):
            raise RuntimeError(reply.code)
        return [StoredRow(*row) for row in reply.result.rows]

    def _fetch_status(self, member: str) -> MemberStatus | None:
        channel = self._channels.get(member)
        if channel is None or not channel.is_open:
            endpoint = self._layout.replication[member]
            dialed = dial(endpoint, REPLICATION_CODEC)
            if not is_successful(dialed):
                return None
            channel = self._channels[member] = dialed.unwrap()
        reply = channel.call(Observe(), CALL_TIMEOUT_S)
        return reply.unwrap().status if is_successful(reply) else None
