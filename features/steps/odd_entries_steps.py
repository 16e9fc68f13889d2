"""Steps on entries that other writers leave in the service."""

from __future__ import annotations

import json
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
import eliot
from hypothesis import strategies
from returns.result import Success

from features.fakes.asking import wait_until
from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_platform import FakePlatform
from features.fakes.generated import find_violation
from features.fakes.recorded_directory import RecordedDirectory
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.keys import CLAIM_PREFIX
from trefoilpulley_core.keys import HOST_PREFIX
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_node.direct.claim_store import read_claim
from trefoilpulley_node.direct.config_holder import ConfigHolder
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.host_registration import read_host
from trefoilpulley_node.direct.host_registration import write_host
from trefoilpulley_node.direct.platform_follower import PlatformFollower
from trefoilpulley_node.direct.platform_follower import REMOVAL_GRACE_S
from trefoilpulley_node import events
from trefoilpulley_platform.documents import KvDocuments
from trefoilpulley_platform.json_client import Answer
from trefoilpulley_platform.kv_store import KvStore
from trefoilpulley_platform.line_upstream import LineDialer

EXAMPLES = 150
"""Number of generated services."""

NESTED = b'[' * 100_000
"""Value that is nested too deeply for the decoder."""

DIGITS = int('9' * 300)
"""Integer far above any count."""

MEMBER = {
    'service': 'ledger',
    'address': '127.0.0.1:7000',
    'zone': 'a',
    'db_role': 'primary',
    'state': 'ready',
    'sequence': 1,
    'born': 1,
}
"""Entry of a member."""

HOST = {
    'region': 'here',
    'zone': 'a',
    'address': '127.0.0.1',
    'port': 7440,
    'caller_port': 7441,
    'capacity': 1.0,
}
"""Entry of a host."""

CLAIM = {'holder': 'host-1', 'round': 3, 'target': 'm1'}
"""Claim of a change of primary."""

LONG_LABEL = 'x' * 64
"""Label of a host name that can't be encoded."""

MEMBER_ODDITIES: dict[str, dict[str, Any]] = {
    'a port of 70000': {'address': '127.0.0.1:70000'},
    'a port of 0': {'address': '127.0.0.1:0'},
    'a port with digits of another script': {'address': '127.0.0.1:٧٠'},
    'a sequence of 300 digits': {'sequence': DIGITS},
    'a start of 300 digits': {'born': DIGITS},
    'a sequence below 0': {'sequence': -1},
    'an address with a label of 64 letters': {'address': f'{LONG_LABEL}:1'},
    'an address with an empty label': {'address': 'a..b:1'},
    'an address with a line break': {'address': 'a\r\nb:1'},
    'an address without a host': {'address': ':1'},
    'a service with a blank': {'service': 'ledger other'},
    'a service with a line break': {'service': 'ledger\r\nBYE'},
}
"""Changed fields of a member's entry by their names in the scenarios."""

IDS = {'an id with a blank': 'm 1', 'an id with a line break': 'm\r\n1'}
"""Odd ids of members by their names in the scenarios."""

OTHER_ODDITIES: dict[str, dict[str, Any]] = {
    'a port of 70000': {'port': 70000},
    'a port of 1e400': {'port': float('inf')},
    'a capacity of 400 digits': {'capacity': int('9' * 400)},
    'an address with a label of 64 letters': {'address': LONG_LABEL},
    'a round of 1e400': {'round': float('inf')},
    'a round of 300 digits': {'round': DIGITS},
}
"""Changed fields of a host's entry or a claim."""


def _values() -> strategies.SearchStrategy[bytes]:
    """Generate values of entries, most of them close to valid ones."""
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.just(DIGITS)
        | strategies.floats()
        | strategies.text(max_size=20)
        | strategies.sampled_from(
            ['ready', 'primary', 'ledger', '10.0.0.1:70000', 'a..b:1']
        )
    )
    anything = strategies.recursive(
        scalars,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.text(max_size=5), inner, max_size=3
            )
        ),
        max_leaves=6,
    )
    changed = strategies.sampled_from([MEMBER, HOST, CLAIM]).flatmap(
        lambda fields: strategies.dictionaries(
            strategies.sampled_from(sorted(fields)), anything, max_size=3
        ).map(lambda changes: {**fields, **changes})
    )
    documents = (anything | changed).map(lambda d: json.dumps(d).encode())
    return documents | strategies.binary(min_size=1) | strategies.just(NESTED)


