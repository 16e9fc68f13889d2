"""Steps on the holders of connections by capacity and by customer."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
import json
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from features.fakes.host_settings import SETTINGS
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.direct.connection_holders import choose_holders
from trefoilpulley_core.direct.connection_holders import rank_customer_holders
from trefoilpulley_core.direct.connection_holders import rank_holders
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.routes import GroupLimits
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.routes import RouteTable
from trefoilpulley_core.keys import HOST_PREFIX
from trefoilpulley_core.membership.live_hosts import LiveHosts
from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import HostState
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_core.rendezvous import pick_host
from trefoilpulley_core.rendezvous import rank_hosts
from trefoilpulley_node.direct.directory import GroupDirectory
from trefoilpulley_node.direct.host_registration import read_host
from trefoilpulley_node.direct.host_registration import write_host
from trefoilpulley_node.direct.host_view import HostView
from trefoilpulley_platform.platform_settings import parse_settings
from trefoilpulley_wire.peer_codec import PEER_CODEC

ZONES = 'abc'
SMALL_CAPACITY = 0.516
KEYS = tuple(f'key-{i}' for i in range(4000))
GROUPS = tuple(f'group-{i}' for i in range(200))
CUSTOMERS = tuple(f'customer-{i}' for i in range(85))
MAX_CONNECTIONS = 82
ENDPOINT = Endpoint('127.0.0.1', 1)
OLD_FIELDS = {
    'region': 'r',
    'zone': 'a',
    'address': '127.0.0.1',
    'port': 1,
    'caller_port': 2,
}
"""Fields of a host's entry before capacities were published."""


class CapacitySteps:
    """Steps on the ranks of hosts that differ in capacity."""

    @staticmethod
    @given('{count:d} hosts of which none is larger')
    def make_even(context: Any, count: int) -> None:
        """Create hosts of equal capacity."""
        CapacitySteps.make(context, count, 0, 1.0)

    @staticmethod
    @given(
        '{count:d} hosts of which {large:d} have {factor:f} times the capacity'
    )
    def make(context: Any, count: int, large: int, factor: float) -> None:
        """Create hosts; the first ones are larger."""
        context.hosts = [f'host-{i}' for i in range(count)]
        context.large = context.hosts[:large]
        context.weights = {
            h: SMALL_CAPACITY * (factor if h in context.large else 1)
            for h in context.hosts
        }
        context.live = {
            z: tuple(context.hosts[n :: len(ZONES)])
            for n, z in enumerate(ZONES)
        }

    @staticmethod
    @then(
        '{count:d} keys rank the hosts in the same order with and without '
        'weights'
    )
    def check_equal(context: Any, count: int) -> None:
        """Compare the orders of all hosts."""
        for key in KEYS[:count]:
            plain = rank_hosts(key, context.hosts)
            assert rank_hosts(key, context.hosts, context.weights) == plain
            assert pick_host(key, context.hosts, context.weights) == plain[0]

    @staticmethod
    @then(
        'each larger host owns {low:f} to {high:f} times the keys of a '
        'smaller one'
    )
    def check_share(context: Any, low: float, high: float) -> None:
        """Compare each larger host with the mean of the smaller ones."""
        owned = Counter(
            pick_host(k, context.hosts, context.weights) for k in KEYS
        )
        small = [n for h, n in owned.items() if h not in context.large]
        mean = sum(small) / (len(context.hosts) - len(context.large))
        ratios = [owned[h] / mean for h in context.large]
        assert low <= min(ratios) and max(ratios) <= high, ratios

    @staticmethod
    @then('without the largest owner no other host loses a key')
    def check_loss(context: Any) -> None:
        """Compare the owners of all keys before and after the loss."""
        before = {
            k: rank_hosts(k, context.hosts, context.weights) for k in KEYS
        }
        lost = Counter(r[0] for r in before.values()).most_common(1)[0][0]
        others = [h for h in context.hosts if h != lost]
        for key, ranks in before.items():
            found = pick_host(key, others, context.weights)
            assert found == next(h for h in ranks if h != lost), key

    @staticmethod
    @then('a larger host holds connections of at least twice as many groups')
    def check_holds(context: Any) -> None:
        """Compare the mean numbers of groups."""
        held = Counter(
            h
            for g in GROUPS
            for z in ZONES
            for h in _choose(context, g, z).hosts
        )
        small = [held[h] for h in context.hosts if h not in context.large]
        large = [held[h] for h in context.large]
        mean = sum(small) / len(small)
        assert sum(large) / len(large) >= 2 * mean, held


