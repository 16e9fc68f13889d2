"""Watches one member over a separate control connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_node import events
from trefoilpulley_node.pooler.copy_waiters import CopyWaiters
from trefoilpulley_node.pooler.member_link import connect_member
from trefoilpulley_node.pooler.member_link import LinkListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.upstream import MemberStatus
    from trefoilpulley_node.pooler.member_link import MemberLink

RECONNECT_INTERVAL_S = 0.1
"""Interval between attempts to connect, in seconds."""

REPORT_TIMEOUT_S = 0.6
"""Time without a report after which a member is unreachable, in seconds."""

_TIMEOUT_MARGIN_S = 0.01
"""Time added to a wait for the end of the report timeout, in seconds."""


class MemberMonitor(LinkListener):
    """Keeps the newest status of a member and wakes the waiting work.

    Parameters
    ----------
    member : MemberEntry
        Member to watch.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, member: MemberEntry, clock: Clock) -> None:
        self._member = member
        self._clock = clock
        self._link: MemberLink | None = None
        self._connection_lost = Event()
        self._last_heard_at = float('-inf')
        self._status_changed = Event()
        self._greenlet: gevent.Greenlet | None = None
        self._listeners: list[Callable[[MemberStatus, float], None]] = []
        self._lost_listeners: list[Callable[[], None]] = []
        self.copy_waiters = CopyWaiters()
        """Writes that wait until enough members hold them."""

        self.status: MemberStatus | None = None
        """Newest status, or ``None`` before the first report."""

    @property
    def is_reachable(self) -> bool:
        """Whether the member has reported within the timeout."""
        return self._clock.now() - self._last_heard_at <= REPORT_TIMEOUT_S

    def start(self) -> None:
        """Start watching the member."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop watching and close the control connection."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if self._link is not None:
            self._link.close()

    def subscribe(
        self, listener: Callable[[MemberStatus, float], None]
    ) -> None:
        """Register a callback for each status and its time of arrival.

        Parameters
        ----------
        listener : Callable[[MemberStatus, float], None]
            Receives the status and its monotonic time of arrival in
            seconds.
        """
        self._listeners.append(listener)

    def subscribe_lost(self, listener: Callable[[], None]) -> None:
        """Register a callback for the loss of the control connection."""
        self._lost_listeners.append(listener)

    def on_status(self, status: MemberStatus) -> None:
        """Store a new status and wake the work that waits for a status."""
        self.status = status
        self.copy_waiters.on_status(status)
        self._status_changed.set()
        self.on_alive()

    def on_alive(self) -> None:
        """Record that the newest status is still valid."""
        self._last_heard_at = now = self._clock.now()
        if self.status is None:
            return
        for listener in self._listeners:
            listener(self.status, now)

    def on_lost(self) -> None:
        """Record that the control connection has ended."""
        self._connection_lost.set()

    def send_control(
        self,
        call: Callable[[MemberLink], Result[MemberStatus, Failure]],
    ) -> Result[MemberStatus, Failure]:
        """Send a control message and store the returned status."""
        if self._link is None:
            return Failed(
                PeerUnreachable(
                    'pooler has no control connection to the member'
                )
            )
        reply = call(self._link)
        if isinstance(reply, Success):
            self.on_status(reply.unwrap())
        return reply

    def wait_for_position(self, floor: Position, timeout_s: float) -> bool:
        """Return whether the member's log holds a position in time."""
        until = self._clock.now() + timeout_s
        while not self._has_position(floor):
            left_s = until - self._clock.now()
            if left_s <= 0 or not self.is_reachable:
                return False
            self._status_changed.clear()
            self._status_changed.wait(left_s)
        return True

    def _has_position(self, floor: Position) -> bool:
        return self.status is not None and self.status.history.contains(floor)

    def _run(self) -> None:
        while True:
            self._watch_once()
            gevent.sleep(RECONNECT_INTERVAL_S)

    def _watch_once(self) -> None:
        self._connection_lost.clear()
        opened = connect_member(self._member.endpoint, self)
        if not isinstance(opened, Success):
            return
        self._link = link = opened.unwrap()
        try:
            watched = link.watch_progress()
            if not isinstance(watched, Success):
                return
            events.MEMBER_CONNECTED.log(member=self._member.name)
            self.on_status(watched.unwrap())
            self._wait_until_lost()
        finally:
            self._link = None
            link.close()
            self.copy_waiters.on_lost()
            for listener in self._lost_listeners:
                listener()
            events.MEMBER_LOST.log(member=self._member.name)

    def _wait_until_lost(self) -> None:
        while self.is_reachable:
            silent_s = self._clock.now() - self._last_heard_at
            if self._connection_lost.wait(
                REPORT_TIMEOUT_S - silent_s + _TIMEOUT_MARGIN_S
            ):
                return
