"""Choice of the member that serves a read.

Load pattern: at peak load, writes and fresh reads occupy every slot of the
primaries. Reads that accept older data would queue behind this work unless the
reads go to the replicas. A read goes to the member with the lowest cost: the
recent latency of statements, weighted with the statements that this host has
in flight there. A member that slows down therefore gets fewer reads at once,
and so does a member that fails part of its statements. A member that has just
started or recovered gets the part of its reads that its pace allows.

Load pattern between zones: each group has one member in each zone, and bytes
between zones are scarce. While the primary has no queue, it serves the reads
of its own zone like a replica, and no read crosses zones.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from operator import attrgetter
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.group_state import LAG_AVOIDANCE_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from trefoilpulley_core.direct.evidence import Evidence
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.group_state import MemberHealth

PRIMARY_COST_FACTOR = 4.0
"""Cost of a primary relative to a replica.

The slots of the primary are needed for the writes.
"""

OTHER_ZONE_COST_S = 0.004
"""Added cost of a member in another availability zone, in seconds."""

IN_FLIGHT_WEIGHT = 0.5
"""Fraction of a statement's latency added per statement in flight."""

AVOIDED_COST_S = 10.0
"""Added cost of a member that recently refused a statement, in seconds.

A replica that may lack the floor of the read has the same added cost.
"""


@dataclass(frozen=True, slots=True)
class Placement:
    """Member chosen for a read."""

    member: str
    """Identifier of the member."""

    floor: Evidence | None
    """Position that the replica must hold.

    With ``None``, the primary must prove its leadership instead.
    """


class Obstacle(StrEnum):
    """Reasons why a member can't serve a read."""

    EXCLUDED = 'excluded'
    """The caller of the placement rules the member out."""

    FAILING = 'failing'
    """The member does not answer this host."""

    NOT_PRIMARY = 'not-primary'
    """Only the primary may serve the read."""

    LEAVING = 'leaving'
    """The replica is about to stop."""

    LAGGING = 'lagging'
    """The replica may lack the floor and has just refused another read."""


@dataclass(frozen=True, slots=True)
class MemberCost:
    """Cost of a read at a member, and its parts."""

    latency_s: float
    """Expected latency of a statement, in seconds."""

    in_flight: int
    """Statements of this host that are in flight at the member."""

    failure_s: float
    """Expected cost of failures, in seconds."""

    zone_s: float
    """Cost of another availability zone, in seconds."""

    avoidance_s: float
    """Cost of a recent refusal, in seconds."""

    factor: float
    """Factor of the parts above."""

    lag_s: float
    """Cost of a floor that the member may lack, in seconds."""

    total_s: float
    """Cost of the read, in seconds."""


@dataclass(frozen=True, slots=True)
class WeighedMember:
    """Member of a group as a candidate for a read."""

    health: MemberHealth
    """State of the member."""

    is_primary: bool
    """Whether the member is the known primary."""

    may_lack_floor: bool
    """Whether the replica may lack the floor of the read."""

    factor: float
    """Factor of the cost; above 1 if the member is needed for other work."""

    obstacle: Obstacle | None
    """Why the member can't serve the read; ``None`` if it can."""

    cost_s: float
    """Cost of the read in seconds; infinite with an obstacle."""


@dataclass(frozen=True, slots=True)
class MemberChoice:
    """Member chosen among weighed ones."""

    member: WeighedMember | None
    """Chosen member, if any."""

    passed_over: tuple[WeighedMember, ...] = ()
    """Members of a lower cost that their pace did not admit."""


def place_read(
    group: GroupState,
    floor: Evidence | None,
    zone: str,
    excluded: frozenset[str],
    now: float,
) -> Placement | None:
    """Return the member that should serve a read, or ``None`` if none can.

    Parameters
    ----------
    group : GroupState
        Members of the group.
    floor : Evidence | None
        Position that a replica must hold; ``None`` if only the primary may
        serve the read.
    zone : str
        Availability zone of this host.
    excluded : frozenset[str]
        Members that have already refused this read.
    now : float
        Current time in seconds.
    """
    weighed = weigh_members(group, floor, zone, excluded, now)
    chosen = choose_member(
        weighed, lambda health: health.pace.admits_read(health.in_flight)
    ).member
    if chosen is None:
        return None
    return Placement(
        chosen.health.record.member, None if chosen.is_primary else floor
    )


def weigh_members(
    group: GroupState,
    floor: Evidence | None,
    zone: str,
    excluded: frozenset[str],
    now: float,
) -> tuple[WeighedMember, ...]:
    """Return each member of a group with its cost or its obstacle.

    Parameters
    ----------
    group : GroupState
        Members of the group.
    floor : Evidence | None
        Position that a replica must hold; ``None`` if only the primary may
        serve the read.
    zone : str
        Availability zone of this host.
    excluded : frozenset[str]
        Members that can't serve this read.
    now : float
        Current time in seconds.
    """
    primary_factor = _primary_cost_factor(group, floor, zone, excluded, now)
    return tuple(
        _weigh(
            health,
            primary_factor if name == group.primary else None,
            floor,
            zone,
            name in excluded,
            now,
        )
        for name, health in group.members.items()
    )


