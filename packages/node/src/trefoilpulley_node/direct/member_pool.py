"""Connection pool of this host for one member."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from gevent import Timeout
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.concurrency_limit import ConcurrencyLimit
from trefoilpulley_core.direct.connection_queue import ConnectionQueue
from trefoilpulley_core.direct.connection_share import ConnectionShare
from trefoilpulley_core.direct.connection_share import EXCESS_IDLE_TIMEOUT_S
from trefoilpulley_core.direct.customer_connections import CloseReason
from trefoilpulley_core.direct.customer_connections import CustomerConnections
from trefoilpulley_core.direct.customer_connections import OpenReason
from trefoilpulley_core.direct.upstream_session import ConnectionLimitReached
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_node.direct.connection_opener import ConnectionOpener
from trefoilpulley_node.direct.connection_opener import DIAL_TIMEOUT_S
from trefoilpulley_node.direct.member_reach import MemberReach

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.connection_queue import QueuedWork
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.customer_connections import DialPlan
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.session_state import SessionState
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.direct.upstream_session import UpstreamDialer
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.pooled_session import PooledSession

LIMIT_RETRY_INTERVAL_S = 0.05
"""Time between two attempts to connect to a full member, in seconds.

A full member has reached its connection limit. The interval applies while
this host has no connection to the member.
"""

LATENCY_TTL_S = 1.0
"""Time for which the latency on this host's connections counts, in seconds.

