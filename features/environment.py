"""Behave hooks."""

from __future__ import annotations

from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Give each scenario a fresh set of clean-ups."""
    context.cleanups = []


def after_scenario(context: Any, scenario: Any) -> None:
    """Run the clean-ups in reverse order."""
    for cleanup in reversed(context.cleanups):
        cleanup()
