"""Output of the commands as text or JSON."""

from __future__ import annotations

from enum import IntEnum
import json
import sys
from typing import Any
from typing import NoReturn
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_core.declarations_fault import Fault
    from trefoilpulley_core.failure import Failure


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    """The command succeeded."""

    REFUSED = 1
    """The command was refused or failed."""

    USAGE = 2
    """The usage or the settings are invalid."""


class Reporter:
    """Print the report of one command.

    Parameters
    ----------
    is_json : bool
        Whether to print JSON instead of text.
    """

    def __init__(self, is_json: bool) -> None:
        self._is_json = is_json

    def print(self, document: Any, lines: Iterable[str]) -> None:
        """Print the result of a command.

        Parameters
        ----------
        document : Any
            Result, printed as JSON.
        lines : Iterable[str]
            Result as text, printed otherwise.
        """
        if self._is_json:
            click.echo(json.dumps(document, indent=2, default=_encode))
            return
        for line in lines:
            click.echo(line)

    def exit_with_error(self, document: Any, lines: Iterable[str]) -> NoReturn:
        """Print the error of a command and exit with `ExitCode.REFUSED`.

        Parameters
        ----------
        document : Any
            Error, printed as JSON to standard output.
        lines : Iterable[str]
            Error as text, printed to standard error otherwise.
        """
        if self._is_json:
            click.echo(json.dumps(document, indent=2, default=_encode))
        else:
            for line in lines:
                click.echo(line, err=True)
        sys.exit(ExitCode.REFUSED)

    def exit_with_failure(self, failure: Failure) -> NoReturn:
        """Print a failure and exit."""
        document = describe_failure(failure)
        self.exit_with_error({'failure': document}, [format_failure(failure)])

    def exit_with_faults(self, faults: tuple[Fault, ...]) -> NoReturn:
        """Print the faults of declarations and exit."""
        document = [
            {'path': f.path, 'code': f.code.value, 'detail': f.detail}
            for f in faults
        ]
        lines = [f'{f.path}: {f.code.value}: {f.detail}' for f in faults]
        self.exit_with_error({'faults': document}, lines)


def describe_failure(failure: Failure) -> dict[str, Any]:
    """Return a failure as a JSON object."""
    return {
        'code': failure.code,
        'run_state': failure.run_state.value,
        'is_repeatable': failure.is_repeatable,
        'detail': failure.detail,
    }


def format_failure(failure: Failure) -> str:
    """Return a failure as one line of text."""
    detail = f': {failure.detail}' if failure.detail else ''
    return f'{failure.code} ({failure.run_state.value}){detail}'


def _encode(value: Any) -> Any:
    if isinstance(value, bytes):
        return {'hex': value.hex()}
    return str(value)
