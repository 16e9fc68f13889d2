"""Lends this host's connections to the statements of other hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_core.peer import PooledDone
from trefoilpulley_core.proxy.evidence_messages import make_report
from trefoilpulley_core.proxy.relay_messages import pack_reply
from trefoilpulley_core.proxy.relay_messages import RelayedReplies
from trefoilpulley_core.proxy.relay_messages import RelayRefused
from trefoilpulley_core.proxy.session_state import SessionState
from trefoilpulley_core.proxy.upstream_session import OpenTransaction
from trefoilpulley_core.proxy.upstream_session import TransactionState
from trefoilpulley_node.peer_server import make_failure_reply
from trefoilpulley_node.proxy.exchange import prove
from trefoilpulley_node.proxy.lent_session import SessionSetting

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.peer import PooledFailure
    from trefoilpulley_core.proxy.relay_messages import EndLease
    from trefoilpulley_core.proxy.relay_messages import RelayedCalls
    from trefoilpulley_core.proxy.upstream_session import Reply
    from trefoilpulley_node.peer_server import PeerIdentity
    from trefoilpulley_node.proxy.directory import Group
    from trefoilpulley_node.proxy.exchange import Exchanger
    from trefoilpulley_node.proxy.member_access import MemberAccess
    from trefoilpulley_node.proxy.member_pool import PooledSession

LEASE_MARGIN_S = 1.0
"""Time that a lease may rest longer than a caller's transaction.

The borrowing host ends an idle transaction first, where it still runs.
"""

ENDED_KEPT_S = 5.0
"""Time for which the end of a lease without a request is kept, in seconds.

Both are read together, or the connection breaks.
"""


@dataclass(eq=False, slots=True)
class _Lease:
    """Connection that a transaction of another host is open on."""

    group: Group
    """Group of the member."""

    access: MemberAccess
    """Way to the member."""

    used_at: float
    """Time of the last request, in seconds."""

    conn: PooledSession | None = None
    """Connection; none while the lease waits for one."""

    is_running: bool = True
    """Whether a request is being served."""

    is_open: bool = False
    """Whether a transaction is open on the connection."""

    is_ended: bool = False
    """Whether the borrowing host has given it up."""


class ConnectionLender:
    """Serves the statements that other hosts send through this one.

    Parameters
    ----------
    groups : Mapping[str, Group]
        Groups by name.
    exchanger : Exchanger
        Runs requests on connections.
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
        self._ended: dict[tuple[int, int], float] = {}

    @property
    def leases(self) -> int:
        """Requests being served and transactions open for other hosts."""
        return len(self._leases)

    def on_calls(
        self, message: RelayedCalls, peer: PeerIdentity
    ) -> RelayedReplies | RelayRefused | PooledFailure:
        """Send requests to the member and return its replies."""
        deadline = self._clock.now() + message.remaining_ms / 1000
        key = peer.connection, message.lease
        if key in self._ended:
            return _refuse(NoUpstream('given up before it was read'))
        lease = self._leases.get(key)
        if lease is None:
            if message.is_pinned:
                return make_failure_reply(TransactionLost('lease has ended'))
            refusal = self._take(key, message, deadline)
            if refusal is not None:
                return refusal
            lease = self._leases[key]
        lease.is_running = True
        sent_at = self._clock.now()
        done = self._exchanger.exchange(
            lease.access,
            lease.conn,
            message.calls,
            deadline,
            _setting_of(message),
        )
        now = lease.used_at = self._clock.now()
        lease.is_running = False
        if not isinstance(done, Success):
            self._end(key, lease)
            return make_failure_reply(done.failure())
        replies = done.unwrap()
        lease.is_open = replies[-1].state is not TransactionState.IDLE
        if lease.is_ended or not lease.is_open:
            self._end(key, lease)
        _note_proofs(lease, message, replies, sent_at)
        return RelayedReplies(
            tuple(pack_reply(r) for r in replies),
            round(1000 * lease.access.health.expected_s(now), 1),
            make_report(lease.group.state.evidence.newest, now),
        )

    def on_end(self, message: EndLease, peer: PeerIdentity) -> PooledDone:
        """End a lease that the borrowing host has given up."""
        key = peer.connection, message.lease
        if key not in self._leases:
            # A host that was paused reads the end with the request.
            self._ended[key] = self._clock.now()
        self._give_up(key)
        return PooledDone()

    def on_peer_closed(self, peer: PeerIdentity) -> None:
        """End the leases of a connection that has ended."""
        for key in [k for k in self._leases if k[0] == peer.connection]:
            self._give_up(key)

    def end_idle(self, transaction_idle_s: float) -> None:
        """End the leases of hosts that fell silent."""
        now = self._clock.now()
        self._ended = {
            k: t for k, t in self._ended.items() if now - t < ENDED_KEPT_S
        }
        oldest = now - transaction_idle_s - LEASE_MARGIN_S
        for key, lease in list(self._leases.items()):
            if lease.used_at < oldest and not lease.is_running:
                self._give_up(key)

    def _take(
        self, key: tuple[int, int], message: RelayedCalls, deadline: float
    ) -> RelayRefused | None:
        """Take a connection for a new lease, or say why there is none."""
        group = self._groups.get(message.group)
        access = group.pool_of(message.member) if group else None
        if access is None:
            return _refuse(NoUpstream('member is not known here'))
        lease = self._leases[key] = _Lease(group, access, self._clock.now())
        values = SessionState(message.values or {})
        admit_by = self._clock.now() + message.admit_ms / 1000
        lent = access.own.acquire(message.priority, deadline, values, admit_by)
        if not isinstance(lent, Success):
            del self._leases[key]
            is_missed = access.health.failing_since is not None
            return _refuse(lent.failure(), is_missed)
        lease.conn = lent.unwrap()
        if lease.is_ended:
            # The session may have other values by now.
            self._end(key, lease)
            return _refuse(NoUpstream('given up before it was sent'))
        return None

    def _give_up(self, key: tuple[int, int]) -> None:
        lease = self._leases.get(key)
        if lease is None:
            return
        lease.is_ended = True
        if not lease.is_running:
            self._end(key, lease)

    def _end(self, key: tuple[int, int], lease: _Lease) -> None:
        """Give a connection back; one in a transaction is closed."""
        self._leases.pop(key, None)
        if lease.conn is None:
            return
        if lease.is_open:
            lease.access.own.discard(lease.conn)
        else:
            lease.access.own.release(lease.conn)


def _refuse(failure: Failure, is_member_missed: bool = False) -> RelayRefused:
    return RelayRefused(make_failure_reply(failure), is_member_missed)


def _setting_of(message: RelayedCalls) -> SessionSetting | None:
    if message.values is None:
        return None
    return SessionSetting(SessionState(message.values), message.prepared)


def _note_proofs(
    lease: _Lease,
    message: RelayedCalls,
    replies: Sequence[Reply],
    sent_at: float,
) -> None:
    """Learn from plain transactions, which only a leader opens."""
    for call, reply in zip(message.calls, replies, strict=True):
        if not isinstance(call, OpenTransaction) or call.is_read_only:
            continue
        if reply.failure is None:
            prove(lease.group, lease.access, sent_at, reply.position)
