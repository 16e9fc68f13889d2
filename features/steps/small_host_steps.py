"""Steps on membership and documents over loopback."""

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

LIMIT_S = 20.0
"""Bound on the wait for what must come, in seconds."""


class SmallHostSteps:
    """Steps that run small hosts in this process."""

    @staticmethod
    @given('small hosts in {zones:d} zones with {count:d} hosts each')
    def start(context: Any, zones: int, count: int) -> None:
        """Start the service and the hosts."""
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
        """Wait until all views are the same and right."""
        expected = frozenset(context.hosts)
        assert wait_for(
            lambda: all(h.live == expected for h in context.hosts.values()),
            LIMIT_S,
        ), {name: h.live for name, h in context.hosts.items()}

    @staticmethod
    @step('a small change is applied')
    def apply(context: Any) -> None:
        """Change the declarations."""
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
            LIMIT_S,
        )

    @staticmethod
    @when('the small host "{name}" is killed')
    def kill(context: Any, name: str) -> None:
        """Stop a host without a word."""
        context.hosts.pop(name).stop()

    @staticmethod
    @when('the small host "{name}" leaves')
    def leave(context: Any, name: str) -> None:
        """Let a host say that it leaves."""
        context.hosts[name].membership.leave()

    @staticmethod
    @then('the other small hosts see "{gone}" no more')
    def check_gone(context: Any, gone: str) -> None:
        """Wait until nobody sees the host live."""
        assert wait_for(
            lambda: all(
                gone not in host.live
                for name, host in context.hosts.items()
                if name != gone
            ),
            LIMIT_S,
        )

    @staticmethod
    @when('the service of the small hosts goes out')
    def take_down(context: Any) -> None:
        """Begin an outage."""
        context.service.order({'is_down': True})

    @staticmethod
    @when('the small host "{name}" starts with the seed "{seed}"')
    def start_late(context: Any, name: str, seed: str) -> None:
        """Start a host that knows one peer."""
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
