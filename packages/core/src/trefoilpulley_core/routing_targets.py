"""Routing policy that uses the targets of the classes of work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core._routing_rules import has_reached
from trefoilpulley_core._routing_rules import is_readable
from trefoilpulley_core._routing_rules import needs_primary
from trefoilpulley_core._routing_rules import primary_route
from trefoilpulley_core._routing_rules import replica_route
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.routing import find_primary
from trefoilpulley_core.routing import RoutingPolicy

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.declarations import Freshness
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.peer import MemberDigest
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.routing import DatabaseView
    from trefoilpulley_core.routing import MemberView
    from trefoilpulley_core.routing import Route
    from trefoilpulley_core.routing import RouteRequest
    from trefoilpulley_core.targets import ClassTargets

REPLICA_TIME_SHARE = 0.5
"""Share of the remaining time that a replica may take to answer.

Where the best replica needs longer, the primary serves if it is faster.
"""

MAX_DIGEST_AGE_S = 1.0
"""Age up to which a digest is considered fresh, in seconds."""

STALE_DIGEST_COST_MS = 20.0
"""Penalty for a member whose digest is not fresh, in milliseconds."""

CROSS_ZONE_COST_MS = 1.0
"""Penalty for a link between zones, in milliseconds.

The penalty is added to the round trip time of the link.
"""

MIN_WAIT_MS = 1.0
"""Expected wait at a replica that should have the floor, in milliseconds."""

WAIT_MARGIN_MS = 10.0
"""Time added to the expected wait for a floor, in milliseconds."""

_INFINITE_MS = float('inf')


class TargetRouting(RoutingPolicy):
    """Prefers replicas as long as the class's promptness target allows.

    A replica serves a read if it is expected to reach the floor and
    answer within a share of the remaining time. The share shrinks as
    the class uses up its allowed late answers. Otherwise the member
    with the shortest expected answer time serves, which may be the
    primary.

    Parameters
    ----------
    targets : ClassTargets | None
        Results of the classes against their targets at this host.
    """

    def __init__(self, targets: ClassTargets | None = None) -> None:
        self._targets = targets

    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Return the member for a request, or ``NoUpstream``."""
        if needs_primary(req):
            return primary_route(view, req)
        primary = find_primary(view)
        replica_budget_ms = self._replica_budget_ms(req, now)
        best = None
        best_ms = _INFINITE_MS
        floor_wait_ms = 0.0
        for member in view.members:
            if not _may_serve(member, primary, req, now):
                continue
            wait_ms = _floor_wait_ms(member, primary, req.floor, now)
            margin_ms = WAIT_MARGIN_MS if wait_ms else 0.0
            is_long_wait = wait_ms > WAIT_MARGIN_MS
            if is_long_wait and _is_most_advanced(member, view, primary, req):
                wait_ms = MIN_WAIT_MS
                margin_ms = 0.0
            cost_ms = wait_ms + _expected_answer_ms(member, req, now)
            if cost_ms < best_ms:
                best, best_ms = member, cost_ms
                floor_wait_ms = wait_ms + margin_ms
        if best is None:
            return primary_route(view, req)
        if best_ms > replica_budget_ms and _is_faster(
            primary, req, now, best_ms
        ):
            return primary_route(view, req)
        return replica_route(best, req, round(floor_wait_ms))

    def _replica_budget_ms(self, req: RouteRequest, now: float) -> float:
        """Return the time that a replica may take to answer, in ms."""
        left_ms = max(0.0, req.deadline - now) * 1000
        if self._targets is None:
            return left_ms * REPLICA_TIME_SHARE
        danger = self._targets.danger(req.work_class.name, now)
        return left_ms * REPLICA_TIME_SHARE * (1 - danger)


def _may_serve(
    member: MemberView,
    primary: MemberView | None,
    req: RouteRequest,
    now: float,
) -> bool:
    """Return whether a replica is eligible for a read."""
    if not is_readable(member, req):
        return False
    if primary and _has_diverged(member.digest, primary.digest):
        return False
    return _is_fresh(member, req.work_class.freshness, now)


def _has_diverged(digest: MemberDigest, primary: MemberDigest) -> bool:
    """Return whether a log holds records that its primary's log lacks."""
    if digest.last.term >= primary.last.term:
        return False
    return digest.last.index >= primary.term_start


def _is_fresh(member: MemberView, freshness: Freshness, now: float) -> bool:
    """Return whether a replica's data is expected to be fresh enough."""
    if freshness.kind is not FreshnessKind.AGE:
        return True
    if freshness.max_age_ms is None:
        return True
    if now - member.observed_at > MAX_DIGEST_AGE_S:
        # The digest is too old to show the present age. The replica's
        # pooler checks the age again, and a refusal carries a new digest.
        return True
    age_ms = member.digest.age_ms
    return age_ms is not None and age_ms <= freshness.max_age_ms


def _floor_wait_ms(
    member: MemberView,
    primary: MemberView | None,
    floor: Position,
    now: float,
) -> float:
    """Return the expected time until a replica reaches a floor, in ms."""
    digest = member.digest
    if floor.index == 0 or has_reached(digest.last, floor):
        return 0.0
    if primary is None or digest.term < primary.digest.term:
        return _INFINITE_MS
    if has_reached(_confirmed_position(member, primary), floor):
        return 0.0
    wait_ms = digest.lag_ms - member.round_trip_ms / 2
    if has_reached(primary.digest.last, floor):
        wait_ms -= (now - primary.observed_at) * 1000
    return max(MIN_WAIT_MS, wait_ms)


def _confirmed_position(member: MemberView, primary: MemberView) -> Position:
    """Return the position that a replica has confirmed to its primary."""
    for copy in primary.digest.copies:
        if copy.member == member.member:
            return copy.position
    return BEGINNING


def _is_most_advanced(
    member: MemberView,
    view: DatabaseView,
    primary: MemberView | None,
    req: RouteRequest,
) -> bool:
    """Return whether a replica has the most advanced log of all replicas.

    Such a replica most likely holds the floor: the floor is the position
    of an acknowledged write, which a majority of the members holds. In a
    group of three these are the primary of the floor's term and one of
    the replicas.
    """
    if primary is not None and primary.digest.term != req.floor.term:
        return False
    progress_key = _progress_key(member.digest)
    for other in view.members:
        if other is member or other.member in req.excluded:
            continue
        digest = other.digest
        if digest is None:
            if primary is not None:
                return False
        elif not digest.is_primary and _progress_key(digest) > progress_key:
            return False
    return True


def _progress_key(digest: MemberDigest) -> tuple[int, int, int]:
    """Return a sort key, greatest for the most advanced replica."""
    last = digest.last
    return last.term, last.index, -digest.lag_ms


def _expected_answer_ms(
    member: MemberView, req: RouteRequest, now: float
) -> float:
    """Return the expected answer time without waiting for a floor, in ms."""
    cost_ms = member.round_trip_ms + member.digest.queue_ms
    if member.zone != req.zone:
        cost_ms += CROSS_ZONE_COST_MS
    if now - member.observed_at > MAX_DIGEST_AGE_S:
        cost_ms += STALE_DIGEST_COST_MS
    return cost_ms


def _is_faster(
    primary: MemberView | None,
    req: RouteRequest,
    now: float,
    cost_ms: float,
) -> bool:
    """Return whether the primary is expected to answer within a time."""
    if primary is None or primary.member in req.excluded:
        return False
    return _expected_answer_ms(primary, req, now) < cost_ms
