"""Steps for channels over loopback sockets."""

from __future__ import annotations

import random
import string
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
import gevent
from gevent.event import AsyncResult
from gevent.event import Event
from returns.result import Success

from trefoilpulley_core.caller import Answer
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import Refusal
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.failure import Failure
from trefoilpulley_node.entry.caller_server import CallerServer
from trefoilpulley_node.entry.caller_server import make_refusal
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.channel import Channel
from trefoilpulley_wire.channel import MAX_MESSAGE_BYTES
from trefoilpulley_wire import compression
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.handler import Handler
from trefoilpulley_wire.listener import Listener

RAW_SEQUENCE = 999
"""Sequence number of the raw frames in the feature."""


class EchoHandler(Handler):
    """Handler that answers each request with its identifier."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer immediately."""
        return Answer(rows=((message.request_id,),))

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Answer with the refusal of the failure."""
        return make_refusal(failure)


class ReversingHandler(EchoHandler):
    """Handler that answers eight requests in reverse order."""

    def __init__(self) -> None:
        self._answered = [Event() for _ in range(9)]
        self._answered[8].set()

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer after the next request has been answered."""
        number = int(message.request_id)
        self._answered[number + 1].wait()
        gevent.spawn(self._answered[number].set)
        return super().on_request(channel, message)


class LargeAnswerHandler(EchoHandler):
    """Handler that sends answers over the size limit."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer with one large row."""
        return Answer(rows=(('x' * (MAX_MESSAGE_BYTES + 1),),))


class ClosingHandler(EchoHandler):
    """Handler that closes the connection on each request."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Close the connection before the answer is sent."""
        channel.close()
        return Answer()


class LastAnswerHandler(EchoHandler):
    """Handler that closes the connection right after its answer."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer before the other greenlet closes the connection."""
        gevent.spawn(channel.close_gracefully)
        return super().on_request(channel, message)


HANDLERS = {
    'answers the later request first': ReversingHandler,
    'answers at once': EchoHandler,
    'sends answers over the size limit': LargeAnswerHandler,
    'closes on each request': ClosingHandler,
    'answers and then closes': LastAnswerHandler,
}


def _make_request(request_id: str, sql: str = 'select 1') -> Execute:
    return Execute(request_id, 'lookup', 'ledger/0', sql)


def _open_channel(
    context: Any, handler: Handler, is_compressed: bool = False
) -> None:
    listener = Listener(Endpoint('127.0.0.1', 0), CALLER_CODEC, handler)
    listener.start()
    context.cleanups.append(listener.stop)
    context.channel = dial(
        Endpoint('127.0.0.1', listener.port),
        CALLER_CODEC,
        is_compressed=is_compressed,
    ).unwrap()
    context.cleanups.append(context.channel.close)


