"""Server side of channels between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.server import StreamServer
from gevent import socket
from websockets.http11 import Request
from websockets.protocol import State
from websockets.server import ServerProtocol

from trefoilpulley_wire.channel import Channel
from trefoilpulley_wire.channel import close_channels
from trefoilpulley_wire.channel import MAX_RECEIVED_BYTES
from trefoilpulley_wire.channel import RECEIVE_BUFFER_BYTES
from trefoilpulley_wire import compression

if TYPE_CHECKING:
    import ssl

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_wire.codec import Codec
    from trefoilpulley_wire.handler import Handler

HANDSHAKE_TIMEOUT_S = 5.0
"""Maximum time for the TLS and WebSocket handshakes, in seconds."""

_ACCEPT_BACKLOG = 1024


class Listener:
    """Server that accepts channels on one address.

    Parameters
    ----------
    endpoint : Endpoint
        Address to listen on.
    codec : Codec
        Codec for the message types of the connections.
    handler : Handler
        Handles the requests of all channels.
    tls : ssl.SSLContext, optional
        TLS server context; plain TCP if omitted.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        codec: Codec,
        handler: Handler,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._codec = codec
        self._handler = handler
        self._tls = tls
        self._server = StreamServer(
            (endpoint.address, endpoint.port),
            self._accept,
            backlog=_ACCEPT_BACKLOG,
        )
        self._is_stopped = False
        self.channels: set[Channel] = set()
        """Open channels."""

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Stop accepting new connections; open channels are kept."""
        self._server.close()

    @property
    def active_request_count(self) -> int:
        """Number of requests that were read and not answered."""
        return sum(c.active_request_count for c in self.channels)

    def stop(self, timeout_s: float = 0.0) -> None:
        """Stop listening and close all channels gracefully.

        Connections whose handshake is not complete are closed, too.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the requests that are being handled, in seconds.
        """
        self._is_stopped = True
        self._server.stop(timeout=0)
        close_channels(self.channels, timeout_s)

    def admit(self) -> bool:
        """Return whether to accept a new connection, before its handshake.

        A subclass can override this method to limit the number or the rate
        of connections. A connection that is not admitted is closed.
        """
        return True

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        if not self.admit():
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol = ServerProtocol(
            max_size=MAX_RECEIVED_BYTES, extensions=compression.accept()
        )
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S, TimeoutError):
                sock = self._wrap_tls(sock)
                is_handshake_done = self._perform_handshake(sock, protocol)
        except OSError:
            is_handshake_done = False
        if not is_handshake_done or self._is_stopped:
            sock.close()
            return
        channel = Channel(sock, protocol, self._codec, self._handler)
        self.channels.add(channel)
        try:
            channel.run()
        finally:
            self.channels.discard(channel)

    def _wrap_tls(self, sock: socket.socket) -> socket.socket:
        if self._tls is None:
            return sock
        return self._tls.wrap_socket(sock, server_side=True)

    def _perform_handshake(
        self, sock: socket.socket, protocol: ServerProtocol
    ) -> bool:
        while protocol.state is State.CONNECTING:
            data = sock.recv(RECEIVE_BUFFER_BYTES)
            if not data:
                return False
            protocol.receive_data(data)
            events = protocol.events_received()
            if not events or not isinstance(events[0], Request):
                continue
            protocol.send_response(protocol.accept(events[0]))
            sock.sendall(b''.join(protocol.data_to_send()))
            # Keep frames that the client sent right after its request.
            protocol.events.extend(events[1:])
        return protocol.state is State.OPEN
