"""The platform's service over etcd's published v3 JSON gateway."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.platform import KeyValue
from trefoilpulley_core.platform import Lease
from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_core.platform import Platform
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_node.etcd_gateway import CallKind
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_values import decode_key_value
from trefoilpulley_node.etcd_values import delete_operation
from trefoilpulley_node.etcd_values import guarded_txn
from trefoilpulley_node.etcd_values import key_range
from trefoilpulley_node.etcd_values import prefix_range
from trefoilpulley_node.etcd_values import put_operation
from trefoilpulley_node.etcd_watch import EtcdWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import Watch
    from trefoilpulley_node.etcd_gateway import CallCounts


class EtcdPlatform(Platform):
    """Client of the platform's service.

    Parameters
    ----------
    gateway : EtcdGateway
        HTTP calls to the service.
    """

    def __init__(self, gateway: EtcdGateway) -> None:
        self._gateway = gateway

    @property
    def counts(self) -> CallCounts:
        """Calls since the process started."""
        return self._gateway.counts

    def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Return the value of a key, or ``None`` where it is absent."""
        found = self._range(key_range(key))
        return found.map(lambda values: values[0] if values else None)

    def get_prefix(self, prefix: str) -> Result[tuple[KeyValue, ...], Failure]:
        """Return the values of every key with a prefix."""
        return self._range(prefix_range(prefix))

    def get_revisions(
        self, prefix: str
    ) -> Result[tuple[KeyValue, ...], Failure]:
        """Return the keys under a prefix without their values."""
        return self._range({**prefix_range(prefix), 'keys_only': True})

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
    ) -> Result[int, Failure]:
        """Write a key where its revision is as expected."""
        put = put_operation(key, value, lease_id)
        answer = self._guarded(key, expected_revision, put)
        return answer.map(lambda doc: int(doc['header']['revision']))

    def delete(
        self, key: str, expected_revision: int
    ) -> Result[None, Failure]:
        """Delete a key where its revision is as expected."""
        operation = delete_operation(key)
        answer = self._guarded(key, expected_revision, operation)
        return answer.map(lambda doc: None)

    def grant_lease(self, ttl_s: int) -> Result[Lease, Failure]:
        """Grant a lease; the time that the call took is off its life."""
        started = time.monotonic()
        body = {'TTL': str(ttl_s)}
        answer = self._gateway.call(CallKind.LEASE, 'lease/grant', body)
        return answer.bind(lambda doc: _to_lease(doc, started))

    def keep_alive(self, lease_id: int) -> Result[Lease, Failure]:
        """Renew a lease once; the time that the call took is off its life."""
        started = time.monotonic()
        body = {'ID': str(lease_id)}
        answer = self._gateway.call(CallKind.LEASE, 'lease/keepalive', body)
        return answer.bind(lambda doc: _to_lease(doc['result'], started))

    def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease and delete the keys bound to it."""
        body = {'ID': str(lease_id)}
        answer = self._gateway.call(CallKind.LEASE, 'lease/revoke', body)
        return answer.map(lambda doc: None)

    def watch(
        self,
        prefix: str,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
    ) -> Watch:
        """Call back for each change under a prefix, until cancelled.

        Returns once the service has confirmed the watch, so that a read
        that follows misses no change.
        """
        watch = EtcdWatch(self._gateway, prefix, on_change, on_failure)
        watch.wait_created()
        return watch

    def close(self) -> None:
        """Close the idle connections."""
        self._gateway.close()

    def _range(
        self, body: dict[str, Any]
    ) -> Result[tuple[KeyValue, ...], Failure]:
        answer = self._gateway.call(CallKind.READ, 'kv/range', body)
        return answer.map(
            lambda doc: tuple(
                decode_key_value(kv) for kv in doc.get('kvs', ())
            )
        )

    def _guarded(
        self, key: str, expected_revision: int, operation: dict[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        body = guarded_txn(key, expected_revision, operation)
        answer = self._gateway.call(CallKind.WRITE, 'kv/txn', body)
        return answer.bind(_require_success)


def _require_success(
    document: dict[str, Any],
) -> Result[dict[str, Any], Failure]:
    if document.get('succeeded'):
        return Success(document)
    return Failed(RevisionConflict())


def _to_lease(
    document: dict[str, Any], started: float
) -> Result[Lease, Failure]:
    ttl_s = int(document.get('TTL', 0)) - (time.monotonic() - started)
    if ttl_s <= 0:
        return Failed(LeaseExpired('lease has lapsed'))
    return Success(Lease(int(document['ID']), ttl_s))
