"""Positions in a database's replicated log, compared across terms."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Place of one record in the log of a database.

    Positions order by term first, then by index.
    """

    term: int = 0
    """Term in which the record was written."""

    index: int = 0
    """One-based index of the record; 0 stands before the first."""


BEGINNING = Position()
"""Position before the first record of every log."""


@dataclass(frozen=True, slots=True)
class TermStart:
    """First index written under a term."""

    term: int
    """Term that began."""

    index: int
    """Index of the first record of the term."""


@dataclass(frozen=True, slots=True)
class LogHistory:
    """Where each term of a member's log began, and where the log ends."""

    starts: tuple[TermStart, ...] = ()
    """Starts of the terms in ascending order."""

    last: Position = BEGINNING
    """Position of the last record."""

    def term_at(self, index: int) -> int:
        """Return the term of the record at an index.

        Parameters
        ----------
        index : int
            One-based index; 0 gives term 0.

        Returns
        -------
        int
            Term of the record, or 0 where the history does not reach.
        """
        for start in reversed(self.starts):
            if start.index <= index:
                return start.term
        return 0

    def contains(self, position: Position) -> bool:
        """Return whether the log holds the very record at a position."""
        if position.index == 0:
            return True
        if position.index > self.last.index:
            return False
        return self.term_at(position.index) == position.term

    def is_prefix_of(self, other: LogHistory) -> bool:
        """Return whether every record of this log is in another."""
        return other.contains(self.last)


def latest(positions: Sequence[Position]) -> Position:
    """Return the greatest of several positions, or the beginning."""
    return max(positions, default=BEGINNING)
