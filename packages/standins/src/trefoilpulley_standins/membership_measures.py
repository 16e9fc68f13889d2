"""What membership and the spread of documents cost and how long they take."""

from __future__ import annotations

from dataclasses import dataclass
import math
import statistics
import tracemalloc
from typing import TYPE_CHECKING

from trefoilpulley_core.configuration.document import encode_configuration
from trefoilpulley_core.configuration.messages import Document
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.messages import make_document
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.declarations import Grant
from trefoilpulley_core.declarations import Tenant
from trefoilpulley_core.membership.table import MembershipTable
from trefoilpulley_standins.document_fleet import DocumentFleet
from trefoilpulley_standins.membership_fleet import make_entries

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

SETTLE_DURATION_S = 12.0
"""Time from the start until a fleet is quiet, in seconds."""

IDLE_DURATION_S = 20.0
"""Time over which a quiet fleet is measured, in seconds."""

EVENT_TIMEOUT_S = 30.0
"""Longest wait for a change to be seen, in seconds."""

ZONES_PER_REGION = 4
"""Availability zones of one region."""

TENANT_COUNT = 100
"""Tenants in the measured declarations."""


@dataclass(frozen=True, slots=True)
class QuietCost:
    """Cost of a quiet host, a second."""

    hosts: int
    """Hosts of each zone."""

    zones: int
    """Availability zones."""

    zones_in_region: int
    """Most zones of one region."""

    messages_mean: float
    """Messages sent."""

    messages_most: float
    """Messages sent by the busiest host."""

    bytes_mean: float
    """Bytes sent."""

    bytes_most: float
    """Bytes sent by the busiest host."""

    core_percent_mean: float
    """Processor time, in percent of a core."""

    core_percent_most: float
    """Processor time of the busiest host."""

    service_calls_a_zone: float
    """Calls to the platform's service of one zone."""


@dataclass(frozen=True, slots=True)
class Spread:
    """Times until a change is in force, or seen, in seconds."""

    hosts: int
    """Hosts of each zone."""

    zones: int
    """Availability zones."""

    median_s: float
    """Median."""

    worst_s: float
    """Worst."""

    runs: int
    """Runs."""


@dataclass(frozen=True, slots=True)
class EventCost:
    """Cost of one event to the other hosts, above their quiet cost."""

    event: str
    """What happened."""

    bytes_mean: float
    """Bytes sent by each other host."""

    bytes_most: float
    """Bytes sent by the busiest host."""


@dataclass(frozen=True, slots=True)
class TableSize:
    """Memory of one host's table."""

    known_hosts: int
    """Hosts in the table."""

    bytes_in_use: int
    """Memory in bytes."""


@dataclass(frozen=True, slots=True)
class Slope:
    """Straight line through measured points."""

    figure: str
    """What is measured, against what."""

    slope: float
    """Change for one more."""

    intercept: float
    """Value at none."""


def make_fleet(zones: int, hosts: int, seed: int = 1) -> DocumentFleet:
    """Start a fleet of equal zones and let it settle."""
    fleet = DocumentFleet(seed)
    entries = make_entries(zones, hosts, count_regions(zones))
    for entry in entries:
        fleet.add(entry.name, entry.zone, entry.region, entries)
    fleet.run(SETTLE_DURATION_S)
    return fleet


