"""Connections to entry hosts that carry CBOR messages over WebSocket."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from websockets.exceptions import ConnectionClosed
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect as connect_websocket

from trefoilpulley_client.endpoints import format_endpoint
from trefoilpulley_client.transport import Dialer
from trefoilpulley_client.transport import Transport
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.codec import ALL_ANSWERED

if TYPE_CHECKING:
    import ssl

    from websockets.sync.client import ClientConnection

    from trefoilpulley_core.catalog import Endpoint

MAX_ANSWER_BYTES = 16 << 20
"""Maximum size of an answer; a larger answer closes the connection."""

CLOSE_TIMEOUT_S = 0.2
"""Maximum time to wait for the closing handshake, in seconds."""


class WebSocketDialer(Dialer):
    """Open WebSocket connections.

    Parameters
    ----------
    tls : ssl.SSLContext, optional
        TLS client context; plain TCP if omitted.
    """

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls

    def dial(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[Transport, Failure]:
        """Open a connection; returns `PeerUnreachable` if that fails."""
        scheme = 'wss' if self._tls else 'ws'
        try:
            conn = connect_websocket(
                f'{scheme}://{format_endpoint(endpoint)}/',
                ssl=self._tls,
                open_timeout=timeout_s,
                close_timeout=CLOSE_TIMEOUT_S,
                ping_interval=None,
                compression=None,
                max_size=MAX_ANSWER_BYTES,
                proxy=None,
            )
        except (OSError, WebSocketException) as exc:
            return Failed(PeerUnreachable(type(exc).__name__))
        return Success(WebSocketTransport(conn))


class WebSocketTransport(Transport):
    """Open WebSocket connection.

    Parameters
    ----------
    conn : ClientConnection
        Connection on which the handshake is complete.
    """

    def __init__(self, conn: ClientConnection) -> None:
        self._conn = conn
        self._last_sequence = 0

    def call(self, message: Any, timeout_s: float) -> Result[Any, Failure]:
        """Send a request and wait for its reply."""
        self._last_sequence += 1
        try:
            self._conn.send(CALLER_CODEC.encode(self._last_sequence, message))
            data = self._conn.recv(timeout=timeout_s, decode=False)
        except ConnectionClosed as exc:
            return self._fail(_closed_failure(exc))
        except (OSError, WebSocketException) as exc:
            return self._fail(PeerUnreachable(type(exc).__name__))
        return self._decode_answer(data)

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()

    def _decode_answer(self, data: bytes) -> Result[Any, Failure]:
        decoded = CALLER_CODEC.decode(data)
        if not isinstance(decoded, Success):
            return self._fail(PeerUnreachable('answer could not be decoded'))
        frame = decoded.unwrap()
        if frame.sequence != -self._last_sequence:
            return self._fail(
                PeerUnreachable('answer belongs to another request')
            )
        return Success(frame.message)

    def _fail(self, failure: Failure) -> Result[Any, Failure]:
        self.close()
        return Failed(failure)


def _closed_failure(exc: ConnectionClosed) -> Failure:
    if exc.rcvd is not None and exc.rcvd.reason == ALL_ANSWERED:
        return Draining('host closed the connection before the request')
    return PeerUnreachable(type(exc).__name__)
