"""Search for generated inputs that break a rule."""

from __future__ import annotations

import os
from typing import Any
from typing import TYPE_CHECKING

import hypothesis

if TYPE_CHECKING:
    from collections.abc import Callable

    from hypothesis.strategies import SearchStrategy

FACTOR_VARIABLE = 'EXAMPLES_FACTOR'
"""Environment variable that multiplies the number of examples."""


def find_violation(
    check: Callable[..., None],
    examples: int,
    *inputs: SearchStrategy[Any],
) -> AssertionError | None:
    """Return the failure of a check on generated inputs, or ``None``.

    Parameters
    ----------
    check : Callable[..., None]
        Raises ``AssertionError`` if the input breaks a rule.
    examples : int
        Number of inputs to generate, multiplied by the environment
        variable ``EXAMPLES_FACTOR``. Each run generates the same inputs.
    inputs : SearchStrategy
        Strategies that generate the arguments of the check.
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
