"""Slopes of measured figures, and the file that records them."""

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
"""Recorded slopes, from the root of the repository."""

LEAST_POINTS = 4
"""Points that a slope needs."""

_NOISE = 1e-12


@dataclass(frozen=True, slots=True)
class Point:
    """One measured point."""

    x: float
    """Size."""

    y: float
    """Figure."""


@dataclass(frozen=True, slots=True)
class Slope:
    """Straight line through measured points."""

    key: str
    """Short name."""

    subject: str
    """What is measured."""

    against: str
    """What it is measured against."""

    unit: str
    """Unit of the figure."""

    points: tuple[Point, ...]
    """Measured points."""

    base: float
    """Figure of the line at 0."""

    slope: float
    """Rise for each unit of the size."""

    spread: float
    """Standard deviation of the points from the line."""

    command: str
    """Command that measures the points."""

    def at(self, x: float) -> float:
        """Return the figure of the line at a size."""
        return self.base + self.slope * x


def fit_slope(
    key: str,
    subject: str,
    against: str,
    unit: str,
    points: Iterable[Point],
    command: str,
) -> Slope:
    """Return the line of least squares through points."""
    points = tuple(points)
    if len(points) < LEAST_POINTS:
        raise ValueError(f'{key} has {len(points)} points')
    mean_x = sum(p.x for p in points) / len(points)
    mean_y = sum(p.y for p in points) / len(points)
    across = sum((p.x - mean_x) ** 2 for p in points)
    along = sum((p.x - mean_x) * (p.y - mean_y) for p in points)
    slope = along / across if abs(along) > _NOISE * across else 0.0
    base = mean_y - slope * mean_x
    squares = sum((p.y - base - slope * p.x) ** 2 for p in points)
    spread = math.sqrt(squares / (len(points) - 2))
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
    """Figure that was measured at one size."""

    key: str
    """Short name."""

    subject: str
    """What is measured, and at which size."""

    unit: str
    """Unit of the figure."""

    value: float
    """Figure."""

    command: str
    """Command that measures it."""


@dataclass(frozen=True, slots=True)
class Recorded:
    """What the page rests on."""

    slopes: tuple[Slope, ...]
    """Slopes."""

    figures: tuple[SingleFigure, ...] = ()
    """Figures of one size."""

    def slope(self, key: str) -> Slope:
        """Return the slope with a key."""
        return next(s for s in self.slopes if s.key == key)

    def figure(self, key: str) -> SingleFigure:
        """Return the figure with a key."""
        return next(f for f in self.figures if f.key == key)


_CONVERTER = make_converter(forbid_extra_keys=True)


def dump_recorded(path: Path, recorded: Recorded) -> None:
    """Write slopes and figures in the order of their keys."""
    found = Recorded(
        tuple(sorted(recorded.slopes, key=lambda s: s.key)),
        tuple(sorted(recorded.figures, key=lambda f: f.key)),
    )
    document = _CONVERTER.unstructure(found)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + '\n', encoding='utf-8')


def load_recorded(path: Path) -> Recorded:
    """Read slopes and figures."""
    document = json.loads(path.read_text(encoding='utf-8'))
    return _CONVERTER.structure(document, Recorded)


def round_figure(value: float) -> float:
    """Return a figure with four digits."""
    return float(f'{value:.4g}')
