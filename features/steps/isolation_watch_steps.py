"""Steps on the service that runs the checks of a host."""

from __future__ import annotations

from dataclasses import asdict
import json
import random
from typing import Any

from behave import given
from behave import then
from behave import when
import eliot
import gevent
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from features.fakes.virtual_sleep import IDLE_TURNS
from trefoilpulley_core.direct.isolation import CHECK_INTERVAL_S
from trefoilpulley_core.direct.isolation import GroupContact
from trefoilpulley_core.direct.isolation import IsolationDetector
from trefoilpulley_core.direct.isolation import MIN_ISOLATION_S
from trefoilpulley_core.direct.isolation_messages import IsolationNotice
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.isolation_watch import IsolationWatch
from trefoilpulley_node.direct.isolation_watch import TICK_INTERVAL_S
from trefoilpulley_node.peer_server import PeerIdentity
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_wire.peer_codec import PEER_CODEC

HOSTS = {f'z{z}h{h}': f'z{z}' for z in range(3) for h in range(4)}


class ZonePeers:
    """Connections of the host ``z0h0``; its zone answers at once."""

    connected_hosts = frozenset(HOSTS)

    def __init__(self, server: PeerServer) -> None:
        self._server = server
        self.is_cut = False
        self.notified: list[str] = []
        self.replaced: list[str] = []

    def call_host(
        self, host: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Answer a probe as the server of any host would."""
        if self.is_cut and HOSTS[host] != 'z0':
            return Failed(PeerUnreachable())
        identity = PeerIdentity('z0h0', 'z0', 1, 1)
        return Success(self._server.serve(_pass_codec(message), identity))

    def can_connect(self, host: str, timeout_s: float) -> bool:
        """Return whether the host is reached."""
        return not self.is_cut

    def notify_host(self, host: str, message: Any) -> None:
        """Record the receiver of a notice."""
        assert _pass_codec(message) == IsolationNotice()
        self.notified.append(host)

    def replace(self, host: str) -> None:
        """Record the host of a replaced connection."""
        self.replaced.append(host)


class IsolationWatchSteps:
    """Steps on one host with the service and its messages."""

    @staticmethod
    @given('a host of 12 in 3 zones, with {count:d} primaries in other zones')
    def make(context: Any, count: int) -> None:
        """Create the service, with the log and the metrics."""
        context.logged = []
        destination = context.logged.append
        eliot.add_destinations(destination)
        context.cleanups.append(lambda: eliot.remove_destination(destination))
        context.clock = FakeClock()
        server = PeerServer('z0h0', 1, 'secret')
        context.peers = ZonePeers(server)
        context.metrics = DirectMetrics()
        groups = [
            GroupContact('z1', is_lost=False, answered_at=0.0)
            for _ in range(count)
        ]
        context.watch = IsolationWatch(
            IsolationDetector(
                'z0h0', 'z0', random.Random(1), context.clock.now()
            ),
            lambda: context.peers,
            lambda: HOSTS,
            lambda: groups,
            context.clock,
            context.metrics,
        )
        context.watch.register_handlers(server)
        context.watch.set_hosts(HOSTS)
        context.server = server
        _call_remote(context, is_answered=True)

    @staticmethod
    @when('its zone is cut off and another host of the zone notifies it')
    def cut(context: Any) -> None:
        """Lose the other zones, and receive a notice."""
        context.peers.is_cut = True
        context.clock.at += TICK_INTERVAL_S
        identity = PeerIdentity('z0h1', 'z0', 1, 1)
        context.server.serve(_pass_codec(IsolationNotice()), identity)
        _settle()

    @staticmethod
    @when('another host of the zone notifies it for no reason')
    def notify(context: Any) -> None:
        """Receive a notice while all zones answer."""
        context.clock.at += TICK_INTERVAL_S
        identity = PeerIdentity('z0h1', 'z0', 1, 1)
        context.server.serve(_pass_codec(IsolationNotice()), identity)
        _settle()

    @staticmethod
    @when('its zone is cut off and a call of it is not answered')
    def cut_silently(context: Any) -> None:
        """Lose the other zones, and wait for the silence of a call."""
        context.peers.is_cut = True
        observer = context.watch.observe('z1h1')
        started_at = observer.on_call()
        _pass_time(context, CHECK_INTERVAL_S)
        observer.on_call_ended(started_at, is_answered=False)

    @staticmethod
    @when('the other zones are reached again')
    def heal(context: Any) -> None:
        """End the partition and let the repeated checks run."""
        context.peers.is_cut = False
        _pass_time(context, MIN_ISOLATION_S + CHECK_INTERVAL_S)

    @staticmethod
    @then('the log, the dump and the metrics tell that it is cut off')
    def check_cut_off(context: Any) -> None:
        """Compare the numbers with the deployment of the scenario."""
        (event,) = _find_events(context, 'isolation-changed')
        evidence = asdict(context.watch.evidence)
        assert json.loads(json.dumps(evidence)) == evidence
        assert {k: event[k] for k in evidence} == evidence, event
        expected = {
            'trigger': 'notice',
            'remote_probed': 8,
            'remote_answered': 0,
            'local_probed': 2,
            'local_answered': 2,
            'hosts': 12,
            'reachable_hosts': 4,
            'groups': 4,
            'groups_lost': 4,
        }
        assert evidence == expected, evidence
        assert event['is_cut_off'] and context.watch.is_isolated
        (suspicion,) = _find_events(context, 'zones-unreachable')
        assert suspicion['outcome'] == 'local-only', suspicion
        _check_metric(context, 'notice', 'local-only')

    @staticmethod
    @then('it is ready')
    def check_ready(context: Any) -> None:
        """Check that the host is not isolated."""
        assert not context.watch.is_isolated
        assert context.watch.isolated_s == 0.0

    @staticmethod
    @then('the log tells that it is back, and no connection is an old one')
    def check_back(context: Any) -> None:
        """Check the second event and the replaced connections."""
        changes = _find_events(context, 'isolation-changed')
        assert [e['is_cut_off'] for e in changes] == [True, False], changes
        others = sorted(h for h, z in HOSTS.items() if z != 'z0')
        assert sorted(context.peers.replaced) == others

    @staticmethod
    @then('it has notified the {count:d} other hosts of its zone')
    def check_notified(context: Any, count: int) -> None:
        """Check the receivers of the notices."""
        notified = context.peers.notified
        assert sorted(set(notified)) == ['z0h1', 'z0h2', 'z0h3'][:count]

    @staticmethod
    @then('the check is counted as connected, and nothing is logged')
    def check_connected(context: Any) -> None:
        """Check that the notice had no effect."""
        _check_metric(context, 'notice', 'connected')
        assert not _find_events(context, 'zones-unreachable')


def _pass_codec(message: Any) -> Any:
    return PEER_CODEC.decode(PEER_CODEC.encode(1, message)).unwrap().message


def _call_remote(context: Any, is_answered: bool) -> None:
    observer = context.watch.observe('z1h1')
    observer.on_call_ended(observer.on_call(), is_answered)


def _settle() -> None:
    """Let the greenlets of a check end; every probe has ended at once."""
    for _ in range(IDLE_TURNS):
        gevent.sleep(0)


def _pass_time(context: Any, duration_s: float) -> None:
    for _ in range(round(duration_s / TICK_INTERVAL_S) + 1):
        context.clock.at += TICK_INTERVAL_S
        context.watch.tick()
        _settle()


def _find_events(context: Any, name: str) -> list[dict[str, Any]]:
    return [m for m in context.logged if m.get('event') == name]


def _check_metric(context: Any, trigger: str, outcome: str) -> None:
    line = (
        'trefoilpulley_isolation_checks_total'
        f'{{outcome="{outcome}",trigger="{trigger}"}} 1.0'
    )
    assert line in context.metrics.render().decode(), line
