"""Command line of the measurements of whole runs."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# gevent must patch the standard library before any other import.
from pathlib import Path  # noqa: E402

import click  # noqa: E402

from trefoilpulley_standins.deployment import DEPLOYMENTS  # noqa: E402
from trefoilpulley_standins.figures.run import PARTS  # noqa: E402
from trefoilpulley_standins.figures.run import run_part  # noqa: E402
from trefoilpulley_standins.figures.sample import dump_samples  # noqa: E402
from trefoilpulley_standins.figures.sample import load_samples  # noqa: E402
from trefoilpulley_standins.figures.sample import replace_run  # noqa: E402
from trefoilpulley_standins.figures.sample import RunKey  # noqa: E402
from trefoilpulley_standins.figures.table import describe_load  # noqa: E402
from trefoilpulley_standins.figures.table import render_table  # noqa: E402

RESULT = Path('build/measure/figures.json')
"""File of the samples of all runs."""

RUNS = Path('build/figures')
"""Directory of the settings files, logs and journals of the runs."""

_NAMES = [d.name for d in DEPLOYMENTS]


@click.group()
def main() -> None:
    """Measure failover, failback, reads and configuration changes."""


@main.command()
@click.option(
    '--deployment',
    'deployments',
    type=click.Choice(_NAMES),
    multiple=True,
    default=_NAMES,
)
@click.option(
    '--part',
    'parts',
    type=click.Choice([p.name for p in PARTS]),
    multiple=True,
    default=[p.name for p in PARTS],
)
@click.option('--first-seed', default=1, show_default=True)
@click.option('--seeds', default=3, show_default=True)
def run(
    deployments: tuple[str, ...],
    parts: tuple[str, ...],
    first_seed: int,
    seeds: int,
) -> None:
    """Run parts and replace their earlier samples; keep all others."""
    for seed in range(first_seed, first_seed + seeds):
        for deployment in deployments:
            for part in parts:
                _run_one(RunKey(deployment, part, seed))


def _run_one(key: RunKey) -> None:
    directory = RUNS / f'{key.deployment}-{key.part}-{key.seed}'
    found = run_part(key, directory)
    samples = replace_run(load_samples(RESULT), key, found)
    dump_samples(RESULT, samples)
    click.echo(f'{key.deployment} {key.part} {key.seed}')


@main.command()
@click.option(
    '--most-stolen',
    default=1.0,
    show_default=True,
    help='Maximum share of stolen CPU time; other runs are excluded.',
)
def table(most_stolen: float) -> None:
    """Print a table of the samples and their targets."""
    found = load_samples(RESULT)
    samples = tuple(s for s in found if s.stolen <= most_stolen)
    for line in render_table(samples):
        click.echo(line)
    if samples:
        click.echo(describe_load(samples))


if __name__ == '__main__':
    main()
