"""Results of an experiment, stored as JSON lines."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

RESULTS_FILE = 'results.jsonl'
"""Name of the results file, which has one line per point."""


@dataclass(frozen=True, slots=True)
class Figure:
    """Measured value with a name."""

    name: str
    """Name of the measured quantity, with its unit."""

    value: float
    """Measured value, in the unit that the name states."""


@dataclass(frozen=True, slots=True)
class PointResult:
    """Figures measured at one point of a sweep."""

    experiment: str
    """Name of the experiment."""

    path: str
    """Path of the swept field."""

    value: float
    """Value of the swept field."""

    seed: int
    """Seed of the experiment."""

    figures: tuple[Figure, ...]
    """Figures, sorted by name."""

    def find(self, name: str) -> float | None:
        """Return the value of a figure; ``None`` if it was not measured."""
        found = (f.value for f in self.figures if f.name == name)
        return next(found, None)


_CONVERTER = make_converter()


def dump_results(path: Path, results: Iterable[PointResult]) -> None:
    """Write results to a file of JSON lines."""
    lines = (_CONVERTER.dumps(r) + '\n' for r in results)
    path.write_text(''.join(lines), encoding='utf-8')


def load_results(path: Path) -> tuple[PointResult, ...]:
    """Load results from a file, or from the results file of a directory."""
    file = path / RESULTS_FILE if path.is_dir() else path
    lines = file.read_text(encoding='utf-8').splitlines()
    return tuple(
        _CONVERTER.structure(json.loads(line), PointResult) for line in lines
    )
