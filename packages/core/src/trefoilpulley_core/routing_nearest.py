"""Thin routing policy of the first version: nearest replica, no wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core._routing_rules import is_readable
from trefoilpulley_core._routing_rules import needs_primary
from trefoilpulley_core._routing_rules import primary_route
from trefoilpulley_core._routing_rules import replica_route
from trefoilpulley_core.routing import RoutingPolicy

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.routing import DatabaseView
    from trefoilpulley_core.routing import Route
    from trefoilpulley_core.routing import RouteRequest


class NearestRouting(RoutingPolicy):
    """Sends reads to the reachable replica with the shortest round trip.

    The replica refuses a read whose floor it has not reached.
    """

    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Return the member for a request, or ``NoUpstream``."""
        if needs_primary(req):
            return primary_route(view, req)
        replicas = [m for m in view.members if is_readable(m, req)]
        if not replicas:
            return primary_route(view, req)
        nearest = min(replicas, key=lambda m: m.round_trip_ms)
        return replica_route(nearest, req)
