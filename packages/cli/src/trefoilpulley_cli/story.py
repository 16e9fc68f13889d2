"""Story of one request from the log files of the hosts."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

BEFORE_S = 3.0
"""Time before a request in which changes may have caused its end."""

AFTER_S = 1.0
"""Time after a request in which its cause may have been logged."""

GROUP_EVENTS = frozenset(
    (
        'change-claimed',
        'change-over',
        'handover-step',
        'member-listed',
        'member-unlisted',
        'primary-kept',
        'primary-missed',
        'primary-proved',
        'promotion-ordered',
    )
)
"""Events that change what a host believes of a group."""

HOST_EVENTS = frozenset(
    (
        'host-draining',
        'host-started',
        'isolation-changed',
        'log-dropped',
        'platform-reachable',
        'platform-unreachable',
        'routes-in-force',
    )
)
"""Events that change what a host can do."""

_LEFT_OUT = frozenset(
    ('event', 'host', 'message_type', 'task_level', 'task_uuid', 'timestamp')
)


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One line of a log."""

    at: float
    """Time of day on the host, in seconds."""

    host: str
    """Host that wrote the line."""

    event: str
    """Name of the event."""

    fields: dict[str, Any]
    """Its fields."""

    @property
    def request(self) -> str:
        """Identifier of the request, empty where it touches none."""
        return str(self.fields.get('request', ''))

    @property
    def group(self) -> str:
        """Group that the line speaks of, empty where of none."""
        return str(self.fields.get('group') or '')


@dataclass(frozen=True, slots=True)
class Story:
    """Lines that tell what became of a request, in their order."""

    request: str
    """Identifier of the request."""

    records: tuple[LogRecord, ...]
    """Lines of the request, and what its hosts believed."""


def read_record(line: str) -> LogRecord | None:
    """Return the record in a line, or ``None`` where it has none.

    What stands before the first brace is passed over, so that lines with
    a collector's prefix can be read too.
    """
    start = line.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
        return LogRecord(
            float(fields['timestamp']),
            str(fields.get('host', '')),
            str(fields['event']),
            {k: v for k, v in fields.items() if k not in _LEFT_OUT},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def tell_story(records: Iterable[LogRecord], request: str) -> Story:
    """Return the lines on a request and on what decided its end.

    Times of day of different hosts may differ; lines of one host are in
    their true order.
    """
    known = sorted(records, key=lambda r: r.at)
    own = [r for r in known if r.request == request]
    if not own:
        return Story(request, ())
    since = own[0].at - BEFORE_S
    until = own[-1].at + AFTER_S
    hosts = {r.host for r in own}
    groups = {r.group for r in own if r.group}
    return Story(
        request,
        tuple(
            r
            for r in known
            if r.request == request
            or (
                since <= r.at <= until
                and r.host in hosts
                and _is_context(r, groups)
            )
        ),
    )


def _is_context(record: LogRecord, groups: set[str]) -> bool:
    if record.event in HOST_EVENTS:
        return True
    return record.event in GROUP_EVENTS and record.group in groups
