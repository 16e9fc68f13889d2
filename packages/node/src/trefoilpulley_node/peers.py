"""Client side of the connections to other hosts."""

from __future__ import annotations

from functools import cache
from typing import Any
from typing import TYPE_CHECKING

import gevent
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import failures_by_code
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.peer import PeerWelcome
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node.coordination.deployment_view import PoolerCaller
from trefoilpulley_node.peer_server import PeerIdentity
from trefoilpulley_wire.channel import close_channels
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from collections.abc import Callable
    import ssl

    from gevent.event import Event

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_node.peer_server import PeerServer
    from trefoilpulley_wire.call_observer import CallObserver
    from trefoilpulley_wire.channel import Channel

DIAL_TIMEOUT_S = 0.5
"""Longest time to connect to a peer, in seconds."""

REPLACED_CHANNEL_S = 60.0
"""Time after which a replaced channel is closed, in seconds.

Transactions that began on the channel may continue on it until then.
"""


@cache
def _failures() -> dict[str, type[Failure]]:
    return failures_by_code()


class Peers(PoolerCaller):
    """Channels to other hosts, opened on first use and kept open.

    Parameters
    ----------
    hello : PeerHello
        First message on each connection, which authenticates this host.
    server : PeerServer
        Handles the messages that this host sends to itself.
    find_endpoint : Callable[[str], Endpoint | None]
        Returns the peer address of a host by name.
    find_pooler : Callable[[str], str | None]
        Returns the host that pools a member, by the member's name.
    tls : ssl.SSLContext, optional
        TLS client context for the connections.
    is_compressed : Callable[[str], bool], optional
        Returns whether the messages to a host are compressed; by default,
        they are not.
    observe : Callable[[str], CallObserver | None], optional
        Returns the observer of the calls to a host; by default, there is none.
    """

    def __init__(
        self,
        hello: PeerHello,
        server: PeerServer,
        find_endpoint: Callable[[str], Endpoint | None],
        find_pooler: Callable[[str], str | None],
        tls: ssl.SSLContext | None = None,
        is_compressed: Callable[[str], bool] = lambda host: False,
        observe: Callable[[str], CallObserver | None] = lambda host: None,
    ) -> None:
        self._hello = hello
        self._server = server
        self._find_endpoint = find_endpoint
        self._find_pooler = find_pooler
        self._tls = tls
        self._is_compressed = is_compressed
        self._observe = observe
        self._channels: dict[str, Channel] = {}
        self._dialling: dict[str, gevent.Greenlet] = {}
        self._own_identity = PeerIdentity(
            hello.host, hello.zone, hello.incarnation, 0
        )

    @property
    def open_channels(self) -> int:
        """Number of open connections to peers."""
        return len(self._channels)

    @property
    def connected_hosts(self) -> frozenset[str]:
        """Hosts to which a connection is open."""
        return frozenset(h for h, c in self._channels.items() if c.is_open)

    def call_pooler(
        self, member: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request to the pooler of a member and wait for the reply."""
        host = self._find_pooler(member)
        if host is None:
            return Failed(PeerUnreachable('no host pools the member'))
        return self.call_host(host, message, timeout_s)

    def call_host(
        self, host: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request to a host and wait for its reply.

        Returns
        -------
        Result[Any, Failure]
            The reply. A `PooledFailure` is returned as the failure that it
            encodes.
        """
        return _decode_reply(self.call_host_raw(host, message, timeout_s))

    def call_host_raw(
        self,
        host: str,
        message: Any,
        timeout_s: float,
        abort: Event | None = None,
    ) -> Result[Any, Failure]:
        """Send a request to a host and return the unprocessed reply.

        Parameters
        ----------
        host : str
            Name of the host.
        message : Any
            Request message.
        timeout_s : float
            Longest wait in seconds.
        abort : Event, optional
            If set, ends the wait as if the peer were unreachable.

        Returns
        -------
        Result[Any, Failure]
            The reply, which may be a `PooledFailure`.
        """
        if host == self._hello.host:
            return Success(self._server.serve(message, self._own_identity))
        opened = self.open_channel(host)
        if not isinstance(opened, Success):
            # The request was not sent, so it has not run.
            return Failed(NoUpstream(opened.failure().detail))
        return opened.unwrap().call(message, timeout_s, abort)

    def find_pooler(self, member: str) -> str | None:
        """Return the host that pools a member, or ``None`` if unknown."""
        return self._find_pooler(member)

    def open_channel(
        self, host: str, timeout_s: float | None = None
    ) -> Result[Channel, Failure]:
        """Return the channel to a host, and open it first if necessary.

        Concurrent calls for the same host wait for a single connection
        attempt and share its result, so that an unreachable host delays
        each call only once.

        Parameters
        ----------
        host : str
            Name of the host.
        timeout_s : float, optional
            Longest wait for the connection in seconds. The connection
            attempt continues after the wait.
        """
        channel = self._channels.get(host)
        if channel is not None and channel.is_open:
            return Success(channel)
        dialling = self._dialling.get(host)
        if dialling is None:
            dialling = self._dialling[host] = gevent.spawn(self._dial, host)
            dialling.link(lambda _: self._dialling.pop(host, None))
        try:
            return dialling.get(timeout=timeout_s)
        except gevent.Timeout:
            return Failed(PeerUnreachable('timeout'))

    def can_connect(self, host: str, timeout_s: float) -> bool:
        """Return whether a host accepts a new connection within a timeout.

        The connection is closed at once and replaces no open one. The timeout
        is in seconds.
        """
        dialled = self._observed(
            host, lambda h: self._dial_endpoint(h, timeout_s)
        )
        if not isinstance(dialled, Success):
            return False
        dialled.unwrap().close()
        return True

    def notify_host(self, host: str, message: Any) -> None:
        """Send a one-way message, which is lost if the host is down."""
        opened = self.open_channel(host)
        if isinstance(opened, Success):
            opened.unwrap().notify(message)

    def replace(self, host: str) -> None:
        """Open a new channel to a host at the next call.

        The present channel stays open for a while for the calls and leases
        that began on it.
        """
        channel = self._channels.pop(host, None)
        if channel is not None:
            gevent.spawn_later(REPLACED_CHANNEL_S, channel.close)

    def close(self) -> None:
        """Close every channel gracefully."""
        close_channels(self._channels.values(), 0.0)

    def forget(self, host: str) -> None:
        """Close and remove the channel to a host."""
        channel = self._channels.pop(host, None)
        if channel is not None:
            channel.close()

    def _dial(self, host: str) -> Result[Channel, Failure]:
        opened = self._observed(host, self._open)
        if isinstance(opened, Success):
            channel = self._channels[host] = opened.unwrap()
            channel.observer = self._observe(host)
        return opened

    def _observed(
        self,
        host: str,
        open_channel: Callable[[str], Result[Channel, Failure]],
    ) -> Result[Channel, Failure]:
        """Open a channel and report the attempt as a call to the host."""
        observer = self._observe(host)
        started_at = observer.on_call() if observer else None
        opened: Result[Channel, Failure] | None = None
        try:
            opened = open_channel(host)
            return opened
        finally:
            if started_at is not None:
                is_answered = isinstance(opened, Success)
                observer.on_call_ended(started_at, is_answered)

    def _open(self, host: str) -> Result[Channel, Failure]:
        dialled = self._dial_endpoint(host, DIAL_TIMEOUT_S)
        if not isinstance(dialled, Success):
            return dialled
        channel = dialled.unwrap()
        welcome = channel.call(self._hello, DIAL_TIMEOUT_S).value_or(None)
        if not isinstance(welcome, PeerWelcome) or welcome.host != host:
            channel.close()
            return Failed(PeerUnreachable('peer refused the connection'))
        return dialled

    def _dial_endpoint(
        self, host: str, timeout_s: float
    ) -> Result[Channel, Failure]:
        endpoint = self._find_endpoint(host)
        if endpoint is None:
            return Failed(PeerUnreachable('host has no known address'))
        return dial(
            endpoint,
            PEER_CODEC,
            timeout_s=timeout_s,
            tls=self._tls,
            is_compressed=self._is_compressed(host),
        )


def read_failure(message: PooledFailure) -> Failure:
    """Return the failure that a message encodes."""
    kind = _failures().get(message.code, Failure)
    return kind(message.detail)


def _decode_reply(reply: Result[Any, Failure]) -> Result[Any, Failure]:
    if not isinstance(reply, Success):
        return reply
    message = reply.unwrap()
    if isinstance(message, PooledFailure):
        return Failed(read_failure(message))
    return reply
