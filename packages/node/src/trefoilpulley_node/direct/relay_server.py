"""Relays requests of other hosts to members on this host's connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.connection_request import ConnectionRequest
from trefoilpulley_core.direct.evidence_messages import make_report
from trefoilpulley_core.direct.relay_messages import pack_reply
from trefoilpulley_core.direct.relay_messages import RelayedReplies
from trefoilpulley_core.direct.relay_messages import RelayRefused
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_core.peer import PooledDone
from trefoilpulley_node.direct.exchange import record_proof
from trefoilpulley_node.direct.member_session import SessionSetting
from trefoilpulley_node.peer_server import make_failure_reply

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.relay_messages import EndLease
    from trefoilpulley_core.direct.relay_messages import RelayedCalls
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.peer import PooledFailure
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.exchange import Exchanger
    from trefoilpulley_node.direct.member_access import MemberAccess
    from trefoilpulley_node.direct.pooled_session import PooledSession
    from trefoilpulley_node.peer_server import PeerIdentity

LEASE_MARGIN_S = 1.0
"""Time from a transaction's idle timeout to its lease's end, in seconds.

The host that opened the lease aborts an idle transaction at the
idle timeout, as long as that host is running.
"""

ENDED_LEASE_TTL_S = 5.0
"""Time for which the end of an unknown lease is remembered, in seconds.

