"""State dump of the entry role."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.targets import ClassReport


@dataclass(frozen=True, slots=True)
class EntryState:
    """State of the entry role."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    callers: int
    """Open connections of callers."""

    running: int
    """Requests being worked on."""

    transactions: int
    """Open transactions."""

    databases_in_use: int
    """Databases that callers have used of late."""

    peer_channels: int
    """Open connections to other hosts."""

    is_draining: bool
    """Whether the host is leaving."""

    classes: tuple[ClassReport, ...]
    """Each class of work against its target."""
