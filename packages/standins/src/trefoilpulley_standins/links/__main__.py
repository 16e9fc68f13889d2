"""Command that runs the simulated links of a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_node.settings_file import read_settings
from trefoilpulley_standins._process import announce_ports
from trefoilpulley_standins._process import wait_for_termination
from trefoilpulley_standins.links.server import LinksServer
from trefoilpulley_standins.links.settings import LinksSettings


@click.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
def main(path: Path) -> None:
    """Run the simulated links of the settings file PATH."""
    server = LinksServer(read_settings(path, LinksSettings).unwrap())
    server.start()
    announce_ports('links', port=server.port)
    wait_for_termination()
    server.stop()


if __name__ == '__main__':
    main()
