"""Command that runs the simulated links of a settings file."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_node.settings_file import read_settings
from trefoilpulley_standins._process import announce
from trefoilpulley_standins._process import wait_until_ended
from trefoilpulley_standins.links.server import LinksServer
from trefoilpulley_standins.links.settings import LinksSettings


@click.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
def main(path: Path) -> None:
    """Run the simulated links of the settings file PATH."""
    server = LinksServer(read_settings(path, LinksSettings).unwrap())
    server.start()
    announce('links', port=server.port)
    wait_until_ended()
    server.stop()


if __name__ == '__main__':
    main()
