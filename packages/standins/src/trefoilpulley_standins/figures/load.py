"""Workloads of the measured runs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from trefoilpulley_standins.demo.record import recording_path
from trefoilpulley_standins.demo.tenants import find_writing_tenant
from trefoilpulley_standins.demo.workload import load_workload
from trefoilpulley_standins.demo.workload import RECORDED_SESSIONS
from trefoilpulley_standins.demo.workload import Step
from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.deployment import Deployment

WRITERS = 12
"""Number of write-only sessions per database."""

WRITE_INTERVAL_MS = 720
"""Interval between writes of a write-only session, in milliseconds."""

READERS = 8
"""Number of reading sessions per database and class of reads."""

ROUND_MS = 1200
"""Duration of a round of reads, in milliseconds."""

READS_AT_MS = (100, 400, 800)
"""Times of the reads in a round, in milliseconds; any write is at 0."""

DURATION_MS = 60_000
"""Maximum duration of the load, in milliseconds."""


@dataclass(frozen=True, slots=True)
class ReadClasses:
    """Classes of work of the reads in a deployment."""

    session: str
    """Class that requires the writes of its own session."""

    aged: str
    """Class that allows a maximum age."""


READ_CLASSES = {
    'karamanlis': ReadClasses('order-status', 'lookup'),
    'sleevecraft': ReadClasses('order-status', 'catalogue-lookup'),
}
"""Classes of work of the reads by name of the deployment."""


def make_fault_load(deployment: Deployment) -> tuple[Step, ...]:
    """Return the recorded workload and additional write-only sessions."""
    recorded = load_workload(recording_path(deployment.name))
    return (*recorded, *_make_writers(deployment))


def make_read_load(deployment: Deployment) -> tuple[Step, ...]:
    """Return the steps of sessions that write and read or only read."""
    classes = READ_CLASSES[deployment.name]
    return (
        *_make_rounds(deployment, 0, classes.session),
        *_make_rounds(
            deployment, READERS * deployment.databases, classes.aged
        ),
    )


def _make_writers(deployment: Deployment) -> Iterator[Step]:
    sessions = deployment.databases * WRITERS
    for number in range(sessions):
        first_ms = number * WRITE_INTERVAL_MS // sessions
        for at_ms in range(first_ms, DURATION_MS, WRITE_INTERVAL_MS):
            yield _make_step(
                deployment,
                at_ms,
                RECORDED_SESSIONS + number,
                StepKind.WRITE,
                deployment.write_class,
            )


def _make_rounds(
    deployment: Deployment, first: int, read_class: str
) -> Iterator[Step]:
    has_writes = read_class == READ_CLASSES[deployment.name].session
    sessions = deployment.databases * READERS
    for number in range(sessions):
        shift_ms = number * ROUND_MS // sessions
        for at_ms in range(shift_ms, DURATION_MS, ROUND_MS):
            if has_writes:
                yield _make_step(
                    deployment,
                    at_ms,
                    first + number,
                    StepKind.WRITE,
                    deployment.write_class,
                )
            for after_ms in READS_AT_MS:
                yield _make_step(
                    deployment,
                    at_ms + after_ms,
                    first + number,
                    StepKind.READ,
                    read_class,
                )


def _make_step(
    deployment: Deployment,
    at_ms: int,
    session: int,
    kind: StepKind,
    work_class: str,
) -> Step:
    database = session % deployment.databases
    return Step(
        at_ms,
        session,
        kind,
        find_writing_tenant(deployment, database),
        work_class,
        database,
    )
