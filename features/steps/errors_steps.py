"""Steps for the page of errors."""

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
"""Packages whose failures are reported to callers and operators."""

ROW = re.compile(r'\| `[a-z-]+` \| .* \|')
"""Pattern of a table row that begins with the code of an error."""


def import_modules() -> None:
    """Import each module of the packages except the commands."""
    for package in PACKAGES:
        prefix = f'{package.__name__}.'
        for info in pkgutil.walk_packages(package.__path__, prefix):
            if info.name.rpartition('.')[2] not in ('main', '__main__'):
                importlib.import_module(info.name)


def is_reported(failure_type: type[Failure]) -> bool:
    """Return whether one of the packages defines a failure."""
    package = failure_type.__module__.partition('.')[0]
    return any(package == p.__name__ for p in PACKAGES)


def format_row(failure_type: type[Failure]) -> str:
    """Return the table row of a failure."""
    exc = to_error(to_refusal(failure_type()))
    repeat = 'yes' if failure_type.is_repeatable else 'no'
    meaning = failure_type.__doc__.partition('\n')[0]
    cells = (
        f'`{failure_type.code}`',
        failure_type.run_state.value,
        repeat,
        f'`{type(exc).__name__}`',
        meaning,
    )
    return f'| {" | ".join(cells)} |'


class ErrorsPageSteps:
    """Steps that compare the page with the catalogue."""

    @staticmethod
    @when('the errors of the page "{path}" are compared with the catalogue')
    def compare(context: Any, path: str) -> None:
        """Collect the rows of the page and those of the catalogue."""
        import_modules()
        lines = Path(path).read_text().splitlines()
        context.page_rows = {x for x in lines if ROW.fullmatch(x)}
        context.catalogue_rows = {
            format_row(failure_type)
            for failure_type in failures_by_code().values()
            if failure_type is not Failure and is_reported(failure_type)
        }

    @staticmethod
    @then('the page has exactly the rows of the catalogue')
    def expect_same_rows(context: Any) -> None:
        """Report the missing rows and the rows without a failure."""
        missing = '\n'.join(sorted(context.catalogue_rows - context.page_rows))
        unknown = '\n'.join(sorted(context.page_rows - context.catalogue_rows))
        assert not missing, f'missing rows:\n{missing}'
        assert not unknown, f'rows without a failure:\n{unknown}'

    @staticmethod
    @then('no two errors share a code')
    def expect_unique_codes(context: Any) -> None:
        """Check that only one type of failure has each code."""
        names: dict[str, set[str]] = {}
        pending: list[type[Failure]] = [Failure]
        while pending:
            failure_type = pending.pop()
            name = f'{failure_type.__module__}.{failure_type.__name__}'
            names.setdefault(failure_type.code, set()).add(name)
            pending.extend(failure_type.__subclasses__())
        repeated = [v for v in names.values() if len(v) > 1]
        assert not repeated, repeated
