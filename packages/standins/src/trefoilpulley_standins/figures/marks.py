"""Times in the hosts' logs."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

_NOTICE = 'tp1501'
_IN_FORCE = 'tp1402'


@dataclass(frozen=True, slots=True)
class Promotion:
    """Promotion of a member, in seconds since the start of the load."""

    database: str
    """Database."""

    primary: str
    """Member that was promoted."""

    reason: str
    """Why the promotion began."""

    began_s: float
    """Time at which it began."""

    promoted_s: float
    """Time at which the member led."""


@dataclass(frozen=True, slots=True)
class InForce:
    """Document that a host has put in force."""

    host: str
    """Name of the host."""

    kind: str
    """Kind of the document."""

    revision: int
    """Revision."""

    at_s: float
    """Time, in seconds since the start of the load."""


class HostLogs:
    """Logs of the hosts of a run.

    Parameters
    ----------
    directory : Path
        Directory of the logs.
    started_at : float
        Time of day of the load's start, in seconds.
    """

    def __init__(self, directory: Path, started_at: float) -> None:
        self._paths = sorted(directory.glob('host-*.log'))
        self._started_at = started_at

    def promotions(self) -> tuple[Promotion, ...]:
        """Return the promotions in the order of their ends."""
        found = [p for path in self._paths for p in self._promotions_in(path)]
        return tuple(sorted(found, key=lambda p: p.promoted_s))

    def documents(self) -> tuple[InForce, ...]:
        """Return when each host put which document in force."""
        return tuple(
            InForce(
                path.stem, line['kind'], line['revision'], self._time_of(line)
            )
            for path in self._paths
            for line in _lines(path, _IN_FORCE)
        )

    def _promotions_in(self, path: Path) -> Iterator[Promotion]:
        began: dict[tuple[str, str], dict[str, Any]] = {}
        for line in _lines(path, _NOTICE):
            details = line['details']
            key = (details['database'], details.get('term', ''))
            if line['notice'] == 'PromotionBegan':
                began[key] = line
            if line['notice'] == 'PrimaryPromoted' and key in began:
                first = began[key]
                yield Promotion(
                    details['database'],
                    details['primary'],
                    first['details']['reason'],
                    self._time_of(first),
                    self._time_of(line),
                )

    def _time_of(self, line: dict[str, Any]) -> float:
        return line['timestamp'] - self._started_at


def _lines(path: Path, message_type: str) -> Iterator[dict[str, Any]]:
    with path.open(encoding='utf-8') as lines:
        for text in lines:
            if message_type not in text:
                continue
            line = json.loads(text)
            if line.get('message_type') == message_type:
                yield line
