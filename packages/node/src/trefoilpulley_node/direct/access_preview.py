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
from trefoilpulley_node.direct.connection_opener import ConnectionOpener
from trefoilpulley_node.direct.member_access import MemberAccess
from trefoilpulley_node.direct.member_pool import MemberPool
from trefoilpulley_node.direct.member_reach import MemberReach
from trefoilpulley_node.direct.relay_client import RelayClient

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.direct.connection_queue import QueuedWork
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.customer_connections import CloseReason
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.holder_order import HolderFailure
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


class ReachPreview(MemberReach):
    """Copy of what a host knows about reaching a member, without a log.

    Parameters
    ----------
    reach : MemberReach
        Knowledge to copy.
    health : MemberHealth
        Copy of the member's health.
    """

    def __init__(self, reach: MemberReach, health: MemberHealth) -> None:
        vars(self).update(vars(reach))
        self.own = copy.copy(reach.own)
        self._health = health

    def _log(self, now: float, since: float, is_reached: bool) -> None:
        """Write nothing, since the copy's changes are not the host's."""


class OpenerPreview(ConnectionOpener):
    """Copy of an opener that returns stand-ins for connections.

    Parameters
    ----------
    opener : ConnectionOpener
        Opener to copy.
    pool : PoolPreview
        Copy of the pool of the opener.
    """

    def __init__(self, opener: ConnectionOpener, pool: PoolPreview) -> None:
        super().__init__(
            pool.health,
            pool.reach,
            pool._connections,
            None,
            pool.on_unreachable,
            opener._clock,
            None,
        )
        self.dialing = opener.dialing

    def open(
        self, *args: object, **kwargs: object
    ) -> Result[PreviewedSession, Failure]:
        """Return a stand-in for a connection that would be opened."""
        self.dialing -= 1
        return Success(PreviewedSession(PathStep.NEW_CONNECTION))


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
        self.reach = ReachPreview(pool.reach, self.health)
        self.share = copy.copy(pool.share)
        self.in_flight_limit = copy.copy(pool.in_flight_limit)
        self._connections = copy.deepcopy(connections, memo)
        self._queue = QueuePreview.of(pool._queue, _Turn)
        self._opener = OpenerPreview(pool._opener, self)
        self._metrics = None

    @property
    def expected_wait_s(self) -> float | None:
        """Wait that was expected of the request, in seconds, if any."""
        return self._queue.wait_s

    def serve_queue(self) -> None:
        """Leave the copied requests in the queue."""

    def open_ahead(self) -> None:
        """Open no connection, not even in a greenlet of its own."""

    def close(self) -> None:
        """Leave the shared connections open."""

    def _take_idle(
        self, work: ConnectionRequest, session: SessionState
    ) -> PreviewedSession | None:
        # The pool closes idle connections that can't be used again.
        while (conn := self._connections.take(work)) is not None:
            if conn.is_usable:
                return PreviewedSession(PathStep.IDLE_CONNECTION)
            self._connections.on_closed(conn.customer)
        return None

    def _evict(self, conn: PooledSession) -> None:
        self._connections.remove_idle(conn)
        self._connections.on_closed(conn.customer)

    def _close_connection(
        self, conn: PooledSession, reason: CloseReason
    ) -> None:
        self._connections.on_closed(conn.customer)

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
        vars(self).update(vars(client))
        self.pool = pool
        self._health = pool.health
        self._order = copy.deepcopy(client._order)
        self._ranks = dict(client._ranks)
        # Without these, no holder can be asked and no evidence recorded.
        self._peers = self._group = None
        self._lease_numbers = count(1)

    def rank(self, customer: str) -> tuple[str, ...]:
        """Return the holders in order, as if none of them had failed."""
        return self._rank(customer)

    def find_failure(self, holder: str) -> HolderFailure | None:
        """Return why a holder is ranked back, or ``None`` if it is not."""
        return self._order.find_failure(holder, self._clock.now())


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