def _entries() -> strategies.SearchStrategy[list[tuple[str, bytes]]]:
    prefixes = ['servers/', HOST_PREFIX, CLAIM_PREFIX, 'other/']
    keys = strategies.tuples(
        strategies.sampled_from(prefixes), strategies.text(max_size=10)
    ).map(lambda parts: f'{parts[0]}odd{parts[1]}')
    return strategies.lists(
        strategies.tuples(keys, _values()), min_size=1, max_size=6
    )


class _Host:
    """Host that follows a service with odd entries."""

    def __init__(self) -> None:
        self.service = FakePlatform()
        self.directory = RecordedDirectory()
        self.clock = FakeClock()
        self.claims: dict[str, Any] = {}
        self.follower = PlatformFollower(
            self.service,
            KvDocuments(),
            ConfigHolder(KvDocuments(), self.directory),
            self.directory,
            lambda hosts: None,
            lambda group, claim, entry: self.claims.update({group: claim}),
            lambda group, roster, entry: None,
            lambda era: None,
            self.clock,
        )

    def put(self, number: int, **changes: Any) -> None:
        """Write good entries of a member, a host and a claim."""
        member = {**MEMBER, 'sequence': number, **changes}
        endpoint = Endpoint('127.0.0.1', 7000 + number)
        host = HostEntry('h1', 'here', 'a', endpoint, endpoint)
        claim = {**CLAIM, 'round': number}
        self.service.put('servers/m1', json.dumps(member).encode())
        self.service.put(f'{HOST_PREFIX}h1', write_host(host))
        self.service.put(f'{CLAIM_PREFIX}g1', json.dumps(claim).encode())

    def check(self, number: int) -> None:
        """Check that the good entries are the newest ones."""
        assert self.directory.members['m1'].sequence == number
        ports = {h.name: h.endpoint.port for h in self.follower.hosts}
        assert ports['h1'] == 7000 + number, ports
        assert self.claims['g1'].round == number, self.claims['g1']


def _check_followed(entries: list[tuple[str, bytes]]) -> None:
    """Read and follow good entries beside odd ones."""
    host = _Host()
    host.put(1)
    for key, value in entries:
        host.service.put(key, value)
    host.follower.start()
    try:
        wait_until(lambda: host.follower.is_following)
        host.check(1)
        for key, value in entries:
            host.service.put(key, value)
        host.put(2, state='draining')
        host.check(2)
        assert host.directory.members['m1'].is_leaving
        host.service.put('servers/m1', b'')
        host.clock.at += REMOVAL_GRACE_S
        host.service.answer_watches()
        host.follower.remove_expired()
        assert 'm1' not in host.directory.members
        assert host.follower.is_following
    finally:
        host.follower.stop()


