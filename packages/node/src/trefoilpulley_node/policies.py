"""Policies that the settings choose by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.routing_plain import PlainRouting
from trefoilpulley_core.routing_thin import ThinRouting
from trefoilpulley_core.slots_fifo import FifoSlots

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.routing import RoutingPolicy
    from trefoilpulley_core.slots import SlotQueue


def make_routing(name: str) -> RoutingPolicy:
    """Return the routing policy with a name."""
    return PlainRouting() if name == 'plain' else ThinRouting()


def make_slot_queue(name: str, member: MemberEntry) -> SlotQueue:
    """Return the slot queue with a name for a member."""
    return FifoSlots(member.slots)
