"""Hosts of some zones that follow an emulated service in virtual time."""

from __future__ import annotations

from collections import Counter
import contextlib
from dataclasses import dataclass
from dataclasses import field
import json
import random
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

import gevent
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from features.fakes.config_fleet import KEY
from features.fakes.config_fleet import make_document
from features.fakes.virtual_time import VirtualEvent
from features.fakes.virtual_time import VirtualTime
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.direct.config_inquiry import ConfigInquiry
from trefoilpulley_core.direct.relay_choice import RelayChoice
from trefoilpulley_core.direct.watch_pace import DEFAULT_BOUND_S
from trefoilpulley_core.direct.watch_relay_messages import ChangesQuestion
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.membership.messages import Versions
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_core.rendezvous import rank_hosts
from trefoilpulley_emulator.kv_server import KvServer
from trefoilpulley_node.direct.config_exchange import ConfigExchange
from trefoilpulley_node.direct.config_holder import ConfigHolder
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.directory import GroupDirectory
from trefoilpulley_node.direct.host_registration import HostRegistration
from trefoilpulley_node.direct.platform_follower import PlatformFollower
from trefoilpulley_node.direct.relayed_platform import RelayedPlatform
from trefoilpulley_platform.documents import KvDocuments
from trefoilpulley_platform.json_client import Answer
from trefoilpulley_platform.kv_store import KvStore
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from trefoilpulley_core.direct.group_state import MemberRecord

MODULES = (
    'trefoilpulley_emulator.kv_server',
    'trefoilpulley_node.direct.change_relay',
    'trefoilpulley_node.direct.host_registration',
    'trefoilpulley_node.direct.platform_follower',
    'trefoilpulley_node.direct.relayed_platform',
)
"""Modules whose events wait in virtual time."""

LATENCY_S = 0.002
"""Time of each message in one direction, in seconds."""

DETECTION_S = 1.0
"""Time until the membership no longer lists a dead host, in seconds."""

PROBE_INTERVAL_S = 0.4
"""Time between two probes of a host's successor, in seconds."""


class _Service(KvServer):
    """Service whose watches wait in virtual time."""

    def __init__(self, time: VirtualTime) -> None:
        super().__init__()
        self._time = time

    def wake(self) -> None:
        """Answer the open watches."""
        self._wake_watches()

    def _on_watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, Any]:
        ends_at = self._time.clock.now() + wait_s
        while True:
            left_s = ends_at - self._time.clock.now()
            changes = [r for r, *_ in self._history if r > after]
            is_current = self._first_kept_revision <= after + 1
            is_silent = is_current and after <= self._revision and not changes
            if self.is_down:
                return 503, None
            if not is_silent:
                return super()._on_watch(prefix, after, wait_s)
            if left_s <= 0:
                return 200, {'events': [], 'store_revision': self._revision}
            self._changed.wait(left_s)


@dataclass
class _Link:
    """Way of a host to the service; takes the place of `JsonClient`."""

    fleet: WatchFleet
    host: str
    is_refused: bool = False
    is_silent: bool = False
    watched: list[tuple[float, int]] = field(default_factory=list)
    """Time and revision of each watch."""

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Any = None,
        timeout_s: float = 1.0,
    ) -> Result[Answer, Failure]:
        """Make a call."""
        fleet, service = self.fleet, self.fleet.service
        ends_at = fleet.now + timeout_s
        fleet.calls.append((fleet.now, self.host, path.split('?')[0]))
        gevent.sleep(LATENCY_S)
        parts = urlsplit(path)
        if parts.path == '/v1/kv-watch':
            revision = int(dict(parse_qsl(parts.query))['after'])
            self.watched.append((fleet.now, revision))
        status, answer = 503, None
        if not (self.is_silent or self.is_refused or service.is_down):
            status, answer = service._dispatch(
                method, parts.path, dict(parse_qsl(parts.query)), body
            )
        gevent.sleep(LATENCY_S)
        if self.is_silent:
            gevent.sleep(ends_at - fleet.now)
            return Failed(PlatformAnswerLost('timeout'))
        if self.is_refused or service.is_down:
            status, answer = 503, None
        return Success(Answer(status, answer, {'store-era': str(service.era)}))


