"""Commands that measure the slopes and update the capacity page."""

from __future__ import annotations

from pathlib import Path
import subprocess
import sys
from typing import TYPE_CHECKING

import click

from trefoilpulley_standins.measure import fleet as fleet_slopes
from trefoilpulley_standins.measure.gather import gather_figures
from trefoilpulley_standins.measure.gather import gather_slopes
from trefoilpulley_standins.measure.overhead import measure_overhead
from trefoilpulley_standins.measure.overhead import OUTPUT as OVERHEAD_FILE
from trefoilpulley_standins.measure.overhead import write_overhead
from trefoilpulley_standins.measure.page import PAGE
from trefoilpulley_standins.measure.page import render_tables
from trefoilpulley_standins.measure.page import replace_tables
from trefoilpulley_standins.measure.slopes import dump_recorded
from trefoilpulley_standins.measure.slopes import load_recorded
from trefoilpulley_standins.measure.slopes import Recorded
from trefoilpulley_standins.measure.slopes import SLOPES_FILE
from trefoilpulley_standins.measure import state as state_slopes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_standins.measure.slopes import Slope

OUTPUT_DIRECTORY = Path('build/measure')
"""Directory of the measured results."""

EXPERIMENTS_DIRECTORY = Path('examples/experiments')
"""Directory of the experiment files."""


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Measure the slopes; without a command, measure all of them."""
    if context.invoked_subcommand is None:
        for command in (experiments, replay, fleet, state, overhead, slopes):
            context.invoke(command)
        context.invoke(page)


@main.command()
def experiments() -> None:
    """Run every example experiment."""
    for path in sorted(EXPERIMENTS_DIRECTORY.glob('*.json')):
        _run('trefoilpulley_standins.experiment', 'run', str(path))


@main.command()
def replay() -> None:
    """Replay the messages of membership on a simulated fleet."""
    _run('trefoilpulley_standins.membership_replay')


@main.command()
def fleet() -> None:
    """Count the calls to the platform's service after an outage."""
    _write('fleet', fleet_slopes.measure_slopes(click.echo))


@main.command()
def state() -> None:
    """Measure the memory of a host's state and the cost of changes."""
    _write('state', state_slopes.measure_slopes(click.echo))


@main.command()
def overhead() -> None:
    """Measure the overhead of a statement through one host."""
    found = measure_overhead(OUTPUT_DIRECTORY / 'overhead-run', click.echo)
    write_overhead(found)
    click.echo(OVERHEAD_FILE.read_text(encoding='utf-8'))


@main.command()
def slopes() -> None:
    """Fit the slopes of all measured results and record them."""
    parts = [
        load_recorded(OUTPUT_DIRECTORY / f'{n}.json') for n in _MEASURED_PARTS
    ]
    found = [s for part in parts for s in part.slopes]
    found.extend(gather_slopes())
    recorded = Recorded(tuple(found), tuple(gather_figures()))
    dump_recorded(SLOPES_FILE, recorded)
    click.echo(str(SLOPES_FILE))


@main.command()
def page() -> None:
    """Update the page's tables from the recorded slopes."""
    tables = render_tables(load_recorded(SLOPES_FILE))
    text = PAGE.read_text(encoding='utf-8')
    PAGE.write_text(replace_tables(text, tables), encoding='utf-8')
    click.echo(str(PAGE))


_MEASURED_PARTS = ('fleet', 'state')


def _write(name: str, found: Iterable[Slope]) -> None:
    dump_recorded(OUTPUT_DIRECTORY / f'{name}.json', Recorded(tuple(found)))


def _run(module: str, *args: str) -> None:
    subprocess.run([sys.executable, '-m', module, *args], check=True)
