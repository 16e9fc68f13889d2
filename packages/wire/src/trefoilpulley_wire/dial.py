"""Client side of channels between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent import socket
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from websockets.client import ClientProtocol
from websockets.protocol import State
from websockets.uri import parse_uri

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_wire.channel import Channel
from trefoilpulley_wire.channel import MAX_RECEIVED_BYTES
from trefoilpulley_wire.channel import RECEIVE_BUFFER_BYTES
from trefoilpulley_wire import compression

if TYPE_CHECKING:
    import ssl

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_wire.codec import Codec
    from trefoilpulley_wire.handler import Handler


def dial(
    endpoint: Endpoint,
    codec: Codec,
    handler: Handler | None = None,
    timeout_s: float = 1.0,
    tls: ssl.SSLContext | None = None,
    is_compressed: bool = False,
) -> Result[Channel, Failure]:
    """Open a channel and start a greenlet that receives its messages.

    Parameters
    ----------
    endpoint : Endpoint
        Address to connect to.
    codec : Codec
        Codec for the message types of the connection.
    handler : Handler, optional
        Handles the requests of the peer.
    timeout_s : float
        Maximum time to connect and complete the handshakes, in seconds.
    tls : ssl.SSLContext, optional
        TLS client context; plain TCP if omitted.
    is_compressed : bool
        Whether to offer compression of the messages.

    Returns
    -------
    Result[Channel, Failure]
        The open channel, or `PeerUnreachable`.
    """
    sock = None
    try:
        with gevent.Timeout(timeout_s, TimeoutError):
            sock = socket.create_connection((endpoint.address, endpoint.port))
            if tls is not None:
                sock = tls.wrap_socket(sock, server_hostname=endpoint.address)
            protocol = _perform_handshake(sock, endpoint, is_compressed)
    # A name that can't be encoded, or a port out of range, raises errors that
    # are no OSError.
    except (OSError, OverflowError, ValueError) as exc:
        if sock is not None:
            sock.close()
        return Failed(PeerUnreachable(type(exc).__name__))
    channel = Channel(sock, protocol, codec, handler)
    gevent.spawn(channel.run)
    return Success(channel)


def _perform_handshake(
    sock: socket.socket, endpoint: Endpoint, is_compressed: bool
) -> ClientProtocol:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    uri = parse_uri(f'ws://{endpoint.address}:{endpoint.port}/')
    protocol = ClientProtocol(
        uri,
        max_size=MAX_RECEIVED_BYTES,
        extensions=compression.offer() if is_compressed else None,
    )
    protocol.send_request(protocol.connect())
    sock.sendall(b''.join(protocol.data_to_send()))
    while protocol.state is State.CONNECTING:
        data = sock.recv(RECEIVE_BUFFER_BYTES)
        if not data:
            raise ConnectionError()
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise ConnectionError()
    _discard_response(protocol)
    return protocol


def _discard_response(protocol: ClientProtocol) -> None:
    # The first event is the HTTP response of the handshake. Frames that the
    # server sent right after the response are kept for the channel.
    events = protocol.events_received()
    protocol.events.extend(events[1:])
