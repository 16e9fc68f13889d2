"""Server side of the connections from other hosts."""

from __future__ import annotations

from dataclasses import dataclass
import hmac
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.failure import NotAuthenticated
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.peer import PeerWelcome
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node import events
from trefoilpulley_wire.handler import Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_wire.channel import Channel


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Authenticated host on the other side of a connection."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    incarnation: int
    """Identifier of the run of the host's process."""

    connection: int
    """Number of the connection, unique in this process."""


class PeerServer(Handler):
    """Authenticates peers and passes their messages to the roles.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Identifier of this run of the process.
    secret : str
        Secret that the hosts of the deployment share.
    """

    def __init__(self, host: str, incarnation: int, secret: str) -> None:
        self._secret = secret
        self._welcome = PeerWelcome(host, incarnation)
        self._handlers: dict[type, Callable[[Any, PeerIdentity], Any]] = {}
        self._close_listeners: list[Callable[[PeerIdentity], None]] = []
        self._connections = 0

    def register(
        self, kind: type, serve: Callable[[Any, PeerIdentity], Any]
    ) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = serve

    def register_close(self, on_close: Callable[[PeerIdentity], None]) -> None:
        """Register a callback for the end of a peer's connection."""
        self._close_listeners.append(on_close)

    def serve(self, message: Any, peer: PeerIdentity) -> Any:
        """Handle a message of an authenticated peer and return the reply."""
        serve = self._handlers.get(type(message))
        if serve is None:
            return make_failure_reply(
                MalformedMessage('message type has no handler')
            )
        try:
            return serve(message, peer)
        except Exception as exc:  # an error must not close the connection
            events.HANDLER_CRASHED.log(
                message=type(message).__name__, error=repr(exc)
            )
            return make_failure_reply(OutcomeUnknown('internal error'))

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Handle a request; all but a hello need an authenticated peer."""
        if isinstance(message, PeerHello):
            return self._on_hello(channel, message)
        if channel.context is None:
            return make_failure_reply(NotAuthenticated())
        return self.serve(message, channel.context)

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Handle a one-way message of an authenticated peer.

        Messages of other peers are ignored.
        """
        if channel.context is not None:
            self.serve(message, channel.context)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Return the reply to a message that could not be decoded."""
        return make_failure_reply(failure)

    def on_late(self, channel: Channel, message: Any) -> Any:
        """Refuse a request, so that the peer turns to another host."""
        return make_failure_reply(NoUpstream('host is leaving'))

    def on_close(self, channel: Channel) -> None:
        """Report the end of a peer's connection to the roles."""
        if channel.context is None:
            return
        for on_close in self._close_listeners:
            on_close(channel.context)

    def _on_hello(self, channel: Channel, hello: PeerHello) -> Any:
        if not hmac.compare_digest(
            hello.secret.encode(), self._secret.encode()
        ):
            events.PEER_REFUSED.log(host=hello.host)
            return make_failure_reply(NotAuthenticated())
        self._connections += 1
        channel.context = PeerIdentity(
            hello.host, hello.zone, hello.incarnation, self._connections
        )
        return self._welcome


def make_failure_reply(failure: Failure) -> PooledFailure:
    """Return the message that reports a failure to another host."""
    return PooledFailure(failure.code, failure.detail)
