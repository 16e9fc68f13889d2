"""Plain routing policy: round robin over up-to-date replicas."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from trefoilpulley_core._routing_rules import has_reached
from trefoilpulley_core._routing_rules import is_readable
from trefoilpulley_core._routing_rules import needs_primary
from trefoilpulley_core._routing_rules import primary_route
from trefoilpulley_core._routing_rules import replica_route
from trefoilpulley_core.routing import RoutingPolicy

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.routing import DatabaseView
    from trefoilpulley_core.routing import MemberView
    from trefoilpulley_core.routing import Route
    from trefoilpulley_core.routing import RouteRequest


class RoundRobinRouting(RoutingPolicy):
    """Distributes reads round robin over replicas that reached the floor."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Return the member for a request, or ``NoUpstream``."""
        if needs_primary(req):
            return primary_route(view, req)
        replicas = [m for m in view.members if _may_serve(m, req)]
        if not replicas:
            return primary_route(view, req)
        index = next(self._counter) % len(replicas)
        return replica_route(replicas[index], req)


def _may_serve(member: MemberView, req: RouteRequest) -> bool:
    """Return whether a replica has reached the floor by its digest."""
    return is_readable(member, req) and has_reached(
        member.digest.last, req.floor
    )