class ChannelSteps:
    """Steps that send requests over a channel to a scripted server."""

    @staticmethod
    @given('a channel to a server that {behaviour}')
    def open_channel(context: Any, behaviour: str) -> None:
        """Listen and connect over loopback."""
        _open_channel(context, HANDLERS[behaviour]())

    @staticmethod
    @given('a compressed channel to a server that {behaviour}')
    def open_compressed(context: Any, behaviour: str) -> None:
        """Connect with compression."""
        _open_channel(context, HANDLERS[behaviour](), is_compressed=True)

    @staticmethod
    @given('a channel that offers compression to a server that declines it')
    def open_declined(context: Any) -> None:
        """Connect to a server without extensions, as older builds are."""
        with mock.patch.object(compression, 'accept', lambda: None):
            _open_channel(context, EchoHandler(), is_compressed=True)
        assert not context.channel._protocol.extensions

    @staticmethod
    @when(
        '{count:d} requests with statements of {length:d} letters are sent '
        'over the channel'
    )
    def send_text(context: Any, count: int, length: int) -> None:
        """Send requests one after the other and count the bytes on the wire.

        The statements differ in their letters, as rows of different items do.
        """
        rng = random.Random(7)
        channel = context.channel
        context.sizes = []
        flush = channel._protocol.data_to_send

        def count_bytes() -> list[bytes]:
            data = flush()
            context.sent += sum(map(len, data))
            return data

        channel._protocol.data_to_send = count_bytes
        for number in range(count):
            sql = ''.join(rng.choices(string.ascii_lowercase, k=length))
            context.sent = 0
            request = _make_request(str(number), sql)
            assert isinstance(channel.call(request), Success)
            size = len(CALLER_CODEC.encode(number, request))
            context.sizes.append((context.sent, size))

    @staticmethod
    @then('the second request takes at most half the bytes of its message')
    def check_size(context: Any) -> None:
        """Compare the bytes on the wire with the length of the message."""
        sent, size = context.sizes[1]
        assert 0 < sent <= size / 2, context.sizes

    @staticmethod
    @given('a channel to an entry host before the greeting')
    def open_entry_channel(context: Any) -> None:
        """Listen as an entry host without components.

        A request before the greeting must not need any component.
        """
        _open_channel(context, CallerServer(None))

    @staticmethod
    @when('{count:d} requests are sent at once over the channel')
    def send_many(context: Any, count: int) -> None:
        """Send all requests at once, then wait for all replies."""
        context.calls = [
            gevent.spawn(context.channel.call, _make_request(str(number)))
            for number in range(count)
        ]
        gevent.joinall(context.calls)

    @staticmethod
    @when('one request is sent over the channel')
    def send_one(context: Any) -> None:
        """Send one request."""
        context.reply = context.channel.call(_make_request('1'))

    @staticmethod
    @when('a request over the size limit is sent over the channel')
    def send_large(context: Any) -> None:
        """Send one request over the size limit."""
        sql = 'x' * (MAX_MESSAGE_BYTES + 1)
        context.reply = context.channel.call(_make_request('1', sql))

    @staticmethod
    @when('the frame "{data}" is sent as raw bytes over the channel')
    def send_raw(context: Any, data: str) -> None:
        """Send raw bytes and wait for a reply with their sequence number."""
        channel = context.channel
        waiter = channel._waiters[RAW_SEQUENCE] = AsyncResult()
        channel._protocol.send_binary(bytes.fromhex(data))
        channel._flush()
        context.reply = waiter.get()

    @staticmethod
    @then('each request on the channel has its own answer')
    def check_own_answers(context: Any) -> None:
        """Compare the identifiers in the answers."""
        rows = [call.get().unwrap().rows for call in context.calls]
        assert rows == [((str(n),),) for n in range(len(rows))], rows

    @staticmethod
    @then('the request on the channel is answered with the refusal "{code}"')
    def check_refusal(context: Any, code: str) -> None:
        """Compare the code of the refusal."""
        reply = context.reply.unwrap()
        assert isinstance(reply, Refusal)
        assert reply.code == code

    @staticmethod
    @then('the raw frame is answered with the refusal "{code}"')
    def check_raw_refusal(context: Any, code: str) -> None:
        """Compare the code of the refusal with the frame's sequence number."""
        ChannelSteps.check_refusal(context, code)

    @staticmethod
    @then('a further request over the channel is answered')
    def check_next_request(context: Any) -> None:
        """Send one more request and compare its answer."""
        reply = context.channel.call(_make_request('2')).unwrap()
        assert reply.rows == (('2',),)

    @staticmethod
    @then('the request on the channel fails as "{code}", {state:w}')
    def check_failure(context: Any, code: str, state: str) -> None:
        """Compare the failure code and the run state."""
        assert not isinstance(context.reply, Success)
        failure = context.reply.failure()
        assert failure.code == code, failure
        assert str(failure.run_state) == state

    @staticmethod
    @then(
        'the request on the channel has the identifier "{name}" in its answer'
    )
    def check_answer(context: Any, name: str) -> None:
        """Compare the identifier in the answer."""
        assert context.reply.unwrap().rows == ((name,),)

    @staticmethod
    @then('the channel is still open')
    def check_open(context: Any) -> None:
        """Check that the channel is open."""
        assert context.channel.is_open
