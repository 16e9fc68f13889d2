"""Plain policy: reads round robin over replicas that pass the floor."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from trefoilpulley_core._routing_rules import is_readable
from trefoilpulley_core._routing_rules import needs_primary
from trefoilpulley_core._routing_rules import reaches
from trefoilpulley_core._routing_rules import route_to_primary
from trefoilpulley_core._routing_rules import route_to_replica
from trefoilpulley_core.routing import RoutingPolicy

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.routing import DatabaseView
    from trefoilpulley_core.routing import MemberView
    from trefoilpulley_core.routing import Route
    from trefoilpulley_core.routing import RouteRequest


class PlainRouting(RoutingPolicy):
    """Reads round robin over the replicas that pass the floor."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Return the member for a request, or ``NoUpstream``."""
        if needs_primary(req):
            return route_to_primary(view, req)
        found = [m for m in view.members if _may_read(m, req)]
        if not found:
            return route_to_primary(view, req)
        turn = next(self._turns) % len(found)
        return route_to_replica(found[turn], req)


def _may_read(member: MemberView, req: RouteRequest) -> bool:
    """Return whether a replica holds the floor by its digest."""
    return is_readable(member, req) and reaches(member.digest.last, req.floor)
