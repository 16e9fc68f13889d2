"""The request pipeline: filters in a row, the first failure ends it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.pipeline.request import Filter
    from trefoilpulley_node.pipeline.request import PipelineRequest


class Pipeline:
    """Filters that a request passes through in order.

    Parameters
    ----------
    filters : Sequence[Filter]
        Filters, the first one first.
    """

    def __init__(self, filters: Sequence[Filter]) -> None:
        self._filters = tuple(filters)

    def run(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Pass a request through every filter, up to the first failure."""
        result: Result[PipelineRequest, Failure] = Success(req)
        for step in self._filters:
            result = step.apply(result.unwrap())
            if not isinstance(result, Success):
                return result
        return result
