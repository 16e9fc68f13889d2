"""Command ``check``, which validates a file of declarations."""

from __future__ import annotations

from pathlib import Path

import click
from returns.result import Success

from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.report import Reporter
from trefoilpulley_core.declarations_check import check_declarations


@click.command()
@click.argument(
    'path', type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@json_option
def check(path: Path, is_json: bool) -> None:
    """Check the declarations in the file PATH; nothing is written."""
    reporter = Reporter(is_json)
    checked = check_declarations(read_text(path))
    if not isinstance(checked, Success):
        reporter.exit_with_faults(checked.failure())
    declarations = checked.unwrap()
    counts = {
        'classes': len(declarations.classes),
        'tenants': len(declarations.tenants),
        'stops': len(declarations.stops),
    }
    summary = ', '.join(f'{n} {name}' for name, n in counts.items())
    reporter.print({'faults': [], **counts}, [f'no fault: {summary}'])


def read_text(path: Path) -> str:
    """Return the text of a file, or exit with a usage error."""
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise click.UsageError(f'{path}: {exc}') from exc