A request that arrives after the end of its lease is refused. Both messages
arrive together unless the connection between the hosts breaks, so that a
longer time is not needed.
"""


@dataclass(eq=False, slots=True)
class _Lease:
    """Use of a connection by another host for a request or transaction."""

    group: Group
    """Group of the member."""

    access: MemberAccess
    """Access to the member."""

    used_at: float
    """Time of the last request, in seconds."""

    conn: PooledSession | None = None
    """Connection; ``None`` while the lease waits for one."""

    is_busy: bool = True
    """Whether a request is being served."""

    has_transaction: bool = False
    """Whether a transaction is open on the connection."""

    is_abandoned: bool = False
    """Whether the requesting host has ended the lease."""


class RelayServer:
    """Serves the requests that other hosts relay through this host.

    Parameters
    ----------
    groups : Mapping[str, Group]
        Groups by name.
    exchanger : Exchanger
        Sends requests on connections.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, groups: Mapping[str, Group], exchanger: Exchanger, clock: Clock
    ) -> None:
        self._groups = groups
        self._exchanger = exchanger
        self._clock = clock
        self._leases: dict[tuple[int, int], _Lease] = {}
        self._ended_leases: dict[tuple[int, int], float] = {}
        self._is_refusing = False

    @property
    def lease_count(self) -> int:
        """Number of active requests and open transactions of other hosts."""
        return len(self._leases)

    def refuse(self) -> None:
        """Open no further lease, so that the host can stop.

        Requests that wait for a connection are refused; the requests of other
        leases are served.
        """
        self._is_refusing = True
        for lease in self._leases.values():
            if lease.conn is None:
                lease.is_abandoned = True

    def on_calls(
        self, message: RelayedCalls, peer: PeerIdentity
    ) -> RelayedReplies | RelayRefused | PooledFailure:
        """Send requests to the member and return its replies.

        The requests use connections of this host only and are never relayed
        further, so that two holders cannot send them to each other.
        """
        deadline = self._clock.now() + message.remaining_ms / 1000
        key = peer.connection, message.lease
        if key in self._ended_leases:
            return _make_refusal(
                NoUpstream('cancelled before the request was read')
            )
        lease = self._leases.get(key)
        if lease is None:
            if message.is_pinned:
                return make_failure_reply(TransactionLost('lease has ended'))
            if self._is_refusing:
                return _make_refusal(NoUpstream('host is stopping'))
            refusal = self._open_lease(key, message, deadline)
            if refusal is not None:
                return refusal
            lease = self._leases[key]
        lease.is_busy = True
        sent_at = self._clock.now()
        result = self._exchanger.exchange(
            lease.access,
            lease.conn,
            message.calls,
            deadline,
            _setting_of(message),
            message.kind,
        )
        now = lease.used_at = self._clock.now()
        lease.is_busy = False
        if not isinstance(result, Success):
            self._close_lease(key, lease)
            return make_failure_reply(result.failure())
        replies = result.unwrap()
        lease.has_transaction = replies[-1].state is not TransactionState.IDLE
        if lease.is_abandoned or not lease.has_transaction:
            self._close_lease(key, lease)
        _record_proofs(lease, message, replies, sent_at)
        return RelayedReplies(
            tuple(pack_reply(r) for r in replies),
            round(1000 * lease.access.health.expected_latency_s(now), 1),
            make_report(lease.group.state.evidence.newest, now),
            lease.access.health.has_queue(now),
        )

    def on_end(self, message: EndLease, peer: PeerIdentity) -> PooledDone:
        """End a lease that the requesting host no longer needs."""
        key = peer.connection, message.lease
        if key not in self._leases:
            # After a pause, this host can handle the end of a lease before the
            # request that opens the lease.
            self._ended_leases[key] = self._clock.now()
        self._abandon(key)
        return PooledDone()

    def on_peer_closed(self, peer: PeerIdentity) -> None:
        """End all leases of a peer connection that was closed."""
        for key in [k for k in self._leases if k[0] == peer.connection]:
            self._abandon(key)

    def end_idle(self, transaction_idle_timeout_s: float) -> None:
        """End the leases whose hosts have sent nothing for too long."""
        now = self._clock.now()
        self._ended_leases = {
            k: t
            for k, t in self._ended_leases.items()
            if now - t < ENDED_LEASE_TTL_S
        }
        oldest_used_at = now - transaction_idle_timeout_s - LEASE_MARGIN_S
        for key, lease in list(self._leases.items()):
            if lease.used_at < oldest_used_at and not lease.is_busy:
                self._abandon(key)

    def _open_lease(
        self, key: tuple[int, int], message: RelayedCalls, deadline: float
    ) -> RelayRefused | None:
        """Open a lease on a connection, or return why that failed."""
        group = self._groups.get(message.group)
        access = group.find_access(message.member) if group else None
        if access is None:
            return _make_refusal(NoUpstream('member is unknown to this host'))
        if access.local_pool.reach.own.is_refusing:
            # The holder's own checks find out when the member answers again.
            return _make_refusal(
                NoUpstream('member does not answer the holder'), True
            )
        lease = self._leases[key] = _Lease(group, access, self._clock.now())
        values = SessionState(message.values or {})
        work = _work_of(message, deadline, self._clock.now())
        acquired = access.local_pool.acquire(work, values)
        if not isinstance(acquired, Success):
            del self._leases[key]
            own = access.local_pool.reach.own
            is_missed = own.failing_since is not None
            return _make_refusal(acquired.failure(), is_missed)
        lease.conn = acquired.unwrap()
        if lease.is_abandoned:
            # The session values of the caller may have changed in the
            # meantime.
            self._close_lease(key, lease)
            return _make_refusal(
                NoUpstream('cancelled before the request was sent')
            )
        return None

    def _abandon(self, key: tuple[int, int]) -> None:
        lease = self._leases.get(key)
        if lease is None:
            return
        lease.is_abandoned = True
        if not lease.is_busy:
            self._close_lease(key, lease)
        elif lease.conn is not None:
            lease.conn.cancel_unsent()

    def _close_lease(self, key: tuple[int, int], lease: _Lease) -> None:
        """Release the connection; close it where a transaction is open."""
        self._leases.pop(key, None)
        if lease.conn is None:
            return
        if lease.has_transaction:
            lease.access.local_pool.discard(lease.conn)
        else:
            lease.access.local_pool.release(lease.conn)


def _make_refusal(
    failure: Failure, is_member_missed: bool = False
) -> RelayRefused:
    return RelayRefused(make_failure_reply(failure), is_member_missed)


def _work_of(
    message: RelayedCalls, deadline: float, now: float
) -> ConnectionRequest:
    goal_ms = message.goal_ms
    return ConnectionRequest(
        message.priority,
        deadline,
        min(now + message.admit_ms / 1000, deadline),
        deadline if goal_ms is None else now + goal_ms / 1000,
        message.kind,
        message.customer,
        message.is_transaction,
        message.is_internal,
    )


def _setting_of(message: RelayedCalls) -> SessionSetting | None:
    if message.values is None:
        return None
    return SessionSetting(SessionState(message.values), message.prepared)


def _record_proofs(
    lease: _Lease,
    message: RelayedCalls,
    replies: Sequence[Reply],
    sent_at: float,
) -> None:
    """Record the proofs that the replies contain.

    Only a leader opens a read-write transaction.
    """
    for call, reply in zip(message.calls, replies, strict=True):
        if not isinstance(call, OpenTransaction) or call.is_read_only:
            continue
        if reply.failure is None:
            record_proof(lease.group, lease.access, sent_at, reply.position)
