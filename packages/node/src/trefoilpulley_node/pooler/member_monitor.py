"""Watches one member over a control connection of its own."""

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

RECONNECT_S = 0.1
"""Pause between attempts to connect."""

SILENCE_S = 0.6
"""Time without a report after which a member counts as unreachable."""

_MARGIN_S = 0.01


class MemberMonitor(LinkListener):
    """Newest status of a member, and the work that waits for it.

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
        self._lost = Event()
        self._heard_at = float('-inf')
        self._changed = Event()
        self._greenlet: gevent.Greenlet | None = None
        self._listeners: list[Callable[[MemberStatus, float], None]] = []
        self._on_lost: list[Callable[[], None]] = []
        self.copy_waiters = CopyWaiters()
        """Writes that wait for their copies."""

        self.status: MemberStatus | None = None
        """Newest status, or ``None`` before the first."""

    @property
    def is_reachable(self) -> bool:
        """Whether the member has reported of late."""
        return self._clock.now() - self._heard_at <= SILENCE_S

    def start(self) -> None:
        """Begin to watch."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the watch and its connection."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        if self._link is not None:
            self._link.close()

    def listen(self, listener: Callable[[MemberStatus, float], None]) -> None:
        """Call back with each status and the time of its arrival."""
        self._listeners.append(listener)

    def listen_lost(self, listener: Callable[[], None]) -> None:
        """Call back when the member stops to report."""
        self._on_lost.append(listener)

    def on_status(self, status: MemberStatus) -> None:
        """Take a report on progress."""
        self.status = status
        self.copy_waiters.on_status(status)
        self._changed.set()
        self.on_alive()

    def on_alive(self) -> None:
        """Take note that the newest status still holds."""
        self._heard_at = now = self._clock.now()
        if self.status is None:
            return
        for listener in self._listeners:
            listener(self.status, now)

    def on_lost(self) -> None:
        """Take note that the control connection has ended."""
        self._lost.set()

    def control(
        self,
        ask: Callable[[MemberLink], Result[MemberStatus, Failure]],
    ) -> Result[MemberStatus, Failure]:
        """Run a control message and keep the status it returns."""
        if self._link is None:
            return Failed(PeerUnreachable('member is not connected'))
        reply = ask(self._link)
        if isinstance(reply, Success):
            self.on_status(reply.unwrap())
        return reply

    def wait_for_position(self, floor: Position, timeout_s: float) -> bool:
        """Wait until the member's log holds a position."""
        until = self._clock.now() + timeout_s
        while not self._holds(floor):
            left = until - self._clock.now()
            if left <= 0 or not self.is_reachable:
                return False
            self._changed.clear()
            self._changed.wait(left)
        return True

    def _holds(self, floor: Position) -> bool:
        return self.status is not None and self.status.history.contains(floor)

    def _run(self) -> None:
        while True:
            self._watch_once()
            gevent.sleep(RECONNECT_S)

    def _watch_once(self) -> None:
        self._lost.clear()
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
            for listener in self._on_lost:
                listener()
            events.MEMBER_LOST.log(member=self._member.name)

    def _wait_until_lost(self) -> None:
        while self.is_reachable:
            silent_s = self._clock.now() - self._heard_at
            if self._lost.wait(SILENCE_S - silent_s + _MARGIN_S):
                return