Relayed requests show the latency afterwards. Two holders that relay to each
other would otherwise adopt each other's estimates.
"""


class MemberPool:
    """Opens, hands out and closes the connections to one member.

    Parameters
    ----------
    health : MemberHealth
        Health of the member as seen from this host.
    dialer : UpstreamDialer
        Opens connections.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics, optional
        Counts the connections that are opened and closed.
    """

    def __init__(
        self,
        health: MemberHealth,
        dialer: UpstreamDialer,
        clock: Clock,
        metrics: DirectMetrics | None = None,
    ) -> None:
        self.health = health
        self.reach = MemberReach(health)
        """Whether this host reaches the member itself."""

        self.share = ConnectionShare()
        """Number of connections that this host may open to the member."""

        self.in_flight_limit = ConcurrencyLimit()
        """Number of statements that may be in flight at the member."""

        self.is_idle_kept = True
        """Whether idle connections stay open."""

        self.in_flight = 0
        """Statements in flight on the connections of this host."""

        self.served_at = float('-inf')
        """Time of the last statement on these connections, in seconds."""

        self._clock = clock
        self._metrics = metrics
        self._connections: CustomerConnections[PooledSession] = (
            CustomerConnections()
        )
        self._opener = ConnectionOpener(
            health,
            self.reach,
            self._connections,
            dialer,
            self._on_dial_failed,
            clock,
            metrics,
        )
        self._queue = ConnectionQueue()
        self._assigned_count = 0
        self._is_closed = False

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return self._connections.open_count

    @property
    def customer_connections(self) -> dict[str, int]:
        """Open connections of the customers that hold most, by name."""
        return self._connections.list_open()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return len(self._queue)

    @property
    def has_idle(self) -> bool:
        """Whether a connection is idle."""
        return self._connections.has_idle

    def has_latency(self, now: float) -> bool:
        """Return whether these connections show the member's latency."""
        return now - self.served_at <= LATENCY_TTL_S

    def acquire(
        self, work: ConnectionRequest, session: SessionState
    ) -> Result[PooledSession, Failure]:
        """Return a connection, or the reason why none is available in time.

        Parameters
        ----------
        work : ConnectionRequest
            What the request declares.
        session : SessionState
            Session values that the request needs; a connection that has these
            values already is preferred.
        """
        acquired = self._acquire(work, session)
        if isinstance(acquired, Success):
            conn = acquired.unwrap()
            conn.kind = work.kind
            conn.is_for_transaction = work.is_transaction
        return acquired

    def _acquire(
        self, work: ConnectionRequest, session: SessionState
    ) -> Result[PooledSession, Failure]:
        deadline = work.deadline
        while not self._is_closed:
            if self.reach.own.is_refusing and not work.is_internal:
                self.serve_queue()
                return Failed(NoUpstream('member does not answer this host'))
            now = self._clock.now()
            if self._has_room:
                conn = self._take_idle(work, session)
                if conn is not None:
                    return Success(conn)
                if now >= deadline:
                    break
                plan = self._plan_dial(work, now)
                if plan is not None:
                    dialled = self._dial(deadline, work.customer, plan.evicted)
                    failure = _failure_of(dialled)
                    if not isinstance(failure, ConnectionLimitReached):
                        return dialled
                    self.share.on_refused(now)
                    self._evict_for(work.customer, now)
                    if not self._connections.count_open(work.customer):
                        wait_s = min(LIMIT_RETRY_INTERVAL_S, deadline - now)
                        conn = self._wait_for_retry(work, wait_s)
                        if conn is not None:
                            return Success(conn)
                        continue
            waiter = self._enqueue(work, now)
            if waiter is None:
                self.health.overload.on_refused(now)
                self.serve_queue()
                return Failed(Overloaded('connection queue is too long'))
            conn = self._wait_for_turn(waiter, work.admit_by - now)
            if conn is not None:
                return Success(conn)
        if self._is_closed:
            return Failed(NoUpstream('member has left the group'))
        # A turn that this request could not use goes to another one.
        self.serve_queue()
        return Failed(Overloaded('timed out waiting for a connection'))

    def release(self, conn: PooledSession) -> None:
        """Return a connection to the pool."""
        now = self._clock.now()
        self._queue.on_released(
            now - conn.since, conn.kind, conn.is_for_transaction
        )
        self._connections.on_used(conn.customer, now)
        if not conn.is_usable or conn.has_transaction:
            self._close_connection(conn, CloseReason.BROKEN)
            return
        if self._is_closed:
            self._close_connection(conn, CloseReason.STOPPED)
            return
        if self.open_connections > self.share.max_open:
            self._close_connection(conn, CloseReason.SURPLUS)
            return
        conn.since = now
        self._connections.add_idle(conn)
        self.serve_queue()

    def serve_queue(self) -> None:
        """Wake waiting requests while the member has capacity for them.

        A request that can neither have an idle connection nor dial keeps its
        place and does not hold up requests of other customers.
        """
        now = self._clock.now()
        may_dial = True
        while len(self._queue) and self._has_room:
            if not self.has_idle and not (may_dial and self._may_dial(now)):
                return
            waiter = self._queue.pop(
                now,
                lambda turn: (
                    self._connections.has_match(turn.work)
                    or (
                        may_dial
                        and self._plan_dial(turn.work, now) is not None
                    )
                ),
            )
            if waiter is None:
                return
            conn = self._connections.take(waiter.handle.work)
            if conn is not None:
                conn.since = now
                self._connections.on_used(conn.customer, now)
            else:
                # The waiting request dials or waits again itself, and there
                # may be no capacity for a second one. The connection to evict
                # is closed here, because requests of its customer that wait
                # would take it each time.
                plan = self._plan_dial(waiter.handle.work, now)
                if plan.evicted is not None:
                    self._evict(plan.evicted)
                may_dial = False
            self._assigned_count += 1
            waiter.handle.set(conn)

    def on_replies(
        self,
        conn: PooledSession,
        replies: Sequence[Reply],
        in_flight: int,
        statement_s: float | None,
    ) -> None:
        """Adjust the in-flight limit to the replies of the member.

        Parameters
        ----------
        conn : PooledSession
            Connection on which the requests were sent.
        replies : Sequence[Reply]
            Reply to each request.
        in_flight : int
            Statements of this host that were in flight at the member.
        statement_s : float or None
            Time until the replies, in seconds; ``None`` if no statement was
            sent. Other requests need no slot of the member.
        """
        now = self._clock.now()
        if any(isinstance(r.failure, Overloaded) for r in replies):
            self.in_flight_limit.on_busy(in_flight, now)
            return
        # A statement that failed, as one that is refused by a replica that
        # lags, does not show how long the member works.
        if statement_s is not None and replies[0].failure is None:
            self.in_flight_limit.record_latency(statement_s, conn.kind, now)
        self.in_flight_limit.on_served(now)
        if len(self._queue) or self.in_flight_limit.is_reduced:
            self.health.queued_at = now

    def discard(self, conn: PooledSession) -> None:
        """Close a connection; the member rolls back an open transaction."""
        self._close_connection(conn, CloseReason.BROKEN)

    def on_unreachable(self, now: float) -> None:
        """Record that the member does not answer this host.

        Where another holder may serve them, waiting requests are refused.
        """
        self.reach.on_unreachable(now)
        if self.reach.own.is_refusing:
            self._wake_all()

    def open_ahead(self) -> None:
        """Open a connection that is kept, before a request needs it."""
        if not self.is_idle_kept or self._is_closed:
            return
        if self.open_connections >= self.share.min_idle:
            return
        if (
            self.health.failing_since is None
            and not self.reach.own.is_refusing
        ):
            gevent.spawn(self._open_ahead)

    def trim(self, now: float) -> None:
        """Close idle connections above the number that stays open."""
        needed = self._connections.count_needed(now)
        kept = self.share.count_kept(needed, now) if self.is_idle_kept else 0
        while self.has_idle and self.open_connections > kept:
            conn = self._connections.oldest_idle
            if now - conn.since < EXCESS_IDLE_TIMEOUT_S:
                return
            self._connections.remove_idle(conn)
            self._close_connection(conn, CloseReason.IDLE)

    def close(self) -> None:
        """Close the pool and its idle connections.

        A connection in use is closed when it is released.
        """
        self._is_closed = True
        while (conn := self._connections.oldest_idle) is not None:
            self._connections.remove_idle(conn)
            self._count_closed(conn, CloseReason.STOPPED)
            conn.close()
        self._wake_all()

    def _take_idle(
        self, work: ConnectionRequest, session: SessionState
    ) -> PooledSession | None:
        while True:
            conn = self._connections.take(
                work, lambda c: c.state.has_values_of(session)
            )
            if conn is None:
                return None
            if conn.is_usable:
                now = conn.since = self._clock.now()
                self._connections.on_used(conn.customer, now)
                return conn
            self._close_connection(conn, CloseReason.BROKEN)

    def _plan_dial(
        self, work: ConnectionRequest, now: float
    ) -> DialPlan[PooledSession] | None:
        return self._connections.plan_dial(
            work, self.share, self._opener.dialing, now
        )

    def _evict_for(self, customer: str, now: float) -> None:
        """Make room at the member for a connection of a customer."""
        evicted = self._connections.find_evictable(customer, now)
        if evicted is not None:
            self._evict(evicted)

    def _evict(self, conn: PooledSession) -> None:
        self._connections.remove_idle(conn)
        self._count_closed(conn, CloseReason.EVICTED)
        conn.close()

    def _dial(
        self,
        deadline: float,
        customer: str,
        evicted: PooledSession | None = None,
        reason: OpenReason | None = None,
    ) -> Result[PooledSession, Failure]:
        """Open a connection, in place of one that is evicted, if any."""
        if reason is None:
            is_first = not self._connections.count_open(customer)
            reason = OpenReason.FIRST if is_first else OpenReason.MORE
        self._opener.reserve(customer)
        if evicted is not None:
            reason = OpenReason.REPLACING
            self._evict(evicted)
        try:
            dialled = self._opener.open(deadline, customer, reason)
        except BaseException:
            self.serve_queue()
            raise
        if isinstance(dialled, Success):
            self.serve_queue()
        return dialled

    def _open_ahead(self) -> None:
        deadline = self._clock.now() + DIAL_TIMEOUT_S
        dialled = self._dial(deadline, '', reason=OpenReason.AHEAD)
        if isinstance(dialled, Success):
            self.release(dialled.unwrap())

    def _on_dial_failed(self, now: float) -> None:
        """Wake requests without an open connection, so that they fail early.

        Where nothing is open, these are all waiting requests.
        """
        self.on_unreachable(now)
        if not self.open_connections:
            self._wake_all()
            return
        now = self._clock.now()
        while True:
            waiter = self._queue.pop(
                now,
                lambda turn: (
                    not (
                        turn.work.is_internal
                        or self._connections.count_open(turn.work.customer)
                    )
                ),
            )
            if waiter is None:
                return
            self._assigned_count += 1
            waiter.handle.set(None)

    def _wake_all(self) -> None:
        for waiter in self._queue.drain():
            self._assigned_count += 1
            waiter.handle.set(None)

    @property
    def _has_room(self) -> bool:
        """Whether one more statement may be sent to the member."""
        limit = self.health.pace.cap(self.in_flight_limit.value)
        return self.in_flight + self._assigned_count < limit

    def _may_dial(self, now: float) -> bool:
        return self.share.may_dial(
            self.open_connections, self._opener.dialing, now
        )

    def _enqueue(
        self, work: ConnectionRequest, now: float
    ) -> QueuedWork | None:
        """Queue a request, or return ``None`` where it would wait too long."""
        if self._has_room:
            # The connections that may still be opened are ready within the
            # time for which a request holds one.
            servers = max(self.open_connections, self.share.limit(now))
            mean_hold_s = self._queue.mean_hold_s
        else:
            servers = self.in_flight_limit.value
            mean_hold_s = self.health.expected_latency_s(now)
        displaced = self._queue.find_displaced(work, now)
        if displaced is not None:
            # The displaced request wakes, finds the queue full and is refused.
            self._queue.remove(displaced)
            self._assigned_count += 1
            displaced.handle.set(None)
        return self._queue.enqueue(
            work, now, servers, mean_hold_s, _Turn(work)
        )

    def _wait_for_retry(
        self, work: ConnectionRequest, wait_s: float
    ) -> PooledSession | None:
        now = self._clock.now()
        waiter = self._queue.enqueue(
            replace(work, admit_by=work.deadline),
            now,
            1,
            self._queue.mean_hold_s,
            _Turn(work),
        )
        if waiter is None:
            return None
        return self._wait_for_turn(waiter, wait_s)

    def _wait_for_turn(
        self, waiter: QueuedWork, wait_s: float
    ) -> PooledSession | None:
        try:
            conn = waiter.handle.get(timeout=wait_s)
        except Timeout:
            if not waiter.is_done:
                self._queue.remove(waiter)
                return None
            if not waiter.handle.ready():
                # The queue has dropped the request at its deadline.
                return None
            # The request got its turn at the moment of the timeout.
            conn = waiter.handle.get()
        except gevent.GreenletExit:
            self._abandon(waiter)
            raise
        self._assigned_count -= 1
        return conn

    def _abandon(self, waiter: QueuedWork) -> None:
        """Take back the turn and connection of a greenlet that was killed."""
        if not waiter.is_done:
            self._queue.remove(waiter)
            return
        if not waiter.handle.ready():
            return
        self._assigned_count -= 1
        conn = waiter.handle.get()
        if conn is None:
            self.serve_queue()
        else:
            self.release(conn)

    def _close_connection(
        self, conn: PooledSession, reason: CloseReason
    ) -> None:
        conn.close()
        self._count_closed(conn, reason)
        self.serve_queue()

    def _count_closed(self, conn: PooledSession, reason: CloseReason) -> None:
        self._connections.on_closed(conn.customer)
        if self._metrics is not None:
            self._metrics.count('connections_closed', reason.value)


class _Turn(AsyncResult):
    """Turn of a waiting request: its connection, or ``None`` to dial."""

    def __init__(self, work: ConnectionRequest) -> None:
        super().__init__()
        self.work = work


def _failure_of(result: Result) -> Failure | None:
    return None if isinstance(result, Success) else result.failure()
