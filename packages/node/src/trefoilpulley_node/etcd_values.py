"""JSON encoding of keys, values and transactions for etcd's gateway."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from typing import Any

from trefoilpulley_core.platform import KeyValue


def encode_bytes(data: bytes) -> str:
    """Return bytes as base64 text, as the gateway expects them."""
    return b64encode(data).decode()


def key_range(key: str) -> dict[str, Any]:
    """Return the range that contains a single key."""
    return {'key': encode_bytes(key.encode())}


def prefix_range(prefix: str) -> dict[str, Any]:
    """Return the range of all keys with a prefix."""
    data = prefix.encode()
    end = data[:-1] + bytes((data[-1] + 1,))
    return {'key': encode_bytes(data), 'range_end': encode_bytes(end)}


def conditional_txn(
    key: str, expected_revision: int, operation: dict[str, Any]
) -> dict[str, Any]:
    """Return a transaction that runs only if a key has a revision."""
    compare = {
        **key_range(key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(expected_revision),
    }
    return {'compare': [compare], 'success': [operation]}


def put_operation(key: str, value: bytes, lease_id: int) -> dict[str, Any]:
    """Return the operation that writes a key, with a lease unless it is 0."""
    put = {**key_range(key), 'value': encode_bytes(value)}
    if lease_id:
        put['lease'] = str(lease_id)
    return {'request_put': put}


def delete_operation(key: str) -> dict[str, Any]:
    """Return the operation that deletes a key."""
    return {'request_delete_range': key_range(key)}


def decode_key_value(fields: dict[str, Any]) -> KeyValue:
    """Return the key-value pair from its JSON form."""
    return KeyValue(
        b64decode(fields['key']).decode(),
        b64decode(fields.get('value', '')),
        int(fields.get('mod_revision', 0)),
        int(fields.get('lease', 0)),
    )


def decode_event(event: dict[str, Any]) -> KeyValue:
    """Return the key-value pair of a watch event.

    The value is empty if the event is a deletion.
    """
    return decode_key_value(event['kv'])
