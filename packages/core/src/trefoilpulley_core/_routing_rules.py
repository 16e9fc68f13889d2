"""Rules that all routing policies share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.position import Position
from trefoilpulley_core.routing import find_primary
from trefoilpulley_core.routing import Route

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.peer import MemberDigest
    from trefoilpulley_core.routing import DatabaseView
    from trefoilpulley_core.routing import MemberView
    from trefoilpulley_core.routing import RouteRequest


def needs_primary(req: RouteRequest) -> bool:
    """Return whether only a primary may serve a request.

    A request without a token may belong to any session, so its floor is
    the primary's position when the request arrives.
    """
    if req.floor is None or req.work_class.work is WorkKind.WRITE:
        return True
    return req.work_class.freshness.kind is FreshnessKind.PRESENT


def is_readable(member: MemberView, req: RouteRequest) -> bool:
    """Return whether a member is a replica that may serve a read."""
    digest = member.digest
    if digest is None or digest.is_primary or not digest.is_reachable:
        return False
    return not member.is_leaving and member.member not in req.excluded


def has_reached(last: Position, floor: Position) -> bool:
    """Return whether a log's end is at or after a floor."""
    if last.term != floor.term:
        return last.term > floor.term
    return last.index >= floor.index


def translate_floor(floor: Position, digest: MemberDigest) -> Position:
    """Translate a floor of an older term to a position of a member's log.

    The floor may refer to a record that was lost in a promotion,
    because a read saw the record before enough members held it. All
    records that were acknowledged in older terms precede the first
    record of the newer term, so that record replaces the floor.

    Parameters
    ----------
    floor : Position
        Floor of the session.
    digest : MemberDigest
        Digest of the member that will serve the request.

    Returns
    -------
    Position
        Floor that the member's log can contain.
    """
    last = digest.last
    if floor.index == 0 or floor.term >= last.term:
        return floor
    return Position(last.term, digest.term_start)


def primary_route(
    view: DatabaseView, req: RouteRequest
) -> Result[Route, Failure]:
    """Return a route to the primary, as known from the digests."""
    primary = find_primary(view)
    if primary is None or primary.member in req.excluded:
        return Failed(NoUpstream(f'no primary of {view.database}'))
    floor = translate_floor(req.floor, primary.digest) if req.floor else None
    return Success(
        Route(primary.member, True, 0, floor, primary.round_trip_ms)
    )


def replica_route(
    member: MemberView, req: RouteRequest, wait_ms: int = 0
) -> Result[Route, Failure]:
    """Return a route to a replica with the floor translated to its log."""
    floor = translate_floor(req.floor, member.digest)
    return Success(
        Route(member.member, False, wait_ms, floor, member.round_trip_ms)
    )
