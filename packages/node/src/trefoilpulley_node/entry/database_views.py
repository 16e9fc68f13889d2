"""Views of the databases that the callers of an entry host use."""

from __future__ import annotations

from dataclasses import dataclass
import heapq
import itertools
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_node.entry.digest_fetcher import DigestFetcher
from trefoilpulley_node.entry.digest_store import DigestStore
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.peer import MemberDigest
    from trefoilpulley_node.peers import Peers

OVERDUE_CHECK_INTERVAL_S = 0.05
"""Interval between checks for overdue requests, in seconds."""

REFRESH_INTERVAL_S = 1.0
"""Interval between refreshes of the oldest digests, in seconds."""

MIN_OVERDUE_TIME_S = 0.2
"""Running time after which a request is overdue, in seconds.

The digests of the request's database are then requested again.
"""

MIN_REFRESH_AGE_S = 0.25
"""Age from which a digest may be refreshed, in seconds."""

REFRESHES_PER_S = 4.0
"""Digests that a host refreshes per second.

The rate does not depend on the number of databases in use.
"""

DATABASE_IDLE_TIMEOUT_S = 30.0
"""Time after its last request until a database is unused, in seconds."""


@dataclass(eq=False, slots=True)
class _UsedDatabase:
    entry: DatabaseEntry
    used_at: float
    primary: str = ''
    term: int = 0


@dataclass(frozen=True, slots=True)
class _RunningRequest:
    database: str
    started_at: float


class DatabaseViews(Service):
    """Keeps the digests of the members in use up to date.

    An answer to a request contains the digest of the member that served
    the request. Digests that no answer refreshes are requested oldest
    first at a fixed rate, so that the cost of a host does not grow with
    the number of databases that its callers use. Digests are requested
    at once for a database that has overdue requests, and for a database
    without a known primary while requests wait for one.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    peers : Peers
        Sends requests to poolers.
    get_declarations : Callable[[], Declarations]
        Returns the declarations in force.
    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        get_declarations: Callable[[], Declarations],
    ) -> None:
        self._clock = clock
        self._get_declarations = get_declarations
        self._store = DigestStore()
        self._fetcher = DigestFetcher(
            peers, clock, self.on_digest, self._store.put_round_trip
        )
        self._used_databases: dict[str, _UsedDatabase] = {}
        self._database_of: dict[str, str] = {}
        self._change_events: dict[str, Event] = {}
        self._running_requests: dict[int, _RunningRequest] = {}
        self._has_requests = Event()
        self._ids = itertools.count(1)
        self._greenlets: tuple[gevent.Greenlet, ...] = ()

    @property
    def databases_in_use(self) -> int:
        """Number of databases that callers have used recently."""
        return len(self._used_databases)

    def start(self) -> None:
        """Start refreshing digests in the background."""
        self._greenlets = (
            gevent.spawn(self._watch_overdue),
            gevent.spawn(self._refresh),
        )

    def stop(self) -> None:
        """Stop refreshing digests."""
        gevent.killall(self._greenlets, block=False)

    def view(self, entry: DatabaseEntry) -> DatabaseView:
        """Return the view of a database and mark the database as used."""
        self._mark_used(entry)
        stops = self._get_declarations().stops
        stopping = {s.zone for s in stops if s.ledger == entry.ledger}
        return DatabaseView(
            entry.name,
            tuple(self._store.view(m, stopping) for m in entry.members),
        )

    def begin_request(self, database: str) -> int:
        """Record the start of a request and return its number."""
        self._has_requests.set()
        number = next(self._ids)
        self._running_requests[number] = _RunningRequest(
            database, self._clock.now()
        )
        return number

    def end_request(self, number: int) -> None:
        """Record that a request has ended."""
        del self._running_requests[number]

    def primary_change_event(self, database: str) -> Event:
        """Return the event that is set at the next change of primary."""
        changed = self._change_events.get(database)
        if changed is None:
            changed = self._change_events[database] = Event()
        return changed

    def wait_for_primary_change(
        self, entry: DatabaseEntry, timeout_s: float
    ) -> None:
        """Request the digests of a database and wait for a new primary."""
        changed = self.primary_change_event(entry.name)
        self._fetcher.fetch(m.name for m in entry.members)
        changed.wait(timeout_s)

    def on_digest(self, digest: MemberDigest, sent_at: float) -> None:
        """Store a digest and check whether the primary has changed."""
        if self._store.put(digest, sent_at):
            self._update_primary(digest)

    def on_unreachable(self, member: str) -> None:
        """Delete the digest of a member whose pooler did not answer."""
        self._store.drop_digest(member)

    def _mark_used(self, entry: DatabaseEntry) -> None:
        now = self._clock.now()
        used = self._used_databases.get(entry.name)
        if used is not None and used.entry is entry:
            used.used_at = now
            return
        self._used_databases[entry.name] = _UsedDatabase(entry, now)
        for member in entry.members:
            self._database_of[member.name] = entry.name
        if used is None:
            self._fetcher.fetch(m.name for m in entry.members)

    def _update_primary(self, digest: MemberDigest) -> None:
        if not digest.is_primary or not digest.is_reachable:
            return
        database = self._database_of.get(digest.member, '')
        used = self._used_databases.get(database)
        if used is None or digest.term < used.term:
            return
        if used.primary == digest.member and used.term == digest.term:
            return
        used.primary = digest.member
        used.term = digest.term
        changed = self._change_events.pop(database, None)
        if changed is not None:
            changed.set()

    def _watch_overdue(self) -> None:
        while True:
            self._has_requests.wait()
            gevent.sleep(OVERDUE_CHECK_INTERVAL_S)
            if not self._running_requests:
                self._has_requests.clear()
            self._fetch_overdue(self._clock.now() - MIN_OVERDUE_TIME_S)

    def _fetch_overdue(self, since: float) -> None:
        overdue = {
            work.database
            for work in self._running_requests.values()
            if work.started_at < since
        }
        for database in overdue:
            used = self._used_databases.get(database)
            if used is not None:
                self._fetcher.fetch(m.name for m in used.entry.members)

    def _refresh(self) -> None:
        while True:
            gevent.sleep(REFRESH_INTERVAL_S)
            now = self._clock.now()
            self._remove_unused(now - DATABASE_IDLE_TIMEOUT_S)
            allowed = round(REFRESHES_PER_S * REFRESH_INTERVAL_S)
            self._fetcher.fetch(
                self._oldest_members(allowed, now - MIN_REFRESH_AGE_S)
            )

    def _oldest_members(self, count: int, before: float) -> list[str]:
        observations = (
            (self._store.observed_at(member.name), member.name)
            for used in self._used_databases.values()
            for member in used.entry.members
        )
        stale = (pair for pair in observations if pair[0] <= before)
        return [name for _, name in heapq.nsmallest(count, stale)]

    def _remove_unused(self, since: float) -> None:
        unused = [
            n for n, u in self._used_databases.items() if u.used_at < since
        ]
        for name in unused:
            used = self._used_databases.pop(name)
            self._change_events.pop(name, None)
            for member in used.entry.members:
                self._store.remove(member.name)
                self._database_of.pop(member.name, None)
