"""Results of an experiment."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

RESULTS_FILE = 'results.jsonl'
"""File with one line for each point."""


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure."""

    name: str
    """What is measured, with its unit."""

    value: float
    """Value."""


@dataclass(frozen=True, slots=True)
class PointResult:
    """Figures of one point of a sweep."""

    experiment: str
    """Name of the experiment."""

    path: str
    """Field that is swept."""

    value: float
    """Value of the field."""

    seed: int
    """Seed."""

    figures: tuple[Figure, ...]
    """Figures, by name in order."""

    def find(self, name: str) -> float | None:
        """Return a figure, or ``None``."""
        found = (f.value for f in self.figures if f.name == name)
        return next(found, None)


_CONVERTER = make_converter()


def dump_results(path: Path, results: Iterable[PointResult]) -> None:
    """Write results as JSON lines."""
    lines = (_CONVERTER.dumps(r) + '\n' for r in results)
    path.write_text(''.join(lines), encoding='utf-8')


def load_results(path: Path) -> tuple[PointResult, ...]:
    """Read results; a directory stands for its file of results."""
    file = path / RESULTS_FILE if path.is_dir() else path
    lines = file.read_text(encoding='utf-8').splitlines()
    return tuple(
        _CONVERTER.structure(json.loads(line), PointResult) for line in lines
    )
