"""Choice of the member that serves a read.

Load pattern: at the highest load every slot of the primaries is taken by
writes and reads of the present, and reads that may be older queue behind
them unless they go to the replicas. Work is placed where the recent
statements took least, counted with what this host already has there, so
that a member that slows down loses work at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.proxy.group_state import LAG_AVOIDANCE_S

if TYPE_CHECKING:
    from trefoilpulley_core.proxy.evidence import Evidence
    from trefoilpulley_core.proxy.group_state import GroupState
    from trefoilpulley_core.proxy.group_state import MemberHealth

PRIMARY_COST_FACTOR = 4.0
"""Cost of a primary against a replica: its slots serve the writes."""

OTHER_ZONE_COST_S = 0.004
"""Cost of a member in another availability zone, in seconds."""

IN_FLIGHT_WEIGHT = 0.5
"""Part of a statement's time that each one in flight adds."""

AVOIDED_COST_S = 10.0
"""Cost of a member that refused or failed a moment ago, in seconds."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Member chosen for a read."""

    member: str
    """Identifier of the member."""

    floor: Evidence | None
    """Floor for a replica; ``None`` asks the primary to prove its lead."""


def place_read(
    group: GroupState,
    floor: Evidence | None,
    zone: str,
    excluded: frozenset[str],
    now: float,
) -> Placement | None:
    """Return where a read should run, or ``None`` for nowhere.

    Parameters
    ----------
    group : GroupState
        Members of the group.
    floor : Evidence | None
        What a replica must hold; ``None`` where only a primary may
        serve.
    zone : str
        Availability zone of this host.
    excluded : frozenset[str]
        Members that have refused this read.
    now : float
        Present time in seconds.
    """
    best: Placement | None = None
    best_s = float('inf')
    for name, health in group.members.items():
        if name in excluded or health.failing_since is not None:
            continue
        is_primary = name == group.primary
        if not is_primary and (floor is None or health.record.is_leaving):
            continue
        cost_s = _cost_s(health, zone, now)
        if is_primary:
            cost_s *= PRIMARY_COST_FACTOR
        elif _may_lack_floor(health, floor, now):
            if now - health.last_missing_at < LAG_AVOIDANCE_S:
                # It has just refused such a floor to another read.
                continue
            cost_s += AVOIDED_COST_S
        if cost_s < best_s:
            best = Placement(name, None if is_primary else floor)
            best_s = cost_s
    return best


def _cost_s(health: MemberHealth, zone: str, now: float) -> float:
    cost_s = health.expected_s(now) * (1 + IN_FLIGHT_WEIGHT * health.in_flight)
    if health.record.zone != zone:
        cost_s += OTHER_ZONE_COST_S
    if now < health.avoid_until:
        cost_s += AVOIDED_COST_S
    return cost_s


def _may_lack_floor(health: MemberHealth, floor: Evidence, now: float) -> bool:
    """Return whether a replica may not hold a floor yet."""
    if floor.position <= health.position:
        return False
    return now - floor.at < health.expected_lag_s(now)
