"""Steps on the registration of hosts."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Failure as Failed

from features.fakes.asking import wait_until
from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_platform import FakePlatform
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.keys import HOST_PREFIX
from trefoilpulley_core.platform import PlatformDown
from trefoilpulley_node.direct.host_registration import HostRegistration


class HostRegistrationSteps:
    """Steps on `HostRegistration`."""

    @staticmethod
    @given('a service and two hosts')
    def make_hosts(context: Any) -> None:
        """Create two hosts that have not registered."""
        context.kv = FakePlatform()
        endpoint = Endpoint('127.0.0.1', 1)
        context.hosts = {
            name: HostRegistration(
                HostEntry(name, 'here', 'a', endpoint, endpoint),
                context.kv,
                FakeClock(),
                random.Random(1),
            )
            for name in ('first', 'second')
        }

    @staticmethod
    @when('the {name} host registers')
    def register(context: Any, name: str) -> None:
        """Start a host and wait for its registration."""
        host = context.hosts[name]
        host.start()
        context.cleanups.append(host.stop)
        wait_until(lambda: host.first_lease and _is_registered(context, name))

    @staticmethod
    @when('the {name} host registers and the service loses that')
    def lose_registration(context: Any, name: str) -> None:
        """Restore a copy from before the registration."""
        copy = context.kv.take_copy()
        HostRegistrationSteps.register(context, name)
        context.kv.restore(copy)
        assert not _is_registered(context, name)

    @staticmethod
    @when('the service refuses the entry of the first host once')
    def refuse_entry(context: Any) -> None:
        """Grant the lease and refuse the first write of the entry."""
        swap = context.kv.compare_and_swap
        refused = [Failed(PlatformDown('status 429'))]
        context.kv.compare_and_swap = lambda *call, **named: (
            refused.pop() if refused else swap(*call, **named)
        )
        HostRegistrationSteps.register(context, 'first')

    @staticmethod
    @when('the service returns from a copy with the entry of the first host')
    def restore_with_entry(context: Any) -> None:
        """Restore a copy that holds the entry, and tell the host."""
        context.kv.restore(context.kv.take_copy())
        context.kv.calls.clear()
        HostRegistrationSteps.begin_era(context)

    @staticmethod
    @then('the first host has been granted {count:d} lease')
    def check_grants(context: Any, count: int) -> None:
        """Count the calls for a lease."""
        assert context.kv.calls['grant_lease'] == count, context.kv.calls

    @staticmethod
    @then('the first host has registered with a lease and one more write')
    def check_writes(context: Any) -> None:
        """Count the calls until the entry is of the new era."""
        key = f'{HOST_PREFIX}first'
        lease = context.hosts['first'].first_lease.lease_id
        wait_until(lambda: context.kv.values[key].lease_id != lease)
        expected = {'grant_lease': 1, 'compare_and_swap': 1}
        assert context.kv.calls == expected, context.kv.calls

    @staticmethod
    @when('the second host registers with the same lease number')
    def register_again(context: Any) -> None:
        """Register another host, which gets the lost lease number."""
        HostRegistrationSteps.register(context, 'second')
        numbers = {h.first_lease.lease_id for h in context.hosts.values()}
        assert len(numbers) == 1, numbers

    @staticmethod
    @when('the first host learns of the new era')
    def begin_era(context: Any) -> None:
        """Tell the host of a read in the new era."""
        context.hosts['first'].begin_era(context.kv.era)

    @staticmethod
    @when('the first host stops')
    def stop(context: Any) -> None:
        """Stop the host."""
        context.hosts['first'].stop()

    @staticmethod
    @then('the {name} host is registered')
    def check_registered(context: Any, name: str) -> None:
        """Check the entry of a host."""
        assert _is_registered(context, name), context.kv.values

    @staticmethod
    @then('the {name} host is not registered')
    def check_not_registered(context: Any, name: str) -> None:
        """Check that a host has no entry."""
        assert not _is_registered(context, name), context.kv.values

    @staticmethod
    @then('the first host is registered without a renewal of its old lease')
    def check_registered_again(context: Any) -> None:
        """Wait for the entry; the old lease must not be renewed."""
        wait_until(lambda: _is_registered(context, 'first'))
        assert not context.kv.calls['keep_alive'], context.kv.calls


def _is_registered(context: Any, name: str) -> bool:
    return f'{HOST_PREFIX}{name}' in context.kv.values
