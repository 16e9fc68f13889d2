"""Hosts that exchange configurations in virtual time."""

from __future__ import annotations

import json
import random
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from trefoilpulley_core.direct.config_inquiry import ConfigInquiry
from trefoilpulley_core.direct.config_messages import ConfigurationAnswer
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.membership.messages import Versions
from trefoilpulley_emulator.deployment import configuration
from trefoilpulley_node.direct.config_exchange import CHECK_INTERVAL_S
from trefoilpulley_node.direct.config_exchange import ConfigExchange
from trefoilpulley_node.direct.config_holder import ConfigHolder
from trefoilpulley_node.direct.config_holder import SERVICE
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import GroupDirectory
from trefoilpulley_platform.documents import KvDocuments
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock

KEY = 'key-removed'
"""Key that the versions up to `LAST_WITH_KEY` hold."""

LAST_WITH_KEY = 4
"""Last version that holds the key."""

PROBE_CHECKS = 2
"""Checks of a host between two probes of its successor in the zone."""


def make_document(version: int, has_customers: bool = True) -> bytes:
    """Return a configuration document."""
    document: dict[str, Any] = configuration(
        version, {'orders': 'session'}, 4, 0
    )
    keys = ['key-kept', *([KEY] if version <= LAST_WITH_KEY else ())]
    if has_customers:
        document['tenants'] = [{'name': 'weavers', 'api_keys': keys}]
    return json.dumps(document).encode()


class FleetHost:
    """Host with a configuration and the exchange of it."""

    def __init__(
        self, name: str, zone: str, fleet: ConfigFleet, clock: Clock
    ) -> None:
        self.name = name
        self.zone = zone
        self.lost_at: float | None = None
        """Time at which the host notices that it has lost the service."""

        self.is_told = True
        """Whether the service tells the host of new versions."""

        self.versions = Versions()
        """Versions that the host announces."""

        self.directory = GroupDirectory(name, zone, None, None, clock)
        self.holder = ConfigHolder(KvDocuments(), self.directory)
        self.exchange = ConfigExchange(
            ConfigInquiry(name, zone, random.Random(name), clock.now()),
            self.holder,
            fleet,
            lambda: self.lost_at is None or clock.now() < self.lost_at,
            lambda: fleet.zones,
            self._announce,
            clock,
            DirectMetrics(),
        )
        self.holder.subscribe(self.exchange.on_applied)

    def _announce(self, versions: Versions) -> None:
        self.versions = versions

    @property
    def is_key_served(self) -> bool:
        """Whether a caller with the key would be served."""
        return self.directory.table.customers.find_by_key(KEY) is not None


class ConfigFleet:
    """Hosts of some zones; takes the place of their peer connections.

    Parameters
    ----------
    zones : int
        Number of availability zones.
    hosts : int
        Number of hosts of each zone.
    """

    def __init__(self, zones: int, hosts: int) -> None:
        self.clock = FakeClock()
        self.hosts: dict[str, FleetHost] = {}
        self.zones: dict[str, tuple[str, ...]] = {}
        self.questions = 0
        """Questions that hosts have sent."""

        self.scripted_answer: Any = None
        """Answer that all hosts give; their own one if ``None``."""

        self._known: dict[str, int] = {}
        for number in range(zones * hosts):
            self.add_host(f'z{number % zones}')

    def add_host(self, zone: str) -> FleetHost:
        """Add a host without a configuration and return it."""
        name = f'host-{len(self.hosts)}'
        host = self.hosts[name] = FleetHost(name, zone, self, self.clock)
        self.zones[zone] = (*self.zones.get(zone, ()), name)
        return host

    def tell(self, value: bytes) -> None:
        """Let the service tell a configuration to the hosts that hear it."""
        for host in self.hosts.values():
            if host.is_told:
                assert isinstance(host.holder.apply(value, SERVICE), Success)

    def run(self, duration_s: float) -> None:
        """Let time pass; versions must never go back."""
        for tick in range(round(duration_s / CHECK_INTERVAL_S)):
            self.clock.at += CHECK_INTERVAL_S
            hosts = self.hosts.values()
            if tick % PROBE_CHECKS == 0:
                for host in hosts:
                    self._probe(host)
            # What a host learns in a tick is known to others in the next.
            self._known = {h.name: h.holder.version for h in hosts}
            for host in hosts:
                host.exchange.check()
                assert host.holder.version >= self._known[host.name]

    def call_host(
        self, name: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Ask a host over the codec of the peer connections."""
        self.questions += 1
        host = self.hosts.get(name)
        if host is None:
            return Failed(PeerUnreachable())
        question = _pass_codec(message)
        answer = self.scripted_answer or host.holder.on_question(question)
        if self._known[name] < host.holder.version:
            answer = ConfigurationAnswer()
        return Success(_pass_codec(answer))

    def _probe(self, host: FleetHost) -> None:
        """Probe the next host of the zone; both learn of the other."""
        names = self.zones[host.zone]
        name = names[(names.index(host.name) + 1) % len(names)]
        successor = self.hosts[name]
        successor.exchange.on_versions(host.name, host.versions)
        host.exchange.on_versions(name, successor.versions)


def _pass_codec(message: Any) -> Any:
    data = PEER_CODEC.encode(1, message)
    assert KEY.encode() not in data, data
    return PEER_CODEC.decode(data).unwrap().message
