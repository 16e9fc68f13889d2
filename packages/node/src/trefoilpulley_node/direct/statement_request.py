"""A caller's statement and its time limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.connection_request import ConnectionRequest

if TYPE_CHECKING:
    from trefoilpulley_core.direct.commands import Prepare
    from trefoilpulley_core.direct.commands import Run
    from trefoilpulley_core.direct.evidence import SessionFloor
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_core.direct.session_state import SessionState
    from trefoilpulley_node.direct.directory import Group

QUEUE_TIME_FACTOR = 0.5
"""Part of a route's latency goal that a statement may spend in a queue.

A statement that waits longer rarely meets the goal. The statement is refused
at once, so that its caller can try another host while the goal can still be
met. Held until its time limit, many a statement runs after its caller has
given up, and takes the slot of another one.
"""

GOAL_RESERVE = 0.25
"""Part of a route's latency goal that is reserved after the queue.

It covers the way to the member and back and longer statements than the mean.
"""


class StatementInterrupted(gevent.GreenletExit):
    """Ends the handling of a statement that would outlast the process."""

    def __init__(self) -> None:
        super().__init__()
        self.has_sent = False
        """Whether the statement may have reached a member."""


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """One statement of a caller, with its route, session and deadline."""

    run: Run
    """Statement."""

    prepared: Prepare | None
    """Prepared statement to execute, if any."""

    route: Route
    """Route of the caller's database."""

    group: Group
    """Group that serves the route."""

    session: SessionState
    """Values of the caller's session."""

    floor: SessionFloor
    """Newest commit of the caller's session."""

    arrived_at: float
    """Time of arrival, in seconds."""

    deadline: float
    """Time by which the statement must be answered, in seconds."""

    customer: str = ''
    """Name of the customer; empty if the deployment has no customers."""

    @property
    def admit_by(self) -> float:
        """Time by which the statement must get a connection, in seconds."""
        return self.arrived_at + QUEUE_TIME_FACTOR * self.route.goal_s

    def connection_request(
        self, is_transaction: bool = False
    ) -> ConnectionRequest:
        """Return what the statement declares when it asks for a connection.

        Parameters
        ----------
        is_transaction : bool
            Whether the connection is for a transaction.
        """
        return ConnectionRequest(
            self.route.priority,
            self.deadline,
            min(self.admit_by, self.deadline),
            self.arrived_at + (1 - GOAL_RESERVE) * self.route.goal_s,
            self.route.database,
            self.customer,
            is_transaction,
        )
