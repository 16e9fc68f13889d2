"""Recorded workload of the demonstration."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import json
from pathlib import Path
import random
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

RECORDING_DURATION_MS = 60_000
"""Duration of a recorded workload, in milliseconds."""

RECORDED_SESSIONS = 24
"""Number of sessions in a recorded workload."""

MEAN_STEP_INTERVAL_MS = 900.0
"""Mean interval between two steps of a session, in milliseconds."""


class StepKind(StrEnum):
    """Action of a step; ``ROAM`` moves the session to another host."""

    WRITE = 'write'
    TRANSACTION = 'transaction'
    READ = 'read'
    ROAM = 'roam'


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a session."""

    at_ms: int
    """Time since the start of the run, in milliseconds."""

    session: int
    """Number of the session."""

    kind: StepKind
    """Action of the step."""

    tenant: str = ''
    """Name of the session's tenant."""

    work_class: str = ''
    """Name of the class of work; empty for ``StepKind.ROAM``."""

    database: int = 0
    """Number of the database, counted from 0."""

    is_foreign: bool = False
    """Whether the tenant has no grant for the database."""


@dataclass(frozen=True, slots=True)
class TenantWork:
    """Work that one grant allows a tenant."""

    tenant: str
    """Name of the tenant."""

    writes: tuple[str, ...]
    """Names of the granted classes that write."""

    reads: tuple[str, ...]
    """Names of the granted classes that read."""

    databases: tuple[int, ...]
    """Numbers of the granted databases."""


_CONVERTER = make_converter(omit_if_default=True)


def load_workload(path: Path) -> tuple[Step, ...]:
    """Load a recorded workload from a file of JSON lines."""
    with path.open(encoding='utf-8') as lines:
        return tuple(
            _CONVERTER.structure(json.loads(line), Step) for line in lines
        )


def dump_workload(path: Path, steps: Iterable[Step]) -> None:
    """Write a recorded workload to a file of JSON lines."""
    with path.open('w', encoding='utf-8') as file:
        for step in steps:
            document = _CONVERTER.unstructure(step)
            file.write(json.dumps(document, separators=(',', ':')) + '\n')


def generate_workload(
    works: tuple[TenantWork, ...], seed: int
) -> tuple[Step, ...]:
    """Generate a random workload.

    Parameters
    ----------
    works : tuple[TenantWork, ...]
        Work of the sessions, assigned to them in turn.
    seed : int
        Seed of the random generator.

    Returns
    -------
    tuple[Step, ...]
        Steps of all sessions, ordered by time and session.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    for session in range(RECORDED_SESSIONS):
        work = works[session % len(works)]
        steps.extend(_generate_session(session, work, rng))
    return tuple(sorted(steps, key=lambda s: (s.at_ms, s.session)))


def _generate_session(
    session: int, work: TenantWork, rng: random.Random
) -> Iterator[Step]:
    at_ms = rng.random() * MEAN_STEP_INTERVAL_MS
    database = rng.choice(work.databases)
    while at_ms < RECORDING_DURATION_MS:
        kind = _draw_kind(work, rng)
        if rng.random() < 0.1:
            database = rng.choice(work.databases)
        yield Step(
            int(at_ms),
            session,
            kind,
            work.tenant,
            _draw_class(kind, work, rng),
            database,
        )
        at_ms += rng.expovariate(1 / MEAN_STEP_INTERVAL_MS)


def _draw_kind(work: TenantWork, rng: random.Random) -> StepKind:
    drawn = rng.random()
    if drawn < 0.08:
        return StepKind.ROAM
    if not work.writes or drawn > 0.5:
        return StepKind.READ
    return StepKind.TRANSACTION if drawn < 0.2 else StepKind.WRITE


def _draw_class(kind: StepKind, work: TenantWork, rng: random.Random) -> str:
    if kind is StepKind.ROAM:
        return ''
    if kind is StepKind.READ:
        return rng.choice(work.reads)
    if kind is StepKind.TRANSACTION:
        return work.writes[0]
    return rng.choice(work.writes)
