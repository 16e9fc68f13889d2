"""Steps on the stand-in for the platform's service."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
import json
from typing import Any

from behave import given
from behave import then
from behave import when
from returns.pipeline import is_successful

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_standins.platform.faults import Order
from trefoilpulley_standins.platform.gateway import Gateway
from trefoilpulley_standins.platform.server import PlatformService
from trefoilpulley_standins.platform.settings import PlatformSettings
from trefoilpulley_standins.platform.store import Condition
from trefoilpulley_standins.platform.store import Delete
from trefoilpulley_standins.platform.store import KeyRange
from trefoilpulley_standins.platform.store import Put
from trefoilpulley_standins.platform.store import Relation
from trefoilpulley_standins.platform.store import Target
from trefoilpulley_standins.platform.views import PlainView
from trefoilpulley_standins.platform.views import RoutedView


class StandinsPlatformSteps:
    """Steps on store, faults and JSON documents."""

    @staticmethod
    @given('a standins service at time 0')
    def make_service(context: Any) -> None:
        """Make a service that listens nowhere."""
        control = Endpoint('127.0.0.1', 0)
        context.service = PlatformService(control, PlatformSettings())
        context.store = context.service.store
        context.results = {}

    @staticmethod
    @when(
        'standins writer {name} puts "{value}" to "{key}" expecting '
        'revision {revision:d}'
    )
    def put(
        context: Any, name: str, value: str, key: str, revision: int
    ) -> None:
        """Compare and swap."""
        operation = Put(key.encode(), value.encode())
        _swap(context, name, key, revision, operation)

    @staticmethod
    @when('standins writer {name} deletes "{key}" expecting its revision')
    def delete(context: Any, name: str, key: str) -> None:
        """Delete with the right revision."""
        revision = context.store.get(KeyRange(key.encode()))[0].mod_revision
        operation = Delete(KeyRange(key.encode()))
        _swap(context, name, key, revision, operation)

    @staticmethod
    @when(
        'standins writer {name} deletes "{key}" expecting a revision that '
        'is one too low'
    )
    def delete_late(context: Any, name: str, key: str) -> None:
        """Delete with an old revision."""
        revision = context.store.get(KeyRange(key.encode()))[0].mod_revision
        operation = Delete(KeyRange(key.encode()))
        _swap(context, name, key, revision - 1, operation)

    @staticmethod
    @then('the standins write of {name} succeeds')
    def check_success(context: Any, name: str) -> None:
        """Expect that the conditions held."""
        assert context.results[name].is_success

    @staticmethod
    @then('the standins write of {name} conflicts')
    def check_conflict(context: Any, name: str) -> None:
        """Expect that the conditions did not hold."""
        assert not context.results[name].is_success

    @staticmethod
    @then('the standins key "{key}" holds "{value}"')
    def check_value(context: Any, key: str, value: str) -> None:
        """Compare the value."""
        found = context.store.get(KeyRange(key.encode()))
        assert [v.value for v in found] == [value.encode()]

    @staticmethod
    @given('a standins lease of {ttl:d} s')
    def grant(context: Any, ttl: int) -> None:
        """Grant a lease at time 0."""
        context.lease = context.store.grant(ttl, 0.0).lease_id

    @staticmethod
    @given('the standins key "{key}" is bound to the lease')
    def bind(context: Any, key: str) -> None:
        """Write a key with the lease."""
        put = Put(key.encode(), b'held', context.lease)
        assert is_successful(context.store.execute((), (put,)))

    @staticmethod
    @when('the standins lease is renewed at {now:g} s')
    def renew(context: Any, now: float) -> None:
        """Renew the lease."""
        assert context.store.renew(context.lease, now)

    @staticmethod
    @then('at {now:g} s the standins key "{key}" holds "{value}"')
    def check_value_at(context: Any, now: float, key: str, value: str) -> None:
        """Compare the value after the lapses up to a time."""
        context.store.expire(now)
        StandinsPlatformSteps.check_value(context, key, value)

    @staticmethod
    @then('at {now:g} s the standins key "{key}" is absent')
    def check_absent_at(context: Any, now: float, key: str) -> None:
        """Expect no key after the lapses up to a time."""
        context.store.expire(now)
        assert context.store.get(KeyRange(key.encode())) == ()

    @staticmethod
    @then('a standins renewal at {now:g} s finds no lease')
    def check_lapsed(context: Any, now: float) -> None:
        """Expect that the renewal fails."""
        assert context.store.renew(context.lease, now) is None

    @staticmethod
    @then('binding the standins key "{key}" to the lease is refused')
    def check_unbound(context: Any, key: str) -> None:
        """Expect a typed failure and no key."""
        put = Put(key.encode(), b'late', context.lease)
        done = context.store.execute((), (put,))
        assert isinstance(done.failure(), LeaseExpired)
        assert context.store.get(KeyRange(key.encode())) == ()

    @staticmethod
    @when('the standins service is ordered to lapse "{key}"')
    def order_lapse(context: Any, key: str) -> None:
        """End the lease of a key."""
        context.service.order({'lapse_key': key})

    @staticmethod
    @when(
        'the standins service is ordered to lose {count:d} answers under '
        '"{prefix}"'
    )
    def order_loss(context: Any, count: int, prefix: str) -> None:
        """Lose the answers to some writes."""
        order = Order(lose_answers=count, lose_prefix=prefix)
        context.service.faults.apply_order(order)

    @staticmethod
    @then('the standins answers to writes of "{keys}" are "{fates}"')
    def check_losses(context: Any, keys: str, fates: str) -> None:
        """Compare which answers are lost."""
        faults = context.service.faults
        lost = [faults.try_lose_answer((k.encode(),)) for k in keys.split()]
        assert ['lost' if x else 'kept' for x in lost] == fates.split()

    @staticmethod
    @given('a standins watch')
    def watch(context: Any) -> None:
        """Watch everything."""
        context.seen = []
        context.store.watch(context.seen.extend)

    @staticmethod
    @then('the standins watch saw "{values}"')
    def check_watch(context: Any, values: str) -> None:
        """Compare the changes; a deletion is a dash."""
        seen = [
            c.value.value.decode() if c.value.version else '-'
            for c in context.seen
        ]
        revisions = [c.value.mod_revision for c in context.seen]
        assert seen == values.split()
        assert revisions == sorted(set(revisions))

    @staticmethod
    @then(
        'the standins JSON of "{key}" has mod_revision "{text}" and no lease'
    )
    def check_json(context: Any, key: str, text: str) -> None:
        """Read the key over the gateway."""
        document = _range(context, PlainView(), key)
        fields = document['kvs'][0]
        assert fields['mod_revision'] == text
        assert 'lease' not in fields

    @staticmethod
    @then('the standins JSON of "{key}" has no keys')
    def check_empty_json(context: Any, key: str) -> None:
        """Expect that defaults are left out."""
        assert set(_range(context, PlainView(), key)) == {'header'}

    @staticmethod
    @when('the standins call "{path}" comes with {body}')
    def call(context: Any, path: str, body: str) -> None:
        """Send a call to the gateway."""
        gateway = Gateway(context.store, PlainView())
        context.called = gateway.call(path, json.loads(body), 0.0)

    @staticmethod
    @then('the standins call is refused as malformed')
    def check_malformed(context: Any) -> None:
        """Expect the typed failure."""
        assert isinstance(context.called.failure(), MalformedMessage)

    @staticmethod
    @given('the standins key "{key}" lists port {port:d}')
    def list_port(context: Any, key: str, port: int) -> None:
        """Write a catalogue with one address."""
        value = json.dumps([{'endpoint': {'address': 'x', 'port': port}}])
        put = Put(key.encode(), value.encode())
        context.store.execute((), (put,))
        context.listed = key

    @staticmethod
    @then('standins zone "{zone}" sees port {port:d}')
    def check_port(context: Any, zone: str, port: int) -> None:
        """Read the catalogue as a zone."""
        view = RoutedView({7000: 9000}) if zone == 'far' else PlainView()
        document = _range(context, view, context.listed)
        value = json.loads(b64decode(document['kvs'][0]['value']))
        assert value[0]['endpoint']['port'] == port


def _swap(
    context: Any, name: str, key: str, revision: int, operation: Any
) -> None:
    condition = Condition(key.encode(), Target.MOD, Relation.EQUAL, revision)
    done = context.store.execute((condition,), (operation,))
    context.results[name] = done.unwrap()


def _range(context: Any, view: Any, key: str) -> Any:
    gateway = Gateway(context.store, view)
    body = {'key': b64encode(key.encode()).decode()}
    return gateway.call('kv/range', body, 0.0).unwrap()
