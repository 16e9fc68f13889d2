"""Calls of a simulated fleet to the platform's service after an outage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.configuration.document import encode_configuration
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.messages import make_document
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_standins.document_fleet import DocumentFleet
from trefoilpulley_standins.measure.slopes import fit_slope
from trefoilpulley_standins.measure.slopes import Point
from trefoilpulley_standins.membership_fleet import make_entries

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from trefoilpulley_standins.measure.slopes import Slope

COMMAND = 'python -m trefoilpulley_standins.measure fleet'
"""Command that measures these slopes."""

HOSTS_PER_ZONE_SIZES = (8, 16, 32, 62)
"""Numbers of hosts per zone, measured with `FIXED_ZONES` zones."""

ZONE_COUNTS = (4, 8, 16, 26)
"""Numbers of zones, measured with `FIXED_HOSTS_PER_ZONE` hosts each."""

FIXED_ZONES = 2
"""Number of zones while the hosts per zone vary."""

FIXED_HOSTS_PER_ZONE = 4
"""Hosts per zone while the number of zones varies."""

ZONES_PER_REGION = 4
"""Availability zones in each region."""

SETTLE_DURATION_S = 20.0
"""Virtual time before the outage, and duration of the outage, in seconds."""

RECOVERY_DURATION_S = 20.0
"""Virtual time after the outage during which calls are counted, in seconds."""


def measure_recovery_calls(zones: int, hosts: int, seed: int) -> float:
    """Return the number of calls in the busiest second after an outage.

    Parameters
    ----------
    zones : int
        Number of availability zones.
    hosts : int
        Hosts in each zone.
    seed : int
        Seed of the random number generators.
    """
    fleet = DocumentFleet(seed)
    regions = -(-zones // ZONES_PER_REGION)
    entries = make_entries(zones, hosts, regions)
    for entry in entries:
        fleet.add(entry.name, entry.zone, entry.region, entries)
    _publish(fleet)
    fleet.run(SETTLE_DURATION_S)
    return _measure_busiest_second(fleet)


def measure_slopes(report_progress: Callable[[str], None]) -> Iterator[Slope]:
    """Measure fleets of several sizes and yield the slopes of the calls."""
    by_hosts = []
    for hosts in HOSTS_PER_ZONE_SIZES:
        report_progress(f'fleet of {FIXED_ZONES} zones of {hosts} hosts')
        by_hosts.append(
            Point(hosts, measure_recovery_calls(FIXED_ZONES, hosts, hosts))
        )
    by_zones = []
    for zones in ZONE_COUNTS:
        report_progress(
            f'fleet of {zones} zones of {FIXED_HOSTS_PER_ZONE} hosts'
        )
        by_zones.append(
            Point(
                zones,
                measure_recovery_calls(zones, FIXED_HOSTS_PER_ZONE, zones),
            )
        )
    for suffix, against, points in (
        ('hosts', f'hosts in each of {FIXED_ZONES} zones', by_hosts),
        ('zones', f'zones of {FIXED_HOSTS_PER_ZONE} hosts', by_zones),
    ):
        yield fit_slope(
            f'return-calls-{suffix}',
            'calls for documents in the busiest second after an outage',
            against,
            'calls',
            points,
            COMMAND,
        )


def _publish(fleet: DocumentFleet) -> None:
    configuration = Configuration(1, 'change', Declarations())
    text = encode_configuration(configuration)
    fleet.publish(make_document(DocumentKind.CONFIGURATION, 1, text))


def _measure_busiest_second(fleet: DocumentFleet) -> float:
    fleet.start_service_outage()
    fleet.run(SETTLE_DURATION_S)
    fleet.end_service_outage()
    calls_per_s = []
    for _ in range(int(RECOVERY_DURATION_S)):
        calls = fleet.service.calls.total()
        fleet.run(1.0)
        calls_per_s.append(fleet.service.calls.total() - calls)
    return max(calls_per_s)
