"""Steps for the etcd adapter of the platform service."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from gevent.queue import Queue
from returns.result import Success

from trefoilpulley_core.platform import KeyValue
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_platform import EtcdPlatform
from trefoilpulley_standins._ports import PortAllocator
from trefoilpulley_standins.platform.server import PlatformService
from trefoilpulley_standins.platform.settings import PlatformSettings
from trefoilpulley_standins.platform.settings import ZoneView

PREFIX = '/test/'
"""Prefix that the steps read and watch."""

KEY = '/test/key'
"""Key that the steps write and read."""

ANSWER_TIMEOUT_S = 0.3
"""Maximum time that the adapter waits for an answer, in seconds."""

EVENT_TIMEOUT_S = 5.0
"""Maximum wait for an expected event, in seconds."""


class EtcdAdapterSteps:
    """Steps that call the stand-in service through the adapter."""

    @staticmethod
    @given('a platform service and an adapter')
    def start_service(context: Any) -> None:
        """Start a service with a single zone."""
        ports = PortAllocator()
        control, listen = ports.next(), ports.next()
        ports.release()
        cfg = PlatformSettings(zones=(ZoneView('a', listen),))
        context.service = PlatformService(control, cfg)
        context.service.start()
        gateway = EtcdGateway(
            f'http://{listen.address}:{listen.port}',
            answer_timeout_s=ANSWER_TIMEOUT_S,
        )
        context.adapter = EtcdPlatform(gateway)
        context.cleanups.append(context.service.stop)
        context.cleanups.append(context.adapter.close)

    @staticmethod
    @given('the platform service is down')
    def take_service_down(context: Any) -> None:
        """Refuse new connections and close the open ones."""
        context.service.order({'is_down': True})

    @staticmethod
    @given('the platform service drops the answer to {count:d} write')
    def drop_write_answers(context: Any, count: int) -> None:
        """Apply the next writes without answering."""
        context.service.order({'lose_answers': count})

    @staticmethod
    @given("the platform service answers later than the adapter's timeout")
    def delay_answers(context: Any) -> None:
        """Delay each answer by twice the adapter's timeout."""
        slow_ms = 2000 * ANSWER_TIMEOUT_S
        context.service.order({'slow_ms': slow_ms})

    @staticmethod
    @given('the adapter watches the prefix')
    def start_watch(context: Any) -> None:
        """Start a watch and collect what it reports."""
        context.changes = Queue()
        context.failures = Queue()
        context.watch = context.adapter.watch(
            PREFIX, context.changes.put, context.failures.put
        )

    @staticmethod
    @given('the platform watch is cancelled')
    def cancel_watch(context: Any) -> None:
        """Cancel the watch and start another watch of the prefix."""
        context.watch.cancel()
        context.others = Queue()
        context.adapter.watch(PREFIX, context.others.put, context.others.put)

    @staticmethod
    @when('the adapter writes "{value}" with expected revision {revision:d}')
    def write_key(context: Any, value: str, revision: int) -> None:
        """Write the key if it has the expected revision."""
        written = context.adapter.compare_and_swap(
            KEY, revision, value.encode()
        )
        context.revision = written.unwrap()

    @staticmethod
    @when('the adapter writes "{value}" under a lease of {ttl:d} s')
    def write_under_lease(context: Any, value: str, ttl: int) -> None:
        """Write the key and bind it to a new lease."""
        lease = context.adapter.grant_lease(ttl).unwrap()
        context.lease_id = lease.lease_id
        written = context.adapter.compare_and_swap(
            KEY, _revision(context), value.encode(), lease.lease_id
        )
        context.revision = written.unwrap()

    @staticmethod
    @when('the adapter deletes the key')
    def delete_key(context: Any) -> None:
        """Delete the key if it has the last written revision."""
        deleted = context.adapter.delete(KEY, context.revision)
        assert isinstance(deleted, Success), deleted

    @staticmethod
    @when('the platform lease expires')
    def expire_lease(context: Any) -> None:
        """Let the service end the lease of the key."""
        context.service.order({'lapse_key': KEY})

    @staticmethod
    @then('the adapter reads "{value}"')
    def check_value(context: Any, value: str) -> None:
        """Compare the value of the key."""
        found = context.adapter.get(KEY).unwrap()
        assert found.value == value.encode()

    @staticmethod
    @then('the adapter finds no key')
    def check_key_absent(context: Any) -> None:
        """Check that the key does not exist."""
        assert context.adapter.get(KEY) == Success(None)

    @staticmethod
    @then('a prefix read returns the key with "{value}"')
    def check_prefix_read(context: Any, value: str) -> None:
        """Compare the only entry under the prefix."""
        expected = KeyValue(KEY, value.encode(), context.revision)
        assert context.adapter.get_prefix(PREFIX).unwrap().entries == (
            expected,
        )

    @staticmethod
    @then('a prefix read of revisions returns the key without its value')
    def check_prefix_revisions(context: Any) -> None:
        """Compare the only key and revision under the prefix."""
        expected = KeyValue(KEY, b'', context.revision)
        assert context.adapter.get_revisions(PREFIX).unwrap().entries == (
            expected,
        )

    @staticmethod
    @then('the platform lease is renewed for less than {ttl:d} s')
    def check_lease_renewed(context: Any, ttl: int) -> None:
        """Check that the duration of the call is deducted from the TTL."""
        lease = context.adapter.keep_alive(context.lease_id).unwrap()
        assert 0 < lease.ttl_s < ttl

    @staticmethod
    @then("the platform lease can't be renewed")
    def check_lease_expired(context: Any) -> None:
        """Check that the lease no longer exists."""
        found = context.adapter.keep_alive(context.lease_id)
        assert found.failure().code == 'lease-expired'

    @staticmethod
    @then('a platform write under the lease fails with "{code}"')
    def check_lease_write_fails(context: Any, code: str) -> None:
        """Write under the expired lease and compare the error code."""
        written = context.adapter.compare_and_swap(
            KEY, 0, b'late', context.lease_id
        )
        assert written.failure().code == code

    @staticmethod
    @then(
        'a platform write with expected revision {revision:d} fails with '
        '"{code}"'
    )
    def check_write_fails(context: Any, revision: int, code: str) -> None:
        """Write the key and compare the error code."""
        written = context.adapter.compare_and_swap(KEY, revision, b'lost')
        assert written.failure().code == code, written

    @staticmethod
    @then('a platform read fails with "{code}"')
    def check_read_fails(context: Any, code: str) -> None:
        """Read the key and compare the error code."""
        assert context.adapter.get(KEY).failure().code == code

    @staticmethod
    @then('a platform lease grant fails with "{code}"')
    def check_lease_grant_fails(context: Any, code: str) -> None:
        """Request a lease and compare the error code."""
        assert context.adapter.grant_lease(5).failure().code == code

    @staticmethod
    @then('the platform watch reports "{value}"')
    def check_watch_reports(context: Any, value: str) -> None:
        """Wait for the next reported change and compare it."""
        change = context.changes.get(timeout=EVENT_TIMEOUT_S)
        assert change == KeyValue(KEY, value.encode(), context.revision)

    @staticmethod
    @then('the platform watch reports the deletion of the key')
    def check_watch_reports_deletion(context: Any) -> None:
        """Wait for the next reported change, which must be the deletion."""
        change = context.changes.get(timeout=EVENT_TIMEOUT_S)
        assert (change.key, change.value) == (KEY, b'')

    @staticmethod
    @then('the platform watch fails once with "{code}"')
    def check_watch_fails(context: Any, code: str) -> None:
        """Wait for the failure and check that it was reported only once."""
        failure = context.failures.get(timeout=EVENT_TIMEOUT_S)
        assert failure.code == code
        assert context.failures.empty()

    @staticmethod
    @then('the platform watch has reported nothing')
    def check_watch_silent(context: Any) -> None:
        """Check that the cancelled watch reported nothing.

        The other watch must have reported the change first.
        """
        context.others.get(timeout=EVENT_TIMEOUT_S)
        assert context.changes.empty()
        assert context.failures.empty()

    @staticmethod
    @then(
        'the adapter has counted {writes:d} writes, {leases:d} lease, '
        '{watches:d} watch and no failure'
    )
    def check_call_counts(
        context: Any, writes: int, leases: int, watches: int
    ) -> None:
        """Compare the call counts of the adapter."""
        counts = context.adapter.counts
        assert (counts.writes, counts.leases) == (writes, leases)
        assert (counts.watches, counts.failures) == (watches, 0)


def _revision(context: Any) -> int:
    return getattr(context, 'revision', 0)
