"""What an entry host knows of the members that its callers use."""

from __future__ import annotations

from dataclasses import dataclass
import heapq
import itertools
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_node.entry.digest_asker import DigestAsker
from trefoilpulley_node.entry.digest_store import DigestStore
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.peer import MemberDigest
    from trefoilpulley_node.peers import Peers

OVERDUE_TICK_S = 0.05
"""Time between two looks for overdue requests."""

REFRESH_TICK_S = 1.0
"""Time between two looks for the oldest digests."""

OVERDUE_S = 0.2
"""Time in work after which a request's database is asked anew."""

REFRESH_S = 0.25
"""Age of a digest at which it may be asked for anew."""

REFRESHES_PER_S = 4.0
"""Digests that a host asks for a second, whatever its callers use."""

USE_MEMORY_S = 30.0
"""Time after its last request for which a database counts as in use."""


@dataclass(eq=False, slots=True)
class _InUse:
    entry: DatabaseEntry
    used_at: float
    primary: str = ''
    term: int = 0


@dataclass(frozen=True, slots=True)
class _InWork:
    database: str
    began_at: float


class Views(Service):
    """Digests of the members in use, kept fresh by answers and asking.

    Answers carry the digest of the member that gave them. What no
    answer refreshes is asked for within a fixed budget, the oldest
    first, so that the cost of a host does not grow with the databases
    that its callers use. A database whose requests are overdue, or that
    has no known primary while requests wait, is asked at once.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    peers : Peers
        Reaches the poolers.
    get_declarations : Callable[[], Declarations]
        Declarations in force.
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
        self._asker = DigestAsker(
            peers, clock, self.on_digest, self._store.put_round_trip
        )
        self._in_use: dict[str, _InUse] = {}
        self._database_of: dict[str, str] = {}
        self._changed: dict[str, Event] = {}
        self._in_work: dict[int, _InWork] = {}
        self._has_work = Event()
        self._ids = itertools.count(1)
        self._greenlets: tuple[gevent.Greenlet, ...] = ()

    @property
    def databases_in_use(self) -> int:
        """Number of databases that callers have used of late."""
        return len(self._in_use)

    def start(self) -> None:
        """Begin to keep the digests fresh."""
        self._greenlets = (
            gevent.spawn(self._watch_overdue),
            gevent.spawn(self._refresh),
        )

    def stop(self) -> None:
        """End the questions."""
        gevent.killall(self._greenlets, block=False)

    def view(self, entry: DatabaseEntry) -> DatabaseView:
        """Return what is known of a database; it counts as in use."""
        self._use(entry)
        stops = self._get_declarations().stops
        stopping = {s.zone for s in stops if s.ledger == entry.ledger}
        return DatabaseView(
            entry.name,
            tuple(self._store.view(m, stopping) for m in entry.members),
        )

    def begin_work(self, database: str) -> int:
        """Note that a request waits for a member of a database."""
        self._has_work.set()
        number = next(self._ids)
        self._in_work[number] = _InWork(database, self._clock.now())
        return number

    def end_work(self, number: int) -> None:
        """Note that a request has its answer."""
        del self._in_work[number]

    def changed_event(self, database: str) -> Event:
        """Return the event that the next change of primary sets."""
        changed = self._changed.get(database)
        if changed is None:
            changed = self._changed[database] = Event()
        return changed

    def wait_for_change(self, entry: DatabaseEntry, timeout_s: float) -> None:
        """Ask anew, then wait for a change of primary."""
        changed = self.changed_event(entry.name)
        self._asker.ask(m.name for m in entry.members)
        changed.wait(timeout_s)

    def on_digest(self, digest: MemberDigest, sent_at: float) -> None:
        """Take a digest that came with an answer."""
        if self._store.put(digest, sent_at):
            self._note_primary(digest)

    def on_unreachable(self, member: str) -> None:
        """Take note that a member's pooler did not answer."""
        self._store.drop_digest(member)

    def _use(self, entry: DatabaseEntry) -> None:
        now = self._clock.now()
        used = self._in_use.get(entry.name)
        if used is not None and used.entry is entry:
            used.used_at = now
            return
        self._in_use[entry.name] = _InUse(entry, now)
        for member in entry.members:
            self._database_of[member.name] = entry.name
        if used is None:
            self._asker.ask(m.name for m in entry.members)

    def _note_primary(self, digest: MemberDigest) -> None:
        if not digest.is_primary or not digest.is_reachable:
            return
        database = self._database_of.get(digest.member, '')
        used = self._in_use.get(database)
        if used is None or digest.term < used.term:
            return
        if used.primary == digest.member and used.term == digest.term:
            return
        used.primary = digest.member
        used.term = digest.term
        changed = self._changed.pop(database, None)
        if changed is not None:
            changed.set()

    def _watch_overdue(self) -> None:
        while True:
            self._has_work.wait()
            gevent.sleep(OVERDUE_TICK_S)
            if not self._in_work:
                self._has_work.clear()
            self._ask_overdue(self._clock.now() - OVERDUE_S)

    def _ask_overdue(self, since: float) -> None:
        overdue = {
            work.database
            for work in self._in_work.values()
            if work.began_at < since
        }
        for database in overdue:
            used = self._in_use.get(database)
            if used is not None:
                self._asker.ask(m.name for m in used.entry.members)

    def _refresh(self) -> None:
        while True:
            gevent.sleep(REFRESH_TICK_S)
            now = self._clock.now()
            self._forget_unused(now - USE_MEMORY_S)
            allowed = round(REFRESHES_PER_S * REFRESH_TICK_S)
            self._asker.ask(self._find_oldest(allowed, now - REFRESH_S))

    def _find_oldest(self, count: int, before: float) -> list[str]:
        seen = (
            (self._store.observed_at(member.name), member.name)
            for used in self._in_use.values()
            for member in used.entry.members
        )
        stale = (pair for pair in seen if pair[0] <= before)
        return [name for _, name in heapq.nsmallest(count, stale)]

    def _forget_unused(self, since: float) -> None:
        unused = [n for n, u in self._in_use.items() if u.used_at < since]
        for name in unused:
            used = self._in_use.pop(name)
            self._changed.pop(name, None)
            for member in used.entry.members:
                self._store.forget(member.name)
                self._database_of.pop(member.name, None)
