"""JSON documents of etcd's public v3 gRPC gateway."""

from __future__ import annotations

import abc
from base64 import b64decode
from base64 import b64encode
from typing import Any
from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_standins.platform.store import Condition
from trefoilpulley_standins.platform.store import Delete
from trefoilpulley_standins.platform.store import Get
from trefoilpulley_standins.platform.store import KeyRange
from trefoilpulley_standins.platform.store import Put
from trefoilpulley_standins.platform.store import Relation
from trefoilpulley_standins.platform.store import Target

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_standins.platform.store import Change
    from trefoilpulley_standins.platform.store import KeyValueStore
    from trefoilpulley_standins.platform.store import Operation
    from trefoilpulley_standins.platform.store import OperationResult
    from trefoilpulley_standins.platform.store import StoredValue

Document = dict[str, Any]
"""JSON object of a request or a response."""

_OPERAND_FIELDS = {
    Target.VERSION: 'version',
    Target.CREATE: 'create_revision',
    Target.MOD: 'mod_revision',
    Target.LEASE: 'lease',
}


class ValueView(abc.ABC):
    """Converts stored values for the callers of one port."""

    @abc.abstractmethod
    def show(self, key: bytes, value: bytes) -> bytes:
        """Return a value as the callers of the port see it."""


class Gateway:
    """Executes the API calls of one port.

    Parameters
    ----------
    store : KeyValueStore
        State of the service.
    view : ValueView
        Conversion of the values that the callers read.
    """

    def __init__(self, store: KeyValueStore, view: ValueView) -> None:
        self._store = store
        self._view = view
        self._calls: dict[str, Callable[[Document, float], Result]] = {
            'kv/range': self._range,
            'kv/put': self._put,
            'kv/deleterange': self._delete_range,
            'kv/txn': self._txn,
            'lease/grant': self._grant,
            'lease/keepalive': self._keep_alive,
            'lease/revoke': self._revoke,
            'lease/timetolive': self._time_to_live,
        }

    def call(
        self, path: str, body: Document, now: float
    ) -> Result[Document, Failure]:
        """Execute a call and return the response document."""
        handler = self._calls.get(path)
        if handler is None:
            return Failed(MalformedMessage(f'unknown call {path}'))
        try:
            return handler(body, now)
        except (KeyError, ValueError, TypeError) as exc:
            return Failed(MalformedMessage(repr(exc)))

    def events(self, changes: tuple[Change, ...]) -> Document:
        """Return the document that a watch sends for changes."""
        return {
            'result': {
                'header': self.header(),
                'events': [self._event_document(c.value) for c in changes],
            }
        }

    def header(self) -> Document:
        """Return the header of a response."""
        return {
            'cluster_id': '1',
            'member_id': '1',
            'revision': str(self._store.revision),
            'raft_term': '1',
        }

    def _range(self, body: Document, now: float) -> Result[Document, Failure]:
        found = self._store.get(decode_range(body))
        answer = self._range_document(found, bool(body.get('keys_only')))
        return Success({'header': self.header(), **answer})

    def _put(self, body: Document, now: float) -> Result[Document, Failure]:
        result = self._store.execute((), (_decode_put(body),))
        return result.map(lambda _: {'header': self.header()})

    def _delete_range(
        self, body: Document, now: float
    ) -> Result[Document, Failure]:
        result = self._store.execute((), (Delete(decode_range(body)),))
        return result.map(
            lambda txn: {
                'header': self.header(),
                **self._result_document(txn.results[0])[
                    'response_delete_range'
                ],
            }
        )

    def _txn(self, body: Document, now: float) -> Result[Document, Failure]:
        result = self._store.execute(
            [_decode_condition(c) for c in body.get('compare', ())],
            tuple(_decode_operation(o) for o in body.get('success', ())),
            tuple(_decode_operation(o) for o in body.get('failure', ())),
        )
        if not is_successful(result):
            return result
        txn = result.unwrap()
        answer: Document = {'header': self.header()}
        if txn.is_success:
            answer['succeeded'] = True
        answer['responses'] = [self._result_document(e) for e in txn.results]
        return Success(answer)

    def _grant(self, body: Document, now: float) -> Result[Document, Failure]:
        lease = self._store.grant(int(body['TTL']), now)
        return Success(
            {
                'header': self.header(),
                'ID': str(lease.lease_id),
                'TTL': str(lease.ttl_s),
            }
        )

    def _keep_alive(
        self, body: Document, now: float
    ) -> Result[Document, Failure]:
        lease = self._store.renew(int(body['ID']), now)
        answer = {'header': self.header(), 'ID': str(body['ID'])}
        if lease is not None:
            answer['TTL'] = str(lease.ttl_s)
        return Success({'result': answer})

    def _revoke(self, body: Document, now: float) -> Result[Document, Failure]:
        if not self._store.revoke(int(body['ID'])):
            return Failed(LeaseExpired('requested lease not found'))
        return Success({'header': self.header()})

    def _time_to_live(
        self, body: Document, now: float
    ) -> Result[Document, Failure]:
        lease_id = int(body['ID'])
        lease = self._store.find_lease(lease_id)
        answer = {'header': self.header(), 'ID': str(lease_id), 'TTL': '-1'}
        if lease is not None:
            answer['TTL'] = str(int(lease.expires_at - now))
            answer['grantedTTL'] = str(lease.ttl_s)
            answer['keys'] = [
                _encode_base64(k) for k in self._store.keys_of(lease_id)
            ]
        return Success(answer)

    def _result_document(self, result: OperationResult) -> Document:
        header = {'header': self.header()}
        if isinstance(result.operation, Put):
            return {'response_put': header}
        if isinstance(result.operation, Get):
            found = self._range_document(result.values, is_keys_only=False)
            return {'response_range': {**header, **found}}
        if result.values:
            header['deleted'] = str(len(result.values))
        return {'response_delete_range': header}

    def _range_document(
        self, found: tuple[StoredValue, ...], is_keys_only: bool
    ) -> Document:
        if not found:
            return {}
        kvs = [
            self._key_value_document(value, is_keys_only) for value in found
        ]
        return {'kvs': kvs, 'count': str(len(kvs))}

    def _key_value_document(
        self, stored: StoredValue, is_keys_only: bool = False
    ) -> Document:
        fields = {'key': _encode_base64(stored.key)}
        numeric_fields = {
            'create_revision': stored.create_revision,
            'mod_revision': stored.mod_revision,
            'version': stored.version,
            'lease': stored.lease,
        }
        fields.update({k: str(v) for k, v in numeric_fields.items() if v})
        if stored.value and not is_keys_only:
            shown = self._view.show(stored.key, stored.value)
            fields['value'] = _encode_base64(shown)
        return fields

    def _event_document(self, stored: StoredValue) -> Document:
        event: Document = {'kv': self._key_value_document(stored)}
        if not stored.version:
            event['type'] = 'DELETE'
        return event


