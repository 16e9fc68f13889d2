"""Replicated log of a member."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart

if TYPE_CHECKING:
    from trefoilpulley_standins.member.record import Record

RETAINED_RECORDS = 20_000
"""Records kept for replicas that lag; others are rebuilt by a copy."""


class RecordLog:
    """Records in order, with the history of their terms.

    Parameters
    ----------
    history : LogHistory
        Terms and end of the records that came with a copy.
    retained : int
        Records to keep.
    """

    def __init__(
        self,
        history: LogHistory | None = None,
        retained: int = RETAINED_RECORDS,
    ) -> None:
        self._records: deque[Record] = deque(maxlen=retained)
        self.history = history or LogHistory()
        """Terms and end of the log."""

    @property
    def last(self) -> Position:
        """Position of the last record."""
        return self.history.last

    def append(self, record: Record) -> None:
        """Add the next record."""
        position = record.position
        starts = self.history.starts
        if not starts or starts[-1].term != position.term:
            starts = (*starts, TermStart(position.term, position.index))
        self.history = LogHistory(starts, position)
        self._records.append(record)

    def read_after(self, index: int, limit: int) -> list[Record]:
        """Return up to ``limit`` records that follow an index.

        The caller has to check `is_retained` first.
        """
        skipped = index + 1 - self._first_index
        stop = min(skipped + limit, len(self._records))
        return [self._records[i] for i in range(skipped, stop)]

    def is_retained(self, index: int) -> bool:
        """Return whether the records that follow an index are kept."""
        return index + 1 >= self._first_index

    @property
    def _first_index(self) -> int:
        return self.last.index - len(self._records) + 1
