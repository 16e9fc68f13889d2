"""Behave hooks."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# The patch must come before every other import.
import logging  # noqa: E402
from typing import Any  # noqa: E402


def before_all(context: Any) -> None:
    """Leave each opened connection out of the output."""
    logging.getLogger('websockets').setLevel(logging.WARNING)


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario a fresh set of clean-ups."""
    context.cleanups = []


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the clean-ups in reverse order."""
    for cleanup in reversed(context.cleanups):
        cleanup()
