"""Replica's side of the replication."""

from __future__ import annotations

from collections import deque
import time
from typing import Any
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from returns.pipeline import is_successful

from trefoilpulley_standins.member.replication import Append
from trefoilpulley_standins.member.replication import Refused
from trefoilpulley_standins.member.replication import REPLICATION_CODEC
from trefoilpulley_standins.member.replication import Snapshot
from trefoilpulley_standins.member.replication import Subscribed
from trefoilpulley_wire.channel import Handler
from trefoilpulley_wire.dial import dial

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_standins.member._signal import Signal
    from trefoilpulley_standins.member.engine import MemberEngine
    from trefoilpulley_wire.channel import Channel

RETRY_S = 0.1
"""Time between two attempts to subscribe, in seconds."""

SUBSCRIBE_TIMEOUT_S = 5.0
"""Longest wait for a primary's answer, in seconds."""

SILENCE_S = 2.0
"""Time without a heartbeat after which the connection is given up."""


class Replicator:
    """Keeps a member subscribed to the primary that it follows.

    Parameters
    ----------
    engine : MemberEngine
        State of the member.
    changed : Signal
        Fired at each change of the state.
    peers : Mapping[str, Endpoint]
        Replication addresses of the other members.
    lag_s : float
        Time for which records are held back, in seconds.
    """

    def __init__(
        self,
        engine: MemberEngine,
        changed: Signal,
        peers: Mapping[str, Endpoint],
        lag_s: float,
    ) -> None:
        self._engine = engine
        self._changed = changed
        self._peers = peers
        self.lag_s = lag_s
        """Time for which records are held back, in seconds."""

    def run(self) -> None:
        """Subscribe again and again."""
        while True:
            if not self._engine.primary:
                self._changed.wait()
                continue
            self._subscribe()
            gevent.sleep(RETRY_S)

    def _subscribe(self) -> None:
        term, primary = self._engine.term, self._engine.primary
        subscription = _Subscription(self, self._engine, term)
        endpoint = self._peers[primary]
        dialled = dial(endpoint, REPLICATION_CODEC, subscription)
        if not is_successful(dialled):
            return
        channel = dialled.unwrap()
        try:
            if subscription.begin(channel):
                self._wait(channel, subscription, term, primary)
        finally:
            subscription.stop()
            channel.close()

    def _wait(
        self,
        channel: Channel,
        subscription: _Subscription,
        term: int,
        primary: str,
    ) -> None:
        while channel.is_open and not subscription.is_silent:
            if (self._engine.term, self._engine.primary) != (term, primary):
                return
            self._changed.wait(RETRY_S)


class _Subscription(Handler):
    """Applies the records of one connection to a primary."""

    def __init__(
        self, replicator: Replicator, engine: MemberEngine, term: int
    ) -> None:
        self._replicator = replicator
        self._engine = engine
        self._term = term
        self._heard_at = time.monotonic()
        self._held: deque[tuple[float, Append]] = deque()
        self._arrived = Event()
        self._applier = None

    @property
    def is_silent(self) -> bool:
        """Whether the primary has sent nothing for too long."""
        return time.monotonic() - self._heard_at > SILENCE_S

    def begin(self, channel: Channel) -> bool:
        """Compare logs with the primary; true where records will come."""
        answer = channel.call(self._engine.subscription(), SUBSCRIBE_TIMEOUT_S)
        if not is_successful(answer) or not self._install(answer.unwrap()):
            return False
        self._heard_at = time.monotonic()
        self._applier = gevent.spawn(self._apply_held, channel)
        channel.notify(self._engine.confirmation())
        return True

    def stop(self) -> None:
        """Drop the records held back."""
        if self._applier is not None:
            self._applier.kill(block=False)

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Refuse requests; a primary sends none."""
        return Refused('malformed-message')

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Refuse what could not be decoded."""
        return Refused(failure.code)

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Hold records back for the set lag."""
        if not isinstance(message, Append):
            return
        self._heard_at = time.monotonic()
        self._engine.on_contact(message.term, self._heard_at)
        if message.records:
            due = self._heard_at + self._replicator.lag_s
            self._held.append((due, message))
            self._arrived.set()

    def _install(self, answer: Any) -> bool:
        if isinstance(answer, Snapshot):
            return self._engine.on_snapshot(self._term, answer)
        if isinstance(answer, Subscribed):
            return self._engine.on_subscribed(self._term)
        return False

    def _apply_held(self, channel: Channel) -> None:
        while True:
            if not self._held:
                self._arrived.clear()
                self._arrived.wait()
            due, message = self._held[0]
            gevent.sleep(max(due - time.monotonic(), 0))
            self._held.popleft()
            if not self._engine.on_append(message):
                channel.close()
                return
            channel.notify(self._engine.confirmation())
