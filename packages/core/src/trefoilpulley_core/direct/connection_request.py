"""Request of a piece of work for a connection to a member."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionRequest:
    """What a piece of work declares when it asks for a connection."""

    priority: int
    """Priority of the route; 0 is the highest."""

    deadline: float
    """Time by which the work must be done, in seconds."""

    admit_by: float
    """Time by which the work must get its connection, in seconds."""

    goal_at: float
    """Time by which the work must be done to meet its goal, in seconds."""

    kind: str = ''
    """Kind of the work: the database name of its route."""

    customer: str = ''
    """Name of the customer; empty if the deployment has no customers."""

    is_transaction: bool = False
    """Whether the work is a transaction, which holds its connection."""

    is_internal: bool = False
    """Whether the work is a probe of a host, which runs no statement.

    A probe may use a connection of any customer.
    """
