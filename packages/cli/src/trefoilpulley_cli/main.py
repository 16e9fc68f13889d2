"""Command ``trefoilpulley`` for operators and callers."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_cli.apply import apply
from trefoilpulley_cli.check import check
from trefoilpulley_cli.execute import execute
from trefoilpulley_cli.explain import explain
from trefoilpulley_cli.invocation import Invocation
from trefoilpulley_cli.route import route
from trefoilpulley_cli.service_factory import NetworkServiceFactory
from trefoilpulley_cli.show import show
from trefoilpulley_cli.state import state
from trefoilpulley_cli.stop import stop
from trefoilpulley_cli.targets import targets


@click.group()
@click.option(
    '--settings',
    'path',
    envvar='TREFOILPULLEY_SETTINGS',
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help='JSON file with addresses and secrets.',
)
@click.pass_context
def main(ctx: click.Context, path: Path | None) -> None:
    """Declare targets, plan stops, inspect hosts and run statements.

    Exit codes: 0 success, 1 refused or failed, 2 invalid usage or settings.
    """
    ctx.obj = Invocation(ctx.obj or NetworkServiceFactory(), path)


for command in (
    apply,
    check,
    execute,
    explain,
    route,
    show,
    state,
    stop,
    targets,
):
    main.add_command(command)


if __name__ == '__main__':
    main()
