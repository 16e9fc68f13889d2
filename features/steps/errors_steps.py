"""Steps on the page of errors."""

from __future__ import annotations

import importlib
from pathlib import Path
import pkgutil
import re
from typing import Any

from behave import then
from behave import when

import trefoilpulley_cli
import trefoilpulley_client
from trefoilpulley_client.entry_link import to_refusal
from trefoilpulley_client.errors import to_error
import trefoilpulley_core
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import failures_by_code
import trefoilpulley_node

PACKAGES = (
    trefoilpulley_cli,
    trefoilpulley_client,
    trefoilpulley_core,
    trefoilpulley_node,
)
"""Packages whose failures reach callers and operators."""

ROW = re.compile(r'\| `[a-z-]+` \| .* \|')
"""Row of a table that begins with the code of an error."""


def import_modules() -> None:
    """Import each module of the packages but for the commands."""
    for package in PACKAGES:
        prefix = f'{package.__name__}.'
        for info in pkgutil.walk_packages(package.__path__, prefix):
            if info.name.rpartition('.')[2] not in ('main', '__main__'):
                importlib.import_module(info.name)


def is_told(kind: type[Failure]) -> bool:
    """Return whether a failure is of one of the packages."""
    package = kind.__module__.partition('.')[0]
    return any(package == p.__name__ for p in PACKAGES)


def format_row(kind: type[Failure]) -> str:
    """Return the row of a failure."""
    exc = to_error(to_refusal(kind()))
    repeat = 'yes' if kind.is_repeatable else 'no'
    meaning = kind.__doc__.partition('\n')[0]
    cells = (
        f'`{kind.code}`',
        kind.run_state.value,
        repeat,
        f'`{type(exc).__name__}`',
        meaning,
    )
    return f'| {" | ".join(cells)} |'


class ErrorsSteps:
    """Steps that compare the page with the catalogue."""

    @staticmethod
    @when('the errors of the page "{path}" are compared with the catalogue')
    def compare(context: Any, path: str) -> None:
        """Collect the rows on both sides."""
        import_modules()
        lines = Path(path).read_text().splitlines()
        context.written = {x for x in lines if ROW.fullmatch(x)}
        context.expected = {
            format_row(kind)
            for kind in failures_by_code().values()
            if kind is not Failure and is_told(kind)
        }

    @staticmethod
    @then('each error has the row that the catalogue gives')
    def expect_rows(context: Any) -> None:
        """Print what is missing and what is not known."""
        missing = '\n'.join(sorted(context.expected - context.written))
        unknown = '\n'.join(sorted(context.written - context.expected))
        assert not missing, f'rows that are missing:\n{missing}'
        assert not unknown, f'rows of no error:\n{unknown}'

    @staticmethod
    @then('no two errors share a code')
    def expect_unique_codes(context: Any) -> None:
        """Compare the names of the types under each code."""
        names: dict[str, set[str]] = {}
        pending: list[type[Failure]] = [Failure]
        while pending:
            kind = pending.pop()
            name = f'{kind.__module__}.{kind.__name__}'
            names.setdefault(kind.code, set()).add(name)
            pending.extend(kind.__subclasses__())
        repeated = [v for v in names.values() if len(v) > 1]
        assert not repeated, repeated
