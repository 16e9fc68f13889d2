"""Compares two results point by point."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from trefoilpulley_standins.experiment.result import PointResult


@dataclass(frozen=True, slots=True)
class Difference:
    """One figure of one point in two results."""

    value: float
    """Value of the swept field."""

    name: str
    """Name of the figure."""

    one: float
    """Figure of the first result."""

    other: float
    """Figure of the second result."""

    @property
    def ratio(self) -> float | None:
        """Second by first; ``None`` where the first is 0."""
        return self.other / self.one if self.one else None


def compare_results(
    one: Sequence[PointResult], other: Sequence[PointResult]
) -> Iterator[Difference]:
    """Yield each figure that both results hold at the same point."""
    points = {p.value: p for p in other}
    for point in one:
        match = points.get(point.value)
        if match is None:
            continue
        for figure in point.figures:
            found = match.find(figure.name)
            if found is not None:
                yield Difference(point.value, figure.name, figure.value, found)
