"""Way of this host to one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_node.proxy.member_pool import PooledSession

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.proxy.connection_holders import ConnectionHolders
    from trefoilpulley_core.proxy.group_state import MemberHealth
    from trefoilpulley_core.proxy.session_state import SessionState
    from trefoilpulley_core.proxy.upstream_session import Reply
    from trefoilpulley_node.proxy.lent_session import LentSession
    from trefoilpulley_node.proxy.member_pool import MemberPool
    from trefoilpulley_node.proxy.relayed_session import RelayedAccess


class MemberAccess:
    """Lends sessions with a member, on own connections or relayed ones.

    Parameters
    ----------
    own : MemberPool
        Connections of this host.
    relayed : RelayedAccess, optional
        Connections of other hosts; without it there are only own ones.
    """

    def __init__(
        self, own: MemberPool, relayed: RelayedAccess | None = None
    ) -> None:
        self.own = own
        self._relayed = relayed

    @property
    def health(self) -> MemberHealth:
        """How the member answers this host."""
        return self.own.health

    @property
    def is_relayed(self) -> bool:
        """Whether other hosts hold the connections to the member."""
        return self._relayed is not None and self._relayed.is_used

    @property
    def holders(self) -> tuple[str, ...]:
        """Hosts to reach the member through; none with own connections."""
        return self._relayed.holders if self.is_relayed else ()

    def update(self, max_connections: int, holders: ConnectionHolders) -> None:
        """Take the member's limit and the hosts that share it."""
        self.own.share.update(max_connections, holders.sharing_hosts)
        self.own.flight.update(self.own.share.max_open)
        if self._relayed is not None:
            self._relayed.update(holders)

    def acquire(
        self,
        priority: int,
        deadline: float,
        session: SessionState,
        admit_by: float | None = None,
    ) -> Result[LentSession, Failure]:
        """Lend a session, or say why none can be had in time."""
        if self.is_relayed:
            return Success(self._relayed.open(priority, admit_by))
        return self.own.acquire(priority, deadline, session, admit_by)

    def on_replies(
        self, conn: LentSession, replies: Sequence[Reply], in_flight: int
    ) -> None:
        """Learn from the replies on a session whether the member is full."""
        if isinstance(conn, PooledSession):
            self.own.on_replies(replies, in_flight)

    def release(self, conn: LentSession) -> None:
        """Take a session back for the next work."""
        if isinstance(conn, PooledSession):
            self.own.release(conn)
        elif not conn.is_usable:
            conn.close()

    def discard(self, conn: LentSession) -> None:
        """End a session; its transaction is rolled back."""
        if isinstance(conn, PooledSession):
            self.own.discard(conn)
        else:
            conn.close()

    def tend(self, now: float, is_wanted: bool) -> None:
        """Close connections that are not needed, open one that is.

        Parameters
        ----------
        now : float
            Present time in seconds.
        is_wanted : bool
            Whether idle connections of this host are worth keeping.
        """
        self.own.is_kept = is_wanted and not self.is_relayed
        self.own.trim(now)
        self.own.warm()

    def close(self) -> None:
        """Close idle connections; those lent close when they return."""
        self.own.close()
