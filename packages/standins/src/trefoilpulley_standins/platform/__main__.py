"""Command that runs the stand-in for the platform's service."""

from __future__ import annotations

import json
from pathlib import Path
import signal

import click
import gevent
from gevent.event import Event

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_standins.platform.server import PlatformService
from trefoilpulley_standins.platform.settings import load_settings
from trefoilpulley_standins.platform.settings import PlatformSettings


@click.command()
@click.option('--port', default=0, help='Port for orders and calls.')
@click.option(
    '--seed-file',
    type=click.Path(exists=True, path_type=Path),
    help='Values and zones.',
)
def main(port: int, seed_file: Path | None) -> None:
    """Run the service until SIGTERM or SIGINT."""
    cfg = load_settings(seed_file) if seed_file else PlatformSettings()
    service = PlatformService(Endpoint('127.0.0.1', port), cfg)
    service.start()
    click.echo(json.dumps({'name': 'platform', 'port': service.port}))
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    ended.wait()
    service.stop()


if __name__ == '__main__':
    main()
