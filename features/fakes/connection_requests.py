"""Requests for connections, as the scenarios need them."""

from __future__ import annotations

from trefoilpulley_core.direct.connection_request import ConnectionRequest


def make_request(
    priority: int,
    deadline: float,
    admit_by: float | None = None,
    customer: str = '',
    is_internal: bool = False,
) -> ConnectionRequest:
    """Return a request that may wait until its deadline by default."""
    limit = deadline if admit_by is None else admit_by
    return ConnectionRequest(
        priority,
        deadline,
        limit,
        deadline,
        customer=customer,
        is_internal=is_internal,
    )
