"""Sessions with a member that are relayed through other hosts.

A holder is a host that holds connections to the member.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import gevent
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.connection_holders import ConnectionHolders
from trefoilpulley_core.direct.connection_holders import rank_customer_holders
from trefoilpulley_core.direct.connection_holders import rank_holders
from trefoilpulley_core.direct.evidence_messages import read_report
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
from trefoilpulley_node import events
from trefoilpulley_node.peers import read_failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.direct.relay_messages import RelayedReply
    from trefoilpulley_core.direct.upstream_session import Call
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.member_pool import MemberPool
    from trefoilpulley_node.direct.member_session import SessionSetting
    from trefoilpulley_node.direct.pooled_session import PooledSession
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_wire.channel import Channel

MAX_CACHED_RANKS = 1024
"""Customers whose ranked holders are cached."""

MAX_HOLDER_ATTEMPTS = 3
"""Holders that a request is sent to before it fails."""

HOLDER_BACKOFF_S = 0.8
"""Time for which a holder that did not answer is tried last, in seconds.

Membership needs about the same time to detect a dead host.
"""

HOLDER_DIAL_TIMEOUT_S = 0.15
"""Timeout to connect to a holder, in seconds."""

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


class RelayClient:
    """Opens sessions with one member that are relayed through its holders.

    Parameters
    ----------
    host : str
        Name of this host.
    group : GroupState
        State of the member's group as known to this host.
    pool : MemberPool
        Connections of this host to the member, used where this host is the
        next holder in rank.
    peers : Peers
        Connections to the other hosts.
    clock : Clock
        Monotonic time.
    """

    _lease_numbers = count(1)

    def __init__(
        self,
        host: str,
        group: GroupState,
        pool: MemberPool,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._host = host
        self._group = group
        self.pool = pool
        """Connections of this host to the member."""

        self._health = pool.health
        self._peers = peers
        self._clock = clock
        self._holders = ConnectionHolders((), 1)
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._backoff_until: dict[str, float] = {}

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._host

    @property
    def holders(self) -> tuple[str, ...]:
        """Holders in the order to try for work without a customer."""
        return self.holders_for('')

    def holders_for(self, customer: str) -> tuple[str, ...]:
        """Return the holders in the order to try for work of a customer.

        Holders in backoff come last.
        """
        now = self._clock.now()
        self._backoff_until = {
            h: t for h, t in self._backoff_until.items() if now < t
        }
        ranked = self._rank(customer)
        if not self._backoff_until:
            return ranked
        return tuple(sorted(ranked, key=lambda h: h in self._backoff_until))

    @property
    def is_active(self) -> bool:
        """Whether this host reaches the member through other hosts only."""
        hosts = self._holders.hosts
        return bool(hosts) and self._host not in hosts

    def is_used_for(self, work: ConnectionRequest) -> bool:
        """Return whether work uses another host's connections first.

        A holder serves work without a customer itself.
        """
        if not work.customer or self._host not in self._holders.hosts:
            return self.is_active
        return self.holders_for(work.customer)[0] != self._host

    def has_next_holder(self, work: ConnectionRequest) -> bool:
        """Return whether another holder may serve what this host refused.

        The connections of other holders are of use only to customers; other
        work has its own holders at each host.
        """
        is_in_time = self._clock.now() < work.deadline
        return (
            bool(work.customer) and is_in_time and len(self._holders.hosts) > 1
        )

    def update(self, holders: ConnectionHolders) -> None:
        """Set the holders of the member."""
        if holders != self._holders:
            self._holders = holders
            self._ranks.clear()

    def open(
        self, work: ConnectionRequest, is_refused_here: bool = False
    ) -> RelayedSession:
        """Return a session, which leases a connection at its first use.

        Parameters
        ----------
        work : ConnectionRequest
            Work that the session is opened for.
        is_refused_here : bool
            Whether this host was the first in rank and has refused the work.
        """
        return RelayedSession(
            self, next(self._lease_numbers), work, is_refused_here
        )

    def _rank(self, customer: str) -> tuple[str, ...]:
        ranked = self._ranks.get(customer)
        if ranked is None:
            record = self._health.record
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            if customer:
                ranked = rank_customer_holders(
                    record.group, customer, self._holders
                )
            else:
                ranked = rank_holders(record.member, self._host, self._holders)
            self._ranks[customer] = ranked
        return ranked

    def find_channel(self, holder: str) -> Result[Channel, Failure]:
        """Return the channel to a holder."""
        opened = self._peers.open_channel(holder, HOLDER_DIAL_TIMEOUT_S)
        if not isinstance(opened, Success):
            self.on_holder_timeout(holder)
        return opened

    @property
    def record(self) -> MemberRecord:
        """Entry of the member in the platform's service."""
        return self._health.record

    def now(self) -> float:
        """Return the present time in seconds."""
        return self._clock.now()

    def on_replies(self, replies: RelayedReplies, asked_at: float) -> None:
        """Record the expected latency and evidence that a holder reports."""
        now = self._clock.now()
        if not self.pool.has_latency(now):
            self._health.on_reported_latency(replies.expected_ms / 1000, now)
        evidence = read_report(replies.evidence, asked_at)
        if evidence is not None:
            self._group.evidence.record(evidence.at, evidence.position)

    def on_holder_timeout(self, holder: str) -> None:
        """Put a holder that did not answer into backoff."""
        now = self._clock.now()
        if holder not in self._backoff_until:
            events.HOLDER_PASSED_OVER.log(
                member=self._health.record.member, holder=holder
            )
        self._backoff_until[holder] = now + HOLDER_BACKOFF_S

    def on_overloaded(self) -> None:
        """Record that a holder's queue for the member was too long."""
        self._health.overload.on_refused(self._clock.now())

    def on_member_unreachable(self) -> None:
        """Record that the member does not answer its holders."""
        self._health.on_unreachable(self._clock.now())


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
    is_refused_here : bool
        Whether this host has refused the work, so that it is not tried.
    """

    def __init__(
        self,
        relay_client: RelayClient,
        lease: int,
        work: ConnectionRequest,
        is_refused_here: bool = False,
    ) -> None:
        self._relay_client = relay_client
        self._lease = lease
        self._work = work
        self._is_refused_here = is_refused_here
        self._local: PooledSession | None = None
        self._holder: str | None = None
        self._channel: Channel | None = None
        self._is_pinned = False
        self._is_cancelled = False

    @property
    def is_usable(self) -> bool:
        """Whether no lease is open, so that nothing needs to be closed."""
        return not self._is_pinned

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
        failure: Failure = NoUpstream('no holder is reachable')
        unreachable_reports = 0
        for holder in self._list_holders():
            if self._is_cancelled or self._relay_client.now() >= deadline:
                break
            if holder == self._relay_client.host:
                acquired = self._acquire_here(setting)
                if isinstance(acquired, Success):
                    return self._send_here(
                        acquired.unwrap(), calls, deadline, setting
                    )
                failure = acquired.failure()
                continue
            opened = self._relay_client.find_channel(holder)
            if not isinstance(opened, Success):
                continue
            if self._is_cancelled:
                break
            self._holder, self._channel = holder, opened.unwrap()
            result = self._send(calls, deadline, setting)
            if not isinstance(result, RelayRefused):
                return result
            failure = read_failure(result.failure)
            if isinstance(failure, Overloaded):
                self._relay_client.on_overloaded()
            unreachable_reports += result.is_member_missed
        if unreachable_reports > 1:
            self._relay_client.on_member_unreachable()
        return Failed(failure)

    def cancel_unsent(self) -> None:
        """Wait until the holder sends no more requests of this session.

        The caller continues with the reply of another member and may change
        its session values, and a statement sent later would run without these
        values.
        """
        self._is_cancelled = True
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
        """Holders in the order in which they would be tried now."""
        return self._list_holders()

    def _list_holders(self) -> tuple[str, ...]:
        holders = self._relay_client.holders_for(self._work.customer)
        if self._is_refused_here:
            holders = tuple(h for h in holders if h != self._relay_client.host)
        return holders[:MAX_HOLDER_ATTEMPTS]

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
        pool.in_flight += 1
        try:
            result = conn.exchange(
                calls, max(0.001, deadline - self._relay_client.now()), setting
            )
        except gevent.GreenletExit:
            self.close()
            raise
        finally:
            pool.in_flight -= 1
        is_open = self._is_pinned
        if isinstance(result, Success):
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
                self._relay_client.on_replies(answer, asked_at)
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
