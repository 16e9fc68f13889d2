"""Steps for the planned stop of a host in the pooled mode."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
import gevent
from gevent.event import Event
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.caller import Answer
from trefoilpulley_core.caller import Commit
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.peer import Digests
from trefoilpulley_core.peer import GetDigest
from trefoilpulley_core.retry_budget import RetryBudget
from trefoilpulley_node.clock import MonotonicClock
from trefoilpulley_node.entry.caller_server import CallerServer
from trefoilpulley_node.entry.caller_server import make_refusal
from trefoilpulley_node import node
from trefoilpulley_node.node import Node
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_node.pipeline.deliver import DeliveryFilter
from trefoilpulley_node.pipeline.request import PipelineRequest
from trefoilpulley_node.service import Service
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.channel import Channel
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire.peer_codec import PEER_CODEC

LONG_TIMEOUT_S = 30.0
"""Limit of a wait that ends on an event, in seconds."""


class HeldReplies:
    """Replies that wait until the test releases them."""

    def __init__(self) -> None:
        self.read_count = 0
        """Number of requests that were read."""

        self.is_read = Event()
        """Whether a request was read."""

        self.released = Event()
        """Whether the replies are released."""

    def wait(self) -> None:
        """Record a request and wait for the release."""
        self.read_count += 1
        self.is_read.set()
        self.released.wait()


class HoldingEntry(CallerServer):
    """Entry role whose answers wait.

    Parameters
    ----------
    held : HeldReplies
        Releases the answers.
    """

    def __init__(self, held: HeldReplies) -> None:
        super().__init__(None)
        self._held = held

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Answer after the release."""
        self._held.wait()
        return Answer()


class WaitingEntry(CallerServer):
    """Entry role whose requests find no member.

    Parameters
    ----------
    held : HeldReplies
        Records the requests.
    admit : Any
        States whether the host is stopping.
    """

    def __init__(self, held: HeldReplies, admit: Any) -> None:
        super().__init__(None)
        self._held = held
        self._clock = MonotonicClock()
        self._deliver = DeliveryFilter(
            SimpleNamespace(choose=lambda *args: Failed(NoUpstream())),
            None,
            None,
            SimpleNamespace(
                wait_for_primary_change=lambda db, wait_s: gevent.sleep(wait_s)
            ),
            RetryBudget(),
            lambda: admit.is_stopping,
            self._clock,
        )

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Deliver a write of a class with a late deadline."""
        self._held.is_read.set()
        now = self._clock.now()
        req = PipelineRequest('north', message, now)
        delivered = self._deliver.apply(
            replace(
                req,
                work_class=SimpleNamespace(work=WorkKind.WRITE),
                database='ledger/0',
                deadline=now + 2 * LONG_TIMEOUT_S,
            )
        )
        return make_refusal(delivered.failure())


class HoldingPooler(PeerServer):
    """Pooler role whose replies wait.

    Parameters
    ----------
    held : HeldReplies
        Releases the replies.
    """

    def __init__(self, held: HeldReplies) -> None:
        super().__init__('host-1', 1, 'secret')
        self._held = held

    def on_request(self, channel: Channel, message: Any) -> Any:
        """Reply after the release."""
        self._held.wait()
        return Digests(())


class ScriptedService(Service):
    """Service that runs a function when it is stopped."""

    def __init__(self) -> None:
        self.on_stop = lambda: None
        """Runs while the service stops."""

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Run the function."""
        self.on_stop()


