"""Steps on the adapter of the platform's service."""

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
"""Prefix of the key."""

KEY = '/test/key'
"""Key that every step uses."""

ANSWER_TIMEOUT_S = 0.3
"""Longest wait of the adapter, in seconds."""

EVENT_TIMEOUT_S = 5.0
"""Bound on the wait for an event that must come, in seconds."""


class PlatformSteps:
    """Steps that call the stand-in service."""

    @staticmethod
    @given('a platform service with an adapter')
    def start(context: Any) -> None:
        """Start the service with a port of one zone."""
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
    def take_down(context: Any) -> None:
        """Refuse connections and break those that are open."""
        context.service.order({'is_down': True})

    @staticmethod
    @given('the platform service loses the answer to {count:d} write')
    def lose_answers(context: Any, count: int) -> None:
        """Let writes take effect without an answer."""
        context.service.order({'lose_answers': count})

    @staticmethod
    @given('the platform service is slower than the adapter waits')
    def slow_down(context: Any) -> None:
        """Add more time to each call than the adapter waits."""
        slow_ms = 2000 * ANSWER_TIMEOUT_S
        context.service.order({'slow_ms': slow_ms})

    @staticmethod
    @given('the adapter watches the prefix')
    def watch(context: Any) -> None:
        """Begin a watch."""
        context.changes = Queue()
        context.failures = Queue()
        context.watch = context.adapter.watch(
            PREFIX, context.changes.put, context.failures.put
        )

    @staticmethod
    @given('the platform watch is cancelled')
    def cancel(context: Any) -> None:
        """End the watch and begin another beside it."""
        context.watch.cancel()
        context.others = Queue()
        context.adapter.watch(PREFIX, context.others.put, context.others.put)

    @staticmethod
    @when('the adapter writes "{value}" upon revision {revision:d}')
    def write(context: Any, value: str, revision: int) -> None:
        """Write the key."""
        written = context.adapter.compare_and_swap(
            KEY, revision, value.encode()
        )
        context.revision = written.unwrap()

    @staticmethod
    @when('the adapter writes "{value}" under a lease of {ttl:d} s')
    def write_under_lease(context: Any, value: str, ttl: int) -> None:
        """Write the key under a new lease."""
        lease = context.adapter.grant_lease(ttl).unwrap()
        context.lease_id = lease.lease_id
        written = context.adapter.compare_and_swap(
            KEY, _revision(context), value.encode(), lease.lease_id
        )
        context.revision = written.unwrap()

    @staticmethod
    @when('the adapter deletes the key')
    def delete(context: Any) -> None:
        """Delete the key by its revision."""
        deleted = context.adapter.delete(KEY, context.revision)
        assert isinstance(deleted, Success), deleted

    @staticmethod
    @when('the platform lease lapses')
    def lapse(context: Any) -> None:
        """End the lease at the service."""
        context.service.order({'lapse_key': KEY})

    @staticmethod
    @then('the adapter reads "{value}"')
    def check_value(context: Any, value: str) -> None:
        """Compare the key's value."""
        found = context.adapter.get(KEY).unwrap()
        assert found.value == value.encode()

    @staticmethod
    @then('the adapter reads nothing')
    def check_absent(context: Any) -> None:
        """Expect no key."""
        assert context.adapter.get(KEY) == Success(None)

    @staticmethod
    @then('the platform prefix lists the key with "{value}"')
    def check_prefix(context: Any, value: str) -> None:
        """Compare what a prefix holds."""
        expected = KeyValue(KEY, value.encode(), context.revision)
        assert context.adapter.get_prefix(PREFIX).unwrap() == (expected,)

    @staticmethod
    @then("the platform prefix lists the key's revision alone")
    def check_revisions(context: Any) -> None:
        """Compare the keys without their values."""
        expected = KeyValue(KEY, b'', context.revision)
        assert context.adapter.get_revisions(PREFIX).unwrap() == (expected,)

    @staticmethod
    @then('the platform lease is renewed for at most {ttl:d} s')
    def check_renewed(context: Any, ttl: int) -> None:
        """Expect the life less the time of the call."""
        lease = context.adapter.keep_alive(context.lease_id).unwrap()
        assert 0 < lease.ttl_s < ttl

    @staticmethod
    @then("the platform lease can't be renewed")
    def check_expired(context: Any) -> None:
        """Expect the lease to be gone."""
        found = context.adapter.keep_alive(context.lease_id)
        assert found.failure().code == 'lease-expired'

    @staticmethod
    @then('a platform write under the lease fails with "{code}"')
    def check_lease_write(context: Any, code: str) -> None:
        """Write under the lease that is gone."""
        written = context.adapter.compare_and_swap(
            KEY, 0, b'late', context.lease_id
        )
        assert written.failure().code == code

    @staticmethod
    @then('a platform write upon revision {revision:d} fails with "{code}"')
    def check_write_fails(context: Any, revision: int, code: str) -> None:
        """Write and compare the failure."""
        written = context.adapter.compare_and_swap(KEY, revision, b'lost')
        assert written.failure().code == code, written

    @staticmethod
    @then('a platform read fails with "{code}"')
    def check_read_fails(context: Any, code: str) -> None:
        """Read and compare the failure."""
        assert context.adapter.get(KEY).failure().code == code

    @staticmethod
    @then('a platform lease fails with "{code}"')
    def check_lease_fails(context: Any, code: str) -> None:
        """Ask for a lease and compare the failure."""
        assert context.adapter.grant_lease(5).failure().code == code

    @staticmethod
    @then('the platform watch reports "{value}"')
    def check_report(context: Any, value: str) -> None:
        """Wait for the next change."""
        change = context.changes.get(timeout=EVENT_TIMEOUT_S)
        assert change == KeyValue(KEY, value.encode(), context.revision)

    @staticmethod
    @then('the platform watch reports nothing left')
    def check_deletion(context: Any) -> None:
        """Wait for the deletion."""
        change = context.changes.get(timeout=EVENT_TIMEOUT_S)
        assert (change.key, change.value) == (KEY, b'')

    @staticmethod
    @then('the platform watch fails once with "{code}"')
    def check_watch_fails(context: Any, code: str) -> None:
        """Wait for the failure."""
        failure = context.failures.get(timeout=EVENT_TIMEOUT_S)
        assert failure.code == code
        assert context.failures.empty()

    @staticmethod
    @then('the platform watch has reported nothing')
    def check_silence(context: Any) -> None:
        """Expect neither a change nor a failure once another has one."""
        context.others.get(timeout=EVENT_TIMEOUT_S)
        assert context.changes.empty()
        assert context.failures.empty()

    @staticmethod
    @then(
        'the adapter has counted {writes:d} writes, {leases:d} lease, '
        '{watches:d} watch and no failure'
    )
    def check_counts(
        context: Any, writes: int, leases: int, watches: int
    ) -> None:
        """Compare the counts."""
        counts = context.adapter.counts
        assert (counts.writes, counts.leases) == (writes, leases)
        assert (counts.watches, counts.failures) == (watches, 0)


def _revision(context: Any) -> int:
    return getattr(context, 'revision', 0)
