"""Traffic section of the state dump."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_node.etcd_gateway import CallCounts
from trefoilpulley_wire.traffic import TrafficCount


@dataclass(frozen=True, slots=True)
class TrafficState:
    """Numbers of messages and calls since the process started."""

    callers: tuple[TrafficCount, ...]
    """Frames to and from callers."""

    peers: tuple[TrafficCount, ...]
    """Frames to and from other hosts."""

    members: tuple[TrafficCount, ...]
    """Frames to and from members."""

    platform: CallCounts
    """Calls to the platform's service."""
