"""Command that runs all members of a settings file in one process."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_standins.member.run import run_members
from trefoilpulley_standins.member.settings import load_group


@click.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
def main(path: Path) -> None:
    """Run every member of the settings file PATH."""
    run_members(load_group(path).members)


if __name__ == '__main__':
    main()
