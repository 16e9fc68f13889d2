"""Steps for the simulated service of the platform."""

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
    """Steps for the store, the faults and the JSON documents."""

    @staticmethod
    @given('a simulated platform service at time 0')
    def make_service(context: Any) -> None:
        """Build a service that does not listen on a port."""
        control = Endpoint('127.0.0.1', 0)
        context.service = PlatformService(control, PlatformSettings())
        context.store = context.service.store
        context.results = {}

    @staticmethod
    @when(
        'writer {name} puts "{value}" to "{key}" expecting '
        'revision {revision:d}'
    )
    def put(
        context: Any, name: str, value: str, key: str, revision: int
    ) -> None:
        """Write a key with an expected revision."""
        operation = Put(key.encode(), value.encode())
        _swap(context, name, key, revision, operation)

    @staticmethod
    @when('writer {name} deletes "{key}" expecting its revision')
    def delete(context: Any, name: str, key: str) -> None:
        """Delete a key with its current revision."""
        revision = context.store.get(KeyRange(key.encode()))[0].mod_revision
        operation = Delete(KeyRange(key.encode()))
        _swap(context, name, key, revision, operation)

    @staticmethod
    @when(
        'writer {name} deletes "{key}" expecting a revision that '
        'is one too low'
    )
    def delete_outdated(context: Any, name: str, key: str) -> None:
        """Delete a key with an outdated revision."""
        revision = context.store.get(KeyRange(key.encode()))[0].mod_revision
        operation = Delete(KeyRange(key.encode()))
        _swap(context, name, key, revision - 1, operation)

    @staticmethod
    @then('the write of {name} succeeds')
    def check_success(context: Any, name: str) -> None:
        """Check that the conditions of the write held."""
        assert context.results[name].is_success

    @staticmethod
    @then('the write of {name} conflicts')
    def check_conflict(context: Any, name: str) -> None:
        """Check that the conditions of the write did not hold."""
        assert not context.results[name].is_success

    @staticmethod
    @then('the stored key "{key}" holds "{value}"')
    def check_value(context: Any, key: str, value: str) -> None:
        """Compare the value of a key."""
        found = context.store.get(KeyRange(key.encode()))
        assert [v.value for v in found] == [value.encode()]

    @staticmethod
    @given('a service lease of {ttl:d} s')
    def grant_lease(context: Any, ttl: int) -> None:
        """Grant a lease at time 0 s."""
        context.lease = context.store.grant(ttl, 0.0).lease_id

    @staticmethod
    @given('the stored key "{key}" is bound to the lease')
    def bind_key(context: Any, key: str) -> None:
        """Write a key that is bound to the lease."""
        put = Put(key.encode(), b'held', context.lease)
        assert is_successful(context.store.execute((), (put,)))

    @staticmethod
    @when('the service lease is renewed at {now:g} s')
    def renew_lease(context: Any, now: float) -> None:
        """Renew the lease."""
        assert context.store.renew(context.lease, now)

    @staticmethod
    @then('at {now:g} s the stored key "{key}" holds "{value}"')
    def check_value_at(context: Any, now: float, key: str, value: str) -> None:
        """Compare the value after the leases up to a time have expired."""
        context.store.expire(now)
        StandinsPlatformSteps.check_value(context, key, value)

    @staticmethod
    @then('at {now:g} s the stored key "{key}" is absent')
    def check_absent_at(context: Any, now: float, key: str) -> None:
        """Check for no key after the leases up to a time have expired."""
        context.store.expire(now)
        assert context.store.get(KeyRange(key.encode())) == ()

    @staticmethod
    @then('a lease renewal at {now:g} s finds no lease')
    def check_expired(context: Any, now: float) -> None:
        """Check that the renewal fails."""
        assert context.store.renew(context.lease, now) is None

    @staticmethod
    @then('binding the key "{key}" to the lease is refused')
    def check_binding_refused(context: Any, key: str) -> None:
        """Check the class of the failure and that no key was written."""
        put = Put(key.encode(), b'late', context.lease)
        result = context.store.execute((), (put,))
        assert isinstance(result.failure(), LeaseExpired)
        assert context.store.get(KeyRange(key.encode())) == ()

    @staticmethod
    @when('the simulated service is ordered to expire the lease of "{key}"')
    def order_expiry(context: Any, key: str) -> None:
        """Order the expiry of the lease of a key."""
        context.service.order({'lapse_key': key})

    @staticmethod
    @when(
        'the simulated service is ordered to lose {count:d} answers under '
        '"{prefix}"'
    )
    def order_loss(context: Any, count: int, prefix: str) -> None:
        """Order the loss of the answers to some writes."""
        order = Order(lose_answers=count, lose_prefix=prefix)
        context.service.faults.apply_order(order)

    @staticmethod
    @then('the answers to writes of "{keys}" are "{fates}"')
    def check_lost_answers(context: Any, keys: str, fates: str) -> None:
        """Compare which answers are lost."""
        faults = context.service.faults
        lost = [faults.try_lose_answer((k.encode(),)) for k in keys.split()]
        assert ['lost' if x else 'kept' for x in lost] == fates.split()

    @staticmethod
    @given('a watch at the simulated service')
    def add_watch(context: Any) -> None:
        """Watch all keys."""
        context.changes = []
        context.store.watch(context.changes.extend)

    @staticmethod
    @then('the watch at the simulated service has seen "{values}"')
    def check_watch(context: Any, values: str) -> None:
        """Compare the changes; a dash stands for a deletion."""
        changes = [
            c.value.value.decode() if c.value.version else '-'
            for c in context.changes
        ]
        revisions = [c.value.mod_revision for c in context.changes]
        assert changes == values.split()
        assert revisions == sorted(set(revisions))

    @staticmethod
    @then(
        'the JSON document of "{key}" has mod_revision "{text}" and no lease'
    )
    def check_json(context: Any, key: str, text: str) -> None:
        """Compare the fields of the JSON document of a key."""
        document = _read_document(context, PlainView(), key)
        fields = document['kvs'][0]
        assert fields['mod_revision'] == text
        assert 'lease' not in fields

    @staticmethod
    @then('the JSON document of "{key}" has no keys')
    def check_empty_json(context: Any, key: str) -> None:
        """Check that default values are omitted."""
        assert set(_read_document(context, PlainView(), key)) == {'header'}

    @staticmethod
    @when('the gateway call "{path}" is made with {body}')
    def call(context: Any, path: str, body: str) -> None:
        """Make a call at the gateway."""
        gateway = Gateway(context.store, PlainView())
        context.call_result = gateway.call(path, json.loads(body), 0.0)

    @staticmethod
    @then('the gateway call is refused as malformed')
    def check_malformed(context: Any) -> None:
        """Check the class of the failure."""
        assert isinstance(context.call_result.failure(), MalformedMessage)

    @staticmethod
    @given('the stored key "{key}" lists port {port:d}')
    def store_catalogue(context: Any, key: str, port: int) -> None:
        """Write a catalogue with one endpoint."""
        value = json.dumps([{'endpoint': {'address': 'x', 'port': port}}])
        put = Put(key.encode(), value.encode())
        context.store.execute((), (put,))
        context.catalogue_key = key

    @staticmethod
    @then('zone "{zone}" reads port {port:d}')
    def check_port(context: Any, zone: str, port: int) -> None:
        """Compare the port that a zone reads from the catalogue."""
        view = RoutedView({7000: 9000}) if zone == 'far' else PlainView()
        document = _read_document(context, view, context.catalogue_key)
        value = json.loads(b64decode(document['kvs'][0]['value']))
        assert value[0]['endpoint']['port'] == port


def _swap(
    context: Any, name: str, key: str, revision: int, operation: Any
) -> None:
    condition = Condition(key.encode(), Target.MOD, Relation.EQUAL, revision)
    result = context.store.execute((condition,), (operation,))
    context.results[name] = result.unwrap()


def _read_document(context: Any, view: Any, key: str) -> Any:
    gateway = Gateway(context.store, view)
    body = {'key': b64encode(key.encode()).decode()}
    return gateway.call('kv/range', body, 0.0).unwrap()
