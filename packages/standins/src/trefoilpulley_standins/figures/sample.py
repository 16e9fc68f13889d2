"""Samples of the figures, stored in a JSON file."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

_CONVERTER = make_converter()


@dataclass(frozen=True, slots=True)
class RunKey:
    """Identity of a run."""

    deployment: str
    """Name of the deployment."""

    part: str
    """Name of the part that ran."""

    seed: int
    """Seed of the run."""


@dataclass(frozen=True, slots=True)
class Sample:
    """Value of a figure in one run, with the machine's load."""

    run: RunKey
    """Run in which the value was measured."""

    figure: str
    """Name of the figure."""

    value: float | None
    """Measured value; ``None`` if the event did not occur in time."""

    count: int = 1
    """Number of requests on which the value is based."""

    load: float = 0.0
    """One-minute load average of the machine at the end of the run."""

    stolen: float = 0.0
    """Share of CPU time that the hypervisor withheld from the machine."""


def load_samples(path: Path) -> tuple[Sample, ...]:
    """Load the samples of earlier runs; empty if there is no file."""
    if not path.exists():
        return ()
    document = json.loads(path.read_text(encoding='utf-8'))
    return tuple(_CONVERTER.structure(d, Sample) for d in document)


def dump_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Write samples to a JSON file, creating its directory."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = _CONVERTER.unstructure(list(samples))
    path.write_text(json.dumps(document, indent=1) + '\n', encoding='utf-8')


def replace_run(
    samples: Iterable[Sample], key: RunKey, found: Iterable[Sample]
) -> tuple[Sample, ...]:
    """Return the samples with those of one run replaced."""
    return (*(s for s in samples if s.run != key), *found)
