"""Reading of the declarations in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.configuration.change import read_configuration

if TYPE_CHECKING:
    from trefoilpulley_cli.invocation import Invocation
    from trefoilpulley_cli.report import Reporter
    from trefoilpulley_core.declarations import Configuration


def read_in_force(invocation: Invocation, reporter: Reporter) -> Configuration:
    """Return the configuration in force, or exit with the failure."""
    read = read_configuration(invocation.open_platform())
    if not isinstance(read, Success):
        reporter.exit_with_failure(read.failure())
    return read.unwrap().configuration
