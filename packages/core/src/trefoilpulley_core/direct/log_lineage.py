"""Starts of the terms of a group, which tell forked logs from its log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_core.direct.upstream_session import LogStatus

MAX_TERMS = 32
"""Number of terms whose starts are kept; the newest ones."""


class LogLineage:
    """Starts of the terms of one group, as far as they are known.

    A member that is promoted leads a new term with the log that it has. A
    log without records of that term that goes on beyond the term's start has
    records which the new primary never had, and has left the group's log. Its
    records would come back into force if its member were promoted.
    """

    def __init__(self) -> None:
        self._first_indexes: dict[int, int] = {}

    @property
    def starts(self) -> tuple[TermStart, ...]:
        """Known starts in the order of the terms."""
        return tuple(
            TermStart(term, index)
            for term, index in sorted(self._first_indexes.items())
        )

    def record(self, start: TermStart) -> None:
        """Record that a term began at an index or before it.

        Parameters
        ----------
        start : TermStart
            Index that no log of an older term may have reached.
        """
        if start.term <= 0 or start.index <= 0:
            return
        known = self._first_indexes.get(start.term, start.index)
        self._first_indexes[start.term] = min(known, start.index)
        if len(self._first_indexes) > MAX_TERMS:
            del self._first_indexes[min(self._first_indexes)]

    def merge(self, starts: Iterable[TermStart]) -> None:
        """Record the starts that another host knows."""
        for start in starts:
            self.record(start)

    def on_position(self, position: Position) -> None:
        """Record that a log has a record of a term at an index."""
        self.record(TermStart(position.term, position.index))

    def on_status(self, status: LogStatus) -> None:
        """Record what the log of a member shows of its term."""
        self.on_position(status.received)
        if status.is_primary and status.received.term < status.term:
            # The term begins with the primary's next record.
            self.record(TermStart(status.term, status.received.index + 1))

    def may_lead(self, position: Position) -> bool:
        """Return whether a member with a log to a position may be promoted.

        A member that has started anew has an empty log. It must not lead a
        group whose newest term began with records of earlier ones.
        """
        newest_term = max(self._first_indexes, default=0)
        first_index = self._first_indexes.get(newest_term, 1)
        is_log_lost = position.index == 0 and first_index > 1
        return not is_log_lost and not self.has_left(position)

    def has_left(self, position: Position) -> bool:
        """Return whether a log that ends at a position is a fork."""
        return any(
            term > position.term and position.index >= first
            for term, first in self._first_indexes.items()
        )

    def last_before_later_terms(self, position: Position) -> Position:
        """Return the last position up to one that no later term replaced."""
        later = [
            first
            for term, first in self._first_indexes.items()
            if term > position.term
        ]
        index = min([position.index, *(first - 1 for first in later)])
        return Position(position.term, index)
