"""What an entry host knows of the members that its callers use."""

from __future__ import annotations

from dataclasses import dataclass
import heapq
import itertools
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from returns.result import Success

from trefoilpulley_core.catalog import Presence
from trefoilpulley_core.peer import Digests
from trefoilpulley_core.peer import GetDigest
from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_core.routing import MemberView

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.peer import MemberDigest
    from trefoilpulley_node.peers import Peers

TICK_S = 0.05
"""Time between two looks at what must be asked."""

OVERDUE_S = 0.2
"""Time in work after which a request's database is asked anew."""

REFRESH_S = 0.25
"""Age of a digest at which it may be asked for anew."""

REFRESHES_PER_S = 20.0
"""Digests that a host asks for a second, whatever its callers use."""

USE_MEMORY_S = 30.0
"""Time after its last request for which a database counts as in use."""

DIGEST_TIMEOUT_S = 0.5
"""Longest wait for digests."""

INITIAL_ROUND_TRIP_MS = 10.0
"""Round trip assumed before the first is seen, in milliseconds."""

_SMOOTHING = 0.2


@dataclass(eq=False, slots=True)
class _Known:
    digest: MemberDigest | None = None
    observed_at: float = float('-inf')
    round_trip_ms: float = INITIAL_ROUND_TRIP_MS


@dataclass(eq=False, slots=True)
class _InUse:
    entry: DatabaseEntry
    used_at: float
    primary: str = ''
    term: int = 0


class Views:
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
        self._peers = peers
        self._get_declarations = get_declarations
        self._known: dict[str, _Known] = {}
        self._in_use: dict[str, _InUse] = {}
        self._database_of: dict[str, str] = {}
        self._changed: dict[str, Event] = {}
        self._asking: set[str] = set()
        self._in_work: dict[int, tuple[str, float]] = {}
        self._ids = itertools.count(1)
        self._allowance = 0.0
        self._ticked_at = clock.now()
        self._greenlet: gevent.Greenlet | None = None

    @property
    def databases_in_use(self) -> int:
        """Number of databases that callers have used of late."""
        return len(self._in_use)

    def start(self) -> None:
        """Begin to keep the digests fresh."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the questions."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def view(self, entry: DatabaseEntry) -> DatabaseView:
        """Return what is known of a database; it counts as in use."""
        self._use(entry)
        stops = self._get_declarations().stops
        stopping = {s.zone for s in stops if s.ledger == entry.ledger}
        return DatabaseView(
            entry.name,
            tuple(self._member_view(m, stopping) for m in entry.members),
        )

    def begin_work(self, database: str) -> int:
        """Note that a request waits for a member of a database."""
        number = next(self._ids)
        self._in_work[number] = (database, self._clock.now())
        return number

    def end_work(self, number: int) -> None:
        """Note that a request has its answer."""
        del self._in_work[number]

    def changed_event(self, database: str) -> Event:
        """Return the event that the next change of primary sets."""
        return self._changed.setdefault(database, Event())

    def wait_for_change(self, entry: DatabaseEntry, timeout_s: float) -> None:
        """Ask anew, then wait for a change of primary."""
        changed = self.changed_event(entry.name)
        self._ask([m.name for m in entry.members])
        changed.wait(timeout_s)

    def on_digest(self, digest: MemberDigest, sent_at: float) -> None:
        """Take a digest that came with an answer."""
        known = self._known.setdefault(digest.member, _Known())
        if sent_at < known.observed_at:
            return
        known.digest = digest
        known.observed_at = sent_at
        self._note_primary(digest)

    def on_unreachable(self, member: str) -> None:
        """Take note that a member's pooler did not answer."""
        known = self._known.get(member)
        if known is not None:
            known.digest = None
            known.observed_at = float('-inf')

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
            self._ask([m.name for m in entry.members])

    def _member_view(
        self, member: MemberEntry, stopping: set[str]
    ) -> MemberView:
        known = self._known.get(member.name) or _Known()
        return MemberView(
            member.name,
            member.zone,
            known.digest,
            known.observed_at,
            known.round_trip_ms,
            member.presence is Presence.LEAVING or member.zone in stopping,
        )

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

    def _run(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self._tick()

    def _tick(self) -> None:
        now = self._clock.now()
        earned = (now - self._ticked_at) * REFRESHES_PER_S
        self._allowance = min(REFRESHES_PER_S, self._allowance + earned)
        self._ticked_at = now
        self._ask_overdue(now)
        self._ask_oldest(now)

    def _ask_overdue(self, now: float) -> None:
        overdue = {
            database
            for database, began_at in self._in_work.values()
            if now - began_at > OVERDUE_S
        }
        for database in overdue:
            used = self._in_use.get(database)
            if used is not None:
                self._ask([m.name for m in used.entry.members])

    def _ask_oldest(self, now: float) -> None:
        stale = []
        for name, used in list(self._in_use.items()):
            if now - used.used_at > USE_MEMORY_S:
                self._forget(name, used)
                continue
            for member in used.entry.members:
                observed_at = self._observed_at(member.name)
                if now - observed_at >= REFRESH_S:
                    stale.append((observed_at, member.name))
        allowed = int(self._allowance)
        chosen = [m for _, m in heapq.nsmallest(allowed, stale)]
        self._allowance -= len(chosen)
        self._ask(chosen)

    def _observed_at(self, member: str) -> float:
        known = self._known.get(member)
        return float('-inf') if known is None else known.observed_at

    def _forget(self, name: str, used: _InUse) -> None:
        del self._in_use[name]
        self._changed.pop(name, None)
        for member in used.entry.members:
            self._known.pop(member.name, None)
            self._database_of.pop(member.name, None)

    def _ask(self, members: list[str]) -> None:
        by_host: dict[str, list[str]] = {}
        for member in members:
            host = self._peers.find_pooler(member)
            if host is not None and host not in self._asking:
                by_host.setdefault(host, []).append(member)
        for host, names in by_host.items():
            self._asking.add(host)
            gevent.spawn(self._ask_host, host, tuple(names))

    def _ask_host(self, host: str, members: tuple[str, ...]) -> None:
        sent_at = self._clock.now()
        try:
            reply = self._peers.call_host(
                host, GetDigest(members), DIGEST_TIMEOUT_S
            )
        finally:
            self._asking.discard(host)
        if not isinstance(reply, Success):
            return
        digests = reply.unwrap()
        if not isinstance(digests, Digests):
            return
        round_trip_ms = 1000 * (self._clock.now() - sent_at)
        for digest in digests.digests:
            self.on_digest(digest, sent_at)
            known = self._known[digest.member]
            delta = round_trip_ms - known.round_trip_ms
            known.round_trip_ms += _SMOOTHING * delta