class OddEntrySteps:
    """Steps on odd entries and their readers."""

    @staticmethod
    @given('a service that lists generated entries beside good ones')
    def collect_log(context: Any) -> None:
        """Collect what is logged."""
        context.logged = []
        collect = context.logged.append
        eliot.add_destinations(collect)
        context.cleanups.append(lambda: eliot.remove_destination(collect))

    @staticmethod
    @then('a host reads, follows and removes the good entries every time')
    def check_followed(context: Any) -> None:
        """Follow generated services."""
        failure = find_violation(_check_followed, EXAMPLES, _entries())
        assert failure is None, failure

    @staticmethod
    @then('it has logged no unexpected error')
    def check_log(context: Any) -> None:
        """Check that each reader refuses what it can't read."""
        crashed = [
            m
            for m in context.logged
            if m.get('event') == events.HANDLER_CRASHED.name
        ]
        assert not crashed, crashed[:3]

    @staticmethod
    @given('an entry of a member with {oddity}')
    def decode_member(context: Any, oddity: str) -> None:
        """Decode the entry of a member."""
        value = json.dumps({**MEMBER, **MEMBER_ODDITIES.get(oddity, {})})
        data = NESTED if oddity == '100000 nested lists' else value.encode()
        context.result = KvDocuments().decode_member(
            f'servers/{IDS.get(oddity, "m1")}', data
        )

    @staticmethod
    @given('an entry of a host with {oddity}')
    def decode_host(context: Any, oddity: str) -> None:
        """Decode the entry of a host."""
        context.result = read_host(_make_entry(HOST, oddity))

    @staticmethod
    @given('an entry of a claim with {oddity}')
    def decode_claim(context: Any, oddity: str) -> None:
        """Decode a claim."""
        context.result = read_claim(_make_entry(CLAIM, oddity))

    @staticmethod
    @then('the entry is refused')
    def check_refused(context: Any) -> None:
        """Check that the entry names nobody."""
        assert not isinstance(context.result, Success), context.result


class OddAddressSteps:
    """Steps on connections to an address that can't be encoded."""

    @staticmethod
    @given('a member whose address has a label of 64 letters')
    def make_member(context: Any) -> None:
        """Create a member that was listed before addresses were checked."""
        context.member = MemberRecord(
            'm1', 'ledger', Endpoint(LONG_LABEL, 1), 'a', True, False, 1, 1
        )

    @staticmethod
    @when('a host dials the member')
    def dial(context: Any) -> None:
        """Dial the member."""
        context.result = LineDialer('h1').dial(context.member, 0.1)

    @staticmethod
    @then('the dial fails as unreachable')
    def check_unreachable(context: Any) -> None:
        """Check that a typed failure is returned."""
        failure = context.result.failure()
        assert isinstance(failure, PeerUnreachable), failure


class _OneAnswer:
    """Client whose calls all get the same answer."""

    def __init__(self, body: Any) -> None:
        self._body = body

    def call(self, *call: Any, **options: Any) -> Any:
        """Answer a call."""
        return Success(Answer(200, self._body))


class OddItemSteps:
    """Steps on items that the store client can't read."""

    @staticmethod
    @given('a service whose first item has no value')
    def make_store(context: Any) -> None:
        """Answer reads with an item without a value and a good one."""
        body = {
            'items': [
                {'key': 'a', 'revision': 1},
                {'key': 'b', 'revision': 2, 'value': ''},
            ],
            'store_revision': 2,
        }
        with mock.patch(
            'trefoilpulley_platform.kv_calls.JsonClient',
            lambda endpoint: _OneAnswer(body),
        ):
            context.store = KvStore(Endpoint('127.0.0.1', 1), DirectMetrics())

    @staticmethod
    @then('the store client reads the other items')
    def check_read(context: Any) -> None:
        """Check that one item does not cost the others."""
        read = context.store.get_prefix('').unwrap()
        assert [e.key for e in read.entries] == ['b'], read


class FailingReadSteps:
    """Steps on an unexpected error in a read of the service."""

    @staticmethod
    @when('a read of the service fails with an unexpected error')
    def fail(context: Any) -> None:
        """Let the next read of the service raise an error."""
        service = context.service
        read = service.get_prefix

        def raise_once(prefix: str) -> Any:
            service.get_prefix = read
            raise RuntimeError('unexpected error of the test')

        service.get_prefix = raise_once
        service.restore(service.take_copy())

    @staticmethod
    @then('the host eventually follows the service again')
    def check_begun(context: Any) -> None:
        """Wait until the host follows the service again."""
        wait_until(lambda: not context.follower.is_following)
        wait_until(lambda: context.follower.is_following)


def _make_entry(fields: dict[str, Any], oddity: str) -> KeyValue:
    value = json.dumps({**fields, **OTHER_ODDITIES.get(oddity, {})}).encode()
    if oddity == '100000 nested lists':
        value = NESTED
    return KeyValue(f'{HOST_PREFIX}h1', value, 1)
