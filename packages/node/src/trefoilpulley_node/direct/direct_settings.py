"""Settings of a host in the direct mode."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.customer_limit import LimitBounds
from trefoilpulley_node.direct.primary_wait import DEFAULT_DRAIN_S

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_node.settings import SeedPeer


@dataclass(frozen=True, slots=True)
class DirectSettings:
    """Settings of one host."""

    host: str
    """Name of the host."""

    region: str
    """Region of the host."""

    zone: str
    """Availability zone of the host."""

    listen: Endpoint
    """Address for callers."""

    peer_listen: Endpoint
    """Address for other hosts."""

    seeds: tuple[SeedPeer, ...] = ()
    """Hosts to contact at a start without the platform's service."""

    grace_s: float = 6.0
    """Time from a planned stop until the process is killed, in seconds."""

    drain_s: float = DEFAULT_DRAIN_S
    """Time for which a leaving member serves, in seconds.

    Counted from the announcement of its stop.
    """

    capacity: float = 1.0
    """Processor capacity of the host, relative to other hosts."""

    limit_bounds: LimitBounds = LimitBounds()
    """Bound of the operations of a customer in a sliding window."""

    peer_secret: str = ''
    """Shared secret of the deployment's hosts; empty on a closed network."""
