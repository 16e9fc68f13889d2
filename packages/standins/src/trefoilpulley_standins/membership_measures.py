"""Measures the cost and delay of membership and document dissemination."""

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
"""Time from the start until a fleet has settled, in seconds."""

IDLE_DURATION_S = 20.0
"""Time over which an idle fleet is measured, in seconds."""

EVENT_TIMEOUT_S = 30.0
"""Longest wait until all hosts have seen an event, in seconds."""

ZONES_PER_REGION = 4
"""Number of availability zones of a region."""

TENANT_COUNT = 100
"""Number of tenants in the measured declarations."""


@dataclass(frozen=True, slots=True)
class QuietCost:
    """Cost per host and second of a fleet without events."""

    hosts: int
    """Hosts of each zone."""

    zones: int
    """Availability zones."""

    zones_in_region: int
    """Number of zones of the largest region."""

    messages_mean: float
    """Mean number of messages sent per host and second."""

    messages_most: float
    """Messages per second sent by the host that sends the most."""

    bytes_mean: float
    """Mean number of bytes sent per host and second."""

    bytes_most: float
    """Bytes per second sent by the host that sends the most."""

    core_percent_mean: float
    """Mean processor time per host, in percent of a core."""

    core_percent_most: float
    """Highest processor time of a host, in percent of a core."""

    service_calls_a_zone: float
    """Calls of one zone to the platform service per second."""


@dataclass(frozen=True, slots=True)
class Spread:
    """Time until all hosts concerned have seen an event, over several runs."""

    hosts: int
    """Hosts of each zone."""

    zones: int
    """Availability zones."""

    median_s: float
    """Median time, in seconds."""

    worst_s: float
    """Longest time, in seconds."""

    runs: int
    """Number of runs."""


@dataclass(frozen=True, slots=True)
class EventCost:
    """Additional traffic that one event causes at the other hosts."""

    event: str
    """Description of the event."""

    bytes_mean: float
    """Mean number of additional bytes sent per host."""

    bytes_most: float
    """Highest number of additional bytes sent by a host."""


@dataclass(frozen=True, slots=True)
class TableSize:
    """Memory of one host's membership table."""

    known_hosts: int
    """Number of hosts in the table."""

    bytes_in_use: int
    """Memory of the table, in bytes."""


@dataclass(frozen=True, slots=True)
class Slope:
    """Straight line fitted to measured points."""

    figure: str
    """Names of the measured quantity and of the varied quantity."""

    slope: float
    """Change of the measured quantity per unit of the varied quantity."""

    intercept: float
    """Value of the line at zero."""


def make_fleet(zones: int, hosts: int, seed: int = 1) -> DocumentFleet:
    """Start a fleet with zones of equal size and wait until it has settled."""
    fleet = DocumentFleet(seed)
    entries = make_entries(zones, hosts, count_regions(zones))
    for entry in entries:
        fleet.add(entry.name, entry.zone, entry.region, entries)
    fleet.run(SETTLE_DURATION_S)
    return fleet


def count_regions(zones: int) -> int:
    """Return the number of regions of a number of zones."""
    return max(1, zones // ZONES_PER_REGION)


def make_configuration(revision: int) -> Document:
    """Return a configuration document with `TENANT_COUNT` tenants."""
    grants = (Grant('ledger', ('filing', 'lookup', 'booking')),)
    tenants = tuple(Tenant(f'tenant-{n}', grants) for n in range(TENANT_COUNT))
    value = Configuration(
        revision, f'change-{revision}', Declarations((), tenants)
    )
    return make_document(
        DocumentKind.CONFIGURATION, revision, encode_configuration(value)
    )


def measure_idle_cost(zones: int, hosts: int) -> QuietCost:
    """Measure the cost of a fleet without events."""
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
    """Measure the time until every host has a new configuration."""
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
    """Measure the time until a zone has detected a crashed host."""
    return _measure_events(zones, hosts, runs, _time_crash_detection)


def measure_zone_loss(zones: int, hosts: int, runs: int) -> Spread:
    """Measure the time until all running hosts have detected a zone's loss."""
    return _measure_events(zones, hosts, runs, _time_zone_loss)


def measure_leave(zones: int, hosts: int, runs: int) -> Spread:
    """Measure the time until every host has removed a leaving host."""
    return _measure_events(zones, hosts, runs, _time_leave)


def measure_event(
    event: str, run_action: Callable[[DocumentFleet], None]
) -> EventCost:
    """Measure the traffic that an event causes in a fleet of 434 hosts."""
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
    """Measure the memory of a membership table with 26 zones."""
    tracemalloc.start()
    table = MembershipTable('r0')
    table.apply_list(make_entries(26, hosts_per_zone, 7))
    assert table.live_hosts.zones
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return TableSize(26 * hosts_per_zone, size)


def fit_line(figure: str, xs: Sequence[float], ys: Sequence[float]) -> Slope:
    """Fit a straight line to points by linear regression."""
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
    """Stop every host of the first zone."""
    for name, host in fleet.hosts.items():
        if host.entry.zone == 'z0':
            fleet.stop(name)


def stop_host(fleet: DocumentFleet) -> None:
    """Stop one host of the first zone."""
    fleet.stop('z0-h1')


def replace_host(fleet: DocumentFleet) -> None:
    """Let one host leave, and start a new host in the same zone."""
    host = fleet.hosts['z0-h1']
    fleet.run_action(host, host.membership.on_leave)
    entries = tuple(h.entry for h in fleet.hosts.values())
    fleet.add('z0-new', 'z0', 'r0', entries)
    fleet.stop('z0-h1')


def change_configuration(fleet: DocumentFleet) -> None:
    """Publish a new configuration."""
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
