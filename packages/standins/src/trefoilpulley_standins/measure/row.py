"""One row of the page of capacity, and the budgets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_standins.measure.terms import Term

CPU_BUDGET = 1.2
"""Processor time of a host for control, in percent of a core."""

BYTES_BUDGET = 6000.0
"""Bytes a second of a host for control."""

MEMORY_BUDGET_KIB = 256 * 1024.0
"""Memory of a host for control."""

READS_BUDGET = 2000.0
"""Reads a second of the platform's service."""

WRITES_BUDGET = 300.0
"""Writes a second of the service: its "several hundred", low."""

CALLER_AIM_KIB = 40.0
"""Memory aimed at for a caller's connection."""

STATEMENTS_AIM = 3000.0
"""Statements a second aimed at for a core."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table."""

    role: str
    """Role that spends it."""

    figure: str
    """What is spent."""

    unit: str
    """Unit."""

    terms: tuple[Term, ...]
    """Summands."""

    mechanism: str
    """Module that carries it."""

    budget: float | None = None
    """Most that may be spent; ``None`` where none is stated."""
