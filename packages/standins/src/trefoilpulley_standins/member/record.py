"""Records of a member's replicated log."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Row
from trefoilpulley_core.upstream import Statement


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a write, kept in the write's own transaction."""

    key: OutcomeKey
    """Key of the outcome."""

    is_abandoned: bool = False
    """Whether the key was abandoned before anything ran under it."""

    columns: tuple[str, ...] = ()
    """Names of the answer's columns."""

    rows: tuple[Row, ...] = ()
    """Rows of the answer."""

    row_count: int = -1
    """Rows changed or returned; -1 where unknown."""


@dataclass(frozen=True, slots=True)
class Record:
    """One committed transaction; the first of a term is empty."""

    position: Position
    """Place in the log."""

    statements: tuple[Statement, ...] = ()
    """Statements in order."""

    outcome: Outcome | None = None
    """Outcome that was kept with them."""


@dataclass(frozen=True, slots=True)
class KeptOutcome:
    """Outcome as found in the database."""

    outcome: Outcome
    """Outcome."""

    position: Position
    """Record that wrote it."""