class PooledStopSteps:
    """Steps that drain a host with real listeners and no members."""

    @staticmethod
    @given('a host in the pooled mode')
    def start(context: Any) -> None:
        """Start a host whose roles hold their replies."""
        patched = mock.patch.object(node, 'LEAVE_NOTICE_DELAY_S', 0.0)
        patched.start()
        context.cleanups.append(patched.stop)
        context.held = HeldReplies()
        context.cleanups.append(context.held.released.set)
        endpoint = Endpoint('127.0.0.1', 0)
        context.entry = Listener(
            endpoint, CALLER_CODEC, HoldingEntry(context.held)
        )
        context.pooler = Listener(
            endpoint, PEER_CODEC, HoldingPooler(context.held)
        )
        context.service = ScriptedService()
        context.admit = SimpleNamespace(is_draining=False, is_stopping=False)
        context.settings = SimpleNamespace(
            host='host-1', zone='a', drain_s=LONG_TIMEOUT_S
        )
        context.node = _make_node(context)
        context.node.start()
        context.caller = _dial(context, context.entry, CALLER_CODEC)
        context.peer = _dial(context, context.pooler, PEER_CODEC)

    @staticmethod
    @when('the host is drained while a caller\'s "commit" is in progress')
    def drain_during_commit(context: Any) -> None:
        """Drain after the request was read."""
        context.call = _send(context, context.caller, Commit('e1', 'r'))
        _drain(context)

    @staticmethod
    @when('the host is drained while a peer\'s "read" is in progress')
    def drain_during_work(context: Any) -> None:
        """Drain after the request was read."""
        context.call = _send(context, context.peer, GetDigest(()))
        _drain(context)

    @staticmethod
    @when(
        'the drain time of the host ends while a caller\'s "commit" is in '
        'progress'
    )
    def end_drain(context: Any) -> None:
        """Drain for a moment only, and hold the answer."""
        context.settings.drain_s = node.DRAIN_POLL_INTERVAL_S
        context.call = _send(context, context.caller, Commit('e1', 'r'))
        context.drain = gevent.spawn(context.node.drain)

    @staticmethod
    @when(
        'the drain time of the host ends while a statement waits for a member'
    )
    def end_drain_without_member(context: Any) -> None:
        """Drain for a moment only, and wait for the last answers."""
        patched = mock.patch.object(
            node, 'LAST_ANSWERS_TIMEOUT_S', LONG_TIMEOUT_S
        )
        patched.start()
        context.cleanups.append(patched.stop)
        context.settings.drain_s = node.DRAIN_POLL_INTERVAL_S
        context.entry._handler = WaitingEntry(context.held, context.admit)
        caller = _dial(context, context.entry, CALLER_CODEC)
        message = Execute('r', 'filing', 'ledger/0', 'insert')
        context.call = _send(context, caller, message)
        context.drain = gevent.spawn(context.node.drain)

    @staticmethod
    @when('the host is drained and a peer sends work while the services stop')
    def send_at_stop(context: Any) -> None:
        """Send a request from within the stop of a service."""
        context.held.released.set()
        context.service.on_stop = lambda: context.peer.call(
            GetDigest(()), LONG_TIMEOUT_S
        )
        context.node.drain()

    @staticmethod
    @then("the caller's request is answered and the host stops")
    def check_answer(context: Any) -> None:
        """Release the reply and check its type."""
        context.held.released.set()
        assert isinstance(context.call.get().unwrap(), Answer)
        _check_stopped(context)

    @staticmethod
    @then("the peer's request is answered and the host stops")
    def check_reply(context: Any) -> None:
        """Release the reply and check its type."""
        context.held.released.set()
        reply = context.call.get()
        assert isinstance(reply, Success), reply
        _check_stopped(context)

    @staticmethod
    @then('the caller\'s request is refused as "{code}" and the host stops')
    def check_refusal(context: Any, code: str) -> None:
        """Compare the code of the refusal."""
        assert context.call.get().unwrap().code == code
        _check_stopped(context)

    @staticmethod
    @then('the host does not handle the work')
    def check_unhandled(context: Any) -> None:
        """Check that no request was read."""
        assert not context.held.read_count


def _make_node(context: Any) -> Node:
    return Node(
        context.settings,
        (context.service,),
        SimpleNamespace(leave=lambda: None),
        context.entry,
        context.pooler,
        context.admit,
        SimpleNamespace(transactions=(), members={}, stop=lambda: None),
        SimpleNamespace(close=lambda: None),
        (),
    )


def _dial(context: Any, listener: Listener, codec: Any) -> Channel:
    channel = dial(Endpoint('127.0.0.1', listener.port), codec).unwrap()
    context.cleanups.append(channel.close)
    return channel


def _send(context: Any, channel: Channel, message: Any) -> gevent.Greenlet:
    call = gevent.spawn(channel.call, message)
    assert context.held.is_read.wait(LONG_TIMEOUT_S)
    return call


def _drain(context: Any) -> None:
    context.drain = gevent.spawn(context.node.drain)
    # A host that loses the request stops before its reply is released.
    context.drain.join(4 * node.DRAIN_POLL_INTERVAL_S)


def _check_stopped(context: Any) -> None:
    context.drain.join(LONG_TIMEOUT_S)
    assert context.drain.successful()
