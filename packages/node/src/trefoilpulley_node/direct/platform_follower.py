"""Follows the platform's service: routes, members, hosts and claims."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from returns.result import Success

from trefoilpulley_core.direct.entry_revisions import EntryRevisions
from trefoilpulley_core.direct.member_versions import MemberVersions
from trefoilpulley_core.keys import CLAIM_PREFIX
from trefoilpulley_core.keys import HOST_PREFIX
from trefoilpulley_core.keys import ROSTER_PREFIX
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_core.platform import WatchExpired
from trefoilpulley_node.direct.claim_store import read_claim
from trefoilpulley_node.direct.config_holder import SERVICE
from trefoilpulley_node.direct.host_registration import read_host
from trefoilpulley_node.direct.roster_store import read_roster
from trefoilpulley_node import events
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import HostEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.commit_roster import CommitRoster
    from trefoilpulley_core.direct.failover import Claim
    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.direct.platform_documents import PlatformDocuments
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import Platform
    from trefoilpulley_core.platform import Watch
    from trefoilpulley_node.direct.config_holder import ConfigHolder
    from trefoilpulley_node.direct.directory import GroupDirectory

REMOVAL_GRACE_S = 3.0
"""Time for which a member without an entry is kept, in seconds.

A host whose entry the service has lost is kept as long.

Entries that expired during an outage of the service are registered again about
two seconds after the outage.
"""

WATCH_STABLE_S = 0.6
"""Time for which a watch must last so that its failure is no repeated one.

