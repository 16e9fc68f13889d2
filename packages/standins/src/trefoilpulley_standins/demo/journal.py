"""Journal of the callers' requests and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
import json
from pathlib import Path
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter

from trefoilpulley_standins.demo.workload import StepKind

if TYPE_CHECKING:
    from collections.abc import Iterable


class Verdict(StrEnum):
    """Final outcome of a request as the caller saw it."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Entry:
    """One request of a caller and its outcome."""

    request: str
    """Identifier of the request; stored in the rows that it writes."""

    session: str
    """Name of the session; stored in the rows that the request writes."""

    work_class: str
    """Name of the class of work."""

    database: str
    """Name of the database."""

    kind: StepKind
    """Kind of the step that sent the request."""

    began_s: float
    """Time at which the request was sent, in seconds since the start."""

    ended_s: float
    """Time of the final outcome, in seconds since the start."""

    verdict: Verdict
    """Final outcome."""

    code: str = ''
    """Code of the failure; empty for an answered request."""

    host: str = ''
    """Entry host that returned the final outcome."""

    member: str = ''
    """Member that served the request, as stated in the answer."""

    parts: int = 0
    """Number of rows that an acknowledged write added."""

    own_rows: int = 0
    """Number of the session's rows that a read returned."""

    own_floor: int = 0
    """Number of the session's rows acknowledged before the request."""

    last_id: int = 0
    """Highest row number that the request read or wrote."""

    is_own_answer: bool = True
    """Whether a read returned the parameter that was sent with it."""

    is_foreign: bool = False
    """Whether the tenant has no grant for the database."""


_CONVERTER = make_converter(omit_if_default=True)


def dump_journal(path: Path, entries: Iterable[Entry]) -> None:
    """Write a journal as JSON lines."""
    with path.open('w', encoding='utf-8') as file:
        for entry in entries:
            file.write(json.dumps(_CONVERTER.unstructure(entry)) + '\n')
