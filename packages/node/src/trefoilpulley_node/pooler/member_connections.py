"""Connections for work at one member, limited in number and rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.connection_budget import CONTROL_CONNECTIONS
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_node.pooler.member_link import connect_member

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.connection_budget import ConnectionBudget
    from trefoilpulley_core.connection_pacer import ConnectionRateLimiter
    from trefoilpulley_core.upstream import MemberStatus
    from trefoilpulley_node.pooler.member_link import MemberLink

LIMIT_CHECK_INTERVAL_S = 0.05
"""Interval between checks of the connection limit, in seconds."""


class MemberConnections:
    """Opens, reuses and closes the connections for work at a member.

    Parameters
    ----------
    member : MemberEntry
        Catalogue entry of the member with its limits.
    budget : ConnectionBudget
        Limits the connections that this host may have open.
    pacer : ConnectionRateLimiter
        Limits the rate of new connections.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        member: MemberEntry,
        budget: ConnectionBudget,
        pacer: ConnectionRateLimiter,
        clock: Clock,
    ) -> None:
        self._member = member
        self._budget = budget
        self._pacer = pacer
        self._clock = clock
        self._idle: list[MemberLink] = []
        self._in_use: set[MemberLink] = set()

    @property
    def open_for_work(self) -> int:
        """Number of open or opening connections, except the control one."""
        return len(self._idle) + len(self._in_use) + self._pacer.opening

    @property
    def _open_connections(self) -> int:
        return self.open_for_work + CONTROL_CONNECTIONS

    def on_status(self, status: MemberStatus, now: float) -> None:
        """Update the budget from a status and close surplus connections."""
        self._budget.on_status(
            status.connections_open, self._open_connections, now
        )
        plan = self._budget.plan(self._open_connections, len(self._idle), now)
        for _ in range(plan.surplus):
            self._idle.pop().close()

    def acquire(self, deadline: float) -> Result[MemberLink, Failure]:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the wait ends, in seconds.
        """
        while True:
            link = self._pop_idle()
            if link is not None:
                self._in_use.add(link)
                return Success(link)
            pause_s = self._try_open()
            if not pause_s:
                return self._open()
            if self._clock.now() + pause_s >= deadline:
                return Failed(
                    NoUpstream('connection limit of the member is reached')
                )
            gevent.sleep(pause_s)

    def release(self, link: MemberLink) -> None:
        """Keep a returned connection idle, or close it."""
        self._in_use.discard(link)
        plan = self._budget.plan(
            self._open_connections + 1, len(self._idle) + 1, self._clock.now()
        )
        is_kept = len(self._idle) < plan.warm and not plan.surplus
        if link.is_open and is_kept:
            self._idle.append(link)
        else:
            link.close()

    def warm(self, count: int) -> None:
        """Open idle connections up to a count, ahead of work."""
        now = self._clock.now()
        plan = self._budget.plan(self._open_connections, len(self._idle), now)
        while self.open_for_work < min(count, plan.warm):
            pause_s = self._try_open()
            if pause_s:
                gevent.sleep(pause_s)
                continue
            opened = self._open()
            if not isinstance(opened, Success):
                return
            self.release(opened.unwrap())

    def close_all(self) -> None:
        """Close all connections, so that work in progress fails at once."""
        for link in list(self._in_use):
            link.close()
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _pop_idle(self) -> MemberLink | None:
        while self._idle:
            link = self._idle.pop()
            if link.is_open:
                return link
        return None

    def _try_open(self) -> float:
        now = self._clock.now()
        if not self._budget.may_open(self._open_connections, now):
            return LIMIT_CHECK_INTERVAL_S
        return self._pacer.try_open(now)

    def _open(self) -> Result[MemberLink, Failure]:
        try:
            opened = connect_member(self._member.endpoint)
        finally:
            self._pacer.on_opened()
        if isinstance(opened, Success):
            self._in_use.add(opened.unwrap())
        return opened
