"""Choice of the member that serves a request."""

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
    """What an entry host knows of one member."""

    member: str
    """Name of the member."""

    zone: str
    """Availability zone of the member."""

    digest: MemberDigest | None
    """Newest digest, or ``None`` before the first."""

    observed_at: float
    """Monotonic time at which the digest's request left, in seconds."""

    round_trip_ms: float
    """Recent time to the member's pooler and back."""

    is_leaving: bool
    """Whether the member is leaving or in a planned stop."""


@dataclass(frozen=True, slots=True)
class DatabaseView:
    """What an entry host knows of one database."""

    database: str
    """Name of the database."""

    members: tuple[MemberView, ...]
    """Members, the home primary first."""


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What a request asks of its member."""

    work_class: WorkClass
    """Class of work and its targets."""

    floor: Position | None
    """Position that the member must hold; ``None`` where unknown."""

    zone: str
    """Availability zone of the entry host."""

    deadline: float
    """Monotonic time at which the answer is due, in seconds."""

    excluded: frozenset[str] = frozenset()
    """Members that have refused this request."""


@dataclass(frozen=True, slots=True)
class Route:
    """Member chosen for a request."""

    member: str
    """Name of the member."""

    is_primary: bool
    """Whether the member is taken for the primary."""

    wait_ms: int = 0
    """Longest wait at the member for the floor."""

    floor: Position | None = None
    """The request's floor in the terms of the member's log.

    ``None`` where the request's floor is unknown; the primary's position
    then takes its place.
    """

    round_trip_ms: float = 0.0
    """Recent time to the member's pooler and back."""


class RoutingPolicy(abc.ABC):
    """Way to choose a member."""

    @abc.abstractmethod
    def choose(
        self, view: DatabaseView, req: RouteRequest, now: float
    ) -> Result[Route, Failure]:
        """Return the member for a request, or ``NoUpstream``."""


def find_primary(view: DatabaseView) -> MemberView | None:
    """Return the reachable member that leads the highest term seen.

    A leader of a lower term than another member leads or follows has
    been deposed and is no primary.
    """
    found = None
    highest = 0
    for member in view.members:
        digest = member.digest
        if digest is None or digest.term < highest:
            continue
        if digest.term > highest:
            highest = digest.term
            found = None
        if digest.is_primary and digest.is_reachable:
            found = member
    return found
