"""Sessions with a member that are relayed through other hosts.

A holder is a host that holds connections to the member.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.holder_order import Refusal
from trefoilpulley_core.direct.relay_messages import EndLease
from trefoilpulley_core.direct.relay_messages import RelayedCalls
from trefoilpulley_core.direct.relay_messages import RelayedReplies
from trefoilpulley_core.direct.relay_messages import RelayRefused
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node.direct.member_session import MemberSession
from trefoilpulley_node.peers import read_failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.relay_messages import RelayedReply
    from trefoilpulley_core.direct.upstream_session import Call
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.member_session import SessionSetting
    from trefoilpulley_node.direct.pooled_session import PooledSession
    from trefoilpulley_node.direct.relay_client import RelayClient
    from trefoilpulley_wire.channel import Channel

CANCEL_TIMEOUT_S = 0.1
"""Timeout for a holder to confirm the end of a lease, in seconds.

A longer wait is not needed: a holder that is paused reads the request and its
end together.
"""

REPLY_MARGIN_S = 0.03
"""Time added to the timeout of a relayed request, in seconds.

With this margin, a holder can report that the member stays silent before the
holder itself is taken for silent.
"""


class RelayedSession(MemberSession):
    """One session with a member on a connection of a holder.

    Parameters
    ----------
    relay_client : RelayClient
        Client that opened the session.
    lease : int
        Number of the session, unique on this host.
    work : ConnectionRequest
        Work that the session is opened for.
    refused_here : Refusal, optional
        What this host's refusal said, if it was asked before.
    """

    def __init__(
        self,
        relay_client: RelayClient,
        lease: int,
        work: ConnectionRequest,
        refused_here: Refusal | None = None,
    ) -> None:
        self._relay_client = relay_client
        self._lease = lease
        self._work = work
        self._refused_here = refused_here
        self._is_own = relay_client.is_active
        self._local: PooledSession | None = None
        self._holder: str | None = None
        self._channel: Channel | None = None
        self._is_pinned = False
        self._is_cancelled = False

    @property
    def is_usable(self) -> bool:
        """Whether no lease is open, so that nothing needs to be closed."""
        return not self._is_pinned

    @property
    def is_own(self) -> bool:
        """Whether answers show that this host itself reaches the member."""
        return self._is_own

    def exchange(
        self,
        calls: Sequence[Call],
        timeout_s: float,
        setting: SessionSetting | None = None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests through a holder and return the replies."""
        deadline = self._relay_client.now() + timeout_s
        if self._local is not None:
            return self._send_here(self._local, calls, deadline, setting)
        if self._is_pinned:
            result = self._send(calls, deadline, setting)
            if not isinstance(result, RelayRefused):
                return result
            self.close()
            return Failed(read_failure(result.failure))
        return self._find_holder(calls, deadline, setting)

    def cancel_unsent(self) -> None:
        """Wait until the holder sends no more requests of this session.

        The caller continues with the reply of another member and may change
        its session values, and a statement sent later would run without these
        values.
        """
        self._is_cancelled = True
        if self._local is not None:
            self._local.cancel_unsent()
        channel = self._channel
        if channel is not None and channel.is_open:
            channel.call(EndLease(self._lease), CANCEL_TIMEOUT_S)

    def close(self) -> None:
        """End the lease; the holder rolls back an open transaction."""
        local, self._local = self._local, None
        if local is not None:
            self._relay_client.pool.discard(local)
        channel, self._channel = self._channel, None
        self._is_pinned = False
        if channel is not None and channel.is_open:
            channel.notify(EndLease(self._lease))

    @property
    def attempt_order(self) -> tuple[str, ...]:
        """Holders that would be tried now, in order, if all others refuse.

        The others are taken to refuse for load or not to be reachable. More
        holders are tried only after one that does not reach the member.
        """
        client = self._relay_client
        search = client.search(self._work, self._refused_here)
        tried = []
        while (holder := search.next_holder()) is not None:
            tried.append(holder)
            refusal = Refusal.OTHER
            if holder == client.host:
                refusal = client.classify_own_refusal()
            search.on_refused(refusal)
        return tuple(tried)

    def _find_holder(
        self,
        calls: Sequence[Call],
        deadline: float,
        setting: SessionSetting | None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests through the first holder that accepts them.

        Only a holder that has sent nothing is followed by another one.
        """
        client = self._relay_client
        failure: Failure = NoUpstream('no holder is reachable')
        search = client.search(self._work, self._refused_here)
        while not self._is_cancelled and client.now() < deadline:
            holder = search.next_holder()
            if holder is None:
                break
            if holder == client.host:
                acquired = self._acquire_here(setting)
                if isinstance(acquired, Success):
                    return self._send_here(
                        acquired.unwrap(), calls, deadline, setting
                    )
                failure = acquired.failure()
                search.on_refused(client.classify_own_refusal())
                continue
            opened = client.find_channel(holder)
            if not isinstance(opened, Success):
                search.on_refused(Refusal.UNREACHED)
                continue
            if self._is_cancelled:
                break
            self._holder, self._channel = holder, opened.unwrap()
            result = self._send(calls, deadline, setting)
            if not isinstance(result, RelayRefused):
                return result
            failure = read_failure(result.failure)
            if isinstance(failure, Overloaded):
                client.on_overloaded()
            search.on_refused(
                self._on_refused(holder, result, failure, deadline)
            )
        if search.is_member_unreachable:
            client.on_member_unreachable()
        return Failed(failure)

    def _on_refused(
        self,
        holder: str,
        refused: RelayRefused,
        failure: Failure,
        deadline: float,
    ) -> Refusal:
        """Record the refusal of a holder and return what it says."""
        client = self._relay_client
        if refused.is_member_missed:
            client.on_member_missed(holder)
            return Refusal.MEMBER_MISSED
        if client.now() >= deadline and isinstance(failure, NoUpstream):
            # The holder has used up the time to connect to the member. It
            # may not know yet that it is cut off.
            client.on_holder_timeout(holder)
        return Refusal.OTHER

    def _acquire_here(
        self, setting: SessionSetting | None
    ) -> Result[PooledSession, Failure]:
        """Return a connection of this host, which is the next in rank."""
        pool = self._relay_client.pool
        session = setting.session if setting else SessionState()
        acquired = pool.acquire(self._work, session)
        if isinstance(acquired, Success) and self._is_cancelled:
            pool.release(acquired.unwrap())
            return Failed(NoUpstream('cancelled before the request was sent'))
        return acquired

    def _send_here(
        self,
        conn: PooledSession,
        calls: Sequence[Call],
        deadline: float,
        setting: SessionSetting | None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests on a connection of this host.

        The session keeps the connection while a transaction is open on it.
        """
        pool = self._relay_client.pool
        self._local = conn
        now = self._relay_client.now()
        pool.in_flight += 1
        pool.reach.own.on_sending(now)
        try:
            result = conn.exchange(calls, max(0.001, deadline - now), setting)
        except gevent.GreenletExit:
            self.close()
            raise
        finally:
            pool.in_flight -= 1
            pool.reach.own.on_sent()
        is_open = self._is_pinned
        if isinstance(result, Success):
            position = result.unwrap()[-1].position
            pool.reach.on_answer(self._relay_client.now(), position)
            is_open = result.unwrap()[-1].state is not TransactionState.IDLE
        self._is_pinned = is_open
        if is_open and isinstance(result, Success):
            pool.serve_queue()
            return result
        self._local = None
        if is_open:
            self._is_pinned = False
            pool.discard(conn)
        else:
            pool.release(conn)
        return result

    def _send(
        self,
        calls: Sequence[Call],
        deadline: float,
        setting: SessionSetting | None,
    ) -> Result[tuple[Reply, ...], Failure] | RelayRefused:
        """Send requests to the holder.

        A refusal means that the member has got none of the requests.
        """
        asked_at = self._relay_client.now()
        remaining_s = max(0.001, deadline - asked_at)
        work = self._work
        admit_by = min(work.admit_by, deadline)
        record = self._relay_client.record
        message = RelayedCalls(
            record.group,
            record.member,
            self._lease,
            work.priority,
            round(1000 * remaining_s),
            round(1000 * max(0.0, admit_by - asked_at)),
            tuple(calls),
            dict(setting.session.values) if setting else None,
            setting.prepared if setting else None,
            self._is_pinned,
            round(1000 * (work.goal_at - asked_at)),
            work.kind,
            work.customer,
            work.is_transaction,
            work.is_internal,
        )
        answered = self._channel.call(message, remaining_s + REPLY_MARGIN_S)
        if not isinstance(answered, Success):
            self._relay_client.on_holder_timeout(self._holder)
            self.close()
            return Failed(PeerUnreachable('holder did not answer in time'))
        match answered.unwrap():
            case RelayRefused() as refusal:
                return refusal
            case RelayedReplies() as answer:
                self._relay_client.on_replies(self._holder, answer, asked_at)
                replies = tuple(_unpack_reply(r) for r in answer.replies)
                state = replies[-1].state
                self._is_pinned = state is not TransactionState.IDLE
                return Success(replies)
            case PooledFailure() as failure:
                self._is_pinned = False
                return Failed(read_failure(failure))
            case _:
                self.close()
                return Failed(PeerUnreachable('holder sent an unknown reply'))


def _unpack_reply(packed: RelayedReply) -> Reply:
    failure = packed.failure
    return Reply(
        packed.rows,
        packed.signature,
        read_failure(failure) if failure else None,
        packed.state,
        packed.position,
        packed.status,
    )
