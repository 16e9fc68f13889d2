"""Commands that run, compare and plot experiments."""

from __future__ import annotations

from pathlib import Path
import sys

import click
from returns.result import Success

from trefoilpulley_standins.experiment.comparison import compare_results
from trefoilpulley_standins.experiment.plot import DEFAULT_FIGURES
from trefoilpulley_standins.experiment.plot import plot_results
from trefoilpulley_standins.experiment.result import load_results
from trefoilpulley_standins.experiment.run import RESULTS_DIRECTORY
from trefoilpulley_standins.experiment.run import run_experiment
from trefoilpulley_standins.experiment.spec import load_experiment

_PATH = click.Path(exists=True, path_type=Path)


@click.group()
def main() -> None:
    """Run, compare and plot experiments on stand-in deployments."""


@main.command()
@click.argument('file', type=_PATH)
@click.option('--dir', 'directory', type=click.Path(path_type=Path))
def run(file: Path, directory: Path | None) -> None:
    """Run the experiment that FILE defines."""
    loaded = load_experiment(file)
    if not isinstance(loaded, Success):
        failure = loaded.failure()
        click.echo(failure.detail, err=True)
        for fault in getattr(failure, 'faults', ()):
            click.echo(f'  {fault}', err=True)
        sys.exit(1)
    experiment = loaded.unwrap()
    directory = directory or RESULTS_DIRECTORY / experiment.name
    run_experiment(experiment, directory, click.echo)
    click.echo(f'results in {directory}')


@main.command()
@click.argument('one', type=_PATH)
@click.argument('other', type=_PATH)
def compare(one: Path, other: Path) -> None:
    """Compare the results in ONE with those in OTHER."""
    for found in compare_results(load_results(one), load_results(other)):
        ratio = '' if found.ratio is None else f'{found.ratio:8.2f}'
        click.echo(
            f'{found.value:8g} {found.name:32}'
            f'{found.one:14.3f}{found.other:14.3f}{ratio}'
        )


@main.command()
@click.argument('result', type=_PATH)
@click.option('--out', type=click.Path(path_type=Path))
@click.option('--figure', 'figures', multiple=True)
def plot(result: Path, out: Path | None, figures: tuple[str, ...]) -> None:
    """Plot the figures in RESULT as SVG or PNG."""
    results = load_results(result)
    path = out or result.parent / f'{results[0].experiment}.svg'
    plot_results(results, path, figures or DEFAULT_FIGURES)
    click.echo(str(path))
