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
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.group_state import LAG_AVOIDANCE_S

if TYPE_CHECKING:
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
    best, _ = _find_best(group, floor, zone, excluded, now)
    place, cost_s = best, 0.0
    while place is not None and cost_s < AVOIDED_COST_S:
        health = group.members[place.member]
        if health.pace.admits_read(health.in_flight):
            return place
        excluded |= {place.member}
        place, cost_s = _find_best(group, floor, zone, excluded, now)
    # No other member is free for the read.
    return best


def _find_best(
    group: GroupState,
    floor: Evidence | None,
    zone: str,
    excluded: frozenset[str],
    now: float,
) -> tuple[Placement | None, float]:
    """Return the member with the lowest cost and its cost in seconds."""
    best: Placement | None = None
    best_cost_s = float('inf')
    primary_factor = _primary_cost_factor(group, floor, zone, excluded, now)
    for name, health in group.members.items():
        if name in excluded or health.failing_since is not None:
            continue
        is_primary = name == group.primary
        if not is_primary and (floor is None or health.record.is_leaving):
            continue
        cost_s = _cost_s(health, zone, now)
        if is_primary:
            cost_s *= primary_factor
        elif _may_lack_floor(health, floor, now):
            if now - health.last_lag_refusal_at < LAG_AVOIDANCE_S:
                # The replica has just refused another read for lag.
                continue
            cost_s += AVOIDED_COST_S
        if cost_s < best_cost_s:
            best = Placement(name, None if is_primary else floor)
            best_cost_s = cost_s
    return best, best_cost_s


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


def _cost_s(health: MemberHealth, zone: str, now: float) -> float:
    cost_s = health.expected_latency_s(now) * (
        1 + IN_FLIGHT_WEIGHT * health.in_flight
    )
    cost_s += health.failure_rate.cost_s(now)
    if health.record.zone != zone:
        cost_s += OTHER_ZONE_COST_S
    if now < health.avoid_until:
        cost_s += AVOIDED_COST_S
    return cost_s


def _may_lack_floor(health: MemberHealth, floor: Evidence, now: float) -> bool:
    """Return whether a replica may lack a floor."""
    if floor.position <= health.position:
        return False
    return now - floor.at < health.expected_lag_s(now)