class CustomerHolderSteps:
    """Steps on the holders that a customer's work uses."""

    @staticmethod
    @then('{count:d} customers have the same first holder at every host')
    def check_same(context: Any, count: int) -> None:
        """Check that the rank depends on group and customer alone."""
        context.first = {
            c: rank_customer_holders('g', c, _choose(context, 'g', 'a'))[0]
            for c in CUSTOMERS[:count]
        }
        assert len(set(context.first.values())) > 1
        context.live = {z: h[::-1] for z, h in context.live.items()}
        for customer, first in context.first.items():
            holders = _choose(context, 'g', 'a')
            assert rank_customer_holders('g', customer, holders)[0] == first

    @staticmethod
    @then('every holder is the first of some customer')
    def check_spread(context: Any) -> None:
        """Check that no holder is left out."""
        holders = _choose(context, 'g', 'a').hosts
        assert set(context.first.values()) == set(holders)

    @staticmethod
    @when('the first holder of a customer is lost')
    def lose(context: Any) -> None:
        """Remove the first holder of the customer from the live hosts."""
        holders = _choose(context, 'g', 'a')
        context.ranked = rank_customer_holders('g', 'c', holders)
        left = (h for h in context.live['a'] if h != context.ranked[0])
        context.live = {**context.live, 'a': tuple(left)}

    @staticmethod
    @then('the second holder in rank is the first one of that customer')
    def check_next(context: Any) -> None:
        """Check the rank; a new holder may come before the second."""
        holders = _choose(context, 'g', 'a')
        known = [h for h in holders.hosts if h in context.ranked]
        assert set(known) == set(context.ranked[1:]), holders
        found = rank_customer_holders('g', 'c', holders)
        assert tuple(h for h in found if h in known) == context.ranked[1:]

    @staticmethod
    @then('work without a customer ranks the holders by member and host')
    def check_plain(context: Any) -> None:
        """Check that capacities don't change the order at a host."""
        holders = _choose(context, 'g', 'a')
        for host in context.hosts:
            expected = rank_hosts(f'm/{host}', holders.hosts)
            assert rank_holders('m', host, holders) == expected


