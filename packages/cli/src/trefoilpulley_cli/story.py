"""Reconstruction of one request from the log files of the hosts."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTEXT_BEFORE_S = 3.0
"""Time before a request whose events may explain its outcome, in seconds."""

CONTEXT_AFTER_S = 1.0
"""Time after a request whose events may explain its outcome, in seconds.

A host may log the cause of an outcome after the outcome itself.
"""

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
"""Events that change a host's view of the members of a group."""

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
"""Events that change what requests a host can serve."""

_LOG_FORMAT_FIELDS = frozenset(
    ('event', 'host', 'message_type', 'task_level', 'task_uuid', 'timestamp')
)


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Event from one line of a log."""

    at: float
    """Wall-clock time on the host, in seconds since the epoch."""

    host: str
    """Name of the host that logged the event."""

    event: str
    """Name of the event."""

    fields: dict[str, Any]
    """Fields of the event, except those of the log format."""

    @property
    def request(self) -> str:
        """Identifier of the request, or empty if the event concerns none."""
        return str(self.fields.get('request', ''))

    @property
    def group(self) -> str:
        """Name of the group, or empty if the event concerns none."""
        return str(self.fields.get('group') or '')


@dataclass(frozen=True, slots=True)
class Story:
    """Log records that explain the outcome of a request."""

    request: str
    """Identifier of the request."""

    records: tuple[LogRecord, ...]
    """Records of the request and of its context, sorted by time."""


def parse_record(line: str) -> LogRecord | None:
    """Parse one line of a log.

    Text before the first brace is skipped, so that lines with a prefix of a
    log collector can be read too.

    Returns
    -------
    LogRecord or None
        The record, or ``None`` if the line holds no event.
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
            {k: v for k, v in fields.items() if k not in _LOG_FORMAT_FIELDS},
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def build_story(records: Iterable[LogRecord], request: str) -> Story:
    """Select the records that explain the outcome of a request.

    The selection contains the records of the request itself and the records
    around that time, on the same hosts, of events that may explain the
    outcome. The clocks of different hosts may differ, so that only the order
    of records of the same host is reliable.

    Parameters
    ----------
    records : Iterable[LogRecord]
        Records of all hosts in any order.
    request : str
        Identifier of the request.
    """
    ordered = sorted(records, key=lambda r: r.at)
    own_records = [r for r in ordered if r.request == request]
    if not own_records:
        return Story(request, ())
    start = own_records[0].at - CONTEXT_BEFORE_S
    end = own_records[-1].at + CONTEXT_AFTER_S
    hosts = {r.host for r in own_records}
    groups = {r.group for r in own_records if r.group}
    return Story(
        request,
        tuple(
            r
            for r in ordered
            if r.request == request
            or (
                start <= r.at <= end
                and r.host in hosts
                and _is_context(r, groups)
            )
        ),
    )


def _is_context(record: LogRecord, groups: set[str]) -> bool:
    if record.event in HOST_EVENTS:
        return True
    return record.event in GROUP_EVENTS and record.group in groups
