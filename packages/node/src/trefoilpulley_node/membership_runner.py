"""Executes the membership commands of this host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from returns.result import Success

from trefoilpulley_core.membership.commands import Call
from trefoilpulley_core.membership.commands import CompareVersions
from trefoilpulley_core.membership.commands import Tell
from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_core.membership.membership import TICK_INTERVAL_S
from trefoilpulley_core.membership.messages import Exchange
from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.messages import Probe
from trefoilpulley_core.membership.messages import ProbeForMe
from trefoilpulley_core.membership.messages import ProbeReport
from trefoilpulley_core.membership.prober import PROBE_TIMEOUT_S
from trefoilpulley_node import events
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.catalog import HostEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.membership.live_hosts import LiveHosts
    from trefoilpulley_core.membership.membership import Membership
    from trefoilpulley_core.membership.messages import Versions
    from trefoilpulley_node.peer_server import PeerIdentity
    from trefoilpulley_node.peer_server import PeerServer
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.settings import SeedPeer

LEAVE_TIMEOUT_S = 0.5
"""Longest wait for the leave messages to be sent, in seconds."""


@dataclass(frozen=True, slots=True)
class MembershipState:
    """Membership section of the state dump."""

    state: str
    """Membership state of this host."""

    incarnation: int
    """Incarnation of this host."""

    is_relay: bool
    """Whether this host relays news between its zone and other zones."""

    suspected: tuple[str, ...]
    """Hosts and zones that are suspected of having failed."""

    zones: tuple[ZoneHosts, ...]
    """Live hosts by zone."""

    version: int
    """Number of changes to the membership records."""


class MembershipRunner(Service):
    """Runs the membership protocol over the peer connections.

    Parameters
    ----------
    membership : Membership
        Decides which messages to send.
    clock : Clock
        Monotonic time.
    seeds : Sequence[SeedPeer]
        Hosts to contact while the host list is not available.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        seeds: Sequence[SeedPeer] = (),
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._seeds = {s.name: s.endpoint for s in seeds}
        self._peers: Peers | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._pending_sends: set[gevent.Greenlet] = set()
        self._live_version = -1
        self._live_hosts_listeners: list[Callable[[LiveHosts], None]] = []
        self._versions_listeners: list[Callable[[str, Versions], None]] = []

    @property
    def live_hosts(self) -> LiveHosts:
        """Current view of the live hosts."""
        return self._membership.live_hosts

    def find_entry(self, host: str) -> HostEntry | None:
        """Return the entry of a host, or ``None``."""
        return self._membership.find_entry(host)

    def find_peer_endpoint(self, host: str) -> Endpoint | None:
        """Return the peer address of a host, or ``None``."""
        entry = self._membership.find_entry(host)
        return entry.peer_endpoint if entry else self._seeds.get(host)

    def subscribe_live(self, on_live: Callable[[LiveHosts], None]) -> None:
        """Register a callback for each change of the live hosts."""
        self._live_hosts_listeners.append(on_live)

    def subscribe_versions(
        self, on_versions: Callable[[str, Versions], None]
    ) -> None:
        """Register a callback for the document revisions that a peer holds."""
        self._versions_listeners.append(on_versions)

    def register_handlers(self, server: PeerServer, peers: Peers) -> None:
        """Register the handlers of the membership messages."""
        self._peers = peers
        server.register(Probe, self._on_probe)
        server.register(ProbeForMe, self._on_probe_for_me)
        server.register(Exchange, self._on_exchange)
        server.register(News, self._on_news)
        server.register_close(self._on_contact_lost)

    def set_versions(self, versions: Versions) -> None:
        """Set the document revisions that this host announces to peers."""
        self._membership.set_versions(versions)

    def set_host_list(self, entries: Iterable[HostEntry]) -> None:
        """Update the membership with the platform's list of hosts."""
        self._membership.on_host_list(entries)
        self._execute_commands()

    def start(self) -> None:
        """Start probing peers in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop probing without telling the peers.

        The peers detect the stop by their own probes.
        """
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def leave(self) -> None:
        """Tell the peers that this host accepts no new work."""
        self._membership.on_leave()
        self._execute_commands()
        gevent.joinall(list(self._pending_sends), timeout=LEAVE_TIMEOUT_S)

    def dump(self) -> MembershipState:
        """Return the membership section of the state dump."""
        own = self._membership.own
        live = self._membership.live_hosts
        return MembershipState(
            str(own.state),
            own.incarnation,
            self._membership.is_relay,
            self._membership.suspected,
            live.zones,
            live.version,
        )

    def _run(self) -> None:
        while True:
            self._membership.on_tick(self._clock.now())
            self._execute_commands()
            gevent.sleep(TICK_INTERVAL_S)

    def _execute_commands(self) -> None:
        for command in self._membership.take_commands():
            if isinstance(command, Call):
                gevent.spawn(self._call, command)
            elif isinstance(command, Tell):
                self._spawn_send(command)
            elif isinstance(command, CompareVersions):
                self._report_versions(command)
        self._publish_live_hosts()

    def _publish_live_hosts(self) -> None:
        live = self._membership.live_hosts
        if live.version == self._live_version:
            return
        self._live_version = live.version
        events.LIVE_HOSTS_CHANGED.log(
            live=sum(len(z.hosts) for z in live.zones),
            lost_zones=[z.zone for z in live.zones if z.is_lost],
        )
        for on_live in self._live_hosts_listeners:
            on_live(live)

    def _report_versions(self, command: CompareVersions) -> None:
        for on_versions in self._versions_listeners:
            on_versions(command.host, command.versions)

    def _call(self, call: Call) -> None:
        answer = self._send_call(call)
        now = self._clock.now()
        if isinstance(answer, Success):
            self._membership.on_answer(call.call_id, answer.unwrap(), now)
        else:
            self._membership.on_failure(call.call_id, now)
        self._execute_commands()

    def _send_call(self, call: Call) -> Result[Any, Failure] | None:
        with gevent.Timeout(call.timeout_s, False):
            return self._peers.call_host(
                call.host, call.message, call.timeout_s
            )
        return None

    def _spawn_send(self, command: Tell) -> None:
        greenlet = gevent.spawn(self._send, command)
        self._pending_sends.add(greenlet)
        greenlet.link(self._pending_sends.discard)

    def _send(self, command: Tell) -> None:
        opened = self._peers.open_channel(command.host)
        if isinstance(opened, Success):
            opened.unwrap().notify(command.message)

    def _on_probe(self, probe: Probe, peer: PeerIdentity) -> Any:
        answer = self._membership.on_probe(probe, self._clock.now())
        self._execute_commands()
        return answer

    def _on_probe_for_me(self, req: ProbeForMe, peer: PeerIdentity) -> Any:
        report: AsyncResult = AsyncResult()
        self._membership.on_probe_for_me(req, report.set)
        self._execute_commands()
        try:
            return report.get(timeout=PROBE_TIMEOUT_S * 2)
        except gevent.Timeout:
            return ProbeReport(is_reachable=False)

    def _on_exchange(self, exchange: Exchange, peer: PeerIdentity) -> News:
        answer = self._membership.on_exchange(exchange)
        self._execute_commands()
        return answer

    def _on_news(self, news: News, peer: PeerIdentity) -> None:
        self._membership.on_news(news, peer.host)
        self._execute_commands()

    def _on_contact_lost(self, peer: PeerIdentity) -> None:
        self._membership.on_connection_lost(peer.host, self._clock.now())
        self._execute_commands()