class _Directory(GroupDirectory):
    """Directory that only records the members."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.members: dict[str, MemberRecord] = {}

    def set_member(self, record: MemberRecord) -> None:
        """Add or update a member."""
        self.members[record.member] = record

    def remove_member(self, member: str) -> None:
        """Remove a member."""
        self.members.pop(member, None)


class WatchHost:
    """Host with its registration, and what follows the service."""

    def __init__(self, name: str, zone: str, fleet: WatchFleet) -> None:
        self.name = name
        self.zone = zone
        self.fleet = fleet
        self.link = _Link(fleet, name)
        self.died = VirtualEvent(fleet.time)
        self.is_frozen = False
        self.is_question_lost = False
        self.is_answer_lost = False
        self.answer_delay_s = 0.0
        self.open_questions = 0
        self.unseen: set[str] = set()
        """Hosts that this host does not take for live."""

        self.versions = Versions()
        self.version_times: dict[int, float] = {}
        clock, metrics = fleet.time.clock, DirectMetrics()
        endpoint = Endpoint('127.0.0.1', 1)
        with mock.patch(
            'trefoilpulley_platform.kv_calls.JsonClient', lambda _: self.link
        ):
            self.store = KvStore(
                endpoint, metrics, fleet.bound_s, fleet.time.clock
            )
        self.directory = _Directory(name, zone, None, None, clock)
        self.holder = ConfigHolder(KvDocuments(), self.directory)
        self.relayed = RelayedPlatform(
            self.store,
            RelayChoice(name, zone, random.Random(f'{fleet.seed} {name}')),
            KvDocuments(),
            self,
            clock,
            metrics,
        )
        self.follower = PlatformFollower(
            self.relayed if fleet.is_relayed else self.store,
            KvDocuments(),
            self.holder,
            self.directory,
            lambda hosts: self.update_hosts(),
            lambda group, claim, entry: None,
            lambda group, roster, entry: None,
            lambda era: self.registration.begin_era(era),
            clock,
        )
        self.registration = HostRegistration(
            HostEntry(name, 'r', zone, endpoint, endpoint),
            self.store,
            clock,
            random.Random(name),
        )
        self.exchange = ConfigExchange(
            ConfigInquiry(name, zone, random.Random(name), clock.now()),
            self.holder,
            self,
            lambda: self.follower.is_following,
            lambda: fleet.live,
            lambda versions: setattr(self, 'versions', versions),
            clock,
            metrics,
        )
        self.holder.subscribe(self.exchange.on_applied)
        self.holder.subscribe(
            lambda table: self.version_times.update(
                {table.version: clock.now()}
            )
        )

    @property
    def is_dead(self) -> bool:
        """Whether the host has been killed."""
        return self.died.is_set()

    def start(self) -> None:
        """Start the host."""
        self.update_hosts()
        self.follower.start()
        self.exchange.start()
        self.registration.start()
        gevent.spawn(self._maintain)

    def kill(self) -> None:
        """End the process of the host."""
        self.died.set()
        self.follower.stop()
        self.exchange.stop()
        gevent.spawn(self.registration.stop)

    def update_hosts(self) -> None:
        """Tell of the registered and live hosts."""
        live = self.fleet.live.get(self.zone, ())
        self.relayed.set_hosts(
            len({h.name for h in self.follower.hosts} | {self.name}),
            [h for h in live if h not in self.unseen],
            {},
        )

    def open_channel(self, host: str, timeout_s: float) -> Result[None, Any]:
        """Open the channel to another host."""
        return Success(None)

    def call_host(
        self, host: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request and wait for the reply."""
        return self.call_host_raw(host, message, timeout_s)

    def call_host_raw(
        self,
        host: str,
        message: Any,
        timeout_s: float,
        abort: VirtualEvent | None = None,
    ) -> Result[Any, Failure]:
        """Send a request and wait for the reply."""
        fleet, target = self.fleet, self.fleet.hosts[host]
        assert target.zone == self.zone or not isinstance(
            message, ChangesQuestion
        ), message
        fleet.questions[type(message).__name__] += 1
        done, replies = VirtualEvent(fleet.time), []

        def serve() -> None:
            gevent.sleep(LATENCY_S)
            if target.is_frozen or target.is_question_lost:
                return
            reply = target.answer(_pass_codec(message))
            gevent.sleep(LATENCY_S + target.answer_delay_s)
            if not (target.is_frozen or target.is_answer_lost):
                replies.append(_pass_codec(reply))
                done.set()

        gevent.spawn(serve)
        waited = (done, target.died, *([abort] if abort else ()))
        fleet.time.wait_any(waited, timeout_s)
        if replies and not target.is_dead:
            return Success(replies[0])
        return Failed(PeerUnreachable())

    def answer(self, message: Any) -> Any:
        """Answer the question of another host."""
        if isinstance(message, ChangesQuestion):
            self.open_questions += 1
            try:
                return self.relayed.relay.on_question(message)
            finally:
                self.open_questions -= 1
        return self.holder.on_question(message)

    def _maintain(self) -> None:
        while not self.is_dead:
            gevent.sleep(PROBE_INTERVAL_S)
            self.follower.remove_expired()
            names = self.fleet.live[self.zone]
            if self.name not in names:
                continue
            name = names[(names.index(self.name) + 1) % len(names)]
            other = self.fleet.hosts[name]
            if not (other.is_frozen or self.is_frozen or other.is_dead):
                other.exchange.on_versions(self.name, self.versions)
                self.exchange.on_versions(name, other.versions)


