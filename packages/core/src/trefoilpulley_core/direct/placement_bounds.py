"""What a request requires of the member that serves it.

Load pattern: while a primary is lost, its requests arrive at the full rate.
Reads that replicas may serve go on without it, and nothing else is sent to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.direct.evidence import Evidence
    from trefoilpulley_core.direct.evidence import SessionFloor
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.routes import Route


@dataclass(frozen=True, slots=True)
class PlacementBounds:
    """Bounds of the choice of a member."""

    floor: Evidence | None
    """Position that a replica must hold; ``None``: only the primary serves."""

    excluded: frozenset[str]
    """Members that can't serve the request."""


def find_bounds(
    group: GroupState,
    route: Route,
    session: SessionFloor,
    is_read_only: bool,
    is_primary_lost: bool,
    excluded: frozenset[str],
    now: float,
) -> PlacementBounds:
    """Return the bounds of a read or of a transaction.

    Parameters
    ----------
    group : GroupState
        Members of the group.
    route : Route
        Route of the request.
    session : SessionFloor
        Newest commit of the session.
    is_read_only : bool
        Whether a replica may serve the request.
    is_primary_lost : bool
        Whether the primary does not answer this host.
    excluded : frozenset[str]
        Members that have already refused the request.
    now : float
        Current time in seconds.
    """
    floor: Evidence | None = None
    if is_read_only:
        floor = group.evidence.read_floor(route, session, now)
    if is_primary_lost and group.primary:
        excluded = excluded | {group.primary}
    return PlacementBounds(floor, excluded)


def place_write(group: GroupState, is_primary_lost: bool) -> str | None:
    """Return the member that runs a write, or ``None`` if none can.

    Parameters
    ----------
    group : GroupState
        Members of the group.
    is_primary_lost : bool
        Whether the primary does not answer this host.
    """
    return None if is_primary_lost else group.primary
