"""Primary's side of the replication."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_standins.member.replication import Confirm
from trefoilpulley_standins.member.replication import Observe
from trefoilpulley_standins.member.replication import Observed
from trefoilpulley_standins.member.replication import Refused
from trefoilpulley_standins.member.replication import SetLag
from trefoilpulley_standins.member.replication import Subscribe
from trefoilpulley_wire.channel import Handler

if TYPE_CHECKING:
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_standins.member._replicator import Replicator
    from trefoilpulley_standins.member._signal import Signal
    from trefoilpulley_standins.member.engine import MemberEngine
    from trefoilpulley_wire.channel import Channel

HEARTBEAT_S = 0.05
"""Longest time between two messages to a replica, in seconds."""


class FeedHandler(Handler):
    """Serves the replicas that subscribe to this member.

    Parameters
    ----------
    engine : MemberEngine
        State of the member.
    changed : Signal
        Fired at each change of the state.
    replicator : Replicator
        The member's own subscription, whose lag can be set.
    """

    def __init__(
        self, engine: MemberEngine, changed: Signal, replicator: Replicator
    ) -> None:
        self._engine = engine
        self._changed = changed
        self._replicator = replicator

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer a replica's subscription or an observer."""
        if isinstance(message, Observe):
            return Observed(self._engine.status(time.monotonic()))
        if not isinstance(message, Subscribe):
            return Refused(MalformedMessage.code)
        return self._engine.on_subscribe(message)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Refuse what could not be decoded."""
        return Refused(failure.code)

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Take a confirmation; the first one starts the feed."""
        if isinstance(message, SetLag):
            self._replicator.lag_s = message.lag_ms / 1000
        if not isinstance(message, Confirm):
            return
        self._engine.on_confirm(message)
        if channel.context is None:
            channel.context = gevent.spawn(self._feed, channel, message)

    def on_close(self, channel: Channel) -> None:
        """End the feed."""
        if channel.context is not None:
            channel.context.kill(block=False)

    def _feed(self, channel: Channel, start: Confirm) -> None:
        sent = start.position.index
        while channel.is_open and self._is_leading(start.term):
            if not self._engine.log.is_retained(sent):
                break
            message = self._engine.next_append(sent)
            channel.notify(message)
            sent += len(message.records)
            if sent == self._engine.log.last.index:
                self._changed.wait(HEARTBEAT_S)
        gevent.spawn(channel.close)

    def _is_leading(self, term: int) -> bool:
        return self._engine.is_primary and self._engine.term == term
