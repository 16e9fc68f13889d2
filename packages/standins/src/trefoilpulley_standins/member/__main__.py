"""Command that runs one simulated database member."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_standins.member.run import run_members
from trefoilpulley_standins.member.settings import load_group


@click.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.option('--name', help='Member to run; needed where there are more.')
def main(path: Path, name: str | None) -> None:
    """Run one member of the settings file PATH."""
    members = load_group(path).members
    chosen = tuple(m for m in members if name in (None, m.name))
    if len(chosen) != 1:
        raise click.UsageError(
            '--name must match exactly one member of the file'
        )
    run_members(chosen)


if __name__ == '__main__':
    main()
