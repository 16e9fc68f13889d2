"""Runs the parts and records samples of their figures."""

from __future__ import annotations

import os
from typing import Any
from typing import TYPE_CHECKING

import psutil

from trefoilpulley_standins.deployment import find_deployment
from trefoilpulley_standins.figures.failover import Failover
from trefoilpulley_standins.figures.part import Finding
from trefoilpulley_standins.figures.planned import Planned
from trefoilpulley_standins.figures.reads import Reads
from trefoilpulley_standins.figures.sample import Sample
from trefoilpulley_standins.figures.scene import open_scene
from trefoilpulley_standins.figures.stalls import StallWatch
from trefoilpulley_standins.starting import make_layout

if TYPE_CHECKING:
    from pathlib import Path

    from trefoilpulley_standins.figures.sample import RunKey

PARTS = (
    Failover(is_service_out=False),
    Failover(is_service_out=True),
    Planned(),
    Reads('targets'),
    Reads('thin'),
    Reads('plain'),
)
"""All parts, in the default order of their runs."""


def run_part(key: RunKey, directory: Path) -> tuple[Sample, ...]:
    """Start a deployment, run one part and return its samples.

    Parameters
    ----------
    key : RunKey
        Deployment, part and seed of the run.
    directory : Path
        Directory of the settings files, logs and journal.

    Returns
    -------
    tuple[Sample, ...]
        Samples of all figures of the part, and of the longest stall.
    """
    part = next(p for p in PARTS if p.name == key.part)
    deployment = find_deployment(key.deployment)
    layout = part.adapt(make_layout(deployment, directory, key.seed))
    before = psutil.cpu_times()
    with open_scene(layout, directory, key.seed) as scene:
        scene.begin_load(part.make_load(deployment))
        watch = StallWatch()
        found = [*part.run(scene), *_describe(watch)]
    load = round(os.getloadavg()[0], 2)
    stolen = _share_stolen(before, psutil.cpu_times())
    return tuple(
        Sample(key, f.figure, f.value, f.count, load, stolen) for f in found
    )


def _describe(watch: StallWatch) -> tuple[Finding, ...]:
    watch.stop()
    return (Finding('stall of the measuring process s', watch.longest_s),)


def _share_stolen(before: Any, after: Any) -> float:
    passed = sum(after) - sum(before)
    return round((after.steal - before.steal) / passed, 3)
