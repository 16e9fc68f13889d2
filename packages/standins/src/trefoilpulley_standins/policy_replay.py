"""Simulates the policies on a virtual clock and prints their figures.

``python -m trefoilpulley_standins.policy_replay`` writes
``build/measure/policy.json``.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from dataclasses import dataclass
import json
from pathlib import Path
import statistics
from typing import TYPE_CHECKING

import click

from trefoilpulley_standins.policy_cases import measure_seed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_standins.policy_cases import Figure

OUTPUT = Path('build/measure/policy.json')
"""Path of the JSON file with the figures."""


@dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of one figure over all seeds."""

    case: str
    """Deployment and kind of load."""

    policy: str
    """Name of the simulated policy."""

    name: str
    """Name of the measured quantity."""

    median: float
    """Median over all seeds."""

    worst: float
    """Worst value over all seeds."""

    seeds: int
    """Number of seeds."""


def summarize(figures: Iterable[Figure]) -> tuple[Summary, ...]:
    """Return the median and the worst value of each figure."""
    grouped: dict[tuple[str, str, str], list[Figure]] = {}
    for figure in figures:
        key = (figure.case, figure.name, figure.policy)
        grouped.setdefault(key, []).append(figure)
    return tuple(_summarize_one(group) for group in grouped.values())


def _summarize_one(group: list[Figure]) -> Summary:
    first = group[0]
    values = [figure.value for figure in group]
    worst = max(values) if first.is_higher_worse else min(values)
    return Summary(
        first.case,
        first.policy,
        first.name,
        statistics.median(values),
        worst,
        len(values),
    )


def _print(summaries: Iterable[Summary]) -> None:
    case = ''
    for summary in summaries:
        if summary.case != case:
            case = summary.case
            click.echo(f'\n{case}')
        median = f'{summary.median:10.3f}'
        worst = f'{summary.worst:10.3f}'
        click.echo(f'  {summary.name:32}{summary.policy:14}{median}{worst}')


@click.command()
@click.option('--seeds', default=20, help='Number of seeds.')
@click.option('--first-seed', default=1, help='First seed.')
@click.option('--workers', default=2, help='Seeds replayed at once.')
def main(seeds: int, first_seed: int, workers: int) -> None:
    """Print the median and the worst value of each policy's figures."""
    numbers = range(first_seed, first_seed + seeds)
    with ProcessPoolExecutor(max_workers=workers) as executor:
        runs = list(executor.map(measure_seed, numbers))
    figures = sorted(
        (figure for run in runs for figure in run),
        key=lambda figure: (figure.case, figure.name),
    )
    summaries = summarize(figures)
    click.echo(f'median and worst of {seeds} seeds')
    _print(summaries)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps([asdict(s) for s in summaries], indent=1))


if __name__ == '__main__':
    main()
