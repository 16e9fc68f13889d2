"""Finds out the outcome of writes whose answers were lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import RequestIdReused
from trefoilpulley_core.failure import RunState
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.entry.database_views import DatabaseViews
    from trefoilpulley_node.pipeline.execute import Executor
    from trefoilpulley_node.pipeline.request import DeliveredResult
    from trefoilpulley_node.pipeline.request import PipelineRequest
    from trefoilpulley_node.pipeline.route import Router

OUTCOME_LOOKUP_TIMEOUT_S = 8.0
"""Longest time for which a lost outcome is looked up, in seconds."""

LOOKUP_RETRY_INTERVAL_S = 0.1
"""Longest wait for a change of primary between look-ups, in seconds."""


class OutcomeResolver:
    """Looks up the outcome of a write until the outcome is known.

    Parameters
    ----------
    router : Router
        Finds the primary of the database.
    executor : Executor
        Sends the look-ups to the primary.
    views : DatabaseViews
        Reports changes of primary.
    is_giving_up : Callable[[], bool]
        Returns whether this host's zone is cut off from all other zones,
        or the host is stopping. If so, the look-up ends early, because the
        caller can look up the outcome sooner through another host.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        router: Router,
        executor: Executor,
        views: DatabaseViews,
        is_giving_up: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._router = router
        self._executor = executor
        self._views = views
        self._is_giving_up = is_giving_up
        self._clock = clock

    def resolve_outcome(
        self, req: PipelineRequest, refusal: Failure
    ) -> Result[DeliveredResult, Failure]:
        """Return the outcome of a write, or a refusal if it will never run.

        Parameters
        ----------
        req : PipelineRequest
            Request whose outcome is unknown.
        refusal : Failure
            Failure to return once the outcome key is abandoned.

        Returns
        -------
        Result[Delivered, Failure]
            The outcome, the refusal if the request will never run, or
            `OutcomeUnknown` if neither could be determined.
        """
        until = self._clock.now() + OUTCOME_LOOKUP_TIMEOUT_S
        while self._clock.now() < until:
            result = self._look_up(req, until - self._clock.now())
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if type(failure) is NotRun:
                return Failed(_as_not_run(refusal))
            if isinstance(failure, RequestIdReused):
                return result
            if self._is_giving_up():
                break
            self._views.wait_for_primary_change(
                req.database, LOOKUP_RETRY_INTERVAL_S
            )
        events.OUTCOME_UNKNOWN.log(
            tenant=req.tenant, request=req.key.request_id
        )
        return Failed(
            OutcomeUnknown('no primary reported the outcome in time')
        )

    def _look_up(
        self, req: PipelineRequest, left_s: float
    ) -> Result[DeliveredResult, Failure]:
        route = self._router.choose_primary(req)
        if not isinstance(route, Success):
            return route
        return self._executor.resolve(req, route.unwrap(), left_s)


def _as_not_run(refusal: Failure) -> Failure:
    if refusal.run_state is RunState.NOT_RUN:
        return refusal
    return NotRun('request id was abandoned; use a new one')
