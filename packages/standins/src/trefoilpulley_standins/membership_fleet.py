"""Simulates the membership of many hosts on one virtual clock."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
import heapq
from itertools import count
import random
import time
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.membership.commands import Call
from trefoilpulley_core.membership.commands import Tell
from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.membership.membership import TICK_INTERVAL_S
from trefoilpulley_core.membership.messages import Exchange
from trefoilpulley_core.membership.messages import Probe
from trefoilpulley_core.membership.messages import ProbeForMe
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

INTRA_ZONE_DELAY_S = 0.0005
"""One-way delay within an availability zone, in seconds."""

INTER_ZONE_DELAY_S = 0.005
"""One-way delay between availability zones, in seconds."""

FRAME_OVERHEAD_BYTES = 60
"""Size of the WebSocket, TCP and IP headers of a small message."""


@dataclass
class Traffic:
    """Traffic and processor time of one host."""

    messages: int = 0
    """Number of messages sent, including answers."""

    bytes_sent: int = 0
    """Bytes sent, including the headers."""

    cpu_s: float = 0.0
    """Processor time of the decisions and the codec, in seconds."""


@dataclass
class FleetHost:
    """Host of a simulated fleet."""

    entry: HostEntry
    """Catalog entry of the host."""

    membership: Membership
    """Membership decisions of the host."""

    is_up: bool = True
    """Whether the host's process is running."""

    paused_until: float = 0.0
    """Virtual time until which the process is paused, in seconds."""

    traffic: Traffic = field(default_factory=Traffic)
    """Traffic and processor time of the host."""

    @property
    def live(self) -> frozenset[str]:
        """Names of the hosts that this host regards as live."""
        zones = self.membership.live_hosts.zones
        return frozenset(h for zone in zones for h in zone.hosts)


