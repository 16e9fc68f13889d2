"""Connection pool of this host for one member."""

from __future__ import annotations

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
from trefoilpulley_core.direct.upstream_session import ConnectionLimitReached
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_node.direct.pooled_session import PooledSession

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.connection_queue import QueuedWork
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.session_state import SessionState
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.direct.upstream_session import UpstreamDialer
    from trefoilpulley_core.failure import Failure

DIAL_TIMEOUT_S = 0.4
"""Timeout to open a connection, in seconds; a busy member takes tens of ms."""

LIMIT_RETRY_INTERVAL_S = 0.05
"""Time between two attempts to connect to a full member, in seconds.

A full member has reached its connection limit. The interval applies while
this host has no connection to the member.
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
    """

    def __init__(
        self, health: MemberHealth, dialer: UpstreamDialer, clock: Clock
    ) -> None:
        self.health = health
        self.share = ConnectionShare()
        """Number of connections that this host may open to the member."""

        self.in_flight_limit = ConcurrencyLimit()
        """Number of statements that may be in flight at the member."""

        self.is_idle_kept = True
        """Whether idle connections stay open."""

        self._dialer = dialer
        self._clock = clock
        self._idle: list[PooledSession] = []
        self._queue = ConnectionQueue()
        self._open_count = 0
        self._dialing = 0
        self._assigned_count = 0
        self._is_closed = False

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open_count

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return len(self._queue)

    @property
    def has_idle(self) -> bool:
        """Whether a connection is idle."""
        return bool(self._idle)

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
        deadline = work.deadline
        while not self._is_closed:
            now = self._clock.now()
            if self._has_room:
                conn = self._pop_idle(session)
                if conn is not None:
                    return Success(conn)
                if now >= deadline:
                    break
                if self._may_dial(now):
                    dialled = self._dial(deadline, work.customer)
                    failure = _failure_of(dialled)
                    if not isinstance(failure, ConnectionLimitReached):
                        return dialled
                    self.share.on_refused(now)
                    if self._open_count == 0:
                        wait_s = min(LIMIT_RETRY_INTERVAL_S, deadline - now)
                        conn = self._wait_for_retry(work, wait_s)
                        if conn is not None:
                            return Success(conn)
                        continue
            waiter = self._enqueue(work, now)
            if waiter is None:
                self.health.overload.on_refused(now)
                return Failed(Overloaded('connection queue is too long'))
            conn = self._wait_for_turn(waiter, work.admit_by - now)
            if conn is not None:
                return Success(conn)
        if self._is_closed:
            return Failed(NoUpstream('member has left the group'))
        return Failed(Overloaded('timed out waiting for a connection'))

    def release(self, conn: PooledSession) -> None:
        """Return a connection to the pool."""
        now = self._clock.now()
        self._queue.on_released(now - conn.since)
        if not conn.is_usable or self._is_closed:
            self._close_connection(conn)
            return
        if self._open_count > self.share.max_open:
            self._close_connection(conn)
            return
        conn.since = now
        self._idle.append(conn)
        self.serve_queue()

    def serve_queue(self) -> None:
        """Wake waiting requests while the member has capacity for them."""
        now = self._clock.now()
        while len(self._queue) and self._has_room:
            if not self._idle and not self._may_dial(now):
                return
            waiter = self._queue.pop(now)
            if waiter is None:
                return
            conn = self._idle.pop() if self._idle else None
            if conn is not None:
                conn.since = now
            self._assigned_count += 1
            waiter.handle.set(conn)
            if conn is None:
                # The waiting request dials or waits again itself, and there
                # may be no capacity for a second one.
                return

    def on_replies(self, replies: Sequence[Reply], in_flight: int) -> None:
        """Adjust the in-flight limit to the replies of the member."""
        now = self._clock.now()
        if any(isinstance(r.failure, Overloaded) for r in replies):
            self.in_flight_limit.on_busy(in_flight, now)
        else:
            self.in_flight_limit.on_served(
                self.health.expected_latency_s(now), now
            )

    def discard(self, conn: PooledSession) -> None:
        """Close a connection; the member rolls back an open transaction."""
        self._close_connection(conn)

    def open_ahead(self) -> None:
        """Open a connection that is kept, before a request needs it."""
        if self._open_count >= self._max_kept or self._is_closed:
            return
        if self.health.failing_since is None:
            gevent.spawn(self._open_ahead)

    def trim(self, now: float) -> None:
        """Close idle connections above the number that stays open."""
        while self._idle and self._open_count > self._max_kept:
            if now - self._idle[0].since < EXCESS_IDLE_TIMEOUT_S:
                return
            self._close_connection(self._idle.pop(0))

    def close(self) -> None:
        """Close the pool and its idle connections.

        A connection in use is closed when it is released.
        """
        self._is_closed = True
        for conn in self._idle:
            conn.close()
            self._open_count -= 1
        self._idle.clear()
        for waiter in self._queue.drain():
            self._assigned_count += 1
            waiter.handle.set(None)

    @property
    def _max_kept(self) -> int:
        return self.share.min_idle if self.is_idle_kept else 0

    def _pop_idle(self, session: SessionState) -> PooledSession | None:
        while self._idle:
            conn = self._pop_matching(session)
            if conn.is_usable:
                conn.since = self._clock.now()
                return conn
            self._close_connection(conn)
        return None

    def _pop_matching(self, session: SessionState) -> PooledSession:
        for i in range(len(self._idle) - 1, -1, -1):
            if self._idle[i].state.has_values_of(session):
                return self._idle.pop(i)
        return self._idle.pop()

    def _dial(
        self, deadline: float, customer: str
    ) -> Result[PooledSession, Failure]:
        self._open_count += 1
        self._dialing += 1
        now = self._clock.now()
        timeout_s = min(DIAL_TIMEOUT_S, deadline - now)
        try:
            dialled = self._dialer.dial(
                self.health.record, timeout_s, customer
            )
        except gevent.GreenletExit:
            self._open_count -= 1
            raise
        finally:
            self._dialing -= 1
        now = self._clock.now()
        if isinstance(dialled, Success):
            self.health.on_answer(now, self.health.position)
            self.serve_queue()
            return Success(PooledSession(dialled.unwrap(), since=now))
        self._open_count -= 1
        failure = dialled.failure()
        if isinstance(failure, ConnectionLimitReached):
            self.health.on_answer(now, self.health.position)
            return dialled
        if timeout_s >= DIAL_TIMEOUT_S or not _is_timeout(failure):
            self.health.on_unreachable(now)
            self._wake_waiters()
        # No request of the caller was sent on the connection.
        return Failed(NoUpstream(f'{failure.code} {failure.detail}'))

    def _open_ahead(self) -> None:
        dialled = self._dial(self._clock.now() + DIAL_TIMEOUT_S, '')
        if isinstance(dialled, Success):
            self.release(dialled.unwrap())

    def _wake_waiters(self) -> None:
        """Wake the waiting requests, so that each of them fails early."""
        if self._open_count:
            return
        for waiter in self._queue.drain():
            self._assigned_count += 1
            waiter.handle.set(None)

    @property
    def _has_room(self) -> bool:
        """Whether one more statement may be sent to the member."""
        return (
            self.health.in_flight + self._assigned_count
            < self.in_flight_limit.value
        )

    def _may_dial(self, now: float) -> bool:
        return self.share.may_dial(self._open_count, self._dialing, now)

    def _enqueue(
        self, work: ConnectionRequest, now: float
    ) -> QueuedWork | None:
        """Queue a request, or return ``None`` where it would wait too long."""
        if self._has_room:
            # The connections that may still be opened are ready within the
            # time for which a request holds one.
            servers = max(self._open_count, self.share.limit(now))
            mean_hold_s = self._queue.mean_hold_s
        else:
            servers = self.in_flight_limit.value
            mean_hold_s = self.health.expected_latency_s(now)
        return self._queue.enqueue(
            work.priority,
            work.admit_by,
            now,
            servers,
            mean_hold_s,
            AsyncResult(),
        )

    def _wait_for_retry(
        self, work: ConnectionRequest, wait_s: float
    ) -> PooledSession | None:
        now = self._clock.now()
        waiter = self._queue.enqueue(
            work.priority,
            work.deadline,
            now,
            1,
            self._queue.mean_hold_s,
            AsyncResult(),
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
        self._assigned_count -= 1
        conn = waiter.handle.get()
        if conn is None:
            self.serve_queue()
        else:
            self.release(conn)

    def _close_connection(self, conn: PooledSession) -> None:
        conn.close()
        self._open_count -= 1
        self.serve_queue()


def _failure_of(result: Result) -> Failure | None:
    return None if isinstance(result, Success) else result.failure()


def _is_timeout(failure: Failure) -> bool:
    return failure.detail == 'timeout'
