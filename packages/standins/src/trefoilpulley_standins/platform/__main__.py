"""Command that runs the simulated key-value service."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_node.settings_file import read_settings
from trefoilpulley_standins._process import announce_ports
from trefoilpulley_standins._process import wait_for_termination
from trefoilpulley_standins.platform.server import PlatformService
from trefoilpulley_standins.platform.settings import PlatformSettings


@click.command()
@click.option('--port', default=0, help='Port for fault orders and API calls.')
@click.option(
    '--seed-file',
    type=click.Path(exists=True, path_type=Path),
    help='File of initial values and zones.',
)
def main(port: int, seed_file: Path | None) -> None:
    """Run the service until SIGTERM or SIGINT."""
    cfg = PlatformSettings()
    if seed_file:
        cfg = read_settings(seed_file, PlatformSettings).unwrap()
    service = PlatformService(Endpoint('127.0.0.1', port), cfg)
    service.start()
    announce_ports('platform', port=service.port)
    wait_for_termination()
    service.stop()


if __name__ == '__main__':
    main()
