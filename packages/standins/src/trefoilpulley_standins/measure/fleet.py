"""Calls to the platform's service from a fleet on a virtual clock."""

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

ZONE_SIZES = (8, 16, 32, 62)
"""Hosts a zone, with two zones."""

ZONE_COUNTS = (4, 8, 16, 26)
"""Zones, of four hosts each."""

FEW_ZONES = 2
"""Zones where the hosts of a zone are varied."""

FEW_HOSTS = 4
"""Hosts of a zone where the zones are varied."""

ZONES_A_REGION = 4
"""Zones of a region."""

SETTLE_S = 20.0
"""Virtual time before the window, and of the service's outage."""

RETURN_S = 20.0
"""Virtual time that is counted after the service returns."""


def count_return(zones: int, hosts: int, seed: int) -> float:
    """Return the calls in the busiest second after an outage.

    Parameters
    ----------
    zones : int
        Availability zones.
    hosts : int
        Hosts of each.
    seed : int
        Seed of every random choice.
    """
    fleet = DocumentFleet(seed)
    regions = -(-zones // ZONES_A_REGION)
    entries = make_entries(zones, hosts, regions)
    for entry in entries:
        fleet.add(entry.name, entry.zone, entry.region, entries)
    _publish(fleet)
    fleet.run(SETTLE_S)
    return _find_busiest(fleet)


def measure_slopes(say: Callable[[str], None]) -> Iterator[Slope]:
    """Count the calls of several fleets and yield their slopes."""
    by_hosts = []
    for hosts in ZONE_SIZES:
        say(f'fleet of {FEW_ZONES} zones of {hosts} hosts')
        by_hosts.append(Point(hosts, count_return(FEW_ZONES, hosts, hosts)))
    by_zones = []
    for zones in ZONE_COUNTS:
        say(f'fleet of {zones} zones of {FEW_HOSTS} hosts')
        by_zones.append(Point(zones, count_return(zones, FEW_HOSTS, zones)))
    for suffix, against, points in (
        ('hosts', f'hosts in each of {FEW_ZONES} zones', by_hosts),
        ('zones', f'zones of {FEW_HOSTS} hosts', by_zones),
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


def _find_busiest(fleet: DocumentFleet) -> float:
    fleet.start_service_outage()
    fleet.run(SETTLE_S)
    fleet.end_service_outage()
    made = []
    for _ in range(int(RETURN_S)):
        calls = fleet.service.calls.total()
        fleet.run(1.0)
        made.append(fleet.service.calls.total() - calls)
    return max(made)
