"""Simulation of a cluster with the events of a trace or a schedule."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
import random
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.catalog import Presence
from trefoilpulley_core.declarations import PlannedStop
from trefoilpulley_standins.explore_cluster import ModelCluster
from trefoilpulley_standins.explore_host import ModelHost

if TYPE_CHECKING:
    from collections.abc import Callable

_UNUSED_ENDPOINT = Endpoint('127.0.0.1', 1)


@dataclass(frozen=True, slots=True)
class Step:
    """Event of a trace or a schedule."""

    time: float
    """Virtual time of the event, in seconds."""

    event: str
    """Kind of the event, such as ``member-down``."""

    parties: tuple[str, ...] = ()
    """Members, zones or hosts that the event affects."""


class ClusterSimulation:
    """Model cluster with its hosts, and the events that affect them.

    Parameters
    ----------
    zones : tuple[str, ...]
        Availability zones.
    one_way_delay_s : float
        One-way delay between two zones, in seconds.
    seed : int
        Seed of the random delays.
    host_count : int
        Number of hosts, distributed over the zones.
    lag_s : float
        Additional replication lag, in seconds.
    write_interval_s : float
        Time between two writes of the callers, in seconds.
    """

    def __init__(
        self,
        zones: tuple[str, ...],
        one_way_delay_s: float,
        seed: int,
        host_count: int = 7,
        lag_s: float = 0.0,
        write_interval_s: float = 0.01,
    ) -> None:
        rng = random.Random(seed)
        self.zones = zones
        """Availability zones."""

        self.cluster = ModelCluster(
            zones, one_way_delay_s, rng, lag_s, write_interval_s
        )
        """Members, platform service and links."""

        self.hosts = [
            ModelHost(f'h{i}', zones[i % len(zones)], self.cluster)
            for i in range(host_count)
        ]
        """Hosts, including stopped hosts."""

        self._update_live_hosts()
        for host in self.hosts:
            host.start()
        self.cluster.start_traffic()

    @property
    def acting_hosts(self) -> list[ModelHost]:
        """Hosts that currently coordinate a shard."""
        return [h for h in self.hosts if h.is_acting]

    def schedule(self, step: Step) -> None:
        """Schedule an event at its virtual time."""
        self.cluster.call_at(step.time, lambda: self.apply_event(step))

    def apply_event(self, step: Step) -> None:
        """Apply an event now."""
        _EVENTS[step.event](self, step.parties)

    def heal(self) -> None:
        """End every fault."""
        cluster = self.cluster
        cluster.cut_links.clear()
        cluster.isolated.clear()
        cluster.cut_from_pooler.clear()
        cluster.cut_from_service.clear()
        cluster.service.is_up = True
        cluster.service.is_losing_answers = False
        cluster.service.delay_s = 0.002
        for member in cluster.members.values():
            member.is_up = True

    def find_host(self, name: str) -> ModelHost | None:
        """Return a host by name; ``acting`` is a host that coordinates."""
        if name == 'acting':
            return next(iter(self.acting_hosts), None)
        return next(h for h in self.hosts if h.name == name)

    def find_member(self, name: str) -> str:
        """Return a member's name; ``primary`` is the current primary."""
        leader = self.cluster.leader()
        if name == 'primary' and leader is not None:
            return leader.name
        if name == 'primary':
            return self.cluster.entry.members[0].name
        return name

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the other zones and the platform service."""
        for other in self.zones:
            if other != zone:
                self.cluster.cut_links.add(frozenset((zone, other)))
        self.cluster.cut_from_service.add(zone)

    def reconnect_zone(self, zone: str) -> None:
        """Restore the links of a zone."""
        kept = {pair for pair in self.cluster.cut_links if zone not in pair}
        self.cluster.cut_links = kept
        self.cluster.cut_from_service.discard(zone)

    def kill_host(self, host: ModelHost | None) -> None:
        """Stop a host's process; the live hosts change after a second."""
        if host is None:
            return
        host.is_up = False
        self.cluster.call_later(1.0, self._update_live_hosts)

    def set_presence(self, name: str, presence: Presence) -> None:
        """Change a member's presence in the platform's member list."""
        members = tuple(
            replace(m, presence=presence) if m.name == name else m
            for m in self.cluster.entry.members
        )
        self.cluster.entry = replace(self.cluster.entry, members=members)

    def plan_stop(self, zone: str) -> None:
        """Declare a planned stop of a zone."""
        stop = PlannedStop(f'stop-{zone}', self.cluster.entry.ledger, zone)
        stops = (*self.cluster.declarations.stops, stop)
        declared = replace(self.cluster.declarations, stops=stops)
        self.cluster.declarations = declared

    def cancel_stop(self, zone: str) -> None:
        """Withdraw the planned stops of a zone."""
        stops = self.cluster.declarations.stops
        kept = tuple(s for s in stops if s.zone != zone)
        declared = replace(self.cluster.declarations, stops=kept)
        self.cluster.declarations = declared

    def _update_live_hosts(self) -> None:
        self.cluster.live_hosts = tuple(
            HostEntry(
                h.name, 'region', h.zone, _UNUSED_ENDPOINT, _UNUSED_ENDPOINT
            )
            for h in self.hosts
            if h.is_up
        )


