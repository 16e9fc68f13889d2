"""Times of promotions and documents, read from the hosts' logs."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

_NOTICE_TYPE = 'tp1501'
_DOCUMENT_APPLIED_TYPE = 'tp1402'


@dataclass(frozen=True, slots=True)
class Promotion:
    """Promotion of a member; times count from the start of the load."""

    database: str
    """Name of the database."""

    primary: str
    """Name of the promoted member."""

    reason: str
    """Reason for the promotion."""

    began_s: float
    """Start of the promotion, in seconds."""

    promoted_s: float
    """Time at which the member became primary, in seconds."""


@dataclass(frozen=True, slots=True)
class AppliedDocument:
    """Document that a host applied."""

    host: str
    """Name of the host."""

    kind: str
    """Kind of the document, such as ``configuration``."""

    revision: int
    """Revision of the document."""

    at_s: float
    """Time of applying, in seconds since the start of the load."""


class HostLogs:
    """Log files of the hosts of a run.

    Parameters
    ----------
    directory : Path
        Directory of the log files.
    started_at : float
        Unix time of the start of the load, in seconds.
    """

    def __init__(self, directory: Path, started_at: float) -> None:
        self._paths = sorted(directory.glob('host-*.log'))
        self._started_at = started_at

    def promotions(self) -> tuple[Promotion, ...]:
        """Return the completed promotions in the order of completion."""
        found = [p for path in self._paths for p in self._promotions_in(path)]
        return tuple(sorted(found, key=lambda p: p.promoted_s))

    def documents(self) -> tuple[AppliedDocument, ...]:
        """Return the documents that each host applied."""
        return tuple(
            AppliedDocument(
                path.stem,
                event['kind'],
                event['revision'],
                self._time_of(event),
            )
            for path in self._paths
            for event in _read_events(path, _DOCUMENT_APPLIED_TYPE)
        )

    def _promotions_in(self, path: Path) -> Iterator[Promotion]:
        began: dict[tuple[str, str], dict[str, Any]] = {}
        for event in _read_events(path, _NOTICE_TYPE):
            details = event['details']
            key = (details['database'], details.get('term', ''))
            if event['notice'] == 'PromotionBegan':
                began[key] = event
            if event['notice'] == 'PrimaryPromoted' and key in began:
                first = began[key]
                yield Promotion(
                    details['database'],
                    details['primary'],
                    first['details']['reason'],
                    self._time_of(first),
                    self._time_of(event),
                )

    def _time_of(self, event: dict[str, Any]) -> float:
        return event['timestamp'] - self._started_at


def _read_events(path: Path, message_type: str) -> Iterator[dict[str, Any]]:
    with path.open(encoding='utf-8') as lines:
        for text in lines:
            if message_type not in text:
                continue
            event = json.loads(text)
            if event.get('message_type') == message_type:
                yield event
