"""Commands ``targets get`` and ``targets set``."""

from __future__ import annotations

from dataclasses import replace
import json
from typing import Any
from typing import TYPE_CHECKING

import click

from trefoilpulley_cli.change import change_id_option
from trefoilpulley_cli.change import DeclarationsChange
from trefoilpulley_cli.in_force import read_in_force
from trefoilpulley_cli.invocation import Invocation
from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.invocation import pass_invocation
from trefoilpulley_cli.report import Reporter
from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations_form import describe_class
from trefoilpulley_core.failure import UnknownClass

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.declarations import WorkClass

_FRESHNESS_CHOICES = (
    FreshnessKind.SESSION.value,
    FreshnessKind.PRESENT.value,
)


@click.group()
def targets() -> None:
    """Show or change the targets of classes of work."""


@targets.command('get')
@click.argument('name', required=False, metavar='[CLASS]')
@json_option
@pass_invocation
def get_targets(
    invocation: Invocation, name: str | None, is_json: bool
) -> None:
    """Show the targets of CLASS, or of every class."""
    reporter = Reporter(is_json)
    configuration = read_in_force(invocation, reporter)
    classes = configuration.declarations.classes
    selected = {
        c.name: describe_class(c) for c in classes if name in (None, c.name)
    }
    if name is not None and not selected:
        reporter.exit_with_failure(UnknownClass(name))
    reporter.print(
        {'revision': configuration.revision, 'classes': selected},
        [f'{key}: {json.dumps(value)}' for key, value in selected.items()],
    )


@targets.command('set')
@click.argument('name', metavar='CLASS')
@click.option('--age-ms', type=int, help='Maximum age of the data in answers.')
@click.option(
    '--freshness',
    type=click.Choice(_FRESHNESS_CHOICES),
    help="The session's own writes, or the primary's present state.",
)
@click.option('--within-ms', type=int, help='Time limit of an answer.')
@click.option(
    '--share', type=float, help='Share of answers within the time limit.'
)
@click.option(
    '--copies', type=int, help='Number of members that hold a write.'
)
@click.option(
    '--repeatable/--not-repeatable',
    'is_repeatable',
    default=None,
    help='Whether a request may run more than once.',
)
@change_id_option
@json_option
@pass_invocation
def set_targets(
    invocation: Invocation,
    name: str,
    change_id: str,
    is_json: bool,
    **options: Any,
) -> None:
    """Change targets of CLASS; targets that are not given are unchanged."""
    if all(value is None for value in options.values()):
        raise click.UsageError('name at least one target')
    if options['age_ms'] is not None and options['freshness'] is not None:
        raise click.UsageError('--age-ms and --freshness exclude each other')
    reporter = Reporter(is_json)

    def edit(current: Declarations) -> Declarations:
        work_class = current.find_class(name)
        if work_class is None:
            reporter.exit_with_failure(UnknownClass(name))
        changed = _change_class(work_class, **options)
        classes = tuple(
            changed if c.name == name else c for c in current.classes
        )
        return replace(current, classes=classes)

    DeclarationsChange(invocation, reporter, change_id).run(edit)


def _change_class(
    work_class: WorkClass,
    age_ms: int | None,
    freshness: str | None,
    within_ms: int | None,
    share: float | None,
    copies: int | None,
    is_repeatable: bool | None,
) -> WorkClass:
    return replace(
        work_class,
        freshness=_change_freshness(work_class.freshness, age_ms, freshness),
        promptness=_replace_not_none(
            work_class.promptness, within_ms=within_ms, share=share
        ),
        safety=_replace_not_none(
            work_class.safety, copies=copies, is_repeatable=is_repeatable
        ),
    )


def _change_freshness(
    current: Freshness, age_ms: int | None, kind_name: str | None
) -> Freshness:
    if age_ms is not None:
        return Freshness(FreshnessKind.AGE, age_ms)
    if kind_name is not None:
        return Freshness(FreshnessKind(kind_name))
    return current


def _replace_not_none(target: Any, **values: Any) -> Any:
    options = {k: v for k, v in values.items() if v is not None}
    return replace(target, **options)
