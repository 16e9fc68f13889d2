"""Values of the figures, one for each run."""

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
    """Run that a value is from."""

    deployment: str
    """Name of the deployment."""

    part: str
    """Part of the figures that ran."""

    seed: int
    """Seed of the run."""


@dataclass(frozen=True, slots=True)
class Sample:
    """Value of a figure in one run."""

    run: RunKey
    """Run."""

    figure: str
    """Name of the figure."""

    value: float | None
    """Value; None where the event did not come in time."""

    count: int = 1
    """Requests that the value rests on."""

    load: float = 0.0
    """Load average of the machine at the run's end, over one minute."""

    stolen: float = 0.0
    """Share of the processors' time that the machine did not get."""


def load_samples(path: Path) -> tuple[Sample, ...]:
    """Read the samples of earlier runs; none without a file."""
    if not path.exists():
        return ()
    document = json.loads(path.read_text(encoding='utf-8'))
    return tuple(_CONVERTER.structure(d, Sample) for d in document)


def dump_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Write samples."""
    path.parent.mkdir(parents=True, exist_ok=True)
    document = _CONVERTER.unstructure(list(samples))
    path.write_text(json.dumps(document, indent=1) + '\n', encoding='utf-8')


def replace_run(
    samples: Iterable[Sample], key: RunKey, found: Iterable[Sample]
) -> tuple[Sample, ...]:
    """Return the samples with those of one run made anew."""
    return (*(s for s in samples if s.run != key), *found)