def written_keys(body: Document) -> tuple[bytes, ...]:
    """Return the keys that a put or a transaction may write."""
    operations = (*body.get('success', ()), *body.get('failure', ()))
    ranges = [body] if 'key' in body else []
    for operation in operations:
        ranges.extend(operation.values())
    return tuple(b64decode(fields['key']) for fields in ranges)


def decode_range(body: Document) -> KeyRange:
    """Return the key range of a request."""
    end = b64decode(body.get('range_end', ''))
    return KeyRange(b64decode(body['key']), end)


def _decode_put(body: Document) -> Put:
    return Put(
        b64decode(body['key']),
        b64decode(body.get('value', '')),
        int(body.get('lease', 0)),
    )


def _decode_operation(document: Document) -> Operation:
    if 'request_put' in document:
        return _decode_put(document['request_put'])
    if 'request_range' in document:
        return Get(decode_range(document['request_range']))
    return Delete(decode_range(document['request_delete_range']))


def _decode_condition(document: Document) -> Condition:
    target = Target(document.get('target', Target.VERSION))
    relation = Relation(document.get('result', Relation.EQUAL))
    if target is Target.VALUE:
        operand = b64decode(document.get('value', ''))
    else:
        operand = int(document.get(_OPERAND_FIELDS[target], 0))
    return Condition(b64decode(document['key']), target, relation, operand)


def _encode_base64(data: bytes) -> str:
    return b64encode(data).decode()
