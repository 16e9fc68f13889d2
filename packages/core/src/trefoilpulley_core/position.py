"""Positions in a database's replicated log, compared across terms."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Position of one record in the log of a database.

    Positions are ordered by term, then by index.
    """

    term: int = 0
    """Term in which the record was written."""

    index: int = 0
    """One-based index of the record; 0 is before the first record."""

    @property
    def as_text(self) -> str:
        """Term and index as logs and dumps show them."""
        return f'{self.term}.{self.index}'


BEGINNING = Position()
"""Position before the first record of a log."""


@dataclass(frozen=True, slots=True)
class TermStart:
    """Start of a term in a log."""

    term: int
    """Number of the term."""

    index: int
    """Index of the first record of the term."""


@dataclass(frozen=True, slots=True)
class LogHistory:
    """Starts of the terms in a member's log, and the end of the log."""

    starts: tuple[TermStart, ...] = ()
    """Starts of the terms, in ascending order."""

    last: Position = BEGINNING
    """Position of the last record."""

    def term_at(self, index: int) -> int:
        """Return the term of the record at an index.

        Parameters
        ----------
        index : int
            One-based index; the term of index 0 is 0.

        Returns
        -------
        int
            Term of the record, or 0 if the history does not cover it.
        """
        for start in reversed(self.starts):
            if start.index <= index:
                return start.term
        return 0

    def contains(self, position: Position) -> bool:
        """Return whether the log contains the record of a position.

        The log must have a record at the index in the same term.
        """
        if position.index == 0:
            return True
        if position.index > self.last.index:
            return False
        return self.term_at(position.index) == position.term

    def is_prefix_of(self, other: LogHistory) -> bool:
        """Return whether another log contains every record of this log."""
        return other.contains(self.last)


def latest(positions: Sequence[Position]) -> Position:
    """Return the greatest position, or `BEGINNING` if there is none."""
    return max(positions, default=BEGINNING)