class Fleet:
    """Simulates hosts and links on a virtual clock in one process.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    is_measuring : bool
        Whether to encode messages to measure their bytes and time.
    make_membership : Callable[..., Membership]
        Factory of a host's membership decisions.
    """

    def __init__(
        self,
        seed: int = 0,
        is_measuring: bool = False,
        make_membership: Callable[..., Membership] = Membership,
    ) -> None:
        self.now = 0.0
        """Current virtual time, in seconds."""

        self.hosts: dict[str, FleetHost] = {}
        """Hosts by name, including stopped hosts."""

        self.cuts: set[frozenset[str]] = set()
        """Pairs of zones or of hosts whose link is cut."""

        self._rng = random.Random(seed)
        self.is_measuring = is_measuring
        """Whether messages are encoded to measure their bytes and time."""

        self._make_membership = make_membership
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._incarnations = count(1)

    def add(
        self,
        name: str,
        zone: str,
        region: str = 'region',
        listed: Sequence[HostEntry] = (),
        seeds: Sequence[str] = (),
    ) -> FleetHost:
        """Start a host, or restart a host under the same name."""
        entry = make_entry(name, zone, region)
        rng = random.Random(self._rng.random())
        incarnation = next(self._incarnations)
        membership = self._make_membership(entry, incarnation, seeds, rng)
        host = self.hosts[name] = FleetHost(entry, membership)
        membership.on_host_list(listed)
        phase = self._rng.uniform(0, TICK_INTERVAL_S)
        self.call_at(self.now + phase, lambda: self._tick(host))
        return host

    def run(self, duration_s: float) -> None:
        """Advance the virtual time and run all actions that are due."""
        end = self.now + duration_s
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> float | None:
        """Run until a condition holds.

        Parameters
        ----------
        condition : Callable[[], bool]
            Condition, checked every 10 ms of virtual time.
        limit_s : float
            Longest virtual time to wait, in seconds.

        Returns
        -------
        float | None
            Time until the condition held, in seconds; ``None`` if it did
            not hold within the limit.
        """
        start = self.now
        while self.now - start < limit_s:
            if condition():
                return self.now - start
            self.run(0.01)
        return None

    def stop(self, name: str) -> None:
        """Stop a host without notifying the other hosts."""
        self.hosts[name].is_up = False

    def pause(self, name: str, duration_s: float) -> None:
        """Pause a host's process."""
        self.hosts[name].paused_until = self.now + duration_s

    def cut_link(self, one: str, other: str) -> None:
        """Cut the link between two zones or two hosts."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Restore all links."""
        self.cuts.clear()

    def reset_traffic(self) -> None:
        """Reset the traffic counters of all hosts."""
        for host in self.hosts.values():
            host.traffic = Traffic()

    def running_host_traffic(self) -> dict[str, Traffic]:
        """Return the traffic of each running host, by name."""
        return {n: h.traffic for n, h in self.hosts.items() if h.is_up}

    def run_action(self, host: FleetHost, action: Callable[[], Any]) -> Any:
        """Run an action of a host and execute the resulting commands."""
        started = time.process_time() if self.is_measuring else 0.0
        result = action()
        commands = host.membership.take_commands()
        for command in commands:
            self.execute_command(host, command)
        if self.is_measuring:
            host.traffic.cpu_s += time.process_time() - started
        return result

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def _tick(self, host: FleetHost) -> None:
        if not host.is_up:
            return
        if host.paused_until > self.now:
            self.call_at(host.paused_until, lambda: self._tick(host))
            return
        self.run_action(host, lambda: self.tick(host))
        self.call_at(self.now + TICK_INTERVAL_S, lambda: self._tick(host))

    def tick(self, host: FleetHost) -> None:
        """Run a host's periodic tick."""
        host.membership.on_tick(self.now)

    def execute_command(self, host: FleetHost, command: Any) -> None:
        """Execute a command of a host."""
        if isinstance(command, Call):
            self.call(
                host,
                command,
                lambda answer: host.membership.on_answer(
                    command.call_id, answer, self.now
                ),
                lambda: host.membership.on_failure(command.call_id, self.now),
            )
        elif isinstance(command, Tell):
            self.send(
                host,
                command.host,
                command.message,
                lambda target, news: target.membership.on_news(
                    news, host.entry.name
                ),
            )

    def call(
        self,
        host: FleetHost,
        call: Call,
        on_answer: Callable[[Any], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Send a request and call back with the answer or at the timeout."""
        finished: list[bool] = []

        def finish(action: Callable[[], None]) -> None:
            if not finished:
                finished.append(True)
                self.run_when_awake(host, action)

        def reply(target: FleetHost, answer: Any) -> None:
            self.send(
                target,
                host.entry.name,
                answer,
                lambda asker, message: finish(lambda: on_answer(message)),
            )

        self.send(
            host,
            call.host,
            call.message,
            lambda target, message: self.serve(target, message, reply),
        )
        self.call_at(self.now + call.timeout_s, lambda: finish(on_failure))

    def serve(
        self,
        host: FleetHost,
        message: Any,
        reply: Callable[[FleetHost, Any], None],
    ) -> None:
        """Let a host answer a request."""
        if isinstance(message, Probe):
            reply(host, host.membership.on_probe(message, self.now))
        elif isinstance(message, Exchange):
            reply(host, host.membership.on_exchange(message))
        elif isinstance(message, ProbeForMe):
            host.membership.on_probe_for_me(
                message, lambda report: reply(host, report)
            )

    def send(
        self,
        sender: FleetHost,
        name: str,
        message: Any,
        deliver: Callable[[FleetHost, Any], None],
    ) -> None:
        """Send a message; a cut link or a stopped host loses the message."""
        self._count_message(sender, message)
        target = self.hosts.get(name)
        if target is None or self._is_cut(sender.entry, target.entry):
            return
        is_same_zone = sender.entry.zone == target.entry.zone
        delay_s = INTRA_ZONE_DELAY_S if is_same_zone else INTER_ZONE_DELAY_S
        self.call_at(
            self.now + delay_s,
            lambda: self.run_when_awake(
                target, lambda: deliver(target, message)
            ),
        )

    def run_when_awake(
        self, host: FleetHost, action: Callable[[], None]
    ) -> None:
        """Run an action of a host now, or at the end of the host's pause."""
        if not host.is_up:
            return
        if host.paused_until > self.now:
            self.call_at(
                host.paused_until, lambda: self.run_when_awake(host, action)
            )
            return
        self.run_action(host, action)

    def _is_cut(self, one: HostEntry, other: HostEntry) -> bool:
        return (
            frozenset((one.zone, other.zone)) in self.cuts
            or frozenset((one.name, other.name)) in self.cuts
        )

    def _count_message(self, sender: FleetHost, message: Any) -> None:
        if not self.is_measuring:
            return
        data = PEER_CODEC.encode(1, message)
        PEER_CODEC.decode(data)
        sender.traffic.messages += 1
        sender.traffic.bytes_sent += len(data) + FRAME_OVERHEAD_BYTES


def make_entry(name: str, zone: str, region: str = 'region') -> HostEntry:
    """Return the catalog entry of a simulated host."""
    return HostEntry(
        name,
        region,
        zone,
        Endpoint('10.0.0.1', 7000),
        Endpoint('10.0.0.1', 7001),
    )


def make_entries(
    zones: int, hosts: int, regions: int = 1
) -> tuple[HostEntry, ...]:
    """Return the catalog entries of a fleet with zones of equal size."""
    return tuple(
        make_entry(f'z{z}-h{h}', f'z{z}', f'r{z % regions}')
        for z in range(zones)
        for h in range(hosts)
    )
