"""Interface and data of the routing policies."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.peer import MemberDigest


@dataclass(frozen=True, slots=True)
class MemberView:
    """State of one member, as known to an entry host."""

    member: str
    """Name of the member."""

    zone: str
    """Availability zone of the member."""

    digest: MemberDigest | None
    """Latest digest, or ``None`` before the first one."""

    observed_at: float
    """Monotonic time at which the digest was requested, in seconds."""

    round_trip_ms: float
    """Recent round trip time to the member's pooler, in milliseconds."""

    is_leaving: bool
    """Whether the member is leaving or in a planned stop."""


@dataclass(frozen=True, slots=True)
class DatabaseView:
    """State of one database, as known to an entry host."""

    database: str
    """Name of the database."""

    members: tuple[MemberView, ...]
    """Members, the home primary first."""


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Requirements of a request on the member that serves it."""

    work_class: WorkClass
    """Class of work and its targets."""

    floor: Position | None
    """Position that the member's log must contain, or ``None`` if unknown."""

    zone: str
    """Availability zone of the entry host."""

    deadline: float
    """Monotonic time at which the answer is due, in seconds."""

    excluded: frozenset[str] = frozenset()
    """Members that have already refused this request."""


@dataclass(frozen=True, slots=True)
class Route:
    """Member chosen for a request."""

    member: str
    """Name of the member."""

    is_primary: bool
    """Whether the member was chosen as the primary."""

    wait_ms: int = 0
    """Time limit for the member to reach the floor, in milliseconds."""

    floor: Position | None = None
    """The request's floor, translated to the member's log.

    ``None`` where the request's floor is unknown. The primary's position
    is then used instead.
    """

    round_trip_ms: float = 0.0
    """Recent round trip time to the member's pooler, in milliseconds."""


class RoutingPolicy(abc.ABC):
    """Chooses the member that serves a request."""

    @abc.abstractmethod
    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Return the member for a request, or ``NoUpstream``."""


def find_primary(view: DatabaseView) -> MemberView | None:
    """Return the reachable primary of the highest known term.

    A primary whose term is lower than that of another member has been
    replaced and is ignored.
    """
    primary = None
    highest_term = 0
    for member in view.members:
        digest = member.digest
        if digest is None or digest.term < highest_term:
            continue
        if digest.term > highest_term:
            highest_term = digest.term
            primary = None
        if digest.is_primary and digest.is_reachable:
            primary = member
    return primary
