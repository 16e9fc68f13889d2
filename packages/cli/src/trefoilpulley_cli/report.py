"""Prints what commands found, for people or for programs."""

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
    """Exit codes of the command."""

    DONE = 0
    """Done."""

    REFUSED = 1
    """Refused or failed."""

    USAGE = 2
    """Wrong usage or settings."""


class Reporter:
    """Prints the report of one command.

    Parameters
    ----------
    is_json : bool
        Whether a program reads the report.
    """

    def __init__(self, is_json: bool) -> None:
        self._is_json = is_json

    def print(self, document: Any, lines: Iterable[str]) -> None:
        """Print a document, or its lines for a person."""
        if self._is_json:
            click.echo(json.dumps(document, indent=2, default=_encode))
            return
        for line in lines:
            click.echo(line)

    def refuse(self, document: Any, lines: Iterable[str]) -> NoReturn:
        """Print why a command was refused or failed, and end it."""
        if self._is_json:
            click.echo(json.dumps(document, indent=2, default=_encode))
        else:
            for line in lines:
                click.echo(line, err=True)
        sys.exit(ExitCode.REFUSED)

    def refuse_failure(self, failure: Failure) -> NoReturn:
        """Print a typed failure, and end the command."""
        document = describe_failure(failure)
        self.refuse({'failure': document}, [format_failure(failure)])

    def refuse_faults(self, faults: tuple[Fault, ...]) -> NoReturn:
        """Print the faults of declarations, and end the command."""
        document = [
            {'path': f.path, 'code': f.code.value, 'detail': f.detail}
            for f in faults
        ]
        lines = [f'{f.path}: {f.code.value}: {f.detail}' for f in faults]
        self.refuse({'faults': document}, lines)


def describe_failure(failure: Failure) -> dict[str, Any]:
    """Return the JSON object of a failure."""
    return {
        'code': failure.code,
        'run_state': failure.run_state.value,
        'is_repeatable': failure.is_repeatable,
        'detail': failure.detail,
    }


def format_failure(failure: Failure) -> str:
    """Return the line of a failure."""
    detail = f': {failure.detail}' if failure.detail else ''
    return f'{failure.code} ({failure.run_state.value}){detail}'


def _encode(value: Any) -> Any:
    if isinstance(value, bytes):
        return {'hex': value.hex()}
    return str(value)
