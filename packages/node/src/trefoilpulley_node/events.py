"""Numbered log events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from eliot import log_message


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log event; docs/EVENTS.md lists them all."""

    number: int
    """Stable number."""

    name: str
    """Short name."""

    def log(self, **fields: Any) -> None:
        """Write the event to the log."""
        log_message(
            message_type=f'tp{self.number}',
            event=self.name,
            **fields,
        )


HOST_STARTED = Event(1001, 'host-started')
HOST_DRAINING = Event(1002, 'host-draining')
HOST_STOPPED = Event(1003, 'host-stopped')
CALLER_REFUSED = Event(1101, 'caller-refused')
OUTCOME_UNKNOWN = Event(1103, 'outcome-unknown')
MEMBER_CONNECTED = Event(1201, 'member-connected')
MEMBER_LOST = Event(1202, 'member-lost')
WRITES_PAUSED = Event(1203, 'writes-paused')
WRITES_RESUMED = Event(1204, 'writes-resumed')
PEER_REFUSED = Event(1301, 'peer-refused')
LIVE_HOSTS_CHANGED = Event(1401, 'live-hosts-changed')
DOCUMENT_IN_FORCE = Event(1402, 'document-in-force')
DOCUMENT_REFUSED = Event(1403, 'document-refused')
PLATFORM_UNREACHABLE = Event(1404, 'platform-unreachable')
PLATFORM_REACHABLE = Event(1405, 'platform-reachable')
COORDINATION_NOTICE = Event(1501, 'coordination-notice')
HANDLER_CRASHED = Event(1901, 'handler-crashed')
