"""Creates the policies that the settings select by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.routing_nearest import NearestRouting
from trefoilpulley_core.routing_round_robin import RoundRobinRouting
from trefoilpulley_core.routing_targets import TargetRouting
from trefoilpulley_core.slots_deadline import DeadlineQueue
from trefoilpulley_core.slots_fifo import FifoQueue

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.routing import RoutingPolicy
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_core.targets import ClassTargets


def make_routing(name: str, targets: ClassTargets) -> RoutingPolicy:
    """Create the routing policy with a name."""
    if name == 'plain':
        return RoundRobinRouting()
    if name == 'thin':
        return NearestRouting()
    return TargetRouting(targets)


def make_slot_queue(
    name: str, member: MemberEntry, targets: ClassTargets
) -> SlotQueue:
    """Create the slot queue with a name for a member."""
    if name == 'fifo':
        return FifoQueue(member.slots)
    return DeadlineQueue(member.slots, targets)
