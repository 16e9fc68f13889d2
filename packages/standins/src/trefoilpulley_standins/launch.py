"""Command that runs a whole deployment on this machine."""

from __future__ import annotations

import json
from pathlib import Path

import click

from trefoilpulley_standins._options import deployment_option
from trefoilpulley_standins._process import wait_for_termination
from trefoilpulley_standins.deployment import find_deployment
from trefoilpulley_standins.starting import make_layout
from trefoilpulley_standins.starting import start_deployment


@click.command()
@deployment_option
@click.option(
    '--dir',
    'directory',
    type=click.Path(path_type=Path),
    default=Path('build/run'),
    show_default=True,
    help='Directory of the settings files and log files.',
)
@click.option(
    '--seed', default=1, help="Seed of the links' jitter and packet loss."
)
def main(name: str, directory: Path, seed: int) -> None:
    """Run a deployment until SIGTERM or SIGINT."""
    layout = make_layout(find_deployment(name), directory, seed)
    processes = start_deployment(layout, directory)
    try:
        for route in layout.routes:
            line = {
                'host': route.host,
                'zone': route.zone,
                'address': route.endpoint.address,
                'port': route.endpoint.port,
                'pid': processes.pid_of(route.host),
            }
            click.echo(json.dumps(line))
        wait_for_termination()
    finally:
        processes.stop()


if __name__ == '__main__':
    main()
