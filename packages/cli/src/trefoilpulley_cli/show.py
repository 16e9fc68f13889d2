"""Command ``show``, which prints the declarations in force."""

from __future__ import annotations

import click

from trefoilpulley_cli.in_force import read_in_force
from trefoilpulley_cli.invocation import Invocation
from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.invocation import pass_invocation
from trefoilpulley_cli.report import Reporter
from trefoilpulley_core.declarations_form import describe_declarations
from trefoilpulley_core.declarations_form import format_declarations


@click.command()
@json_option
@pass_invocation
def show(invocation: Invocation, is_json: bool) -> None:
    """Show the declarations in force."""
    reporter = Reporter(is_json)
    found = read_in_force(invocation, reporter)
    reporter.print(
        {
            'revision': found.revision,
            'change_id': found.change_id,
            'declarations': describe_declarations(found.declarations),
        },
        [
            f'revision {found.revision}, change {found.change_id or "none"}',
            format_declarations(found.declarations).rstrip(),
        ],
    )
