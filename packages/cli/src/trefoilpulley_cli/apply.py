"""Command ``apply``, which replaces the declarations."""

from __future__ import annotations

from dataclasses import replace
import json
from pathlib import Path
from typing import TYPE_CHECKING

import click
from returns.result import Success

from trefoilpulley_cli.change import change_id_option
from trefoilpulley_cli.change import DeclarationsChange
from trefoilpulley_cli.check import read_text
from trefoilpulley_cli.invocation import Invocation
from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.invocation import pass_invocation
from trefoilpulley_cli.report import Reporter
from trefoilpulley_core.declarations_check import check_declarations

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Declarations


@click.command()
@click.argument(
    'path', type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option(
    '--expect-revision',
    type=click.IntRange(min=0),
    help='Refuse the change unless this revision is in force.',
)
@change_id_option
@json_option
@pass_invocation
def apply(
    invocation: Invocation,
    path: Path,
    expect_revision: int | None,
    change_id: str,
    is_json: bool,
) -> None:
    """Put the declarations in the file PATH in force.

    A file without the key "stops" leaves the planned stops unchanged.
    """
    reporter = Reporter(is_json)
    text = read_text(path)
    checked = check_declarations(text)
    if not isinstance(checked, Success):
        reporter.exit_with_faults(checked.failure())
    declared = checked.unwrap()
    keeps_stops = 'stops' not in json.loads(text)

    def edit(current: Declarations) -> Declarations:
        if keeps_stops:
            return replace(declared, stops=current.stops)
        return declared

    change = DeclarationsChange(invocation, reporter, change_id)
    change.run(edit, expect_revision)
