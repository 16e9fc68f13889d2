"""Journal of what the callers sent and got."""

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
    """Last word that a caller got on a request."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Entry:
    """One request of a caller."""

    request: str
    """Identifier; also in the rows that the request writes."""

    session: str
    """Session; also in the rows."""

    work_class: str
    """Class of work."""

    database: str
    """Database."""

    kind: StepKind
    """Kind of the request."""

    began_s: float
    """Time at which the caller sent it, in seconds since the start."""

    ended_s: float
    """Time at which the caller got the last word."""

    verdict: Verdict
    """Last word."""

    code: str = ''
    """Code of the failure."""

    host: str = ''
    """Entry host that gave the last word."""

    member: str = ''
    """Member that served it, as the answer says."""

    parts: int = 0
    """Rows that a write adds."""

    own_rows: int = 0
    """Rows of the session that a read has seen."""

    own_floor: int = 0
    """Rows of the session acknowledged before the read was sent."""

    last_id: int = 0
    """Greatest row number that was seen or written."""

    is_own_answer: bool = True
    """Whether a read gave back the parameter that it was sent."""

    is_foreign: bool = False
    """Whether the tenant may not use the database."""


_CONVERTER = make_converter(omit_if_default=True)


def dump_journal(path: Path, entries: Iterable[Entry]) -> None:
    """Write a journal as JSON lines."""
    with path.open('w', encoding='utf-8') as file:
        for entry in entries:
            file.write(json.dumps(_CONVERTER.unstructure(entry)) + '\n')
