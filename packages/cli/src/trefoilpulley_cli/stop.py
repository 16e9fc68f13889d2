"""Commands ``stop plan``, ``stop list`` and ``stop cancel``.

A planned stop takes the members of one ledger in one availability zone out of
use, without interrupting requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import click

from trefoilpulley_cli.change import change_id_option
from trefoilpulley_cli.change import DeclarationsChange
from trefoilpulley_cli.in_force import read_in_force
from trefoilpulley_cli.invocation import Invocation
from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.invocation import pass_invocation
from trefoilpulley_cli.report import Reporter
from trefoilpulley_core.declarations import PlannedStop
from trefoilpulley_core.declarations_form import describe_stop
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Declarations


@dataclass(frozen=True, slots=True)
class StopNameInUse(Failure):
    """Another planned stop has the name."""

    code = 'stop-name-in-use'
    run_state = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class UnknownStop(Failure):
    """No planned stop has the name."""

    code = 'unknown-stop'
    run_state = RunState.NOT_RUN


@click.group()
def stop() -> None:
    """Plan stops of the upstreams in an availability zone."""


@stop.command('plan')
@click.argument('name')
@click.option(
    '--ledger', required=True, help='Ledger whose members are stopped.'
)
@click.option(
    '--zone',
    required=True,
    help='Availability zone in which members are stopped.',
)
@change_id_option
@json_option
@pass_invocation
def plan_stop(
    invocation: Invocation,
    name: str,
    ledger: str,
    zone: str,
    change_id: str,
    is_json: bool,
) -> None:
    """Plan the stop NAME; work moves to other members without interruption."""
    reporter = Reporter(is_json)
    planned = PlannedStop(name, ledger, zone)

    def edit(current: Declarations) -> Declarations:
        others = tuple(s for s in current.stops if s != planned)
        if any(s.name == name for s in others):
            reporter.exit_with_failure(StopNameInUse(name))
        return replace(current, stops=(*others, planned))

    DeclarationsChange(invocation, reporter, change_id).run(edit)


@stop.command('list')
@json_option
@pass_invocation
def list_stops(invocation: Invocation, is_json: bool) -> None:
    """List the planned stops."""
    reporter = Reporter(is_json)
    configuration = read_in_force(invocation, reporter)
    stops = configuration.declarations.stops
    reporter.print(
        {
            'revision': configuration.revision,
            'stops': {s.name: describe_stop(s) for s in stops},
        },
        [f'{s.name}: {s.ledger} in {s.zone}' for s in stops],
    )


@stop.command('cancel')
@click.argument('name')
@change_id_option
@json_option
@pass_invocation
def cancel_stop(
    invocation: Invocation, name: str, change_id: str, is_json: bool
) -> None:
    """Cancel the stop NAME; its upstreams receive work again."""
    reporter = Reporter(is_json)
    change = DeclarationsChange(invocation, reporter, change_id)

    def edit(current: Declarations) -> Declarations:
        others = tuple(s for s in current.stops if s.name != name)
        # An unknown name is no error if an earlier attempt of this change may
        # already have cancelled the stop.
        if len(others) == len(current.stops) and not change.is_resubmitted:
            reporter.exit_with_failure(UnknownStop(name))
        return replace(current, stops=others)

    change.run(edit)
