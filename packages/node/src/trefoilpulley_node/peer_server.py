"""Serves the messages of other hosts."""

from __future__ import annotations

from dataclasses import dataclass
import hmac
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.failure import NotAuthenticated
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.peer import PeerWelcome
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node import events
from trefoilpulley_wire.channel import Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_wire.channel import Channel


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Host on the other side of a connection."""

    host: str
    """Name of the host."""

    zone: str
    """Availability zone of the host."""

    incarnation: int
    """Number of the process's start."""

    connection: int
    """Number of the connection, unique in this process."""


class PeerServer(Handler):
    """Authenticates peers and hands their messages to the roles.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Number of this process's start.
    secret : str
        Secret of the deployment's hosts.
    """

    def __init__(self, host: str, incarnation: int, secret: str) -> None:
        self._secret = secret
        self._welcome = PeerWelcome(host, incarnation)
        self._handlers: dict[type, Callable[[Any, PeerIdentity], Any]] = {}
        self._on_close: list[Callable[[PeerIdentity], None]] = []
        self._connections = 0

    def register(
        self, kind: type, serve: Callable[[Any, PeerIdentity], Any]
    ) -> None:
        """Let a role serve one type of message."""
        self._handlers[kind] = serve

    def register_close(self, on_close: Callable[[PeerIdentity], None]) -> None:
        """Let a role learn that a peer's connection has ended."""
        self._on_close.append(on_close)

    def serve(self, message: Any, peer: PeerIdentity) -> Any:
        """Return the reply to a message of an authenticated peer."""
        serve = self._handlers.get(type(message))
        if serve is None:
            return make_failure_reply(
                MalformedMessage('no role serves the message')
            )
        try:
            return serve(message, peer)
        except Exception as exc:  # a fault here must not end the connection
            events.HANDLER_CRASHED.log(
                message=type(message).__name__, error=repr(exc)
            )
            return make_failure_reply(OutcomeUnknown('internal error'))

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Serve a request once the peer is known."""
        if isinstance(message, PeerHello):
            return self._greet(channel, message)
        if channel.context is None:
            return make_failure_reply(NotAuthenticated())
        return self.serve(message, channel.context)

    def on_notice(self, channel: Channel, message: Any) -> None:
        """Serve a one-way message once the peer is known."""
        if channel.context is not None:
            self.serve(message, channel.context)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Reply to what could not be decoded."""
        return make_failure_reply(failure)

    def on_close(self, channel: Channel) -> None:
        """Tell the roles that a peer's connection has ended."""
        if channel.context is None:
            return
        for on_close in self._on_close:
            on_close(channel.context)

    def _greet(self, channel: Channel, hello: PeerHello) -> Any:
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
    """Return the wire form of a failure between hosts."""
    return PooledFailure(failure.code, failure.detail)
