"""Access to one member, through the local pool or a relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.connection_holders import count_share
from trefoilpulley_node.direct.pooled_session import PooledSession

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.direct.connection_holders import ConnectionHolders
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.session_state import SessionState
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.position import Position
    from trefoilpulley_node.direct.member_pool import MemberPool
    from trefoilpulley_node.direct.member_session import MemberSession
    from trefoilpulley_node.direct.relay_client import RelayClient


class MemberAccess:
    """Hands out sessions with a member.

    A session uses a connection of this host or, where other hosts hold the
    connections to the member, a relay through one of these hosts. The
    connections of a customer are at one holder, so that a holder relays the
    work of customers of which another holder is the first in rank. A holder
    that does not reach the member relays all of its callers' work.

    Parameters
    ----------
    local_pool : MemberPool
        Connections of this host.
    relay_client : RelayClient, optional
        Relays through other hosts; ``None`` where only local connections are
        used.
    """

    def __init__(
        self, local_pool: MemberPool, relay_client: RelayClient | None = None
    ) -> None:
        self.local_pool = local_pool
        self._relay_client = relay_client

    @property
    def health(self) -> MemberHealth:
        """Health of the member as seen from this host."""
        return self.local_pool.health

    @property
    def is_relayed(self) -> bool:
        """Whether requests reach the member through other hosts."""
        return self._relay_client is not None and self._relay_client.is_active

    @property
    def holders(self) -> tuple[str, ...]:
        """Hosts that relay to the member; empty with local connections."""
        return self._relay_client.holders if self.is_relayed else ()

    @property
    def other_holders(self) -> tuple[str, ...]:
        """Other hosts that hold connections to the member."""
        client = self._relay_client
        if client is None:
            return ()
        return tuple(h for h in client.holders if h != client.host)

    def update(
        self,
        max_connections: int,
        holders: ConnectionHolders,
        has_customers: bool = False,
    ) -> None:
        """Set the member's connection limit and its holders.

        Parameters
        ----------
        max_connections : int
            Connections that the member accepts.
        holders : ConnectionHolders
            Hosts that hold the connections to the member.
        has_customers : bool
            Whether the deployment has customers. A holder's share follows
            its capacity then, as its part of the customers does.
        """
        share = self.local_pool.share
        client = self._relay_client
        if has_customers and client and client.host in holders.hosts:
            count = count_share(client.host, holders, max_connections)
            share.update(count, 1, is_kept_by_need=True)
        else:
            share.update(
                max_connections, holders.sharing_hosts, bool(holders.hosts)
            )
        self.local_pool.in_flight_limit.update(self.local_pool.share.max_open)
        if self._relay_client is not None:
            self.local_pool.reach.update(self._relay_client.host, holders)
            self._relay_client.update(holders)

    def acquire(
        self, work: ConnectionRequest, session: SessionState
    ) -> Result[MemberSession, Failure]:
        """Return a session, or the reason why none is available in time."""
        client = self._relay_client
        if client is not None and client.is_used_for(work):
            return Success(client.open(work))
        acquired = self.local_pool.acquire(work, session)
        if isinstance(acquired, Success) or client is None:
            return acquired
        if not client.has_next_holder(work):
            return acquired
        return Success(client.open(work, client.classify_own_refusal()))

    def on_sending(self, conn: MemberSession, now: float) -> int:
        """Count a request; return those in flight on this host's connections.

        Requests that are relayed count at the holder.
        """
        if conn.is_own:
            self.local_pool.reach.own.on_sending(now)
        if isinstance(conn, PooledSession):
            self.local_pool.in_flight += 1
        return self.local_pool.in_flight

    def on_sent(self, conn: MemberSession) -> None:
        """Count a request that was answered or has failed."""
        if conn.is_own:
            self.local_pool.reach.own.on_sent()
        if isinstance(conn, PooledSession):
            self.local_pool.in_flight -= 1
        self.local_pool.serve_queue()

    def on_answer(
        self, conn: MemberSession, position: Position, now: float
    ) -> None:
        """Record that the member has answered a request."""
        if conn.is_own:
            self.local_pool.reach.on_answer(now, position)
        else:
            self.health.on_answer(now, position)

    def on_served(
        self, conn: MemberSession, duration_s: float, now: float
    ) -> None:
        """Record the latency of requests that the member has served.

        Where this host has connections in use, relayed requests don't count:
        their latency includes the queue of another holder, and would lower
        the number of requests in flight on this host's connections.
        """
        pool = self.local_pool
        is_local = isinstance(conn, PooledSession)
        if is_local:
            pool.served_at = now
        if is_local or not pool.has_latency(now):
            self.health.on_served(duration_s, now)

    def on_replies(
        self,
        conn: MemberSession,
        replies: Sequence[Reply],
        in_flight: int,
        statement_s: float | None,
    ) -> None:
        """Adjust the local in-flight limit to the replies of the member."""
        if isinstance(conn, PooledSession):
            self.local_pool.on_replies(conn, replies, in_flight, statement_s)

    def release(self, conn: MemberSession) -> None:
        """Return a session after use."""
        if isinstance(conn, PooledSession):
            self.local_pool.release(conn)
        elif not conn.is_usable:
            conn.close()

    def discard(self, conn: MemberSession) -> None:
        """End a session; the member rolls back an open transaction."""
        if isinstance(conn, PooledSession):
            self.local_pool.discard(conn)
        else:
            conn.close()

    def maintain(
        self, now: float, is_idle_wanted: bool, has_customers: bool = False
    ) -> None:
        """Close connections that are not needed and open one ahead of use.

        Parameters
        ----------
        now : float
            Present time in seconds.
        is_idle_wanted : bool
            Whether this host should keep idle connections to the member.
        has_customers : bool
            Whether the deployment has customers. Nothing is opened ahead
            then, because a connection serves only its customer.
        """
        self.local_pool.is_idle_kept = is_idle_wanted and not self.is_relayed
        self.local_pool.trim(now)
        if not has_customers:
            self.local_pool.open_ahead()

    def close(self) -> None:
        """Close the local pool and its idle connections.

        A connection in use is closed when it is released.
        """
        self.local_pool.close()