def _member_down(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.members[
        simulation.find_member(parties[0])
    ].is_up = False


def _member_up(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.members[simulation.find_member(parties[0])].is_up = True


def _member_isolated(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.isolated.add(simulation.find_member(parties[0]))


def _member_joined(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.isolated.discard(parties[0])


def _member_unpooled(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.cut_from_pooler.add(simulation.find_member(parties[0]))


def _member_pooled(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.cut_from_pooler.discard(parties[0])


def _member_leaving(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.set_presence(
        simulation.find_member(parties[0]), Presence.LEAVING
    )


def _member_staying(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.set_presence(parties[0], Presence.LIVE)


def _zone_cut(simulation: ClusterSimulation, parties: tuple[str, ...]) -> None:
    simulation.cut_zone(parties[0])


def _zone_joined(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.reconnect_zone(parties[0])


def _link_cut(simulation: ClusterSimulation, parties: tuple[str, ...]) -> None:
    simulation.cluster.cut_links.add(frozenset(parties))


def _link_joined(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.cut_links.discard(frozenset(parties))


def _service_down(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.service.is_up = False


def _service_slow(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.service.delay_s = 0.8


def _service_silent(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.service.is_losing_answers = True


def _service_up(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cluster.service.is_up = True
    simulation.cluster.service.is_losing_answers = False
    simulation.cluster.service.delay_s = 0.002


def _host_paused(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    host = simulation.find_host(parties[0])
    if host is not None:
        host.pause(float(parties[1]))


def _host_down(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.kill_host(simulation.find_host(parties[0]))


def _stop_planned(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.plan_stop(parties[0])


def _stop_cancelled(
    simulation: ClusterSimulation, parties: tuple[str, ...]
) -> None:
    simulation.cancel_stop(parties[0])


def _healed(simulation: ClusterSimulation, parties: tuple[str, ...]) -> None:
    simulation.heal()


_EVENTS: dict[str, Callable[[ClusterSimulation, tuple[str, ...]], None]] = {
    'member-down': _member_down,
    'member-up': _member_up,
    'member-isolated': _member_isolated,
    'member-joined': _member_joined,
    'member-unpooled': _member_unpooled,
    'member-pooled': _member_pooled,
    'member-leaving': _member_leaving,
    'member-staying': _member_staying,
    'zone-cut': _zone_cut,
    'zone-joined': _zone_joined,
    'link-cut': _link_cut,
    'link-joined': _link_joined,
    'service-down': _service_down,
    'service-slow': _service_slow,
    'service-silent': _service_silent,
    'service-up': _service_up,
    'host-paused': _host_paused,
    'host-down': _host_down,
    'stop-planned': _stop_planned,
    'stop-cancelled': _stop_cancelled,
    'healed': _healed,
}
