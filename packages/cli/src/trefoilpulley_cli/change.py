"""Changes of the declarations, with a reliable report of the outcome."""

from __future__ import annotations

from typing import Any
from typing import NoReturn
from typing import TYPE_CHECKING

import click
from returns.result import Success

from trefoilpulley_cli.report import describe_failure
from trefoilpulley_cli.report import format_failure
from trefoilpulley_core.configuration.change import ChangeConflict
from trefoilpulley_core.configuration.change import ChangeUnknown
from trefoilpulley_core.configuration.change import read_configuration
from trefoilpulley_core.configuration.change import submit_change
from trefoilpulley_core.configuration.document import decode_databases
from trefoilpulley_core.declarations_check import check_declarations
from trefoilpulley_core.declarations_form import format_declarations
from trefoilpulley_core.keys import CATALOG_DATABASES_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_cli.invocation import Invocation
    from trefoilpulley_cli.report import Reporter
    from trefoilpulley_core.configuration.change import AppliedChange
    from trefoilpulley_core.configuration.change import StoredConfiguration
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import Platform

change_id_option = click.option(
    '--change-id',
    default='',
    help='Identifier of an earlier change whose outcome is unknown.',
)
"""Option ``--change-id`` of the commands that change the declarations."""


class DeclarationsChange:
    """Change of the declarations.

    Parameters
    ----------
    invocation : Invocation
        Settings and services of the command.
    reporter : Reporter
        Prints the outcome.
    change_id : str
        Identifier of an earlier attempt to repeat; empty for a new change.
    """

    def __init__(
        self, invocation: Invocation, reporter: Reporter, change_id: str
    ) -> None:
        self._platform = invocation.open_platform()
        self._timer = invocation.services.make_timer()
        self._reporter = reporter
        rng = invocation.services.make_rng()
        self.is_resubmitted = bool(change_id)
        """Whether the change repeats an attempt that may have succeeded."""

        self._change_id = change_id or f'{rng.getrandbits(128):032x}'

    def run(
        self,
        edit: Callable[[Declarations], Declarations],
        expected_revision: int | None = None,
    ) -> None:
        """Edit the declarations in force and submit the result.

        Parameters
        ----------
        edit : Callable[[Declarations], Declarations]
            Function from the current to the new declarations.
        expected_revision : int, optional
            Revision that the change must replace; by default the revision
            that ``edit`` was applied to.
        """
        stored = self._read_stored().configuration
        edited = edit(stored.declarations)
        ledgers = read_ledger_names(self._platform)
        checked = check_declarations(format_declarations(edited), ledgers)
        if not isinstance(checked, Success):
            self._reporter.exit_with_faults(checked.failure())
        if expected_revision is None:
            expected_revision = stored.revision
        outcome = submit_change(
            self._platform,
            checked.unwrap(),
            self._change_id,
            expected_revision,
            self._timer.sleep,
        )
        if not isinstance(outcome, Success):
            self._exit_with_failure(outcome.failure())
        self._report_applied(outcome.unwrap())

    def _read_stored(self) -> StoredConfiguration:
        found = read_configuration(self._platform)
        if isinstance(found, Success):
            return found.unwrap()
        self._exit_with_failure(found.failure())

    def _report_applied(self, applied: AppliedChange) -> None:
        document = self._describe('applied')
        self._reporter.print(
            {**document, 'revision': applied.revision},
            [f'applied: revision {applied.revision}'],
        )

    def _exit_with_failure(self, failure: Failure) -> NoReturn:
        is_unknown = self._is_unknown(failure)
        outcome = 'unknown' if is_unknown else 'not-applied'
        line = f'{outcome}: {format_failure(failure)}'
        if is_unknown:
            line += f'; repeat with --change-id {self._change_id}'
        document = self._describe(outcome)
        self._reporter.exit_with_error(
            {**document, 'failure': describe_failure(failure)},
            [line],
        )

    def _is_unknown(self, failure: Failure) -> bool:
        if isinstance(failure, ChangeUnknown):
            return True
        # After an earlier attempt, only a conflict that the platform reports
        # proves that the change is not in force. Any other failure concerns
        # this attempt alone.
        return self.is_resubmitted and not isinstance(failure, ChangeConflict)

    def _describe(self, outcome: str) -> dict[str, Any]:
        return {'outcome': outcome, 'change_id': self._change_id}


def read_ledger_names(platform: Platform) -> frozenset[str] | None:
    """Return the names of all ledgers and databases on the platform.

    Returns
    -------
    frozenset[str] or None
        The names, or ``None`` if they cannot be read.
    """
    found = platform.get(CATALOG_DATABASES_KEY).value_or(None)
    if found is None:
        return None
    databases = decode_databases(found.value).value_or(None)
    if databases is None:
        return None
    names = {d.ledger for d in databases}
    return frozenset(names.union(d.name for d in databases))