class WatchFleet:
    """Hosts, the service and the faults between them.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    zones : int
        Number of availability zones.
    seed : int
        Seed of the decisions of the hosts.
    is_relayed : bool
        Whether the hosts are built with the watch relay.
    bound_s : float
        Time within which a configuration must be in force, in seconds.
    """

    def __init__(
        self,
        hosts: int,
        zones: int = 3,
        seed: int = 1,
        is_relayed: bool = True,
        bound_s: float = DEFAULT_BOUND_S,
    ) -> None:
        self.time = VirtualTime()
        self.seed = seed
        self.is_relayed = is_relayed
        self.bound_s = bound_s
        self.calls: list[tuple[float, str, str]] = []
        """Time, host and path of each call to the service."""

        self.questions: Counter[str] = Counter()
        """Questions between hosts by type."""

        self.hosts: dict[str, WatchHost] = {}
        self.live: dict[str, tuple[str, ...]] = {}
        self._patches = contextlib.ExitStack()
        for patch in self.time.patch_events(MODULES):
            self._patches.enter_context(patch)
        self.service = _Service(self.time)
        self.service.put('op/config', make_document(1))
        for number in range(hosts):
            name, zone = f'host-{number}', f'z{number % zones}'
            self.live[zone] = (*self.live.get(zone, ()), name)
            self.hosts[name] = WatchHost(name, zone, self)
        self._sequence = 0

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.time.clock.now()

    def run(self, duration_s: float) -> None:
        """Let virtual time pass, in seconds."""
        self.time.run_for(duration_s)

    def start(self) -> None:
        """Start all hosts within 0.3 s."""
        rng = random.Random(self.seed)
        for host in self.hosts.values():
            self.time.do(host.start)
            self.run(rng.uniform(0, 0.6 / len(self.hosts)))

    def stop(self) -> None:
        """End all hosts and the replacement of events."""
        for host in self.hosts.values():
            self.time.do(host.kill)
        self._patches.close()

    def relays(self, zone: str, count: int = 2) -> list[WatchHost]:
        """Return the first hosts in rank of a zone."""
        names = rank_hosts(f'watch/{zone}', self.live[zone])
        return [self.hosts[n] for n in names[:count]]

    def kill(self, host: WatchHost) -> None:
        """End a host, and tell the others when they have noticed."""
        self.time.do(host.kill)
        self.time.do(lambda: self._bury(host))

    def update_live(self) -> None:
        """Tell all hosts of a change of the live hosts."""
        for host in self.hosts.values():
            if not host.is_dead:
                self.time.do(host.update_hosts)

    def change_members(self) -> None:
        """Write a member, replace one and remove another one."""
        self._sequence += 1
        for back in (0, 2):
            member = f'm{self._sequence - back}'
            entry = {
                'service': 'ledger',
                'address': '127.0.0.1:1',
                'zone': 'z0',
                'db_role': 'replica',
                'state': 'ready',
                'sequence': self._sequence,
                'born': 1,
            }
            self.service.put(f'servers/{member}', entry)
        self.service.remove(f'servers/m{self._sequence - 4}')

    def configure(self, version: int) -> None:
        """Write a configuration."""
        self.service.put('op/config', make_document(version))

    def listed_members(self) -> dict[str, int]:
        """Return the sequence of each member that the service lists."""
        prefix = 'servers/'
        return {
            key.removeprefix(prefix): json.loads(item.value)['sequence']
            for key, item in self.service._items.items()
            if key.startswith(prefix)
        }

    @property
    def revision(self) -> int:
        """Revision of the service."""
        return self.service._revision

    def live_hosts(self) -> list[WatchHost]:
        """Return the hosts that have not been killed."""
        return [h for h in self.hosts.values() if not h.is_dead]

    def _bury(self, host: WatchHost) -> None:
        gevent.sleep(DETECTION_S)
        names = self.live[host.zone]
        self.live[host.zone] = tuple(n for n in names if n != host.name)
        for other in self.live_hosts():
            other.update_hosts()


def _pass_codec(message: Any) -> Any:
    data = PEER_CODEC.encode(1, message)
    assert KEY.encode() not in data, data
    return PEER_CODEC.decode(data).unwrap().message
