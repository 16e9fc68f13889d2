"""A host that runs only membership and documents, over loopback."""

from __future__ import annotations

from itertools import count
import random
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.store import ConfigurationStore
from trefoilpulley_core.configuration.sync import DocumentDissemination
from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_node.clock import MonotonicClock
from trefoilpulley_node.configuration_runner import ConfigurationRunner
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_platform import EtcdPlatform
from trefoilpulley_node.membership_runner import MembershipRunner
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_node.peers import Peers
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from trefoilpulley_node.settings import SeedPeer

SECRET = 'secret'
"""Shared secret of the hosts."""

POLL_INTERVAL_S = 0.01
"""Time between two checks of a condition, in seconds."""

_INCARNATIONS = count(1)


class SmallHost:
    """Host with membership, documents and peer connections only.

    Parameters
    ----------
    name : str
        Name of the host.
    zone : str
        Availability zone of the host.
    url : str
        URL of the platform's service.
    seeds : Sequence[SeedPeer]
        Peers to contact when the list of hosts is not available.
    """

    def __init__(
        self, name: str, zone: str, url: str, seeds: Sequence[SeedPeer] = ()
    ) -> None:
        incarnation = next(_INCARNATIONS)
        clock = MonotonicClock()
        server = PeerServer(name, incarnation, SECRET)
        self._listener = Listener(Endpoint('127.0.0.1', 0), PEER_CODEC, server)
        self._listener.start()
        endpoint = Endpoint('127.0.0.1', self._listener.port)
        self.entry = HostEntry(name, 'r', zone, endpoint, endpoint)
        """Entry of the host in the catalogue."""

        membership = Membership(
            self.entry,
            incarnation,
            [s.name for s in seeds],
            random.Random(name),
        )
        self.membership = MembershipRunner(membership, clock, seeds)
        """Membership of the host."""

        holder = ConfigurationStore()
        self.documents = ConfigurationRunner(
            holder,
            DocumentDissemination(name, zone, holder),
            EtcdPlatform(EtcdGateway(url)),
            clock,
        )
        """Documents of the host."""

        self._peers = Peers(
            PeerHello(name, zone, incarnation, SECRET),
            server,
            self.membership.find_peer_endpoint,
            lambda member: None,
        )
        self.membership.register_handlers(server, self._peers)
        self.documents.register_handlers(server, self._peers)
        self.membership.subscribe_live(self.documents.on_live_hosts)
        self.membership.subscribe_versions(self.documents.on_versions)
        self.documents.subscribe(self._on_document)

    @property
    def live_names(self) -> frozenset[str]:
        """Names of the hosts that this host considers live."""
        zones = self.membership.live_hosts.zones
        return frozenset(h for zone in zones for h in zone.hosts)

    def start(self) -> None:
        """Start documents and membership."""
        self.documents.start()
        self.membership.start()

    def stop(self) -> None:
        """Stop immediately without an announcement, like a killed process."""
        self.membership.stop()
        self.documents.stop()
        self._listener.stop()
        self._peers.close()

    def _on_document(self, kind: DocumentKind) -> None:
        self.membership.set_versions(self.documents.versions)
        if kind is DocumentKind.HOSTS:
            self.membership.set_host_list(self.documents.catalog.hosts)


def wait_for(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait for a condition; return whether it held within the limit."""
    with gevent.Timeout(timeout_s, False):
        while not condition():
            gevent.sleep(POLL_INTERVAL_S)
        return True
    return False
