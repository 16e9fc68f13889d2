"""Replica side of the replication: subscribes to the primary's log."""

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
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.handler import Handler

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_standins.member._signal import Signal
    from trefoilpulley_standins.member.engine import MemberEngine
    from trefoilpulley_wire.channel import Channel

RETRY_INTERVAL_S = 0.1
"""Time between two attempts to subscribe, in seconds.

Also the longest time between two checks of an open subscription.
"""

SUBSCRIBE_TIMEOUT_S = 5.0
"""Timeout of a subscription request, in seconds."""

HEARTBEAT_TIMEOUT_S = 2.0
"""Time without a message after which a replica reconnects, in seconds."""


class Replicator:
    """Keeps a member subscribed to the primary that it follows.

    Parameters
    ----------
    engine : MemberEngine
        State of the member.
    state_changed : Signal
        Fired at each change of the member's state.
    peers : Mapping[str, Endpoint]
        Replication addresses of the other members.
    lag_s : float
        Delay before received records are applied, in seconds.
    """

    def __init__(
        self,
        engine: MemberEngine,
        state_changed: Signal,
        peers: Mapping[str, Endpoint],
        lag_s: float,
    ) -> None:
        self._engine = engine
        self._state_changed = state_changed
        self._peers = peers
        self.lag_s = lag_s
        """Delay before received records are applied, in seconds."""

    def run(self) -> None:
        """Subscribe to the current primary and resubscribe after a failure."""
        while True:
            if not self._engine.primary:
                self._state_changed.wait()
                continue
            self._subscribe()
            gevent.sleep(RETRY_INTERVAL_S)

    def _subscribe(self) -> None:
        term, primary = self._engine.term, self._engine.primary
        subscription = _Subscription(self, self._engine, term)
        endpoint = self._peers[primary]
        dial_result = dial(endpoint, REPLICATION_CODEC, subscription)
        if not is_successful(dial_result):
            return
        channel = dial_result.unwrap()
        try:
            if subscription.start(channel):
                self._wait_until_obsolete(channel, subscription, term, primary)
        finally:
            subscription.stop()
            channel.close()

    def _wait_until_obsolete(
        self,
        channel: Channel,
        subscription: _Subscription,
        term: int,
        primary: str,
    ) -> None:
        while channel.is_open and not subscription.is_silent:
            if (self._engine.term, self._engine.primary) != (term, primary):
                return
            self._state_changed.wait(RETRY_INTERVAL_S)


class _Subscription(Handler):
    """Applies the records that arrive on one connection to a primary."""

    def __init__(
        self, replicator: Replicator, engine: MemberEngine, term: int
    ) -> None:
        self._replicator = replicator
        self._engine = engine
        self._term = term
        self._last_message_at = time.monotonic()
        self._delayed: deque[tuple[float, Append]] = deque()
        self._has_delayed = Event()
        self._applier = None

    @property
    def is_silent(self) -> bool:
        """Whether the heartbeat timeout of the primary has expired."""
        return time.monotonic() - self._last_message_at > HEARTBEAT_TIMEOUT_S

    def start(self, channel: Channel) -> bool:
        """Subscribe; return whether the primary will send records."""
        answer = channel.call(self._engine.subscription(), SUBSCRIBE_TIMEOUT_S)
        if not is_successful(answer) or not self._apply_reply(answer.unwrap()):
            return False
        self._last_message_at = time.monotonic()
        self._applier = gevent.spawn(self._apply_delayed, channel)
        channel.notify(self._engine.confirmation())
        return True

    def stop(self) -> None:
        """Drop the delayed records."""
        if self._applier is not None:
            self._applier.kill(block=False)

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Reject a request, since primaries send none."""
        return Refused('malformed-message')

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Reject a message that could not be decoded."""
        return Refused(failure.code)

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Queue received records, to be applied after the configured lag."""
        if not isinstance(message, Append):
            return
        self._last_message_at = time.monotonic()
        self._engine.on_contact(message.term, self._last_message_at)
        if message.records:
            due_at = self._last_message_at + self._replicator.lag_s
            self._delayed.append((due_at, message))
            self._has_delayed.set()

    def _apply_reply(self, answer: Any) -> bool:
        if isinstance(answer, Snapshot):
            return self._engine.on_snapshot(self._term, answer)
        if isinstance(answer, Subscribed):
            return self._engine.on_subscribed(self._term)
        return False

    def _apply_delayed(self, channel: Channel) -> None:
        while True:
            if not self._delayed:
                self._has_delayed.clear()
                self._has_delayed.wait()
            due_at, message = self._delayed[0]
            gevent.sleep(max(due_at - time.monotonic(), 0))
            self._delayed.popleft()
            if not self._engine.on_append(message):
                channel.close()
                return
            channel.notify(self._engine.confirmation())
