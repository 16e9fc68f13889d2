"""Pipeline step that chooses the member for one attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.routing import find_primary
from trefoilpulley_core.routing import Route
from trefoilpulley_core.routing import RouteRequest

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.routing import RoutingPolicy
    from trefoilpulley_node.entry.database_views import DatabaseViews
    from trefoilpulley_node.pipeline.request import PipelineRequest


class Router:
    """Chooses members by the routing policy and the known digests.

    Parameters
    ----------
    policy : RoutingPolicy
        Policy that chooses a member.
    views : DatabaseViews
        Newest digests of the members.
    zone : str
        Availability zone of this host.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        policy: RoutingPolicy,
        views: DatabaseViews,
        zone: str,
        clock: Clock,
    ) -> None:
        self._policy = policy
        self._views = views
        self._zone = zone
        self._clock = clock

    def choose(
        self, req: PipelineRequest, excluded: frozenset[str]
    ) -> Result[Route, Failure]:
        """Return the member for the next attempt."""
        route_request = RouteRequest(
            req.work_class, req.floor, self._zone, req.deadline, excluded
        )
        view = self._views.view(req.database)
        return self._policy.choose(view, route_request, self._clock.now())

    def choose_primary(self, req: PipelineRequest) -> Result[Route, Failure]:
        """Return the route to the primary, which alone looks up outcomes."""
        primary = find_primary(self._views.view(req.database))
        if primary is None:
            return Failed(NoUpstream('primary of the database is unknown'))
        return Success(Route(primary.member, is_primary=True))
