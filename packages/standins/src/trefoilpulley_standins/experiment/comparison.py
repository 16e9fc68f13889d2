"""Comparison of the results of two experiment runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from trefoilpulley_standins.experiment.result import PointResult


@dataclass(frozen=True, slots=True)
class Difference:
    """Values of one figure at the same point of two results."""

    value: float
    """Value of the swept field at the point."""

    name: str
    """Name of the figure."""

    one: float
    """Value of the figure in the first result."""

    other: float
    """Value of the figure in the second result."""

    @property
    def ratio(self) -> float | None:
        """Second value divided by the first; ``None`` if the first is 0."""
        return self.other / self.one if self.one else None


def compare_results(
    one: Sequence[PointResult], other: Sequence[PointResult]
) -> Iterator[Difference]:
    """Yield the difference of each figure that both results contain."""
    points = {p.value: p for p in other}
    for point in one:
        match = points.get(point.value)
        if match is None:
            continue
        for figure in point.figures:
            found = match.find(figure.name)
            if found is not None:
                yield Difference(point.value, figure.name, figure.value, found)
