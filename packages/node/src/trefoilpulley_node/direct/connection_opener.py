"""Opens this host's connections to one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.upstream_session import ConnectionLimitReached
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_node.direct.pooled_session import PooledSession

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct import customer_connections
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.upstream_session import UpstreamDialer
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.member_reach import MemberReach

DIAL_TIMEOUT_S = 0.4
"""Timeout to open a connection, in seconds; a busy member takes tens of ms."""


class ConnectionOpener:
    """Opens connections and records whether the member answers.

    Parameters
    ----------
    health : MemberHealth
        Health of the member as seen from this host.
    reach : MemberReach
        Whether this host reaches the member.
    connections : CustomerConnections
        Connections of the pool, which counts those being opened.
    dialer : UpstreamDialer
        Opens connections.
    on_unreachable : Callable[[float], None]
        Called with the time at which a dial showed that the member does not
        answer.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics, optional
        Counts the connections that are opened.
    """

    def __init__(
        self,
        health: MemberHealth,
        reach: MemberReach,
        connections: customer_connections.CustomerConnections[PooledSession],
        dialer: UpstreamDialer,
        on_unreachable: Callable[[float], None],
        clock: Clock,
        metrics: DirectMetrics | None,
    ) -> None:
        self._health = health
        self._reach = reach
        self._connections = connections
        self._dialer = dialer
        self._on_unreachable = on_unreachable
        self._clock = clock
        self._metrics = metrics
        self.dialing = 0
        """Connections being opened."""

    def reserve(self, customer: str) -> None:
        """Count a connection that is about to be opened."""
        self._connections.on_opening(customer)
        self.dialing += 1

    def open(
        self,
        deadline: float,
        customer: str,
        reason: customer_connections.OpenReason,
    ) -> Result[PooledSession, Failure]:
        """Open the connection that was counted last for a customer."""
        began_at = self._clock.now()
        timeout_s = min(DIAL_TIMEOUT_S, deadline - began_at)
        try:
            dialled = self._dialer.dial(
                self._health.record, timeout_s, customer
            )
        except BaseException:
            self._connections.on_closed(customer)
            raise
        finally:
            self.dialing -= 1
        now = self._clock.now()
        if isinstance(dialled, Success):
            self._reach.on_answer(now)
            self._connections.on_used(customer, now)
            if self._metrics is not None:
                self._metrics.count('connections_opened', reason.value)
            return Success(
                PooledSession(dialled.unwrap(), since=now, customer=customer)
            )
        self._connections.on_closed(customer)
        failure = dialled.failure()
        if isinstance(failure, ConnectionLimitReached):
            self._reach.on_answer(now)
            return dialled
        if self._is_unreachable(failure, began_at, now, timeout_s):
            self._on_unreachable(now)
        # No request of the caller was sent on the connection.
        return Failed(NoUpstream(f'{failure.code} {failure.detail}'))

    def _is_unreachable(
        self, failure: Failure, began_at: float, now: float, timeout_s: float
    ) -> bool:
        """Return whether a failed dial shows that the member is missed."""
        if timeout_s >= DIAL_TIMEOUT_S or failure.detail != 'timeout':
            return True
        own = self._reach.own
        if not own.is_refusing_early:
            return False
        return own.count_dial_timeout(began_at, now) >= DIAL_TIMEOUT_S
