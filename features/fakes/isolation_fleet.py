"""Hosts that detect a partition of their zone, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
import heapq
from itertools import count
import random
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.isolation import GroupContact
from trefoilpulley_core.direct.isolation import IsolationDetector
from trefoilpulley_core.direct.isolation import PROBE_TIMEOUT_S
from trefoilpulley_core.direct.isolation import SECOND_WAVE_DELAY_S
from trefoilpulley_node.direct.isolation_watch import TICK_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.direct.isolation import CheckResult
    from trefoilpulley_core.direct.isolation import ReachabilityCheck

LATENCY_S = 0.0014
"""One-way latency between zones, in seconds."""

RETRANSMISSION_S = 0.2
"""First retransmission timeout of TCP on an open connection, in seconds."""

CONNECT_RETRANSMISSION_S = 1.0
"""First retransmission timeout while a connection is opened, in seconds."""

CALL_TIMEOUT_S = 1.0
"""Timeout of the relayed statements, in seconds."""

LOSS_DETECTION_S = 0.4
"""Time to detect that a primary is lost, or answers again, in seconds."""

NEVER = float('inf')


@dataclass(frozen=True)
class Cut:
    """Time for which messages from some hosts to others are lost."""

    sources: frozenset[str]
    targets: frozenset[str]
    start: float
    end: float


class IsolationHost:
    """Host with callers and a detector."""

    def __init__(
        self, name: str, zone: str, fleet: IsolationFleet, rng: random.Random
    ) -> None:
        self.name = name
        self.zone = zone
        self.is_up = True
        self.paused_until = 0.0
        self.calls_per_s = 10.0
        """Calls to hosts of other zones."""

        self.heard: dict[str, float] = {}
        """Time of the last answer by zone."""

        self.results: list[CheckResult] = []
        self.changes: list[float] = []
        """Times at which the host has left the balancer or has returned."""

        self.detector = IsolationDetector(name, zone, rng, fleet.now)


class IsolationFleet:
    """Hosts of some zones with relayed statements between the zones.

    Messages on one connection arrive in order; a lost one is sent again after
    a time that doubles. Hosts see all hosts as live: the membership is late.

    Parameters
    ----------
    sizes : tuple[int, ...]
        Hosts of each zone.
    primaries : str
        Zones of the primaries, by their numbers.
    seed : int
        Seed of the traffic and of the losses.
    """

    def __init__(
        self, sizes: tuple[int, ...], primaries: str, seed: int
    ) -> None:
        self.now = 0.0
        self.loss = 0.0
        """Probability that a packet between zones is lost."""

        self.delay: dict[str, float] = {}
        """Processing time of the hosts of a zone, in seconds."""

        self.shares_isolation = True
        """Whether answers tell that a host counts itself as isolated."""

        self.lost_notices = 0.0
        self.notice_delay = 0.0
        self.sent = 0
        """Probes and notices that were sent."""

        self.cuts: list[Cut] = []
        self.primaries = [f'z{p}' for p in primaries]
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._delivered: dict[tuple[str, str], float] = {}
        zones = {
            f'z{z}h{h}': f'z{z}' for z, n in enumerate(sizes) for h in range(n)
        }
        self.zones = zones
        self.hosts: dict[str, IsolationHost] = {}
        for name in zones:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a host, or restart it without memory."""
        rng = random.Random(self._rng.random())
        host = IsolationHost(name, self.zones[name], self, rng)
        self.hosts[name] = host
        host.detector.set_hosts(self.zones)
        self._at(self._rng.uniform(0, 0.05), lambda: self._tick(host))
        self._at(self._rng.uniform(0, 0.1), lambda: self._call(host))

    def members(self, zone: str) -> list[IsolationHost]:
        """Return the hosts of a zone."""
        return [h for h in self.hosts.values() if h.zone == zone]

    def cut(
        self,
        names: set[str],
        delay_s: float,
        duration_s: float,
        direction: str = 'both',
    ) -> None:
        """Cut hosts from all others, from a delay on, for a duration."""
        inside = frozenset(names)
        others = frozenset(self.zones) - inside
        start = self.now + delay_s
        end = start + duration_s
        if direction != 'in':
            self.cuts.append(Cut(inside, others, start, end))
        if direction != 'out':
            self.cuts.append(Cut(others, inside, start, end))

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._events, entry)

    def _wake(self, host: IsolationHost, action: Callable[[], None]) -> None:
        """Run an action of a host, after its pause, unless it is down."""
        if self.hosts[host.name] is not host or not host.is_up:
            return
        if host.paused_until > self.now:
            delay_s = host.paused_until - self.now
            self._at(delay_s, lambda: self._wake(host, action))
        else:
            action()

    def _tick(self, host: IsolationHost) -> None:
        def act() -> None:
            self._begin(host)
            self._at(TICK_INTERVAL_S, lambda: self._tick(host))

        self._wake(host, act)

    def _begin(self, host: IsolationHost) -> None:
        check = host.detector.begin_check(self.zones, self.now)
        if check is not None:
            self._check(host, check)

    def _call(self, host: IsolationHost) -> None:
        """Relay a statement to another zone, and plan the next one."""
        if host.calls_per_s:
            gap_s = self._rng.expovariate(host.calls_per_s)
            others = [n for n, z in self.zones.items() if z != host.zone]
            target = self._rng.choice(others)
            self._wake(host, lambda: self._send(host, target, CALL_TIMEOUT_S))
        else:
            gap_s = 0.1
        if self.hosts[host.name] is host:
            self._at(gap_s, lambda: self._call(host))

    def _send(
        self,
        host: IsolationHost,
        target: str,
        timeout_s: float,
        on_answer: Callable[[], None] = lambda: None,
        is_new: bool = False,
    ) -> None:
        """Send a request; the detector is told of its end."""
        is_remote = host.detector.is_remote(target)
        started_at = self.now
        is_open = [True]
        if is_remote:
            host.detector.on_call(started_at)

        def end(is_answered: bool) -> None:
            if not is_open:
                return
            is_open.clear()
            if is_remote:
                host.detector.on_call_ended(started_at, is_answered, self.now)
            if is_answered:
                host.heard[self.zones[target]] = started_at
                on_answer()

        def serve() -> None:
            delay_s = self.delay.get(self.zones[target], 0.0)
            self._at(delay_s, reply)

        def reply() -> None:
            self._deliver(target, host.name, lambda: end(True), is_new)

        self._at(timeout_s, lambda: self._wake(host, lambda: end(False)))
        self._deliver(host.name, target, serve, is_new)

    def _deliver(
        self,
        source: str,
        target: str,
        action: Callable[[], None],
        is_new: bool,
    ) -> None:
        link = (source, target)
        arrives_at = self._arrival(link, is_new)
        if not is_new:
            arrives_at = max(arrives_at, self._delivered.get(link, 0.0))
            self._delivered[link] = arrives_at
        if arrives_at < NEVER:
            self._at(
                arrives_at - self.now,
                lambda: self._wake(self.hosts[target], action),
            )

    def _arrival(self, link: tuple[str, str], is_new: bool) -> float:
        source, target = link
        is_far = self.zones[source] != self.zones[target]
        timeout_s = CONNECT_RETRANSMISSION_S if is_new else RETRANSMISSION_S
        at = self.now
        while at < self.now + 60:
            is_cut = any(
                c.start <= at < c.end
                and source in c.sources
                and target in c.targets
                for c in self.cuts
            )
            is_lost = is_far and self._rng.random() < self.loss
            if not is_cut and not is_lost:
                return at + (LATENCY_S if is_far else LATENCY_S / 4)
            at += timeout_s
            timeout_s *= 2
        return NEVER

    def _check(self, host: IsolationHost, check: ReachabilityCheck) -> None:
        answered: set[str] = set()
        is_open = [True]

        def end() -> None:
            if not is_open:
                return
            is_open.clear()
            result = host.detector.end_check(
                check,
                answered,
                self.zones,
                self._groups(host),
                self.now,
                [
                    n
                    for n in answered
                    if self.shares_isolation
                    and self.hosts[n].detector.is_isolated
                ],
            )
            host.results.append(result)
            if result.is_changed:
                host.changes.append(self.now)
            for name in result.replace:
                self._delivered.pop((host.name, name), None)
                self._delivered.pop((name, host.name), None)

        def on_answer(name: str) -> None:
            answered.add(name)
            if name in check.all_remote:
                end()

        def probe(names: tuple[str, ...], is_new: bool = False) -> None:
            for name in names:
                self.sent += 1
                self._send(
                    host,
                    name,
                    PROBE_TIMEOUT_S,
                    lambda name=name: on_answer(name),
                    is_new,
                )

        def extend() -> None:
            if not is_open:
                return
            for name in host.detector.choose_notified(
                check, answered, self.zones, self.now
            ):
                self._notify(host, name)
            probe(check.second)
            probe(check.redialled, is_new=True)

        probe(check.remote, check.is_dialled)
        probe(check.local)
        self._at(SECOND_WAVE_DELAY_S, lambda: self._wake(host, extend))
        self._at(PROBE_TIMEOUT_S, lambda: self._wake(host, end))

    def _notify(self, host: IsolationHost, name: str) -> None:
        self.sent += 1
        if self._rng.random() < self.lost_notices:
            return
        target = self.hosts[name]

        def receive() -> None:
            target.detector.on_notice(self.now)
            self._begin(target)

        self._at(
            self.notice_delay,
            lambda: self._deliver(host.name, name, receive, False),
        )

    def _groups(self, host: IsolationHost) -> list[GroupContact]:
        return [
            GroupContact(
                zone, self._is_lost(host, zone), host.heard.get(zone, -NEVER)
            )
            for zone in self.primaries
        ]

    def _is_lost(self, host: IsolationHost, zone: str) -> bool:
        """Return whether a primary is lost, which is detected late."""
        if not any(h.is_up for h in self.members(zone)):
            return True
        at = self.now - LOSS_DETECTION_S
        return zone != host.zone and any(
            c.start <= at < c.end
            and (host.name in c.sources or host.name in c.targets)
            for c in self.cuts
        )
