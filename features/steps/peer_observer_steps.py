"""Steps on observed, tried and replaced connections between two hosts."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.isolation_messages import ReachabilityAnswer
from trefoilpulley_core.direct.isolation_messages import ReachabilityProbe
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_node.peers import Peers
from trefoilpulley_wire.call_observer import CallObserver
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire.peer_codec import PEER_CODEC

TIMEOUT_S = 5.0


class RecordingObserver(CallObserver):
    """Records how calls end."""

    def __init__(self) -> None:
        self.started = 0
        self.ended: list[bool] = []

    def on_call(self) -> float | None:
        """Return the number of the call in place of its time."""
        self.started += 1
        return float(self.started)

    def on_call_ended(self, started_at: float, is_answered: bool) -> None:
        """Record whether the call was answered."""
        self.ended.append(is_answered)


class PeerObserverSteps:
    """Steps on one host that calls another over a local connection."""

    @staticmethod
    @given('a host that calls another one, with an observer of its calls')
    def make(context: Any) -> None:
        """Start the other host."""
        server = PeerServer('other', 1, 'secret')
        server.register(ReachabilityProbe, lambda *_: ReachabilityAnswer())
        context.listener = Listener(
            Endpoint('127.0.0.1', 0), PEER_CODEC, server
        )
        context.listener.start()
        context.cleanups.append(context.listener.stop)
        endpoint = Endpoint('127.0.0.1', context.listener.port)
        context.observer = RecordingObserver()
        context.peers = Peers(
            PeerHello('me', 'a', 1, 'secret'),
            server,
            lambda host: endpoint,
            lambda member: None,
            observe=lambda host: context.observer,
        )
        context.cleanups.append(context.peers.close)

    @staticmethod
    @when('it sends a probe')
    def probe(context: Any) -> None:
        """Call the other host."""
        context.result = context.peers.call_host(
            'other', ReachabilityProbe(), TIMEOUT_S
        )

    @staticmethod
    @when('it tries a new connection')
    def dial(context: Any) -> None:
        """Open and close a connection."""
        context.is_reached = context.peers.can_connect('other', TIMEOUT_S)

    @staticmethod
    @when('it replaces its connection and sends a probe')
    def replace(context: Any) -> None:
        """Send the probe on a new connection."""
        context.old = context.peers.open_channel('other').unwrap()
        context.peers.replace('other')
        PeerObserverSteps.probe(context)

    @staticmethod
    @when('the other host stops')
    def stop(context: Any) -> None:
        """Close the listener and its connections."""
        context.listener.stop()

    @staticmethod
    @then(
        'the probe is answered, and {count:d} calls are observed as answered'
    )
    def check_answered(context: Any, count: int) -> None:
        """Check the answer, and the ends of the calls and dials."""
        assert isinstance(context.result, Success), context.result
        assert context.observer.ended == [True] * count, context.observer.ended

    @staticmethod
    @then('the former connection is still open beside the new one')
    def check_kept(context: Any) -> None:
        """Check that leases on the former connection may go on."""
        new = context.peers.open_channel('other').unwrap()
        assert new is not context.old
        assert context.old.is_open and new.is_open

    @staticmethod
    @then('the other host is reached, and its connection is kept')
    def check_reached(context: Any) -> None:
        """Check that the trial has not replaced the connection."""
        assert context.is_reached
        assert context.peers.connected_hosts == {'other'}

    @staticmethod
    @then('neither a probe nor a new connection succeeds')
    def check_unanswered(context: Any) -> None:
        """Check that both are observed as unanswered, and that both end."""
        context.observer.ended.clear()
        PeerObserverSteps.probe(context)
        PeerObserverSteps.dial(context)
        assert not isinstance(context.result, Success)
        assert not context.is_reached
        assert not any(context.observer.ended), context.observer.ended
        assert len(context.observer.ended) >= 2
