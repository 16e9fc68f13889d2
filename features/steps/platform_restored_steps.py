"""Steps on a service that comes back from an older copy."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_emulator.kv_server import KvServer
from trefoilpulley_platform.json_client import JsonClient


class EmulatedServiceSteps:
    """Steps on the emulated service itself."""

    @staticmethod
    @given('an emulated service')
    def start(context: Any) -> None:
        """Start a service that has one key."""
        context.store = KvServer()
        context.store.start()
        context.cleanups.append(context.store.stop)
        context.store.put('servers/first', {})
        address, _, port = context.store.address.partition(':')
        context.client = JsonClient(Endpoint(address, int(port)))

    @staticmethod
    @when('a key is written and a lease is granted')
    def write(context: Any) -> None:
        """Take a copy, then change the service."""
        context.copy = context.store.take_copy()
        context.numbers = EmulatedServiceSteps._change(context)

    @staticmethod
    @when('the service comes back from a copy from before')
    def restore(context: Any) -> None:
        """Restore the copy."""
        context.store.restore(context.copy)

    @staticmethod
    @then('the next key and the next lease get the same numbers in era {era}')
    def check_numbers(context: Any, era: str) -> None:
        """Check that nothing of the lost state is left."""
        answer = context.client.call('GET', '/v1/kv-range?prefix=').unwrap()
        assert [i['key'] for i in answer.body['items']] == ['servers/first']
        assert answer.headers['store-era'] == era, answer
        assert EmulatedServiceSteps._change(context) == context.numbers

    @staticmethod
    @then('a watch from the lost revision is refused')
    def check_refused(context: Any) -> None:
        """Watch from a revision that the service doesn't have."""
        assert EmulatedServiceSteps._watch(context).status == 410

    @staticmethod
    @when('the service has grown past the lost revision')
    def grow(context: Any) -> None:
        """Write other keys with the lost revisions."""
        context.store.put('servers/other', {})
        context.store.put('servers/later', {})

    @staticmethod
    @then('a watch from the lost revision reports later keys')
    def check_reports(context: Any) -> None:
        """Watch from a revision that was given out again."""
        answer = EmulatedServiceSteps._watch(context)
        found = [e['key'] for e in answer.body['events']]
        assert found == ['servers/later'], answer

    @staticmethod
    def _watch(context: Any) -> Any:
        revision, _ = context.numbers
        query = f'prefix=&after={revision}&wait_ms=1000'
        return context.client.call('GET', f'/v1/kv-watch?{query}').unwrap()

    @staticmethod
    def _change(context: Any) -> tuple[int, int]:
        """Write a key and grant a lease; return their numbers."""
        put = {'key': 'trefoilpulley/x', 'value': ''}
        body = {'expected_rev': [], 'puts': [put], 'deletes': []}
        call = context.client.call
        written = call('POST', '/v1/kv-txn', body).unwrap()
        lease = call('POST', '/v1/kv-lease', {'ttl_ms': 10_000}).unwrap()
        return written.body['revision'], lease.body['lease']
