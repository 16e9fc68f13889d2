"""Steps for membership and documents of hosts over loopback."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when
from returns.result import Success

from features.fakes.small_host import SmallHost
from features.fakes.small_host import wait_for
from trefoilpulley_core.configuration.change import submit_change
from trefoilpulley_core.configuration.document import encode_hosts
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.keys import CATALOG_HOSTS_KEY
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_platform import EtcdPlatform
from trefoilpulley_node.settings import SeedPeer
from trefoilpulley_standins._ports import PortAllocator
from trefoilpulley_standins.platform.server import PlatformService
from trefoilpulley_standins.platform.settings import PlatformSettings
from trefoilpulley_standins.platform.settings import ZoneView

CONVERGENCE_TIMEOUT_S = 20.0
"""Maximum time until a condition must hold, in seconds."""


class SmallHostSteps:
    """Steps that run hosts without callers in this process."""

    @staticmethod
    @given('small hosts in {zones:d} zones with {count:d} hosts each')
    def start(context: Any, zones: int, count: int) -> None:
        """Start the platform service and the hosts."""
        context.hosts = {}
        _start_service(context)
        for zone in range(zones):
            for number in range(count):
                _make_host(context, f'z{zone}-h{number}')
        hosts = context.hosts.values()
        listed = context.adapter.compare_and_swap(
            CATALOG_HOSTS_KEY, 0, encode_hosts(h.entry for h in hosts)
        )
        assert isinstance(listed, Success)
        for host in hosts:
            host.start()

    @staticmethod
    @step('all small hosts see each other live')
    def check_live(context: Any) -> None:
        """Wait until each host sees exactly the running hosts as live."""
        expected = frozenset(context.hosts)
        assert wait_for(
            lambda: all(
                h.live_names == expected for h in context.hosts.values()
            ),
            CONVERGENCE_TIMEOUT_S,
        ), {name: h.live_names for name, h in context.hosts.items()}

    @staticmethod
    @step('a change of the declarations is applied')
    def submit(context: Any) -> None:
        """Submit empty declarations."""
        applied = submit_change(context.adapter, Declarations(), 'small')
        assert isinstance(applied, Success), applied

    @staticmethod
    @step('all small hosts hold the change')
    def check_change(context: Any) -> None:
        """Wait until every host holds the change."""
        assert wait_for(
            lambda: all(
                h.documents.configuration.change_id == 'small'
                for h in context.hosts.values()
            ),
            CONVERGENCE_TIMEOUT_S,
        )

    @staticmethod
    @when('the small host "{name}" is killed')
    def kill(context: Any, name: str) -> None:
        """Stop a host without an announcement."""
        context.hosts.pop(name).stop()

    @staticmethod
    @when('the small host "{name}" leaves')
    def leave(context: Any, name: str) -> None:
        """Let a host announce that it leaves."""
        context.hosts[name].membership.leave()

    @staticmethod
    @then('the other small hosts no longer see "{removed}" live')
    def check_removed(context: Any, removed: str) -> None:
        """Wait until no other host sees the host as live."""
        assert wait_for(
            lambda: all(
                removed not in host.live_names
                for name, host in context.hosts.items()
                if name != removed
            ),
            CONVERGENCE_TIMEOUT_S,
        )

    @staticmethod
    @when('the platform service of the small hosts goes down')
    def take_down(context: Any) -> None:
        """Begin an outage of the platform service."""
        context.service.order({'is_down': True})

    @staticmethod
    @when('the small host "{name}" starts with the seed "{seed}"')
    def start_with_seed(context: Any, name: str, seed: str) -> None:
        """Start a host that is configured with one seed peer."""
        entry = context.hosts[seed].entry
        seeds = (SeedPeer(seed, entry.peer_endpoint),)
        _make_host(context, name, seeds).start()


def _start_service(context: Any) -> None:
    ports = PortAllocator()
    control, listen = ports.next(), ports.next()
    ports.release()
    cfg = PlatformSettings(zones=(ZoneView('', listen),))
    context.service = PlatformService(control, cfg)
    context.service.start()
    context.cleanups.append(context.service.stop)
    context.url = f'http://{listen.address}:{listen.port}'
    context.adapter = EtcdPlatform(EtcdGateway(context.url))


def _make_host(
    context: Any, name: str, seeds: tuple[SeedPeer, ...] = ()
) -> SmallHost:
    zone = name.split('-')[0]
    host = SmallHost(name, zone, context.url, seeds)
    context.hosts[name] = host
    context.cleanups.append(host.stop)
    return host
