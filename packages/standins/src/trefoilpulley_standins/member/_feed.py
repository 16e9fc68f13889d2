"""Primary side of the replication: streams the log to the replicas."""

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
from trefoilpulley_wire.handler import Handler

if TYPE_CHECKING:
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_standins.member._replicator import Replicator
    from trefoilpulley_standins.member._signal import Signal
    from trefoilpulley_standins.member.engine import MemberEngine
    from trefoilpulley_wire.channel import Channel

HEARTBEAT_INTERVAL_S = 0.05
"""Interval after which an idle feed sends a heartbeat, in seconds."""


class FeedHandler(Handler):
    """Serves the replication connections of one member.

    Parameters
    ----------
    engine : MemberEngine
        State of the member.
    state_changed : Signal
        Fired at each change of the member's state.
    replicator : Replicator
        Replicator of the same member; `SetLag` messages change its lag.
    """

    def __init__(
        self,
        engine: MemberEngine,
        state_changed: Signal,
        replicator: Replicator,
    ) -> None:
        self._engine = engine
        self._state_changed = state_changed
        self._replicator = replicator

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer a replica's subscription or a status request."""
        if isinstance(message, Observe):
            return Observed(self._engine.status(time.monotonic()))
        if not isinstance(message, Subscribe):
            return Refused(MalformedMessage.code)
        return self._engine.on_subscribe(message)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Reject a message that could not be decoded."""
        return Refused(failure.code)

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Process a confirmation or a change of the lag.

        A replica's first confirmation starts the feed to the replica.
        """
        if isinstance(message, SetLag):
            self._replicator.lag_s = message.lag_ms / 1000
        if not isinstance(message, Confirm):
            return
        self._engine.on_confirm(message)
        if channel.context is None:
            channel.context = gevent.spawn(self._feed, channel, message)

    def on_close(self, channel: Channel) -> None:
        """Stop the feed of a closed connection."""
        if channel.context is not None:
            channel.context.kill(block=False)

    def _feed(self, channel: Channel, first_confirmation: Confirm) -> None:
        sent_index = first_confirmation.position.index
        while channel.is_open and self._is_primary_in_term(
            first_confirmation.term
        ):
            if not self._engine.log.is_retained(sent_index):
                break
            message = self._engine.next_append(sent_index)
            channel.notify(message)
            sent_index += len(message.records)
            if sent_index == self._engine.log.last.index:
                self._state_changed.wait(HEARTBEAT_INTERVAL_S)
        gevent.spawn(channel.close)

    def _is_primary_in_term(self, term: int) -> bool:
        return self._engine.is_primary and self._engine.term == term