In seconds. The time exceeds the time that a connection takes to fail.
"""

MIN_BACKOFF_S = 0.2
"""Backoff after the first failure of the service, in seconds."""

MAX_BACKOFF_S = 1.0
"""Longest backoff between two attempts to reach the service, in seconds."""


class PlatformFollower(Service):
    """Keeps the directory in line with the platform's service.

    Parameters
    ----------
    platform : Platform
        The platform's service.
    documents : PlatformDocuments
        Format of the platform's routes and member entries.
    configuration : ConfigHolder
        Receives configurations.
    directory : GroupDirectory
        Receives members.
    on_hosts : Callable[[tuple[HostEntry, ...]], None]
        Called with the hosts that hold a lease.
    on_claim : Callable[[str, Claim, KeyValue], None]
        Called with a group, its claim and the claim's entry.
    on_roster : Callable[[str, CommitRoster, KeyValue], None]
        Called with a group, its roster and the roster's entry.
    on_read : Callable[[int], None]
        Called with the era of a read after its entries have been applied.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        platform: Platform,
        documents: PlatformDocuments,
        configuration: ConfigHolder,
        directory: GroupDirectory,
        on_hosts: Callable[[tuple[HostEntry, ...]], None],
        on_claim: Callable[[str, Claim, KeyValue], None],
        on_roster: Callable[[str, CommitRoster, KeyValue], None],
        on_read: Callable[[int], None],
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._documents = documents
        self._configuration = configuration
        self._directory = directory
        self._on_hosts = on_hosts
        self._on_claim = on_claim
        self._on_roster = on_roster
        self._on_read = on_read
        self._clock = clock
        self._revisions = EntryRevisions()
        self._members = MemberVersions()
        self._hosts: dict[str, HostEntry] = {}
        self._host_eras: dict[str, int] = {}
        self._host_removals_due: dict[str, float] = {}
        self._removals_due: dict[str, float] = {}
        self._unreadable: set[str] = set()
        self._era = 0
        self._greenlet: gevent.Greenlet | None = None
        self._watch: Watch | None = None
        self._watch_failed = Event()
        self._failure: Failure | None = None
        self._answered_at = clock.now()
        # Last time for which this host knows the whole state of the service.
        self._known_at = float('-inf')
        # Newest entry of each member that has announced its stop.
        self._leaving: dict[str, MemberRecord] = {}
        self._is_answered = False
        self._is_read = False
        self._backoff_s = MIN_BACKOFF_S
        self.is_following = False
        """Whether the service has answered the present watch."""

        self.is_synchronized = False
        """Whether all entries have been read at least once."""

    @property
    def hosts(self) -> tuple[HostEntry, ...]:
        """Hosts that held a lease at the last update."""
        return tuple(self._hosts.values())

    @property
    def age_s(self) -> float:
        """Time since the last answer to a watch, in seconds."""
        return self._clock.now() - self._answered_at

    def start(self) -> None:
        """Start to follow the service."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to follow the service."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if self._watch is not None:
            self._watch.cancel()

    def remove_expired(self) -> None:
        """Remove members and hosts without an entry after a grace period.

        Time in which the service can't be followed does not count, and a
        period ends with an answer of the service after it, since an entry
        that is written again would not be seen otherwise.
        """
        if not self.is_following:
            self._restart_grace_periods()
        known_at = self._answered_at
        hosts = [
            n for n, at in self._host_removals_due.items() if known_at >= at
        ]
        for name in hosts:
            self._remove_host(name)
        if hosts:
            self._on_hosts(tuple(self._hosts.values()))
        for member, at in list(self._removals_due.items()):
            if known_at >= at:
                del self._removals_due[member]
                self._leaving.pop(member, None)
                self._directory.remove_member(member)

    def _restart_grace_periods(self) -> None:
        due_at = self._clock.now() + REMOVAL_GRACE_S
        self._removals_due = dict.fromkeys(self._removals_due, due_at)
        self._host_removals_due = dict.fromkeys(
            self._host_removals_due, due_at
        )

    def _run(self) -> None:
        while True:
            began_at = self._clock.now()
            self._watch_failed.clear()
            self._failure = None
            self._is_answered = False
            try:
                self._follow()
            # An unexpected error must not leave the host without a watch.
            except Exception as exc:
                events.HANDLER_CRASHED.log(message='service', error=repr(exc))
            if self._watch is not None:
                self._watch.cancel()
            if isinstance(self._failure, WatchExpired):
                self._is_read = False
                continue
            self._set_following(False)
            is_lasting = self._clock.now() - began_at >= WATCH_STABLE_S
            if self._is_answered and is_lasting:
                self._backoff_s = MIN_BACKOFF_S
            gevent.sleep(self._backoff_s)
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def _follow(self) -> None:
        """Follow the service until its watch fails."""
        self._watch = self._platform.watch(
            '', self._on_change, self._on_failure, self._on_answer
        )
        if self._failure is None and not self._is_read:
            self._is_read = self._synchronize()
            self.is_synchronized |= self._is_read
        if self._failure is None and self._is_read:
            self._update_following()
            self._watch_failed.wait()

    def _on_answer(self, age_s: float) -> None:
        known_at = self._clock.now() - age_s
        self._answered_at = max(self._answered_at, known_at)
        if self._is_read:
            self._known_at = max(self._known_at, known_at)
        self._is_answered = True
        self._update_following()

    def _on_failure(self, failure: Failure) -> None:
        if self._is_answered and not isinstance(failure, WatchExpired):
            events.WATCH_LOST.log(
                failure=failure.code, silent_ms=round(1000 * self.age_s)
            )
        self._failure = failure
        self._watch_failed.set()

    def _update_following(self) -> None:
        if self._is_answered and self._is_read and self._failure is None:
            self._set_following(True)

    def _set_following(self, is_following: bool) -> None:
        if is_following == self.is_following:
            return
        self.is_following = is_following
        if is_following:
            events.PLATFORM_REACHABLE.log()
        else:
            code = self._failure.code if self._failure else 'range-failed'
            events.PLATFORM_UNREACHABLE.log(failure=code)

    def _synchronize(self) -> bool:
        """Read all entries and remove the entries that no longer exist."""
        # A single call limits the load on the service, since all hosts may
        # start at the same time.
        self._revisions.begin_read()
        asked_at = self._clock.now()
        result = self._platform.get_prefix('')
        if not isinstance(result, Success):
            self._revisions.end_read(None)
            return False
        read = result.unwrap()
        if read.era != self._era:
            self._era = read.era
            # What was written again in the last era may be lost once more.
            self._restart_grace_periods()
        for entry in read.entries:
            self._on_change(entry)
        for key in self._revisions.end_read(read):
            self._apply(KeyValue(key, b'', read.revision, era=read.era))
        self._known_at = max(self._known_at, asked_at)
        self._on_read(read.era)
        return True

    def _on_change(self, entry: KeyValue) -> None:
        if self._revisions.accept(entry):
            self._apply(entry)

    def _apply(self, entry: KeyValue) -> None:
        try:
            self._dispatch(entry)
        # The other entries must take effect whatever one entry causes.
        except Exception as exc:
            events.HANDLER_CRASHED.log(message=entry.key, error=repr(exc))

    def _dispatch(self, entry: KeyValue) -> None:
        documents = self._documents
        if entry.key == documents.routes_key:
            self._on_routes(entry)
        elif entry.key.startswith(documents.members_prefix):
            self._on_member(entry)
        elif entry.key.startswith(HOST_PREFIX):
            self._on_host(entry)
        elif entry.key.startswith(CLAIM_PREFIX) and entry.value:
            self._on_claim_entry(entry)
        elif entry.key.startswith(ROSTER_PREFIX) and entry.value:
            self._on_roster_entry(entry)

    def _on_routes(self, entry: KeyValue) -> None:
        result = self._configuration.apply(entry.value, SERVICE)
        if not isinstance(result, Success):
            self._log_unreadable(entry, result.failure())

    def _on_member(self, entry: KeyValue) -> None:
        member = entry.key.removeprefix(self._documents.members_prefix)
        if entry.value:
            result = self._documents.decode_member(entry.key, entry.value)
            if isinstance(result, Success):
                self._set_member(result.unwrap(), entry.era)
                return
            self._log_unreadable(entry, result.failure())
        self._members.remove(member, entry.era)
        self._removals_due.setdefault(
            member, self._clock.now() + REMOVAL_GRACE_S
        )
        self._directory.mark_unlisted(member)

    def _set_member(self, record: MemberRecord, era: int) -> None:
        if self._members.accept(record, era):
            self._removals_due.pop(record.member, None)
            self._directory.set_member(self._date_leaving(record))
        else:
            events.MEMBER_OUTDATED.log(
                member=record.member, era=era, sequence=record.sequence
            )

    def _date_leaving(self, record: MemberRecord) -> MemberRecord:
        """Return the record with the time since which the member may leave.

        The announcement is not older than the last state of the service that
        this host knows. A host that has just started knows none.
        """
        known = self._leaving.pop(record.member, None)
        if not record.is_leaving:
            return record
        since = self._known_at
        if known is not None and known.incarnation == record.incarnation:
            since = known.leaving_since
        dated = replace(record, leaving_since=since)
        self._leaving[record.member] = dated
        return dated

    def _on_host(self, entry: KeyValue) -> None:
        name = entry.key.removeprefix(HOST_PREFIX)
        result = read_host(entry) if entry.value else None
        if isinstance(result, Success):
            self._hosts[name] = result.unwrap()
            self._host_eras[name] = entry.era
            self._host_removals_due.pop(name, None)
        elif result is None and entry.era > self._host_eras.get(name, 0):
            # The service has lost the entry; the host registers again.
            self._host_removals_due.setdefault(
                name, self._clock.now() + REMOVAL_GRACE_S
            )
        else:
            self._remove_host(name)
            if result is not None:
                self._log_unreadable(entry, result.failure())
        self._on_hosts(tuple(self._hosts.values()))

    def _remove_host(self, name: str) -> None:
        self._hosts.pop(name, None)
        self._host_eras.pop(name, None)
        self._host_removals_due.pop(name, None)

    def _on_claim_entry(self, entry: KeyValue) -> None:
        result = read_claim(entry)
        if isinstance(result, Success):
            group = entry.key.removeprefix(CLAIM_PREFIX)
            self._on_claim(group, result.unwrap(), entry)
        else:
            self._log_unreadable(entry, result.failure())

    def _on_roster_entry(self, entry: KeyValue) -> None:
        result = read_roster(entry)
        if isinstance(result, Success):
            group = entry.key.removeprefix(ROSTER_PREFIX)
            self._on_roster(group, result.unwrap(), entry)
        else:
            self._log_unreadable(entry, result.failure())

    def _log_unreadable(self, entry: KeyValue, failure: Failure) -> None:
        if entry.key in self._unreadable:
            return
        self._unreadable.add(entry.key)
        events.ENTRY_UNREADABLE.log(
            key=entry.key, revision=entry.mod_revision, detail=failure.detail
        )
