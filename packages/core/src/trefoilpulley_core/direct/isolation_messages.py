"""Messages in which hosts find out whether their zone is partitioned."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReachabilityProbe:
    """Request that any host answers at once."""


@dataclass(frozen=True, slots=True)
class ReachabilityAnswer:
    """Answer to `ReachabilityProbe`."""

    is_isolated: bool = False
    """Whether the answering host counts itself as isolated."""


@dataclass(frozen=True, slots=True)
class IsolationNotice:
    """Notification that the sender reaches no host of another zone.

    The receiver runs a check of its own.
    """