def count_regions(zones: int) -> int:
    """Return the regions over which some zones are spread."""
    return max(1, zones // ZONES_PER_REGION)


def make_configuration(revision: int) -> Document:
    """Return declarations of a hundred tenants."""
    grants = (Grant('ledger', ('filing', 'lookup', 'booking')),)
    tenants = tuple(Tenant(f'tenant-{n}', grants) for n in range(TENANT_COUNT))
    value = Configuration(
        revision, f'change-{revision}', Declarations((), tenants)
    )
    return make_document(
        DocumentKind.CONFIGURATION, revision, encode_configuration(value)
    )


def measure_idle_cost(zones: int, hosts: int) -> QuietCost:
    """Measure a fleet in which nothing happens."""
    fleet = make_fleet(zones, hosts)
    fleet.is_measuring = True
    fleet.reset_traffic()
    fleet.service.calls.clear()
    fleet.run(IDLE_DURATION_S)
    traffic = [h.traffic for h in fleet.hosts.values()]
    messages = [t.messages / IDLE_DURATION_S for t in traffic]
    bytes_sent_per_s = [t.bytes_sent / IDLE_DURATION_S for t in traffic]
    cpu_percent = [100 * t.cpu_s / IDLE_DURATION_S for t in traffic]
    return QuietCost(
        hosts,
        zones,
        math.ceil(zones / count_regions(zones)),
        statistics.mean(messages),
        max(messages),
        statistics.mean(bytes_sent_per_s),
        max(bytes_sent_per_s),
        statistics.mean(cpu_percent),
        max(cpu_percent),
        fleet.service.calls.total() / IDLE_DURATION_S / zones,
    )


def measure_dissemination(zones: int, hosts: int, runs: int) -> Spread:
    """Measure how long a configuration takes to every host."""
    fleet = make_fleet(zones, hosts)
    times = []
    for revision in range(1, runs + 1):
        fleet.run(1.37)
        fleet.publish(make_configuration(revision))
        times.append(
            fleet.run_until(
                lambda r=revision: _is_in_force(fleet, r), EVENT_TIMEOUT_S
            )
        )
    return _summarize(zones, hosts, times)


def measure_crash_detection(zones: int, hosts: int, runs: int) -> Spread:
    """Measure how long a zone takes to notice a silent host."""
    return _measure_events(zones, hosts, runs, _time_crash_detection)


def measure_zone_loss(zones: int, hosts: int, runs: int) -> Spread:
    """Measure how long a region takes to notice a lost zone."""
    return _measure_events(zones, hosts, runs, _time_zone_loss)


def measure_leave(zones: int, hosts: int, runs: int) -> Spread:
    """Measure how long every host takes to see one leave."""
    return _measure_events(zones, hosts, runs, _time_leave)


def measure_event(
    event: str, run_action: Callable[[DocumentFleet], None]
) -> EventCost:
    """Measure what an event costs the other hosts of a large fleet."""
    zones, hosts, duration_s = 7, 62, 10.0
    fleet = make_fleet(zones, hosts)
    fleet.is_measuring = True
    fleet.reset_traffic()
    fleet.run(duration_s)
    idle = fleet.running_host_traffic()
    fleet.reset_traffic()
    run_action(fleet)
    fleet.run(duration_s)
    after_event = fleet.running_host_traffic()
    extra = [
        after_event[name].bytes_sent - idle[name].bytes_sent
        for name in after_event
        if name in idle
    ]
    return EventCost(event, statistics.mean(extra), max(extra))


def measure_memory(hosts_per_zone: int) -> TableSize:
    """Measure the table of a host that knows 26 zones."""
    tracemalloc.start()
    table = MembershipTable('r0')
    table.apply_list(make_entries(26, hosts_per_zone, 7))
    assert table.live_hosts.zones
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return TableSize(26 * hosts_per_zone, size)


def fit_line(figure: str, xs: Sequence[float], ys: Sequence[float]) -> Slope:
    """Fit a straight line."""
    line = statistics.linear_regression(xs, ys)
    return Slope(figure, line.slope, line.intercept)


def _is_in_force(fleet: DocumentFleet, revision: int) -> bool:
    held = fleet.revisions(DocumentKind.CONFIGURATION).values()
    return all(r == revision for r in held)


def _measure_events(
    zones: int,
    hosts: int,
    runs: int,
    time_event: Callable[[DocumentFleet], float | None],
) -> Spread:
    times = []
    for seed in range(runs):
        fleet = make_fleet(zones, hosts, seed)
        fleet.run(seed * 0.071)
        times.append(time_event(fleet))
    return _summarize(zones, hosts, times)


def _time_crash_detection(fleet: DocumentFleet) -> float | None:
    fleet.stop('z0-h1')
    return fleet.run_until(
        lambda: _is_removed(fleet, 'z0-h1', 'z0'), EVENT_TIMEOUT_S
    )


def _time_leave(fleet: DocumentFleet) -> float | None:
    host = fleet.hosts['z0-h1']
    fleet.run_action(host, host.membership.on_leave)
    return fleet.run_until(
        lambda: _is_removed(fleet, 'z0-h1', ''), EVENT_TIMEOUT_S
    )


def _time_zone_loss(fleet: DocumentFleet) -> float | None:
    stop_zone(fleet)
    return fleet.run_until(
        lambda: (
            not any(
                name.startswith('z0-')
                for host in fleet.hosts.values()
                if host.is_up
                for name in host.live
            )
        ),
        EVENT_TIMEOUT_S,
    )


def stop_zone(fleet: DocumentFleet) -> None:
    """Kill every host of the first zone."""
    for name, host in fleet.hosts.items():
        if host.entry.zone == 'z0':
            fleet.stop(name)


def stop_host(fleet: DocumentFleet) -> None:
    """Kill one host of the first zone."""
    fleet.stop('z0-h1')


def replace_host(fleet: DocumentFleet) -> None:
    """Let one host leave and start another in its place."""
    host = fleet.hosts['z0-h1']
    fleet.run_action(host, host.membership.on_leave)
    entries = tuple(h.entry for h in fleet.hosts.values())
    fleet.add('z0-new', 'z0', 'r0', entries)
    fleet.stop('z0-h1')


def change_configuration(fleet: DocumentFleet) -> None:
    """Write new declarations."""
    fleet.publish(make_configuration(1))


def _is_removed(fleet: DocumentFleet, name: str, zone: str) -> bool:
    return all(
        name not in host.live
        for host in fleet.hosts.values()
        if host.is_up and host.entry.zone.startswith(zone)
    )


def _summarize(
    zones: int, hosts: int, times: Sequence[float | None]
) -> Spread:
    delays_s = [t if t is not None else float('inf') for t in times]
    return Spread(
        hosts, zones, statistics.median(delays_s), max(delays_s), len(times)
    )
