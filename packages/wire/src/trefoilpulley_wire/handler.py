"""Interface between a channel and the messages that it receives."""

from __future__ import annotations

import abc
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_wire.channel import Channel


class Handler(abc.ABC):
    """Handles the messages that a channel receives."""

    @abc.abstractmethod
    def on_request(self, channel: Channel, message: Any) -> Any:
        """Return the reply to a request.

        The channel calls this method in a separate greenlet per request.
        """

    @abc.abstractmethod
    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Return the reply to a request that was too large or malformed."""

    def on_late(self, channel: Channel, message: Any) -> Any:
        """Return the reply to a request that arrives while closing.

        The request is not handled. Without a reply it stays unanswered.
        """
        return None

    def on_cut(self, channel: Channel, message: Any) -> Any:
        """Return the reply to a request that outlasts its channel.

        The reply of the running handler is dropped. Without a reply the
        request stays unanswered.
        """
        return None

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Handle a one-way message, which gets no reply."""

    def on_close(self, channel: Channel) -> None:
        """Release the resources that belong to the closed channel."""
