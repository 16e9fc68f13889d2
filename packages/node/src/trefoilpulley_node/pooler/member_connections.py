"""Connections for work at one member, within its limit and paced."""

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

LIMIT_RETRY_S = 0.05
"""Pause before the connection limit is looked at again."""


class MemberConnections:
    """Opens, keeps and closes the connections for work.

    Parameters
    ----------
    member : MemberEntry
        Member and its limits.
    budget : ConnectionBudget
        Connections that this host may hold.
    pacer : ConnectionRateLimiter
        Pace of new connections.
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
        self._lent: set[MemberLink] = set()

    @property
    def open_for_work(self) -> int:
        """Connections open or under way, without the control one."""
        return len(self._idle) + len(self._lent) + self._pacer.opening

    @property
    def _own_open(self) -> int:
        return self.open_for_work + CONTROL_CONNECTIONS

    def on_status(self, status: MemberStatus, now: float) -> None:
        """Compare the member's count of connections with this host's."""
        self._budget.on_status(status.connections_open, self._own_open, now)
        plan = self._budget.plan(self._own_open, len(self._idle), now)
        for _ in range(plan.surplus):
            self._idle.pop().close()

    def lend(self, deadline: float) -> Result[MemberLink, Failure]:
        """Return an idle connection or a new one.

        Parameters
        ----------
        deadline : float
            Monotonic time until which to wait, in seconds.
        """
        while True:
            link = self._pop_idle()
            if link is not None:
                self._lent.add(link)
                return Success(link)
            pause_s = self._try_open()
            if not pause_s:
                return self._open()
            if self._clock.now() + pause_s >= deadline:
                return Failed(NoUpstream('connection limit is reached'))
            gevent.sleep(pause_s)

    def give_back(self, link: MemberLink) -> None:
        """Keep a connection for later, or close it."""
        self._lent.discard(link)
        plan = self._budget.plan(
            self._own_open + 1, len(self._idle) + 1, self._clock.now()
        )
        is_kept = len(self._idle) < plan.warm and not plan.surplus
        if link.is_open and is_kept:
            self._idle.append(link)
        else:
            link.close()

    def warm(self, count: int) -> None:
        """Open idle connections ahead of work."""
        now = self._clock.now()
        plan = self._budget.plan(self._own_open, len(self._idle), now)
        while self.open_for_work < min(count, plan.warm):
            pause_s = self._try_open()
            if pause_s:
                gevent.sleep(pause_s)
                continue
            opened = self._open()
            if not isinstance(opened, Success):
                return
            self.give_back(opened.unwrap())

    def close_all(self) -> None:
        """Close every connection, so that no work waits on them."""
        for link in list(self._lent):
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
        if not self._budget.may_open(self._own_open, now):
            return LIMIT_RETRY_S
        return self._pacer.try_open(now)

    def _open(self) -> Result[MemberLink, Failure]:
        try:
            opened = connect_member(self._member.endpoint)
        finally:
            self._pacer.on_opened()
        if isinstance(opened, Success):
            self._lent.add(opened.unwrap())
        return opened
