"""Client of the platform's service over etcd's v3 JSON gateway."""

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
from trefoilpulley_core.platform import PrefixRead
from trefoilpulley_core.platform import RevisionConflict
from trefoilpulley_node.etcd_gateway import CallKind
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_values import conditional_txn
from trefoilpulley_node.etcd_values import decode_key_value
from trefoilpulley_node.etcd_values import delete_operation
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
    """Key-value service of the platform in an etcd cluster.

    Parameters
    ----------
    gateway : EtcdGateway
        HTTP client of the service.
    """

    def __init__(self, gateway: EtcdGateway) -> None:
        self._gateway = gateway

    @property
    def counts(self) -> CallCounts:
        """Numbers of calls since the process started."""
        return self._gateway.counts

    def get(self, key: str) -> Result[KeyValue | None, Failure]:
        """Return the key-value pair of a key, or ``None`` if absent."""
        fetched = self._range(key_range(key))
        return fetched.map(lambda r: r.entries[0] if r.entries else None)

    def get_prefix(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Return the key-value pairs of all keys with a prefix."""
        return self._range(prefix_range(prefix))

    def get_revisions(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Return all keys with a prefix and their revisions, but no values."""
        return self._range({**prefix_range(prefix), 'keys_only': True})

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: int = 0,
        era: int = 0,
    ) -> Result[int, Failure]:
        """Write a key if its revision is the expected one.

        Returns
        -------
        Result[int, Failure]
            The new revision, or `RevisionConflict` if another writer
            changed the key.
        """
        put = put_operation(key, value, lease_id)
        answer = self._run_conditional(key, expected_revision, put)
        return answer.map(lambda doc: int(doc['header']['revision']))

    def delete(
        self, key: str, expected_revision: int, era: int = 0
    ) -> Result[None, Failure]:
        """Delete a key if its revision is the expected one."""
        operation = delete_operation(key)
        answer = self._run_conditional(key, expected_revision, operation)
        return answer.map(lambda doc: None)

    def grant_lease(self, ttl_s: int) -> Result[Lease, Failure]:
        """Create a lease.

        The duration of the call is subtracted from the lease's remaining
        time.
        """
        started_at = time.monotonic()
        body = {'TTL': str(ttl_s)}
        answer = self._gateway.call(CallKind.LEASE, 'lease/grant', body)
        return answer.bind(lambda doc: _to_lease(doc, started_at))

    def keep_alive(
        self, lease_id: int, era: int = 0
    ) -> Result[Lease, Failure]:
        """Renew a lease once.

        The duration of the call is subtracted from the lease's remaining
        time.
        """
        started_at = time.monotonic()
        body = {'ID': str(lease_id)}
        answer = self._gateway.call(CallKind.LEASE, 'lease/keepalive', body)
        return answer.bind(lambda doc: _to_lease(doc['result'], started_at))

    def revoke_lease(self, lease_id: int) -> Result[None, Failure]:
        """End a lease, which deletes the keys that use the lease."""
        body = {'ID': str(lease_id)}
        answer = self._gateway.call(CallKind.LEASE, 'lease/revoke', body)
        return answer.map(lambda doc: None)

    def watch(
        self,
        prefix: str,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
        on_answer: Callable[[float], None] | None = None,
    ) -> Watch:
        """Watch all keys with a prefix until the watch is cancelled.

        The method returns when the service has confirmed the watch, so
        that the watch reports every change after a later read.
        """
        watch = EtcdWatch(
            self._gateway, prefix, on_change, on_failure, on_answer
        )
        watch.wait_created()
        return watch

    def close(self) -> None:
        """Close the idle connections."""
        self._gateway.close()

    def _range(self, body: dict[str, Any]) -> Result[PrefixRead, Failure]:
        answer = self._gateway.call(CallKind.READ, 'kv/range', body)
        return answer.map(
            lambda doc: PrefixRead(
                tuple(decode_key_value(kv) for kv in doc.get('kvs', ())),
                int(doc['header']['revision']),
            )
        )

    def _run_conditional(
        self, key: str, expected_revision: int, operation: dict[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        body = conditional_txn(key, expected_revision, operation)
        answer = self._gateway.call(CallKind.WRITE, 'kv/txn', body)
        return answer.bind(_require_success)


def _require_success(
    document: dict[str, Any],
) -> Result[dict[str, Any], Failure]:
    if document.get('succeeded'):
        return Success(document)
    return Failed(RevisionConflict())


def _to_lease(
    document: dict[str, Any], started_at: float
) -> Result[Lease, Failure]:
    ttl_s = int(document.get('TTL', 0)) - (time.monotonic() - started_at)
    if ttl_s <= 0:
        return Failed(LeaseExpired('lease has expired'))
    return Success(Lease(int(document['ID']), ttl_s))
