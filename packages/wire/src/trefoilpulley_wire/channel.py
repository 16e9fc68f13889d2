"""Concurrent requests and replies over one WebSocket connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from gevent.event import Event
from gevent.lock import Semaphore
from gevent import socket
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from websockets.frames import Opcode
from websockets.protocol import State

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import MessageTooLarge
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import ResultTooLarge
from trefoilpulley_wire.codec import ALL_ANSWERED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from websockets.frames import Frame as WebSocketFrame
    from websockets.protocol import Protocol

    from trefoilpulley_wire.call_observer import CallObserver
    from trefoilpulley_wire.codec import Codec
    from trefoilpulley_wire.handler import Handler

RECEIVE_BUFFER_BYTES = 65536
"""Maximum number of bytes that one call reads from a socket."""

MAX_MESSAGE_BYTES = 1 << 20
"""Maximum size of a request or reply that is decoded."""

MAX_RECEIVED_BYTES = 16 << 20
"""Maximum size of a message that is received.

A larger message closes the connection. A message between
`MAX_MESSAGE_BYTES` and this size is rejected, and the connection stays open.
"""

CLOSE_TIMEOUT_S = 0.5
"""Longest wait for the last replies and the closing handshake, in seconds."""


@dataclass(eq=False, frozen=True, slots=True)
class _Request:
    sequence: int
    message: Any


class Channel:
    """WebSocket connection that carries requests in both directions.

    The client and the server of a connection use the same class. Replies are
    matched to requests by sequence number and may arrive in any order.

    Parameters
    ----------
    sock : socket.socket
        Connected socket on which the WebSocket handshake is complete.
    protocol : Protocol
        WebSocket protocol state of the connection.
    codec : Codec
        Codec for the message types of the connection.
    handler : Handler, optional
        Handles the requests of the peer; without a handler, requests are
        ignored.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: Protocol,
        codec: Codec,
        handler: Handler | None = None,
    ) -> None:
        self._sock = sock
        self._protocol = protocol
        self._codec = codec
        self._handler = handler
        self._send_lock = Semaphore()
        self._next_sequence = 1
        self._waiters: dict[int, AsyncResult] = {}
        self._fragments: list[bytes] = []
        self._requests: set[_Request] = set()
        self._replies_in_transit = 0
        self._changed = Event()
        self._is_closing = False
        self._has_lost_reply = False
        self.is_open = True
        """Whether the connection is open, so that requests can be sent."""

        self.context: Any = None
        """State that the handler attaches to the connection."""

        self.observer: CallObserver | None = None
        """Is told of the calls on the connection."""

    @property
    def active_request_count(self) -> int:
        """Number of requests of the peer that were read and not answered."""
        return len(self._requests) + self._replies_in_transit

    def call(
        self,
        message: Any,
        timeout_s: float | None = None,
        abort: Event | None = None,
    ) -> Result[Any, Failure]:
        """Send a request and wait for its reply.

        Parameters
        ----------
        message : Any
            Request to send.
        timeout_s : float, optional
            Maximum time to wait for the reply, in seconds.
        abort : Event, optional
            Event that ends the wait early when it is set.

        Returns
        -------
        Result[Any, Failure]
            The reply; `PeerUnreachable` if no reply arrived; `ResultTooLarge`
            or the decoding failure if the reply was rejected.
        """
        observer = self.observer
        started_at = observer.on_call() if observer else None
        if started_at is None:
            return self._call(message, timeout_s, abort)
        is_answered = False
        try:
            result = self._call(message, timeout_s, abort)
            is_answered = isinstance(result, Success)
            return result
        finally:
            observer.on_call_ended(started_at, is_answered)

    def notify(self, message: Any) -> None:
        """Send a one-way message.

        If the connection is broken, the message is lost and the channel
        closes.
        """
        try:
            self._send(0, message)
        except OSError:
            self.close()

    def run(self) -> None:
        """Receive and dispatch messages until the connection ends."""
        try:
            self._process_events()
            while self.is_open:
                data = self._sock.recv(RECEIVE_BUFFER_BYTES)
                if not data:
                    break
                self._protocol.receive_data(data)
                self._process_events()
        except OSError:
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection and fail every call that waits for a reply."""
        if not self.is_open:
            return
        self.is_open = False
        self._changed.set()
        try:
            self._sock.close()
        except OSError:
            pass
        failed = Failed(PeerUnreachable('connection was lost'))
        for waiter in list(self._waiters.values()):
            # A reply may have arrived just before the end.
            if not waiter.ready():
                waiter.set(failed)
        if self._handler:
            self._handler.on_close(self)

    def close_gracefully(self, timeout_s: float = 0.0) -> None:
        """Answer the requests that were read, then close the connection.

        Requests that arrive meanwhile are refused. The last message is a
        WebSocket close frame, which the peer is given time to confirm.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the requests that are being handled, in seconds.
            The handler replies to the others with `on_cut`.
        """
        if not self.is_open or self._is_closing:
            return
        self._is_closing = True
        with gevent.Timeout(timeout_s + CLOSE_TIMEOUT_S, False):
            self._wait_for_requests(timeout_s)
            self._cut_requests()
            self._send_close_frame()
            # Closing a socket with unread data discards what was sent.
            while self.is_open:
                self._wait_for_change()
        self.close()

    def _call(
        self,
        message: Any,
        timeout_s: float | None,
        abort: Event | None,
    ) -> Result[Any, Failure]:
        if not self.is_open:
            return Failed(PeerUnreachable('connection is closed'))
        sequence = self._next_sequence
        self._next_sequence += 1
        waiter = self._waiters[sequence] = AsyncResult()
        try:
            self._send(sequence, message)
            if abort is not None:
                gevent.wait([waiter, abort], timeout=timeout_s, count=1)
                timeout_s = 0
            return waiter.get(timeout=timeout_s)
        except (OSError, gevent.Timeout) as exc:
            return Failed(PeerUnreachable(type(exc).__name__))
        finally:
            self._waiters.pop(sequence, None)

    def _wait_for_requests(self, timeout_s: float) -> None:
        if timeout_s <= 0:
            return
        with gevent.Timeout(timeout_s, False):
            while self.is_open and self._requests:
                self._wait_for_change()

    def _cut_requests(self) -> None:
        for req in list(self._requests):
            reply = self._handler.on_cut(self, req.message)
            if reply is not None:
                self._requests.discard(req)
                self._spawn_reply(req.sequence, reply)

    def _send_close_frame(self) -> None:
        try:
            while self.is_open and self._protocol.state is State.OPEN:
                while self.is_open and self._replies_in_transit:
                    self._wait_for_change()
                with self._send_lock:
                    # A reply may have begun to wait for the lock as well.
                    if not self._replies_in_transit:
                        self._protocol.send_close(1001, self._close_reason())
                        self._flush()
        except OSError:
            pass

    def _close_reason(self) -> str:
        is_complete = not self._requests and not self._has_lost_reply
        return ALL_ANSWERED if is_complete else ''

    def _wait_for_change(self) -> None:
        self._changed.clear()
        self._changed.wait()

    def _send(self, sequence: int, message: Any) -> None:
        data = self._codec.encode(sequence, message)
        self._codec.traffic.count(type(message).__name__, len(data))
        with self._send_lock:
            if self._protocol.state is not State.OPEN:
                raise ConnectionError()
            self._protocol.send_binary(data)
            self._flush()

    def _flush(self) -> None:
        pending = b''.join(self._protocol.data_to_send())
        if pending:
            self._sock.sendall(pending)

    def _process_events(self) -> None:
        for event in self._protocol.events_received():
            self._on_websocket_frame(event)
        with self._send_lock:
            self._flush()
        if self._protocol.state is State.OPEN:
            return
        if not self._is_closing or self._protocol.close_rcvd is not None:
            self.close()

    def _on_websocket_frame(self, frame: WebSocketFrame) -> None:
        if frame.opcode not in (Opcode.BINARY, Opcode.TEXT, Opcode.CONT):
            return
        self._fragments.append(bytes(frame.data))
        if not frame.fin:
            return
        data = b''.join(self._fragments)
        self._fragments.clear()
        self._on_message(data)

    def _on_message(self, data: bytes) -> None:
        if len(data) > MAX_MESSAGE_BYTES:
            self._on_too_large(self._codec.decode_sequence(data))
            return
        decoded = self._codec.decode(data)
        if not isinstance(decoded, Success):
            sequence = self._codec.decode_sequence(data)
            self._on_undecodable(sequence, decoded.failure())
            return
        frame = decoded.unwrap()
        message = frame.message
        self._codec.traffic.count(type(message).__name__, len(data))
        if frame.sequence < 0:
            self._on_reply(-frame.sequence, Success(message))
        elif frame.sequence > 0:
            self._on_request(_Request(frame.sequence, message))
        elif self._handler:
            self._handler.on_notice(self, message)

    def _on_too_large(self, sequence: int) -> None:
        # Decoding such a message would block the other greenlets of this
        # process for too long.
        detail = f'limit is {MAX_MESSAGE_BYTES}'
        if sequence < 0:
            self._on_reply(-sequence, Failed(ResultTooLarge(detail)))
        else:
            self._reject_message(sequence, MessageTooLarge(detail))

    def _on_undecodable(self, sequence: int, failure: Failure) -> None:
        if sequence < 0:
            self._on_reply(-sequence, Failed(failure))
        else:
            self._reject_message(sequence, failure)

    def _on_reply(self, sequence: int, reply: Result[Any, Failure]) -> None:
        waiter = self._waiters.get(sequence)
        if waiter is not None:
            waiter.set(reply)

    def _on_request(self, req: _Request) -> None:
        if self._handler is None or not self.is_open:
            return
        if not self._is_closing:
            self._requests.add(req)
            gevent.spawn(self._serve_request, req)
        elif self._protocol.state is State.OPEN:
            reply = self._handler.on_late(self, req.message)
            if reply is not None:
                self._spawn_reply(req.sequence, reply)

    def _reject_message(self, sequence: int, failure: Failure) -> None:
        if self._handler:
            reply = self._handler.on_malformed(self, failure)
            self._spawn_reply(sequence, reply)

    def _serve_request(self, req: _Request) -> None:
        has_reply = False
        try:
            reply = self._handler.on_request(self, req.message)
            has_reply = req not in self._requests
            if has_reply:
                return
            self._requests.discard(req)
            self._replies_in_transit += 1
            self._send_reply(req.sequence, reply)
            has_reply = True
        except OSError:
            self.close()
        finally:
            self._has_lost_reply |= not has_reply
            self._requests.discard(req)
            self._changed.set()

    def _spawn_reply(self, sequence: int, reply: Any) -> None:
        self._replies_in_transit += 1
        gevent.spawn(self._send_reply, sequence, reply)

    def _send_reply(self, sequence: int, reply: Any) -> None:
        try:
            self._send(-sequence, reply)
        except OSError:
            self.close()
        finally:
            self._replies_in_transit -= 1
            self._changed.set()


def close_channels(channels: Iterable[Channel], timeout_s: float) -> None:
    """Close channels gracefully, all at the same time.

    Parameters
    ----------
    channels : Iterable[Channel]
        Channels to close.
    timeout_s : float
        Longest wait for the requests that are being handled, in seconds.
    """
    gevent.joinall(
        [gevent.spawn(c.close_gracefully, timeout_s) for c in channels]
    )
