"""Membership decisions of one host."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.death_verifier import DeathVerifier
from trefoilpulley_core.membership.dissemination import Dissemination
from trefoilpulley_core.membership.failure_detector import FailureDetector
from trefoilpulley_core.membership.messages import ProbeReport
from trefoilpulley_core.membership.messages import Versions
from trefoilpulley_core.membership.outbox import Outbox
from trefoilpulley_core.membership.prober import Prober
from trefoilpulley_core.membership.reconciler import Reconciler
from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import HostState
from trefoilpulley_core.membership.table import MembershipTable
from trefoilpulley_core.membership.zone_watch import ZoneWatch

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from trefoilpulley_core.catalog import HostEntry
    from trefoilpulley_core.membership.commands import Command
    from trefoilpulley_core.membership.live_hosts import LiveHosts
    from trefoilpulley_core.membership.messages import Exchange
    from trefoilpulley_core.membership.messages import News
    from trefoilpulley_core.membership.messages import Probe
    from trefoilpulley_core.membership.messages import ProbeAnswer
    from trefoilpulley_core.membership.messages import ProbeForMe

TICK_INTERVAL_S = 0.2
"""Time between two ticks, in seconds."""

MIN_PROCESS_PAUSE_S = 0.6
"""Minimum gap between ticks that is taken as a process pause, in seconds."""

JOIN_INTERVAL_S = 0.5
"""Time between two attempts to join, in seconds."""

HOSTS_PER_JOIN_ATTEMPT = 2
"""Number of known hosts asked at each attempt, in addition to one seed."""

DEAD_HOST_REMOVAL_INTERVAL_S = 600.0
"""Time between two removals of dead hosts, in seconds."""


class Membership:
    """Membership of one host.

    Parameters
    ----------
    own_entry : HostEntry
        Entry of this host.
    incarnation : int
        Incarnation of this process; positive and higher at each start.
    seeds : Sequence[str]
        Names of hosts to ask if no list of hosts is available.
    rng : random.Random
        Source of every random choice.
    """

    def __init__(
        self,
        own_entry: HostEntry,
        incarnation: int,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        own = HostRecord(own_entry, incarnation, HostState.ALIVE)
        self._outbox = Outbox()
        self._table = MembershipTable(own_entry.region)
        self._dissemination = Dissemination(own, self._table, self._outbox)
        self._reconciler = Reconciler(
            self._dissemination,
            self._outbox,
            lambda news: self._verifier.learn(news),
        )
        self._prober = Prober(
            self._outbox, self._dissemination, self._reconciler
        )
        self._verifier = DeathVerifier(
            self._dissemination, self._prober, self._outbox
        )
        self._detector = FailureDetector(
            self._dissemination, self._prober, rng
        )
        self._zone_watch = ZoneWatch(self._dissemination, self._prober, rng)
        self._seeds = tuple(s for s in seeds if s != own_entry.name)
        self._rng = rng
        self._is_announced = False
        self._ticked_at: float | None = None
        self._next_join_at = 0.0
        self._next_removal_at = 0.0
        self._dissemination.announce(own)

    @property
    def live_hosts(self) -> LiveHosts:
        """Current view of the live hosts."""
        return self._table.live_hosts

    @property
    def own(self) -> HostRecord:
        """Record of this host."""
        return self._dissemination.own

    @property
    def is_relay(self) -> bool:
        """Whether this host exchanges news with the other zones."""
        return self._dissemination.relay_index is not None

    @property
    def suspected(self) -> tuple[str, ...]:
        """Hosts and zones whose suspicion is being checked."""
        return self._detector.suspected + self._zone_watch.suspected

    def find_host(self, host: str) -> HostRecord | None:
        """Return the record of a host, or ``None``."""
        return self._table.find_host(host)

    def find_entry(self, host: str) -> HostEntry | None:
        """Return the addresses of a host, or ``None``."""
        return self._table.find_entry(host)

    def records(self) -> News:
        """Return the records of all hosts and zones."""
        return self._table.records_of(())

    def set_versions(self, versions: Versions) -> None:
        """Set the revisions of the documents that this host holds."""
        self._prober.versions = versions

    def take_commands(self) -> tuple[Command, ...]:
        """Remove and return the pending commands, oldest first."""
        self._dissemination.flush()
        return self._outbox.take()

    def on_tick(self, now: float) -> None:
        """Run the periodic tasks that are due."""
        self._note_time(now)
        self._dissemination.on_tick()
        self._reconciler.on_tick(now)
        self._join(now)
        self._detector.on_tick(now)
        self._zone_watch.on_tick(now)
        if now >= self._next_removal_at:
            self._next_removal_at = now + DEAD_HOST_REMOVAL_INTERVAL_S
            self._table.remove_unlisted_dead()

    def on_host_list(self, entries: Iterable[HostEntry]) -> None:
        """Merge the platform's list of hosts into the table."""
        self._table.apply_list(entries)

    def on_answer(self, call_id: int, answer: Any, now: float) -> None:
        """Process the answer to a call."""
        self._note_time(now)
        pending = self._outbox.finish(call_id)
        if pending is not None:
            pending.on_answer(answer, now)

    def on_failure(self, call_id: int, now: float) -> None:
        """Process the failure of a call."""
        self._note_time(now)
        pending = self._outbox.finish(call_id)
        if pending is not None:
            pending.on_failure(now)

    def on_probe(self, probe: Probe, now: float) -> ProbeAnswer:
        """Return the answer to another host's probe."""
        return self._prober.on_probe(probe, now)

    def on_news(self, news: News, sender: str) -> None:
        """Merge the records that another host sent.

        Records from a host that is unknown or dead in this host's table are
        verified first.
        """
        record = self._table.find_host(sender)
        if record is None or record.state is HostState.DEAD:
            self._verifier.learn(news)
        else:
            self._dissemination.learn(news)

    def on_exchange(self, exchange: Exchange) -> News:
        """Merge a host's records and return this host's newer records."""
        return self._reconciler.on_exchange(exchange)

    def on_connection_lost(self, host: str, now: float) -> None:
        """Suspect a host whose connection broke."""
        self._note_time(now)
        self._detector.on_connection_lost(host, now)

    def on_probe_for_me(
        self, req: ProbeForMe, reply: Callable[[ProbeReport], None]
    ) -> None:
        """Probe a host on behalf of another host, then reply."""
        self._prober.send(
            req.host,
            lambda now: reply(ProbeReport(is_reachable=True)),
            lambda now: reply(ProbeReport(is_reachable=False)),
        )

    def on_leave(self) -> None:
        """Announce that this host accepts no new work."""
        self._dissemination.change_own(HostState.LEAVING)

    def _note_time(self, now: float) -> None:
        is_paused = (
            self._ticked_at is not None
            and now - self._ticked_at > MIN_PROCESS_PAUSE_S
        )
        self._ticked_at = now
        if is_paused:
            self._outbox.discard_calls()
            self._detector.on_process_resumed()
            self._zone_watch.on_process_resumed()
            self._reconciler.on_process_resumed()
            self._verifier.on_process_resumed()

    def _join(self, now: float) -> None:
        if self._reconciler.is_joined and not self._is_announced:
            self._is_announced = True
            self._dissemination.announce_own()
        if self._reconciler.is_joined or now < self._next_join_at:
            return
        self._next_join_at = now + JOIN_INTERVAL_S
        for host in self._hosts_to_ask():
            self._ask_to_join(host)

    def _ask_to_join(self, host: str) -> None:
        self._prober.send(
            host,
            lambda now: self._reconciler.join(host),
            lambda now: None,
        )

    def _hosts_to_ask(self) -> tuple[str, ...]:
        hosts = [
            r.entry.name
            for r in self.records().hosts
            if r.state is not HostState.DEAD and r != self.own
        ]
        sample = self._rng.sample(
            hosts, min(HOSTS_PER_JOIN_ATTEMPT, len(hosts))
        )
        seeds = self._rng.sample(self._seeds, min(1, len(self._seeds)))
        return (*sample, *seeds)
