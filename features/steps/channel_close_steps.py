"""Steps for the close of channels over loopback sockets."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from gevent.event import AsyncResult
from gevent.event import Event
from gevent import socket
from returns.result import Success

from trefoilpulley_client.transport import Transport
from trefoilpulley_client.websocket_transport import WebSocketDialer
from trefoilpulley_core.caller import Answer
from trefoilpulley_core.caller import Begin
from trefoilpulley_core.caller import Commit
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import LookUp
from trefoilpulley_core.caller import Rollback
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.peer import GetDigest
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node.entry.caller_server import CallerServer
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.channel import Channel
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.listener import Listener

LONG_TIMEOUT_S = 30.0
"""Limit of a wait that ends on an event, in seconds."""

SHORT_WAIT_S = 0.05
"""Time in which a server that waits for nothing has closed, in seconds."""

RAW_SEQUENCE = 999
"""Sequence number of the malformed request."""


REQUESTS = {
    'statement': Execute('r', 'lookup', 'ledger/0', 'select 1'),
    'statement in a transaction': Execute(
        'r', 'lookup', 'ledger/0', 'select 1', transaction='e1'
    ),
    'begin': Begin('lookup', 'ledger/0'),
    'commit': Commit('e1', 'r'),
    'rollback': Rollback('e1'),
    'look-up': LookUp('r', 'lookup', 'ledger/0'),
}


LARGE_ANSWER_BYTES = 300_000
"""Size of an answer that the receiver's buffer can't hold."""


class HoldingServer(CallerServer):
    """Entry role that holds its answers until the test releases them."""

    def __init__(self) -> None:
        super().__init__(None)
        self.handled: list[str] = []
        """Identifiers of the requests that were handled."""

        self.is_read = Event()
        """Whether a request was read since the event was cleared."""

        self.released = Event()
        """Whether the answers are released."""

        self.is_crashing = False
        """Whether the handler ends without a reply."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer after the release."""
        self.handled.append(getattr(message, 'request_id', ''))
        self.is_read.set()
        if self.is_crashing:
            raise gevent.GreenletExit()
        self.released.wait()
        return Answer(rows=((self.handled[-1],),))

    def on_late(self, channel: Channel, message: Any) -> Any:
        """Refuse the request as an entry host does."""
        self.is_read.set()
        return super().on_late(channel, message)

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Answer with the refusal of the failure."""
        self.is_read.set()
        return super().on_malformed(channel, failure)


class PausingListener(Listener):
    """Listener that pauses before the handshake of a connection.

    Parameters
    ----------
    handler : HoldingServer
        Handles the requests of all channels.
    """

    def __init__(self, handler: HoldingServer) -> None:
        super().__init__(Endpoint('127.0.0.1', 0), CALLER_CODEC, handler)
        self.accepted = Event()
        """Whether a connection was accepted."""

        self.resumed = Event()
        """Whether the handshake may go on."""

    def admit(self) -> bool:
        """Wait before the handshake."""
        self.accepted.set()
        self.resumed.wait()
        return True


class ChannelCloseSteps:
    """Steps that close the server side of a channel in use."""

    @staticmethod
    @given('a channel to a server that holds its answers')
    def open_channel(context: Any) -> None:
        """Listen and connect over loopback."""
        context.handler = HoldingServer()
        context.listener = Listener(
            Endpoint('127.0.0.1', 0), CALLER_CODEC, context.handler
        )
        context.listener.start()
        context.cleanups.append(context.listener.stop)
        context.channel = _dial(context)

    @staticmethod
    @given('another channel to the same server')
    def open_other_channel(context: Any) -> None:
        """Connect once more."""
        context.other_channel = _dial(context)

    @staticmethod
    @given('a server that is accepting a connection')
    def accept(context: Any) -> None:
        """Connect to a listener that pauses before the handshake."""
        context.handler = HoldingServer()
        context.handler.released.set()
        context.listener = PausingListener(context.handler)
        context.listener.start()
        context.cleanups.append(context.listener.stop)
        endpoint = Endpoint('127.0.0.1', context.listener.port)
        context.dialled = gevent.spawn(
            dial, endpoint, CALLER_CODEC, timeout_s=LONG_TIMEOUT_S
        )
        assert context.listener.accepted.wait(LONG_TIMEOUT_S)

    @staticmethod
    @when('the server stops while a request is in progress on each channel')
    def stop_in_progress(context: Any) -> None:
        """Begin to stop after both requests were read."""
        for channel in (context.channel, context.other_channel):
            _send(context, _make_request('first'), channel)
        gevent.spawn(context.listener.stop, LONG_TIMEOUT_S)
        gevent.sleep(0)
        gevent.sleep(0)

    @staticmethod
    @when('the server stops before the connection sends a request')
    def stop_before_request(context: Any) -> None:
        """Stop, then let the handshake and one request go on."""
        context.listener.stop()
        context.listener.resumed.set()
        dialled = context.dialled.get()
        if isinstance(dialled, Success):
            context.cleanups.append(dialled.unwrap().close)
            dialled.unwrap().call(_make_request('late'))

    @staticmethod
    @then('the server handles no request of the connection')
    def check_unhandled(context: Any) -> None:
        """Check that no request was handled."""
        assert not context.handler.handled

    @staticmethod
    @then('a late request on each channel is refused without being handled')
    def check_refusals(context: Any) -> None:
        """Send a request on each channel and release the answers."""
        calls = [
            _send(context, _make_request('late'), channel)
            for channel in (context.channel, context.other_channel)
        ]
        context.handler.released.set()
        codes = [getattr(c.get().unwrap(), 'code', '') for c in calls]
        assert codes == ['draining', 'draining'], codes
        assert context.handler.handled == ['first', 'first']

    @staticmethod
    @when('the server closes the channel while a request is in progress')
    def close_in_progress(context: Any) -> None:
        """Begin to close after the request was read."""
        context.call = _send(context, _make_request('first'))
        _begin_close(context)

    @staticmethod
    @when('the server closes the channel without waiting for a "{kind}"')
    def close_without_waiting(context: Any, kind: str) -> None:
        """Close after the request was read."""
        context.call = _send(context, REQUESTS[kind])
        _wait_for_channel(context).close_gracefully()

    @staticmethod
    @when(
        'the server closes the channel while the refusal of a malformed '
        'request waits'
    )
    def close_malformed(context: Any) -> None:
        """Begin to close while another message holds the connection."""
        served = _wait_for_channel(context)
        with served._send_lock:
            channel = context.channel
            context.reply = channel._waiters[RAW_SEQUENCE] = AsyncResult()
            channel._protocol.send_binary(bytes.fromhex('1903e7'))
            channel._flush()
            assert context.handler.is_read.wait(LONG_TIMEOUT_S)
            _begin_close(context)

    @staticmethod
    @when('the server closes the channel while another message is being sent')
    def close_while_sending(context: Any) -> None:
        """Begin to close while another message holds the connection."""
        context.served = _wait_for_channel(context)
        context.served._send_lock.acquire()
        _begin_close(context)

    @staticmethod
    @when('another request arrives at the closing channel')
    def send_late(context: Any) -> None:
        """Send a request, then release everything that is held."""
        context.late_call = _send(context, _make_request('late'))
        if 'served' in context:
            context.served._send_lock.release()
        context.handler.released.set()

    @staticmethod
    @then('the request in progress is answered')
    def check_answer(context: Any) -> None:
        """Release the answer and compare its identifier."""
        context.handler.released.set()
        assert context.call.get().unwrap().rows == (('first',),)

    @staticmethod
    @then('the request in progress is refused as "{code}", {state}')
    def check_cut(context: Any, code: str, state: str) -> None:
        """Compare the refusal."""
        refusal = context.call.get().unwrap()
        assert (refusal.code, refusal.run_state) == (code, state), refusal

    @staticmethod
    @then('the malformed request is refused')
    def check_malformed(context: Any) -> None:
        """Compare the code of the refusal."""
        reply = context.reply.get(timeout=LONG_TIMEOUT_S)
        assert reply.unwrap().code == 'malformed-message'

    @staticmethod
    @then('the late request is refused without being handled')
    def check_refusal(context: Any) -> None:
        """Compare the refusal and the handled requests."""
        refusal = context.late_call.get().unwrap()
        assert (refusal.code, refusal.run_state) == ('draining', 'not-run')
        assert 'late' not in context.handler.handled

    @staticmethod
    @when('the server answers and closes while a request is unread')
    def close_with_unread(context: Any) -> None:
        """Close while the client takes the answer slowly."""
        served = _wait_for_channel(context)
        served._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * LARGE_ANSWER_BYTES
        )
        channel = context.channel
        context.reply = channel._waiters[RAW_SEQUENCE] = AsyncResult()
        served._send(
            -RAW_SEQUENCE, Answer(rows=(('x' * LARGE_ANSWER_BYTES,),))
        )
        channel._send(1, _make_request('late'))
        with channel._send_lock:  # pauses the client after its first read
            closing = gevent.spawn(served.close_gracefully, LONG_TIMEOUT_S)
            # A server that does not wait for the client has closed by then.
            closing.join(SHORT_WAIT_S)

    @staticmethod
    @then('the client receives the complete answer')
    def check_large_answer(context: Any) -> None:
        """Check that the answer arrived."""
        reply = context.reply.get(timeout=LONG_TIMEOUT_S)
        assert isinstance(reply, Success), reply

    @staticmethod
    @when("a caller sends a request after the server's close frame")
    def send_across_close(context: Any) -> None:
        """Send with the client's transport while the close is in transit."""
        transport, served = _connect_caller(context)
        gevent.spawn(served.close_gracefully, LONG_TIMEOUT_S)
        gevent.sleep(0)
        message = _make_request('late')
        context.result = transport.call(message, LONG_TIMEOUT_S)

    @staticmethod
    @when('a caller sends a request whose handler crashes before the close')
    def send_to_crash(context: Any) -> None:
        """Close once the handler has ended without a reply."""
        transport, served = _connect_caller(context)
        context.handler.is_crashing = True
        message = _make_request('first')
        call = gevent.spawn(transport.call, message, LONG_TIMEOUT_S)
        assert context.handler.is_read.wait(LONG_TIMEOUT_S)
        served.close_gracefully(LONG_TIMEOUT_S)
        context.result = call.get()

    @staticmethod
    @then('the caller\'s request fails as "{code}", {state}')
    def check_failure(context: Any, code: str, state: str) -> None:
        """Compare the failure that the client's transport returns."""
        failure = context.result.failure()
        assert (failure.code, failure.run_state) == (code, state), failure

    @staticmethod
    @when('work arrives at a pooler whose channel is closing')
    def send_late_work(context: Any) -> None:
        """Ask the role for its reply to a late request."""
        server = PeerServer('host-1', 1, 'secret')
        context.reply = server.on_late(None, GetDigest(('ledger/0/a',)))

    @staticmethod
    @then('the pooler refuses the work as "{code}", for another attempt')
    def check_late_work(context: Any, code: str) -> None:
        """Compare the failure that the pooler reports."""
        assert isinstance(context.reply, PooledFailure)
        assert context.reply.code == code


