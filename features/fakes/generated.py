"""Checks of rules on generated input."""

from __future__ import annotations

import os
from typing import Any
from typing import TYPE_CHECKING

import hypothesis

if TYPE_CHECKING:
    from collections.abc import Callable

    from hypothesis.strategies import SearchStrategy

FACTOR_VARIABLE = 'EXAMPLES_FACTOR'
"""Environment variable by which longer runs multiply the examples."""


def find_violation(
    check: Callable[..., None],
    examples: int,
    *inputs: SearchStrategy[Any],
) -> AssertionError | None:
    """Return the first broken rule on generated input, or ``None``.

    Parameters
    ----------
    check : Callable[..., None]
        Raises ``AssertionError`` where a rule is broken.
    examples : int
        Inputs to generate, the same ones in each run; multiplied by
        the environment variable ``EXAMPLES_FACTOR``.
    inputs : SearchStrategy
        Strategy of each argument of the check.
    """
    configured = hypothesis.settings(
        derandomize=True,
        max_examples=examples * int(os.environ.get(FACTOR_VARIABLE, '1')),
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
    )
    try:
        configured(hypothesis.given(*inputs)(check))()
    except AssertionError as exc:
        return exc
    return None
