"""Copies of member accesses for the explanation of routes.

The copies run the decision code of the originals on copied state. They
neither open, use nor close a connection.
"""

from __future__ import annotations

import copy
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.queue_preview import QueuePreview
from trefoilpulley_core.direct.route_report import PathStep
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.relay_client import RelayClient

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.direct.connection_queue import QueuedWork
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.session_state import SessionState
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.pooled_session import PooledSession


@dataclass(slots=True)
class PreviewedSession:
    """Stands for a connection that a request would get."""

    step: PathStep
    """How the request would get it."""

    kind: str = ''
    """Kind of the work that has the connection."""

    is_for_transaction: bool = False
    """Whether the work that has the connection is a transaction."""


class _Turn:
    """Turn of a copied request, which nobody waits for."""

    def __init__(self, work: ConnectionRequest) -> None:
        self.work = work

    def set(self, conn: PooledSession | None) -> None:
        """Ignore that the queue has displaced the request."""


class PoolPreview(MemberPool):
    """Copy of a pool that hands out stand-ins for connections.

    Parameters
    ----------
    pool : MemberPool
        Pool to copy.
    """

    def __init__(self, pool: MemberPool) -> None:
        vars(self).update(vars(pool))
        connections = pool._connections
        # The connections are shared and not changed.
        memo = {id(c): c for c in connections._idle}
        self.health = copy.deepcopy(pool.health)
        self.share = copy.copy(pool.share)
        self.in_flight_limit = copy.copy(pool.in_flight_limit)
        self._connections = copy.deepcopy(connections, memo)
        self._queue = QueuePreview.of(pool._queue, _Turn)
        self._dialer = self._metrics = None

    @property
    def expected_wait_s(self) -> float | None:
        """Wait that was expected of the request, in seconds, if any."""
        return self._queue.wait_s

    def serve_queue(self) -> None:
        """Leave the copied requests in the queue."""

    def _take_idle(
        self, work: ConnectionRequest, session: SessionState
    ) -> PreviewedSession | None:
        # The pool closes idle connections that can't be used again.
        while (conn := self._connections.take(work)) is not None:
            if conn.is_usable:
                return PreviewedSession(PathStep.IDLE_CONNECTION)
            self._connections.on_closed(conn.customer)
        return None

    def _dial(
        self, *args: object, **kwargs: object
    ) -> Result[PreviewedSession, Failure]:
        return Success(PreviewedSession(PathStep.NEW_CONNECTION))

    def _wait_for_turn(
        self, waiter: QueuedWork, wait_s: float
    ) -> PreviewedSession:
        return PreviewedSession(PathStep.QUEUE)


class ClientPreview(RelayClient):
    """Copy of a relay client that reaches no host.

    Parameters
    ----------
    client : RelayClient
        Client to copy.
    pool : PoolPreview
        Copy of the pool of this host.
    """

    def __init__(self, client: RelayClient, pool: PoolPreview) -> None:
        self._update(client)
        self.pool = pool
        self._health = pool.health
        self._peers = None
        self._lease_numbers = count(1)

    def without_failures(self) -> ClientPreview:
        """Return a copy that knows of no holder that has failed."""
        preview = ClientPreview(self, self.pool)
        for name, value in list(vars(preview).items()):
            if isinstance(value, dict):
                setattr(preview, name, {})
        return preview

    def _update(self, client: RelayClient) -> None:
        for name, value in vars(client).items():
            is_dict = isinstance(value, dict)
            setattr(self, name, dict(value) if is_dict else value)


def preview_access(access: MemberAccess) -> MemberAccess:
    """Return a copy of an access, whose use has no effect.

    Parameters
    ----------
    access : MemberAccess
        Access to copy.
    """
    pool = PoolPreview(access.local_pool)
    client = access._relay_client
    if client is None:
        return MemberAccess(pool)
    return MemberAccess(pool, ClientPreview(client, pool))
