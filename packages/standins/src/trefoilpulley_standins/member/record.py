"""Records of the replicated log and stored outcomes of writes."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Row
from trefoilpulley_core.upstream import Statement


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a write, stored in the transaction of the write."""

    key: OutcomeKey
    """Key of the write."""

    is_abandoned: bool = False
    """Whether the key was abandoned before a write used it."""

    columns: tuple[str, ...] = ()
    """Column names of the result."""

    rows: tuple[Row, ...] = ()
    """Rows of the result."""

    row_count: int = -1
    """Number of rows changed or returned; -1 if unknown."""


@dataclass(frozen=True, slots=True)
class Record:
    """Committed transaction; the first record of a term is empty."""

    position: Position
    """Position in the log."""

    statements: tuple[Statement, ...] = ()
    """Statements in the order of execution."""

    outcome: Outcome | None = None
    """Outcome of the transaction; ``None`` if it had no key."""


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """Outcome read from the database."""

    outcome: Outcome
    """Outcome of the write."""

    position: Position
    """Position of the record that stored the outcome."""
