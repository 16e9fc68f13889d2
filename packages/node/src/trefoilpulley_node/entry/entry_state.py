"""Entry role's section of the state dump."""

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
    """Number of open connections of callers."""

    running: int
    """Number of running requests."""

    transactions: int
    """Number of open transactions."""

    databases_in_use: int
    """Number of databases that callers have used recently."""

    peer_channels: int
    """Number of open connections to other hosts."""

    is_draining: bool
    """Whether the host is draining."""

    classes: tuple[ClassReport, ...]
    """Measurements of each class of work against its target."""
