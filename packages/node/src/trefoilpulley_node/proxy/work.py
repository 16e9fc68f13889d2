"""One statement on its way, and how its time is bounded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.proxy.commands import Prepare
    from trefoilpulley_core.proxy.commands import Run
    from trefoilpulley_core.proxy.evidence import SessionFloor
    from trefoilpulley_core.proxy.routes import Route
    from trefoilpulley_core.proxy.session_state import SessionState
    from trefoilpulley_node.proxy.directory import Group

QUEUE_TIME_FACTOR = 0.5
"""Part of a route's goal in which a statement's turn must come.

What waits longer hardly meets the goal; it is refused at once, so that its
caller may try another host.
"""


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One statement of a caller with what it needs."""

    run: Run
    """Statement."""

    prepared: Prepare | None
    """Prepared statement that it executes, if any."""

    route: Route
    """Route that it takes."""

    group: Group
    """Group that serves the route."""

    session: SessionState
    """Values of the caller's session."""

    floor: SessionFloor
    """Newest commit of the caller's session."""

    arrived_at: float
    """Time of arrival, in seconds."""

    deadline: float
    """Time at which it must have been answered, in seconds."""

    @property
    def admit_by(self) -> float:
        """Time by which its turn must come, in seconds."""
        return self.arrived_at + QUEUE_TIME_FACTOR * self.route.goal_s