def choose_member(
    weighed: Sequence[WeighedMember], admits: Callable[[MemberHealth], bool]
) -> MemberChoice:
    """Return the candidate of the lowest cost that its pace admits.

    Where no member is free for the read, the one of the lowest cost gets it.

    Parameters
    ----------
    weighed : Sequence[WeighedMember]
        Members of the group.
    admits : Callable[[MemberHealth], bool]
        Whether the pace of a member admits the read.
    """
    candidates = [m for m in weighed if m.obstacle is None]
    if len(candidates) > 1:
        candidates.sort(key=attrgetter('cost_s'))
    passed_over: list[WeighedMember] = []
    for candidate in candidates:
        if candidate.cost_s >= AVOIDED_COST_S:
            break
        if admits(candidate.health):
            return MemberChoice(candidate, tuple(passed_over))
        passed_over.append(candidate)
    return MemberChoice(candidates[0] if candidates else None)


def find_cost(weighed: WeighedMember, zone: str, now: float) -> MemberCost:
    """Return the cost of a read at a member, also one with an obstacle.

    Parameters
    ----------
    weighed : WeighedMember
        Member.
    zone : str
        Availability zone of this host.
    now : float
        Current time in seconds.
    """
    return MemberCost(
        *_cost_parts(
            weighed.health,
            weighed.factor,
            weighed.may_lack_floor,
            zone,
            now,
        )
    )


def _primary_cost_factor(
    group: GroupState,
    floor: Evidence | None,
    zone: str,
    excluded: frozenset[str],
    now: float,
) -> float:
    """Return the cost of the primary relative to a replica.

    A primary without a queue is a member like the others for its zone, if no
    replica of the zone serves the read. This applies only where few hosts
    hold the connections for all: elsewhere the connections to the primary
    are the first to run out.
    """
    primary = group.members.get(group.primary or '')
    if primary is None or not group.has_holders or primary.record.zone != zone:
        return PRIMARY_COST_FACTOR
    if primary.overload.is_active(now) or primary.has_queue(now):
        return PRIMARY_COST_FACTOR
    has_near_replica = any(
        health.record.zone == zone
        and health.failing_since is None
        and name != group.primary
        and name not in excluded
        and not (floor and _may_lack_floor(health, floor, now))
        for name, health in group.members.items()
    )
    return PRIMARY_COST_FACTOR if has_near_replica else 1.0


def _weigh(
    health: MemberHealth,
    primary_factor: float | None,
    floor: Evidence | None,
    zone: str,
    is_excluded: bool,
    now: float,
) -> WeighedMember:
    """Return one member; ``primary_factor`` is ``None`` for a replica."""
    is_primary = primary_factor is not None
    factor = primary_factor if is_primary else 1.0
    may_lack_floor = (
        not is_primary
        and floor is not None
        and _may_lack_floor(health, floor, now)
    )
    obstacle: Obstacle | None = None
    if is_excluded:
        obstacle = Obstacle.EXCLUDED
    elif health.failing_since is not None:
        obstacle = Obstacle.FAILING
    elif is_primary:
        pass
    elif floor is None:
        obstacle = Obstacle.NOT_PRIMARY
    elif health.record.is_leaving:
        obstacle = Obstacle.LEAVING
    elif may_lack_floor and now - health.last_lag_refusal_at < LAG_AVOIDANCE_S:
        obstacle = Obstacle.LAGGING
    cost_s = float('inf')
    if obstacle is None:
        cost_s = _cost_parts(health, factor, may_lack_floor, zone, now)[-1]
    return WeighedMember(
        health, is_primary, may_lack_floor, factor, obstacle, cost_s
    )


def _cost_parts(
    health: MemberHealth,
    factor: float,
    may_lack_floor: bool,
    zone: str,
    now: float,
) -> tuple[float, int, float, float, float, float, float, float]:
    """Return the fields of `MemberCost`, which only explanations need."""
    latency_s = health.expected_latency_s(now)
    failure_s = health.failure_rate.cost_s(now)
    zone_s = OTHER_ZONE_COST_S if health.record.zone != zone else 0.0
    avoidance_s = AVOIDED_COST_S if now < health.avoid_until else 0.0
    lag_s = AVOIDED_COST_S if may_lack_floor else 0.0
    cost_s = latency_s * (1 + IN_FLIGHT_WEIGHT * health.in_flight)
    cost_s += failure_s + zone_s + avoidance_s
    return (
        latency_s,
        health.in_flight,
        failure_s,
        zone_s,
        avoidance_s,
        factor,
        lag_s,
        cost_s * factor + lag_s,
    )


def _may_lack_floor(health: MemberHealth, floor: Evidence, now: float) -> bool:
    """Return whether a replica may lack a floor."""
    if floor.position <= health.position:
        return False
    return now - floor.at < health.expected_lag_s(now)
