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

WRITE_ONLY_SESSIONS_PER_DATABASE = 12
"""Number of write-only sessions per database."""

WRITE_ONLY_INTERVAL_MS = 720
"""Interval between writes of a write-only session, in milliseconds."""

READ_SESSIONS_PER_DATABASE = 8
"""Number of reading sessions per database and class of reads."""

ROUND_DURATION_MS = 1200
"""Duration of a round of reads, in milliseconds."""

READ_OFFSETS_MS = (100, 400, 800)
"""Times of the reads in a round, in milliseconds; any write is at 0."""

LOAD_DURATION_MS = 60_000
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
    return (*recorded, *_make_write_only_steps(deployment))


def make_read_load(deployment: Deployment) -> tuple[Step, ...]:
    """Return the steps of sessions that write and read or only read."""
    classes = READ_CLASSES[deployment.name]
    return (
        *_make_read_rounds(deployment, 0, classes.session),
        *_make_read_rounds(
            deployment,
            READ_SESSIONS_PER_DATABASE * deployment.databases,
            classes.aged,
        ),
    )


def _make_write_only_steps(deployment: Deployment) -> Iterator[Step]:
    sessions = deployment.databases * WRITE_ONLY_SESSIONS_PER_DATABASE
    for number in range(sessions):
        first_ms = number * WRITE_ONLY_INTERVAL_MS // sessions
        for at_ms in range(first_ms, LOAD_DURATION_MS, WRITE_ONLY_INTERVAL_MS):
            yield _make_step(
                deployment,
                at_ms,
                RECORDED_SESSIONS + number,
                StepKind.WRITE,
                deployment.write_class,
            )


def _make_read_rounds(
    deployment: Deployment, first: int, read_class: str
) -> Iterator[Step]:
    has_writes = read_class == READ_CLASSES[deployment.name].session
    sessions = deployment.databases * READ_SESSIONS_PER_DATABASE
    for number in range(sessions):
        first_ms = number * ROUND_DURATION_MS // sessions
        for at_ms in range(first_ms, LOAD_DURATION_MS, ROUND_DURATION_MS):
            if has_writes:
                yield _make_step(
                    deployment,
                    at_ms,
                    first + number,
                    StepKind.WRITE,
                    deployment.write_class,
                )
            for offset_ms in READ_OFFSETS_MS:
                yield _make_step(
                    deployment,
                    at_ms + offset_ms,
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
