"""Lines fitted to measured figures, and the file that records them."""

from __future__ import annotations

from dataclasses import dataclass
import json
import math
from pathlib import Path
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter

if TYPE_CHECKING:
    from collections.abc import Iterable

SLOPES_FILE = Path('docs/slopes.json')
"""Recorded slopes, relative to the root of the repository."""

MIN_POINTS = 4
"""Least number of points of a slope."""

# A smaller slope is a rounding error and counts as 0.
_MIN_SLOPE = 1e-12


@dataclass(frozen=True, slots=True)
class Point:
    """Measured figure at one size."""

    x: float
    """Size at which the figure was measured."""

    y: float
    """Measured figure."""


@dataclass(frozen=True, slots=True)
class Slope:
    """Straight line fitted to measured points."""

    key: str
    """Key that identifies the figure."""

    subject: str
    """Description of the measured figure."""

    against: str
    """Description of the size that varies."""

    unit: str
    """Unit of the figure."""

    points: tuple[Point, ...]
    """Measured points."""

    base: float
    """Value of the line at size 0."""

    slope: float
    """Increase of the figure per unit of the size."""

    spread: float
    """Standard deviation of the points from the line."""

    command: str
    """Command that measures the points."""

    def at(self, x: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * x


def fit_slope(
    key: str,
    subject: str,
    against: str,
    unit: str,
    points: Iterable[Point],
    command: str,
) -> Slope:
    """Return the least-squares line through points."""
    points = tuple(points)
    if len(points) < MIN_POINTS:
        raise ValueError(f'{key}: too few points for a slope: {len(points)}')
    mean_x = sum(p.x for p in points) / len(points)
    mean_y = sum(p.y for p in points) / len(points)
    x_squares = sum((p.x - mean_x) ** 2 for p in points)
    xy_products = sum((p.x - mean_x) * (p.y - mean_y) for p in points)
    slope = (
        xy_products / x_squares
        if abs(xy_products) > _MIN_SLOPE * x_squares
        else 0.0
    )
    base = mean_y - slope * mean_x
    squared_residuals = sum((p.y - base - slope * p.x) ** 2 for p in points)
    spread = math.sqrt(squared_residuals / (len(points) - 2))
    return Slope(
        key,
        subject,
        against,
        unit,
        tuple(Point(round_figure(p.x), round_figure(p.y)) for p in points),
        round_figure(base),
        round_figure(slope),
        round_figure(spread),
        command,
    )


@dataclass(frozen=True, slots=True)
class SingleFigure:
    """Figure that was measured at a single size."""

    key: str
    """Key that identifies the figure."""

    subject: str
    """Description of the figure and the size it was measured at."""

    unit: str
    """Unit of the figure."""

    value: float
    """Measured value."""

    command: str
    """Command that measures the figure."""


@dataclass(frozen=True, slots=True)
class Recorded:
    """Recorded measurements of the capacity page."""

    slopes: tuple[Slope, ...]
    """Slopes."""

    figures: tuple[SingleFigure, ...] = ()
    """Figures that were measured at a single size."""

    def slope(self, key: str) -> Slope:
        """Return the slope with a key."""
        return next(s for s in self.slopes if s.key == key)

    def figure(self, key: str) -> SingleFigure:
        """Return the figure with a key."""
        return next(f for f in self.figures if f.key == key)


_CONVERTER = make_converter(forbid_extra_keys=True)


def dump_recorded(path: Path, recorded: Recorded) -> None:
    """Write slopes and figures to a file, sorted by key."""
    sorted_records = Recorded(
        tuple(sorted(recorded.slopes, key=lambda s: s.key)),
        tuple(sorted(recorded.figures, key=lambda f: f.key)),
    )
    document = _CONVERTER.unstructure(sorted_records)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + '\n', encoding='utf-8')


def load_recorded(path: Path) -> Recorded:
    """Read slopes and figures from a file."""
    document = json.loads(path.read_text(encoding='utf-8'))
    return _CONVERTER.structure(document, Recorded)


def round_figure(value: float) -> float:
    """Return a figure rounded to four significant digits."""
    return float(f'{value:.4g}')
