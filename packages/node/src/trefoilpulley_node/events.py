"""Log events of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from eliot import log_message


@dataclass(frozen=True, slots=True)
class Event:
    """Kind of log event; docs/EVENTS.md lists all kinds."""

    number: int
    """Number of the event, which never changes."""

    name: str
    """Short name of the event."""

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
SETTINGS_KEPT = Event(1004, 'settings-kept')
DRAIN_ENDED = Event(1005, 'drain-ended')
CALLER_REFUSED = Event(1101, 'caller-refused')
OUTCOME_UNKNOWN = Event(1103, 'outcome-unknown')
CALLERS_NOT_ACCEPTED = Event(1104, 'callers-not-accepted')
KEY_REFUSED = Event(1105, 'key-refused')
LIMIT_EXCEEDED = Event(1106, 'limit-exceeded')
LIMIT_OWNER_SILENT = Event(1107, 'limit-owner-silent')
MEMBER_CONNECTED = Event(1201, 'member-connected')
MEMBER_LOST = Event(1202, 'member-lost')
WRITES_PAUSED = Event(1203, 'writes-paused')
WRITES_RESUMED = Event(1204, 'writes-resumed')
PACE_CHANGED = Event(1205, 'pace-changed')
PEER_REFUSED = Event(1301, 'peer-refused')
HOLDER_PASSED_OVER = Event(1302, 'holder-passed-over')
HOLDER_CUT_OFF = Event(1303, 'holder-cut-off')
OWN_REACH_CHANGED = Event(1304, 'own-reach-changed')
LIVE_HOSTS_CHANGED = Event(1401, 'live-hosts-changed')
DOCUMENT_IN_FORCE = Event(1402, 'document-in-force')
DOCUMENT_REFUSED = Event(1403, 'document-refused')
PLATFORM_UNREACHABLE = Event(1404, 'platform-unreachable')
PLATFORM_REACHABLE = Event(1405, 'platform-reachable')
ROUTES_IN_FORCE = Event(1406, 'routes-in-force')
MEMBER_LISTED = Event(1407, 'member-listed')
MEMBER_UNLISTED = Event(1408, 'member-unlisted')
ENTRY_UNREADABLE = Event(1409, 'entry-unreadable')
PLATFORM_RESTORED = Event(1410, 'platform-restored')
MEMBER_OUTDATED = Event(1411, 'member-outdated')
CUSTOMER_LEFT_OUT = Event(1412, 'customer-left-out')
CONFIGURATION_LEARNT = Event(1413, 'configuration-learnt')
CONFIGURATION_DROPPED = Event(1414, 'configuration-dropped')
SERVICE_RELAYED = Event(1415, 'service-relayed')
SERVICE_DIRECT = Event(1416, 'service-direct')
WATCH_LOST = Event(1417, 'watch-lost')
PRIMARY_PROVED = Event(1601, 'primary-proved')
PRIMARY_MISSED = Event(1602, 'primary-missed')
PRIMARY_KEPT = Event(1603, 'primary-kept')
ISOLATION_CHANGED = Event(1608, 'isolation-changed')
ZONES_UNREACHABLE = Event(1609, 'zones-unreachable')
CHANGE_CLAIMED = Event(1604, 'change-claimed')
PROMOTION_ORDERED = Event(1605, 'promotion-ordered')
CHANGE_OVER = Event(1606, 'change-over')
HANDOVER_STEP = Event(1607, 'handover-step')
LOGS_FORKED = Event(1610, 'logs-forked')
COMMITS_JUDGED = Event(1611, 'commits-judged')
ROSTER_WRITTEN = Event(1612, 'roster-written')
CHANGE_SETTLED = Event(1613, 'change-settled')
REPLICAS_HELD = Event(1614, 'replicas-held')
LEADER_CONFIRMED = Event(1615, 'leader-confirmed')
KEY_WITHDRAWN = Event(1617, 'key-withdrawn')
COMMIT_WITHHELD = Event(1616, 'commit-withheld')
STATEMENT_REFUSED = Event(1701, 'statement-refused')
STATEMENT_RETRIED = Event(1702, 'statement-retried')
STATEMENT_UNKNOWN = Event(1703, 'statement-unknown')
TRANSACTION_ABORTED = Event(1704, 'transaction-aborted')
STATEMENT_SERVED = Event(1705, 'statement-served')
ANSWER_UNDELIVERED = Event(1706, 'answer-undelivered')
COORDINATION_NOTICE = Event(1501, 'coordination-notice')
LOG_DROPPED = Event(1801, 'log-dropped')
HANDLER_CRASHED = Event(1901, 'handler-crashed')