class PublishedCapacitySteps:
    """Steps on the capacity in a host's entry and settings."""

    @staticmethod
    @given('the entry of a host with the capacity field {field}')
    def make_entry(context: Any, field: str) -> None:
        """Create the value of the host's key."""
        fields: dict[str, Any] = dict(OLD_FIELDS)
        if field != 'absent':
            fields['capacity'] = float(field)
        value = json.dumps(fields).encode()
        context.read = read_host(KeyValue(f'{HOST_PREFIX}h', value, 1, 1))

    @staticmethod
    @then('the capacity of the host is {capacity:g}')
    def check_capacity(context: Any, capacity: float) -> None:
        """Check the decoded entry."""
        assert context.read.unwrap().capacity == capacity, context.read

    @staticmethod
    @then("the entry can't be read")
    def check_unreadable(context: Any) -> None:
        """Check that the entry is refused."""
        assert not isinstance(context.read, Success), context.read

    @staticmethod
    @given('a host of capacity {capacity:g}')
    def make_host(context: Any, capacity: float) -> None:
        """Create the entry of a host."""
        context.entry = HostEntry(
            'h',
            'r',
            'a',
            Endpoint('127.0.0.1', 2),
            Endpoint('127.0.0.1', 1),
            capacity=capacity,
        )

    @staticmethod
    @then('its entry has that capacity beside the fields of older hosts')
    def check_written(context: Any) -> None:
        """Check the value, and that it is read back."""
        value = write_host(context.entry)
        fields = json.loads(value)
        assert fields.pop('capacity') == context.entry.capacity
        assert fields == OLD_FIELDS, fields
        read = read_host(KeyValue(f'{HOST_PREFIX}h', value, 1, 1))
        assert read.unwrap() == context.entry

    @staticmethod
    @then('a host that reads its record from another host knows the capacity')
    def check_record(context: Any) -> None:
        """Encode and decode the record that hosts exchange."""
        assert _exchange(context.entry) == context.entry

    @staticmethod
    @then('a record of an older host counts as capacity 1')
    def check_old_record(context: Any) -> None:
        """Check that a default capacity is not sent, as by older hosts."""
        old = replace(context.entry, capacity=1.0)
        assert b'capacity' not in _encode(old)
        assert _exchange(old).capacity == 1.0

    @staticmethod
    @given('settings with the limits "{limits}"')
    def make_settings(context: Any, limits: str) -> None:
        """Parse settings with these lines."""
        context.settings = parse_settings(
            '\n'.join((*SETTINGS, *limits.split()))
        )

    @staticmethod
    @given('settings with the limits ""')
    def make_plain_settings(context: Any) -> None:
        """Parse settings without limits."""
        PublishedCapacitySteps.make_settings(context, '')

    @staticmethod
    @then('the settings give a capacity of {capacity:g}')
    def check_settings(context: Any, capacity: float) -> None:
        """Check the capacity."""
        found = context.settings.unwrap().proxy.capacity
        assert abs(found - capacity) < 1e-9, found

    @staticmethod
    @then('the settings are refused')
    def check_refused(context: Any) -> None:
        """Check that the settings are a fault."""
        assert not isinstance(context.settings, Success), context.settings


class PartitionSteps:
    """Steps on a host that sees a part of the deployment."""

    @staticmethod
    @given('a host of {registered:d} that sees {live:d} live ones')
    def make(context: Any, registered: int, live: int) -> None:
        """Create the view of a host from which a part is hidden."""
        entries = {
            f'host-{n}': HostEntry(
                f'host-{n}', 'r', ZONES[n % 2], ENDPOINT, ENDPOINT
            )
            for n in range(registered)
        }
        names = list(entries)[:live]
        zones = tuple(
            ZoneHosts(z, 'r', tuple(names[n::2]))
            for n, z in enumerate(ZONES[:2])
        )
        context.view = HostView(
            entries['host-0'],
            lambda: tuple(entries.values()),
            entries.get,
            lambda: LiveHosts('r', 1, zones),
            SimpleNamespace(is_draining=False),
        )

    @staticmethod
    @then('it counts the capacities of {count:d} hosts')
    def check(context: Any, count: int) -> None:
        """Check that hidden hosts count."""
        assert len(context.view.capacities) == count

    @staticmethod
    @then('few hosts hold the connections of a member')
    def check_holders(context: Any) -> None:
        """Apply the view to the groups of the host."""
        table = RouteTable(
            1,
            {'db': Route('db', 'ledger', ReadFreshness.PRIMARY, 1, 1, 1, 1)},
            {'ledger': GroupLimits(46)},
        )
        directory = GroupDirectory('host-0', ZONES[0], None, None, FakeClock())
        directory.set_routes(table)
        directory.set_member(
            MemberRecord('p', 'ledger', ENDPOINT, ZONES[0], True, False)
        )
        view = context.view
        directory.set_hosts(view.live_zones, view.capacities)
        assert directory.groups['ledger'].state.has_holders


def _encode(entry: HostEntry) -> bytes:
    record = HostRecord(entry, 1, HostState.ALIVE)
    return PEER_CODEC.encode(0, News((record,), ()))


def _exchange(entry: HostEntry) -> HostEntry:
    frame = PEER_CODEC.decode(_encode(entry)).unwrap()
    return frame.message.hosts[0].entry


def _choose(context: Any, group: str, zone: str) -> Any:
    return choose_holders(
        group,
        zone,
        context.live,
        MAX_CONNECTIONS,
        capacities=context.weights,
    )
