"""Replicated log of a member, in memory."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart

if TYPE_CHECKING:
    from trefoilpulley_standins.member.record import Record

MAX_RETAINED_RECORDS = 20_000
"""Records kept for replicas that lag.

A replica that lags further receives a copy of the state.
"""


class RecordLog:
    """Latest records in order, with the history of the terms.

    Parameters
    ----------
    history : LogHistory
        Terms and end of the log that a copy of the state contains.
    max_retained_records : int
        Greatest number of records to keep.
    """

    def __init__(
        self,
        history: LogHistory | None = None,
        max_retained_records: int = MAX_RETAINED_RECORDS,
    ) -> None:
        self._records: deque[Record] = deque(maxlen=max_retained_records)
        self.history = history or LogHistory()
        """Start of each term and end of the log."""

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

    def read_after(self, index: int, max_records: int) -> list[Record]:
        """Return up to ``max_records`` records after an index.

        The caller must check `is_retained` first.
        """
        first_offset = index + 1 - self._first_index
        stop = min(first_offset + max_records, len(self._records))
        return [self._records[i] for i in range(first_offset, stop)]

    def is_retained(self, index: int) -> bool:
        """Return whether every record after an index is still kept."""
        return index + 1 >= self._first_index

    @property
    def _first_index(self) -> int:
        return self.last.index - len(self._records) + 1
