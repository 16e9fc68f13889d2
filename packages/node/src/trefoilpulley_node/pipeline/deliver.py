"""Filter that routes and executes a request, with retries."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.caller import LookUp
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.failure import StaleTerm
from trefoilpulley_core.failure import WritesPaused
from trefoilpulley_node.pipeline.request import Filter
from trefoilpulley_node.pipeline.request import PipelineRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.retry_budget import RetryBudget
    from trefoilpulley_core.routing import Route
    from trefoilpulley_node.entry.database_views import DatabaseViews
    from trefoilpulley_node.pipeline.execute import Executor
    from trefoilpulley_node.pipeline.outcome_resolver import OutcomeResolver
    from trefoilpulley_node.pipeline.request import DeliveredResult
    from trefoilpulley_node.pipeline.route import Router

PRIMARY_CHANGE_TIMEOUT_S = 0.05
"""Longest wait for a change of primary between attempts, in seconds."""

_RETRYABLE_FAILURES = (
    NotPrimary,
    NoUpstream,
    ReplicaBehind,
    StaleTerm,
    WritesPaused,
)
_UNCERTAIN_FAILURES = (OutcomeUnknown, PeerUnreachable)


class DeliveryFilter(Filter):
    """Tries members until one runs the request or the deadline passes.

    If the answer to an attempt is lost, the outcome of a write is
    unknown. Further attempts use the same outcome key, so that the write
    takes effect at most once. The write is reported as not run only
    after its key has been abandoned.

    Parameters
    ----------
    router : Router
        Chooses the member for each attempt.
    executor : Executor
        Runs each attempt at the chosen member.
    outcome_resolver : OutcomeResolver
        Finds out the outcome of writes whose answers were lost.
    views : DatabaseViews
        Reports changes of primary.
    retries : RetryBudget
        Limits the attempts after the first.
    is_giving_up : Callable[[], bool]
        Returns whether this host's zone is cut off from all other zones,
        or the host is stopping. If so, a request without a usable member is
        refused at once, so that the caller turns to another host.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        router: Router,
        executor: Executor,
        outcome_resolver: OutcomeResolver,
        views: DatabaseViews,
        retries: RetryBudget,
        is_giving_up: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._router = router
        self._executor = executor
        self._outcome_resolver = outcome_resolver
        self._views = views
        self._retries = retries
        self._is_giving_up = is_giving_up
        self._clock = clock

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Add the result of the request."""
        if isinstance(req.message, LookUp):
            resolved = self._outcome_resolver.resolve_outcome(
                req, NotRun('request was not run')
            )
        else:
            resolved = self._deliver(req)
        return resolved.map(
            lambda delivered: replace(req, delivered=delivered)
        )

    def _deliver(
        self, req: PipelineRequest
    ) -> Result[DeliveredResult, Failure]:
        excluded: frozenset[str] = frozenset()
        is_uncertain = False
        attempts = 0
        failure: Failure = NoUpstream('no member could be reached in time')
        while self._clock.now() < req.deadline:
            route = self._router.choose(req, excluded)
            if not isinstance(route, Success):
                if self._is_giving_up():
                    break
                excluded = frozenset()
                self._wait(req)
                continue
            member = route.unwrap().member
            if not self._may_send(member, failure, attempts):
                self._wait(req)
                continue
            attempts += 1
            result = self._executor.execute(req, route.unwrap())
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if isinstance(failure, _UNCERTAIN_FAILURES):
                is_uncertain = True
            elif not isinstance(failure, _RETRYABLE_FAILURES):
                break
            if route.unwrap().is_primary and self._is_giving_up():
                break
            excluded = self._updated_exclusions(req, excluded, route.unwrap())
        return self._finish_failed(req, failure, is_uncertain)

    def _may_send(self, member: str, failure: Failure, attempts: int) -> bool:
        if not attempts:
            self._retries.record_fresh(member)
            return True
        # Every write has an outcome key, which makes the write idempotent.
        return self._retries.try_retry(member, failure, is_repeatable=True)

    def _updated_exclusions(
        self, req: PipelineRequest, excluded: frozenset[str], route: Route
    ) -> frozenset[str]:
        if req.work_class.work is WorkKind.READ and not route.is_primary:
            return excluded | {route.member}
        self._wait(req)
        return frozenset()

    def _wait(self, req: PipelineRequest) -> None:
        left_s = req.deadline - self._clock.now()
        if left_s > 0:
            self._views.wait_for_primary_change(
                req.database, min(PRIMARY_CHANGE_TIMEOUT_S, left_s)
            )

    def _finish_failed(
        self, req: PipelineRequest, failure: Failure, is_uncertain: bool
    ) -> Result[DeliveredResult, Failure]:
        if req.work_class.work is WorkKind.READ:
            return Failed(_as_read_failure(failure))
        if is_uncertain:
            return self._outcome_resolver.resolve_outcome(req, failure)
        return Failed(failure)


def _as_read_failure(failure: Failure) -> Failure:
    # A read has no effects, so a read without an answer counts as not
    # run.
    if failure.run_state is RunState.UNKNOWN:
        return NoUpstream(failure.detail)
    return failure
