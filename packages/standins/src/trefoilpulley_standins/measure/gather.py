"""Slopes and figures from the results of earlier measurements."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_standins.experiment.result import load_results
from trefoilpulley_standins.experiment.run import RESULTS_DIRECTORY
from trefoilpulley_standins.measure.lines import LINES
from trefoilpulley_standins.measure.overhead import OUTPUT as OVERHEAD_FILE
from trefoilpulley_standins.measure.slopes import fit_slope
from trefoilpulley_standins.measure.slopes import Point
from trefoilpulley_standins.measure.slopes import round_figure
from trefoilpulley_standins.measure.slopes import SingleFigure

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpulley_standins.experiment.result import PointResult
    from trefoilpulley_standins.measure.lines import FittedLine
    from trefoilpulley_standins.measure.slopes import Slope

REPLAY_RESULTS = Path('build/measure/membership.json')
"""Results of the membership replay."""

DEMO_REPORT = Path('build/demo/report.json')
"""Report of the demo run."""

REPLAY_COMMAND = 'python -m trefoilpulley_standins.membership_replay'
"""Command that writes the results of the membership replay."""

OVERHEAD_COMMAND = 'python -m trefoilpulley_standins.measure overhead'
"""Command that measures the overhead of a statement."""

EXPERIMENT_COMMAND = (
    'python -m trefoilpulley_standins.experiment run examples/experiments'
)
"""Command that runs an experiment, without the name of its file."""


def gather_slopes() -> Iterator[Slope]:
    """Yield the slopes of the experiments and of the membership replay."""
    for line in LINES:
        results = [
            result
            for name in line.experiments
            for result in load_results(RESULTS_DIRECTORY / name)
        ]
        files = ' '.join(
            f'{EXPERIMENT_COMMAND}/{n}.json' for n in line.experiments
        )
        yield fit_slope(
            line.key,
            line.subject,
            line.against,
            line.unit,
            _points_of(line, results),
            files,
        )
    yield from _replay_slopes(_load_json(REPLAY_RESULTS))


def gather_figures() -> Iterator[SingleFigure]:
    """Yield the figures that were measured at a single size."""
    replay = _load_json(REPLAY_RESULTS)
    for event in replay['event_costs']:
        yield SingleFigure(
            f'event {event["event"]}',
            f'bytes that each other host sends: {event["event"]}',
            'B',
            round_figure(event['bytes_mean']),
            REPLAY_COMMAND,
        )
    gap_s = _load_json(DEMO_REPORT)['failover_gap_s']
    yield SingleFigure(
        'demo failover_gap_s',
        'time without an acknowledged write at the loss of a primary',
        's',
        round_figure(gap_s),
        'make demo',
    )
    for name, value in _load_json(OVERHEAD_FILE).items():
        yield SingleFigure(
            f'overhead {name}',
            f'a statement through one host: {name.replace("_", " ")}',
            _unit_of(name),
            round_figure(value),
            OVERHEAD_COMMAND,
        )


def _unit_of(name: str) -> str:
    if 'ms' in name.split('_'):
        return 'ms'
    return 'KiB' if name.startswith('kb') else ''


def _points_of(line: FittedLine, results: list[PointResult]) -> list[Point]:
    points = []
    for result in results:
        x = result.find(line.x) if line.x else result.value
        y = result.find(line.y)
        if x is None or y is None:
            raise ValueError(f'{line.key}: point without {line.x} or {line.y}')
        points.append(Point(x, line.factor * y))
    return points


def _replay_slopes(replay: Any) -> Iterator[Slope]:
    for name, size, against in (
        ('quiet_by_hosts_in_zone', 'hosts', 'hosts in the zone'),
        ('quiet_by_zones', 'zones', 'zones of eight hosts'),
    ):
        rows = replay[name]
        for key, field, unit, subject in _IDLE_FIGURES:
            yield fit_slope(
                f'{key}-{size}',
                subject,
                against,
                unit,
                [Point(r[size], r[field]) for r in rows],
                REPLAY_COMMAND,
            )
    for name, size, against in (
        ('spread_by_hosts_in_zone', 'hosts', 'hosts in the zone'),
        ('spread_by_zones', 'zones', 'zones of eight hosts'),
    ):
        yield fit_slope(
            f'spread-{size}',
            'time until every host holds a new configuration, worst run',
            against,
            's',
            [Point(r[size], r['worst_s']) for r in replay[name]],
            REPLAY_COMMAND,
        )


_IDLE_FIGURES = (
    (
        'membership-messages',
        'messages_mean',
        'messages/s',
        'messages that a host sends for membership',
    ),
    (
        'membership-bytes',
        'bytes_mean',
        'B/s',
        'bytes that a host sends for membership',
    ),
    (
        'relay-bytes',
        'bytes_most',
        'B/s',
        'bytes that the busiest host sends for membership',
    ),
    (
        'membership-cpu',
        'core_percent_mean',
        '% of a core',
        'processor time of membership, without sockets',
    ),
    (
        'document-calls',
        'service_calls_a_zone',
        'calls/s',
        'calls of a zone to the service for documents',
    ),
)


def _load_json(path: Path) -> Any:
    return json.loads(path.read_text(encoding='utf-8'))
