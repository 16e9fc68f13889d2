"""Measures membership and document dissemination on a virtual clock.

Run as ``python -m trefoilpulley_standins.membership_replay``. The bytes
are those of the encoded messages and their headers. The processor time
covers the decisions and the codec, but not the sockets.
"""

from __future__ import annotations

from dataclasses import asdict
import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import click

from trefoilpulley_standins.membership_measures import change_configuration
from trefoilpulley_standins.membership_measures import fit_line
from trefoilpulley_standins.membership_measures import measure_crash_detection
from trefoilpulley_standins.membership_measures import measure_dissemination
from trefoilpulley_standins.membership_measures import measure_event
from trefoilpulley_standins.membership_measures import measure_idle_cost
from trefoilpulley_standins.membership_measures import measure_leave
from trefoilpulley_standins.membership_measures import measure_memory
from trefoilpulley_standins.membership_measures import measure_zone_loss
from trefoilpulley_standins.membership_measures import replace_host
from trefoilpulley_standins.membership_measures import stop_host
from trefoilpulley_standins.membership_measures import stop_zone

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from trefoilpulley_standins.membership_measures import QuietCost
    from trefoilpulley_standins.membership_measures import Slope
    from trefoilpulley_standins.membership_measures import TableSize

ZONE_SIZES = (4, 8, 16, 32, 64)
"""Numbers of hosts in the only zone, where the zone size is varied."""

ZONE_COUNTS = (1, 3, 7, 13, 26)
"""Numbers of zones, where the number of zones is varied."""

HOSTS_PER_ZONE = 8
"""Hosts of each zone, where the number of zones is varied."""

TABLE_HOSTS_PER_ZONE = (8, 16, 32, 62)
"""Hosts of each of the 26 zones in the measured tables."""


@click.command()
@click.option('--runs', default=20, help='Number of runs of each event.')
@click.option(
    '--output',
    type=click.Path(path_type=Path),
    default=Path('build/measure/membership.json'),
    help='Path of the JSON file with the results.',
)
def main(runs: int, output: Path) -> None:
    """Measure membership and document dissemination, and write the results."""
    results = {
        name: [asdict(row) for row in rows]
        for name, rows in _measure_all(runs)
    }
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(results, indent=2) + '\n')


def _measure_all(runs: int) -> Iterator[tuple[str, Sequence[Any]]]:
    by_hosts = [measure_idle_cost(1, n) for n in ZONE_SIZES]
    yield _report('quiet_by_hosts_in_zone', by_hosts)
    by_zones = [measure_idle_cost(n, HOSTS_PER_ZONE) for n in ZONE_COUNTS]
    yield _report('quiet_by_zones', by_zones)
    tables = [measure_memory(n) for n in TABLE_HOSTS_PER_ZONE]
    yield _report('table_sizes', tables)
    yield _report('slopes', _fit_all(by_hosts, by_zones, tables))
    spread = [measure_dissemination(1, n, runs) for n in ZONE_SIZES]
    yield _report('spread_by_hosts_in_zone', spread)
    spread = [
        measure_dissemination(n, HOSTS_PER_ZONE, runs) for n in ZONE_COUNTS
    ]
    yield _report('spread_by_zones', spread)
    deaths = [measure_crash_detection(1, n, runs) for n in ZONE_SIZES]
    yield _report('death_seen_in_zone', deaths)
    leaves = [measure_leave(n, HOSTS_PER_ZONE, runs) for n in ZONE_COUNTS]
    yield _report('leave_seen_everywhere', leaves)
    losses = [measure_zone_loss(n, HOSTS_PER_ZONE, runs) for n in (3, 4, 7)]
    yield _report('lost_zone_seen_everywhere', losses)
    events = [
        measure_event('a host dies', stop_host),
        measure_event('a host is replaced', replace_host),
        measure_event('a zone is lost', stop_zone),
        measure_event('the configuration changes', change_configuration),
    ]
    yield _report('event_costs', events)


def _fit_all(
    by_hosts: Sequence[QuietCost],
    by_zones: Sequence[QuietCost],
    tables: Sequence[TableSize],
) -> list[Slope]:
    slopes = []
    for figure in ('messages_mean', 'bytes_mean', 'core_percent_mean'):
        slopes.append(
            fit_line(
                f'{figure} against hosts in the zone',
                [c.hosts for c in by_hosts],
                [getattr(c, figure) for c in by_hosts],
            )
        )
    for figure in ('messages_most', 'bytes_most', 'core_percent_most'):
        slopes.append(
            fit_line(
                f'{figure} against zones of the region',
                [c.zones_in_region for c in by_zones],
                [getattr(c, figure) for c in by_zones],
            )
        )
    slopes.append(
        fit_line(
            'bytes of a table against known hosts',
            [t.known_hosts for t in tables],
            [t.bytes_in_use for t in tables],
        )
    )
    return slopes


def _report(name: str, rows: Sequence[Any]) -> tuple[str, Sequence[Any]]:
    click.echo(name)
    for row in rows:
        values = (
            f'{k} {v:.4g}' if isinstance(v, float) else f'{k} {v}'
            for k, v in asdict(row).items()
        )
        click.echo('  ' + ', '.join(values))
    return name, rows


if __name__ == '__main__':
    main()
