"""Settles writes whose answers were lost."""

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
    from trefoilpulley_node.entry.views import Views
    from trefoilpulley_node.pipeline.execute import Executor
    from trefoilpulley_node.pipeline.request import Delivered
    from trefoilpulley_node.pipeline.request import PipelineRequest
    from trefoilpulley_node.pipeline.route import Router

PATIENCE_S = 8.0
"""Time for which a lost outcome is looked up before it stays unknown."""

RETRY_S = 0.1
"""Wait for a change of primary between look-ups."""


class Confirm:
    """Looks the outcome of a write up until it is certain.

    Parameters
    ----------
    router : Router
        Finds the primary.
    executor : Executor
        Sends the look-ups.
    views : Views
        Tells of a change of primary.
    is_cut_off : Callable[[], bool]
        Whether this host's zone reaches no other; another host of the
        caller's choice can then look the outcome up sooner.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        router: Router,
        executor: Executor,
        views: Views,
        is_cut_off: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._router = router
        self._executor = executor
        self._views = views
        self._is_cut_off = is_cut_off
        self._clock = clock

    def settle(
        self, req: PipelineRequest, refusal: Failure
    ) -> Result[Delivered, Failure]:
        """Return the kept outcome, or a true refusal.

        Parameters
        ----------
        req : PipelineRequest
            Request whose outcome is uncertain.
        refusal : Failure
            What to say once the key is abandoned.

        Returns
        -------
        Result[Delivered, Failure]
            The outcome; the refusal where the request will never run;
            `OutcomeUnknown` where that could not be found out.
        """
        until = self._clock.now() + PATIENCE_S
        while self._clock.now() < until:
            result = self._look_up(req, until - self._clock.now())
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if type(failure) is NotRun:
                return Failed(_as_not_run(refusal))
            if isinstance(failure, RequestIdReused):
                return result
            if self._is_cut_off():
                break
            self._views.wait_for_change(req.database, RETRY_S)
        events.OUTCOME_UNKNOWN.log(
            tenant=req.tenant, request=req.key.request_id
        )
        return Failed(OutcomeUnknown('the primary could not be asked'))

    def _look_up(
        self, req: PipelineRequest, left_s: float
    ) -> Result[Delivered, Failure]:
        route = self._router.choose_primary(req)
        if not isinstance(route, Success):
            return route
        return self._executor.resolve(req, route.unwrap(), left_s)


def _as_not_run(refusal: Failure) -> Failure:
    if refusal.run_state is RunState.NOT_RUN:
        return refusal
    return NotRun('abandoned; use a new request id')
