"""Creates the policies that the settings select by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.routing_plain import PlainRouting
from trefoilpulley_core.routing_targets import TargetRouting
from trefoilpulley_core.routing_thin import ThinRouting
from trefoilpulley_core.slots_deadline import DeadlineSlots
from trefoilpulley_core.slots_fifo import FifoSlots

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.routing import RoutingPolicy
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_core.targets import ClassTargets


def make_routing(name: str, targets: ClassTargets) -> RoutingPolicy:
    """Create the routing policy with a name."""
    if name == 'plain':
        return PlainRouting()
    if name == 'thin':
        return ThinRouting()
    return TargetRouting(targets)


def make_slot_queue(
    name: str, member: MemberEntry, targets: ClassTargets
) -> SlotQueue:
    """Create the slot queue with a name for a member."""
    if name == 'fifo':
        return FifoSlots(member.slots)
    return DeadlineSlots(member.slots, targets)