def _connect_caller(context: Any) -> tuple[Transport, Channel]:
    known = {_wait_for_channel(context)}
    endpoint = Endpoint('127.0.0.1', context.listener.port)
    transport = WebSocketDialer().dial(endpoint, LONG_TIMEOUT_S).unwrap()
    context.cleanups.append(transport.close)
    while context.listener.channels <= known:
        gevent.sleep(0)
    return transport, (context.listener.channels - known).pop()


def _make_request(request_id: str) -> Execute:
    return Execute(request_id, 'lookup', 'ledger/0', 'select 1')


def _dial(context: Any) -> Channel:
    endpoint = Endpoint('127.0.0.1', context.listener.port)
    channel = dial(endpoint, CALLER_CODEC).unwrap()
    context.cleanups.append(channel.close)
    return channel


def _send(
    context: Any, message: Any, channel: Channel | None = None
) -> gevent.Greenlet:
    context.handler.is_read.clear()
    call = gevent.spawn((channel or context.channel).call, message)
    # A request over a closed connection is never read.
    gevent.wait([context.handler.is_read, call], LONG_TIMEOUT_S, count=1)
    return call


def _begin_close(context: Any) -> None:
    channel = _wait_for_channel(context)
    gevent.spawn(channel.close_gracefully, LONG_TIMEOUT_S)
    gevent.sleep(0)


def _wait_for_channel(context: Any) -> Channel:
    while not context.listener.channels:
        gevent.sleep(0)
    return next(iter(context.listener.channels))
