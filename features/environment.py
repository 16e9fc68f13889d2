"""Hooks of behave."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# gevent must patch the standard library before any other import.
import logging  # noqa: E402
from typing import Any  # noqa: E402


def before_all(context: Any) -> None:
    """Hide the log lines about opened connections."""
    logging.getLogger('websockets').setLevel(logging.WARNING)


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario an empty list of clean-up functions."""
    context.cleanups = []


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the clean-up functions in reverse order."""
    for cleanup in reversed(context.cleanups):
        cleanup()
