"""Steps on channels over loopback sockets."""

from __future__ import annotations

from typing import Any

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
from trefoilpulley_wire.channel import Handler
from trefoilpulley_wire.channel import MAX_MESSAGE_BYTES
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.listener import Listener

RAW_SEQUENCE = 999
"""Sequence number of the raw frames in the feature."""


class EchoHandler(Handler):
    """Answers each request with its own identifier."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer at once."""
        return Answer(rows=((message.request_id,),))

    def on_malformed(self, channel: Channel, failure: Failure) -> Any:
        """Refuse by type."""
        return make_refusal(failure)


class ReversingHandler(EchoHandler):
    """Answers the last of eight requests first."""

    def __init__(self) -> None:
        self._answered = [Event() for _ in range(9)]
        self._answered[8].set()

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer once the next request has been answered."""
        number = int(message.request_id)
        self._answered[number + 1].wait()
        gevent.spawn(self._answered[number].set)
        return super().on_request(channel, message)


class LargeHandler(EchoHandler):
    """Sends answers over the size limit."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer with one large row."""
        return Answer(rows=(('x' * (MAX_MESSAGE_BYTES + 1),),))


class ClosingHandler(EchoHandler):
    """Closes the connection on each request."""

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Close instead of an answer."""
        channel.close()
        return Answer()


HANDLERS = {
    'answers the later request first': ReversingHandler,
    'answers at once': EchoHandler,
    'sends answers over the size limit': LargeHandler,
    'closes on each request': ClosingHandler,
}


def _execute(request_id: str, sql: str = 'select 1') -> Execute:
    return Execute(request_id, 'lookup', 'ledger/0', sql)


def _open(context: Any, handler: Handler) -> None:
    listener = Listener(Endpoint('127.0.0.1', 0), CALLER_CODEC, handler)
    listener.start()
    context.cleanups.append(listener.stop)
    context.channel = dial(
        Endpoint('127.0.0.1', listener.port), CALLER_CODEC
    ).unwrap()
    context.cleanups.append(context.channel.close)


class ChannelSteps:
    """Sends requests over a channel to a scripted server."""

    @staticmethod
    @given('a channel whose server {behaviour}')
    def open_channel(context: Any, behaviour: str) -> None:
        """Listen and dial on loopback."""
        _open(context, HANDLERS[behaviour]())

    @staticmethod
    @given("an entry host's connection without a greeting")
    def open_entry(context: Any) -> None:
        """Listen with the entry role, which has no parts yet to use."""
        _open(context, CallerServer(None))

    @staticmethod
    @when('{count:d} requests are sent at once over the channel')
    def send_many(context: Any, count: int) -> None:
        """Send all, then wait for all."""
        context.calls = [
            gevent.spawn(context.channel.call, _execute(str(number)))
            for number in range(count)
        ]
        gevent.joinall(context.calls)

    @staticmethod
    @when('one request is sent over the channel')
    def send_one(context: Any) -> None:
        """Send one request."""
        context.reply = context.channel.call(_execute('1'))

    @staticmethod
    @when('a request over the size limit is sent over the channel')
    def send_large(context: Any) -> None:
        """Send one request that is too large."""
        sql = 'x' * (MAX_MESSAGE_BYTES + 1)
        context.reply = context.channel.call(_execute('1', sql))

    @staticmethod
    @when('the frame "{data}" is sent raw over the channel')
    def send_raw(context: Any, data: str) -> None:
        """Send bytes that are no message."""
        channel = context.channel
        waiter = channel._waiters[RAW_SEQUENCE] = AsyncResult()
        channel._protocol.send_binary(bytes.fromhex(data))
        channel._flush()
        context.reply = waiter.get()

    @staticmethod
    @then('each request on the channel got its own answer')
    def check_own(context: Any) -> None:
        """Compare the identifiers."""
        rows = [call.get().unwrap().rows for call in context.calls]
        assert rows == [((str(n),),) for n in range(len(rows))], rows

    @staticmethod
    @then('it is answered with the refusal "{code}"')
    def check_refusal(context: Any, code: str) -> None:
        """Expect a typed refusal."""
        reply = context.reply.unwrap()
        assert isinstance(reply, Refusal)
        assert reply.code == code

    @staticmethod
    @then('the raw frame is answered with the refusal "{code}"')
    def check_raw_refusal(context: Any, code: str) -> None:
        """Expect a typed refusal under the frame's own number."""
        ChannelSteps.check_refusal(context, code)

    @staticmethod
    @then('a further request over the channel is answered')
    def check_further(context: Any) -> None:
        """Send one more."""
        reply = context.channel.call(_execute('2')).unwrap()
        assert reply.rows == (('2',),)

    @staticmethod
    @then('it fails as "{code}", {state:w}')
    def check_failure(context: Any, code: str, state: str) -> None:
        """Expect a typed failure."""
        assert not isinstance(context.reply, Success)
        failure = context.reply.failure()
        assert failure.code == code, failure
        assert str(failure.run_state) == state

    @staticmethod
    @then('the channel is still open')
    def check_open(context: Any) -> None:
        """Expect a working connection."""
        assert context.channel.is_open
