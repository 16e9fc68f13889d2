"""Steps on the decoding of the customers in the configuration."""

from __future__ import annotations

import json
from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from trefoilpulley_core.direct.customers import CustomerLimit
from trefoilpulley_core.direct.routes import RouteTable
from trefoilpulley_emulator.deployment import configuration
from trefoilpulley_platform.documents import KvDocuments

VERSION = 7
"""Version of the configuration."""


class CustomerEntriesSteps:
    """Steps on the decoder of the platform's configuration."""

    @staticmethod
    @given('a configuration with the customers')
    def make(context: Any) -> None:
        """Insert the entries as they are written, such as ``NaN``."""
        entries = ', '.join(row['entry'] for row in context.table)
        text = json.dumps(_document())
        context.value = f'{text[:-1]}, "tenants": [{entries}]}}'.encode()

    @staticmethod
    @given('a configuration without the field of the customers')
    def make_without(context: Any) -> None:
        """Use a configuration of a deployment without customers."""
        context.value = json.dumps(_document()).encode()

    @staticmethod
    @then('the deployment has no customers')
    def check_none(context: Any) -> None:
        """Check that keys are ignored."""
        assert _decode(context).customers is None

    @staticmethod
    @then(
        'the key "{key}" belongs to "{name}" with the limit {rate:g} and '
        '{burst:g}'
    )
    def check_limit(
        context: Any, key: str, name: str, rate: float, burst: float
    ) -> None:
        """Check the holder of a key and its limit."""
        customer = _decode(context).customers.find_by_key(key)
        assert customer.name == name, customer
        assert customer.limit == CustomerLimit(rate, burst), customer

    @staticmethod
    @then('the key "{key}" belongs to "{name}" without a limit')
    def check_unlimited(context: Any, key: str, name: str) -> None:
        """Check the holder of a key, which has no limit."""
        customer = _decode(context).customers.find_by_key(key)
        assert (customer.name, customer.limit) == (name, None), customer

    @staticmethod
    @then('the key "{key}" belongs to nobody')
    def check_nobody(context: Any, key: str) -> None:
        """Check that a key is refused."""
        assert _decode(context).customers.find_by_key(key) is None

    @staticmethod
    @then('the key "" belongs to nobody')
    def check_empty(context: Any) -> None:
        """Check that a missing key is refused."""
        assert _decode(context).customers.find_by_key('') is None

    @staticmethod
    @then('only the route "{database}" is public')
    def check_public(context: Any, database: str) -> None:
        """Check which routes need no key."""
        routes = _decode(context).routes.values()
        public = [r.database for r in routes if r.is_public]
        assert public == [database], public

    @staticmethod
    @then('the only fault is "{code}" of entry {position:d}')
    def check_fault(context: Any, code: str, position: int) -> None:
        """Check the fault, which must not show a key."""
        table = _decode(context).customers
        (fault,) = table.faults
        assert (fault.code, fault.position) == (code, position), fault
        assert 'key-' not in repr(table), table

    @staticmethod
    @then('a configuration whose customers are an object is refused')
    def check_object(context: Any) -> None:
        """Decode an object in the place of the list."""
        value = json.dumps({**_document(), 'tenants': {}}).encode()
        decoded = KvDocuments().decode_routes(value)
        assert decoded.failure().code == 'malformed-message', decoded

    @staticmethod
    @then('the refusal of a configuration that is no UTF-8 shows no key')
    def check_unicode(context: Any) -> None:
        """Decode a document with a key and an invalid byte."""
        decoded = KvDocuments().decode_routes(b'{"tenants": "key-x\xff"}')
        assert 'UnicodeDecodeError' in decoded.failure().detail, decoded
        assert 'key-x' not in repr(decoded), decoded

    @staticmethod
    @then(
        'the configuration that is passed on holds none of the keys "{keys}"'
    )
    def check_concealed(context: Any, keys: str) -> None:
        """Search the document for the keys."""
        value = KvDocuments().replace_keys(context.value)
        for key in keys.split(', '):
            assert key.encode() not in value, key

    @staticmethod
    @when('the configuration is passed on twice')
    def pass_on(context: Any) -> None:
        """Replace the keys, as each host does that passes the document on."""
        for _ in range(2):
            context.value = KvDocuments().replace_keys(context.value)


def _document() -> dict[str, Any]:
    document = configuration(
        VERSION,
        {'closed': 'primary', 'odd': 'session', 'open': 'bounded'},
        4,
        0,
    )
    _, odd, public = document['routes']
    odd['public'] = 'yes'
    public['public'] = True
    return document


def _decode(context: Any) -> RouteTable:
    decoded = KvDocuments().decode_routes(context.value)
    assert isinstance(decoded, Success), decoded
    return decoded.unwrap()
