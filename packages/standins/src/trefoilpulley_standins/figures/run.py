"""Runs the parts and records samples of their figures."""

from __future__ import annotations

import os
from typing import Any
from typing import TYPE_CHECKING

import psutil

from trefoilpulley_standins.deployment import find_deployment
from trefoilpulley_standins.figures.failover import Failover
from trefoilpulley_standins.figures.part import Measurement
from trefoilpulley_standins.figures.planned import PlannedChanges
from trefoilpulley_standins.figures.reads import Reads
from trefoilpulley_standins.figures.sample import Sample
from trefoilpulley_standins.figures.stalls import StallMonitor
from trefoilpulley_standins.figures.testbed import open_testbed
from trefoilpulley_standins.starting import make_layout

if TYPE_CHECKING:
    from pathlib import Path

    from trefoilpulley_standins.figures.sample import RunKey

PARTS = (
    Failover(is_service_out=False),
    Failover(is_service_out=True),
    PlannedChanges(),
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
    layout = part.adapt_layout(make_layout(deployment, directory, key.seed))
    before = psutil.cpu_times()
    with open_testbed(layout, directory, key.seed) as testbed:
        testbed.begin_load(part.make_load(deployment))
        monitor = StallMonitor()
        measurements = [*part.run(testbed), *_measure_stall(monitor)]
    load = round(os.getloadavg()[0], 2)
    stolen = _stolen_share(before, psutil.cpu_times())
    return tuple(
        Sample(key, f.figure, f.value, f.count, load, stolen)
        for f in measurements
    )


def _measure_stall(monitor: StallMonitor) -> tuple[Measurement, ...]:
    monitor.stop()
    return (
        Measurement('stall of the measuring process s', monitor.longest_s),
    )


def _stolen_share(before: Any, after: Any) -> float:
    passed = sum(after) - sum(before)
    return round((after.steal - before.steal) / passed, 3)
