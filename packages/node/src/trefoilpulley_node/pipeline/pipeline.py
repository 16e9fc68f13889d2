"""Request pipeline that applies filters in order."""

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
    """Applies filters to a request until one of them fails.

    Parameters
    ----------
    filters : Sequence[Filter]
        Filters in the order in which they are applied.
    """

    def __init__(self, filters: Sequence[Filter]) -> None:
        self._filters = tuple(filters)

    def run(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Return the request after all filters, or the first failure."""
        result: Result[PipelineRequest, Failure] = Success(req)
        for request_filter in self._filters:
            result = request_filter.apply(result.unwrap())
            if not isinstance(result, Success):
                return result
        return result
