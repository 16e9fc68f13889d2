"""Rows of the capacity page and the budgets of their figures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_standins.measure.terms import Term

CPU_BUDGET_PERCENT = 1.2
"""Greatest CPU time of a host for control, in percent of a core."""

BYTES_PER_S_BUDGET = 6000.0
"""Greatest control traffic of a host, in bytes per second."""

MEMORY_BUDGET_KIB = 256 * 1024.0
"""Greatest memory of a host for control, in KiB."""

READS_PER_S_BUDGET = 2000.0
"""Greatest number of reads per second of the platform's service."""

WRITES_PER_S_BUDGET = 300.0
"""Greatest number of writes per second of the platform's service.

The platform states "several hundred"; the budget takes the low end.
"""

CALLER_MEMORY_TARGET_KIB = 40.0
"""Target memory of a caller's connection, in KiB."""

STATEMENTS_PER_S_TARGET = 3000.0
"""Target statements per second of a core."""


@dataclass(frozen=True, slots=True)
class Row:
    """Row of the capacity table."""

    role: str
    """Role that uses the resource."""

    figure: str
    """Description of the figure."""

    unit: str
    """Unit of the figure."""

    terms: tuple[Term, ...]
    """Terms whose sum is the figure."""

    mechanism: str
    """Module that implements the mechanism."""

    budget: float | None = None
    """Greatest value of the figure; ``None`` if no budget is stated."""
