"""Steps on a host that follows the platform's service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import itertools
import json
from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Result

from features.fakes.asking import wait_until
from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_platform import FakeCopy
from features.fakes.fake_platform import FakePlatform
from features.fakes.recorded_directory import RecordedDirectory
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.keys import HOST_PREFIX
from trefoilpulley_core.platform import PrefixRead
from trefoilpulley_core.platform import WatchExpired
from trefoilpulley_node.direct.config_holder import ConfigHolder
from trefoilpulley_node.direct.host_registration import write_host
from trefoilpulley_node.direct.platform_follower import PlatformFollower
from trefoilpulley_node.direct.platform_follower import REMOVAL_GRACE_S
from trefoilpulley_platform.documents import KvDocuments

BROKEN_MEMBER = 'm0'
"""Member whose entry the directory of the test can't apply."""


@dataclass
class _PagedPlatform(FakePlatform):
    """Service on which keys change after the last page of a read."""

    after_pages: Callable[[], None] | None = None

    def get_prefix(self, prefix: str) -> Result[PrefixRead, Failure]:
        """Read the keys, then let them change before the answer arrives."""
        result = super().get_prefix(prefix)
        change, self.after_pages = self.after_pages, None
        if change is not None:
            change()
        return result


class _BrokenDirectory(RecordedDirectory):
    """Directory that can't apply the entry of one member."""

    def set_member(self, record: MemberRecord) -> None:
        """Add or update a member."""
        if record.member == BROKEN_MEMBER:
            raise RuntimeError('unexpected error of the test')
        super().set_member(record)


class FollowingSteps:
    """Steps on `PlatformFollower`."""

    @staticmethod
    @given('a service that lists member "{member}"')
    def list_member(context: Any, member: str) -> None:
        """Create the service and a host that has not read it yet."""
        context.service = _PagedPlatform()
        context.directory = _BrokenDirectory()
        context.clock = FakeClock()
        context.sequence = itertools.count(1)
        context.follower = PlatformFollower(
            context.service,
            KvDocuments(),
            ConfigHolder(KvDocuments(), context.directory),
            context.directory,
            lambda hosts: None,
            lambda group, claim, entry: None,
            lambda group, roster, entry: None,
            lambda era: None,
            context.clock,
        )
        _put(context, member, 'ready')

    @staticmethod
    @given('a host that has read the service')
    def read(context: Any) -> None:
        """Start the host and wait until it follows the service."""
        context.follower.start()
        context.cleanups.append(context.follower.stop)
        wait_until(lambda: context.follower.is_following)

    @staticmethod
    @when(
        'a host reads the service and "{member}" is {change} after its page '
        'was read'
    )
    def read_during_change(context: Any, member: str, change: str) -> None:
        """Change a member between the answer to a read and its arrival."""

        def apply_change() -> None:
            if change in ('deleted', 'replaced'):
                context.service.put(f'servers/{member}', b'')
            if change in ('added', 'replaced'):
                _put(context, member, 'ready')

        context.service.after_pages = apply_change
        FollowingSteps.read(context)

    @staticmethod
    @when('"{member}" is deleted while the watch of the host is broken')
    def delete_unwatched(context: Any, member: str) -> None:
        """Delete a member without an event for the host."""
        context.broken, context.service.watches = context.service.watches, []
        context.service.put(f'servers/{member}', b'')

    @staticmethod
    @when('the service has lost its history')
    def lose_history(context: Any) -> None:
        """Report the lost history to the broken watch."""
        reads = context.service.calls['get']
        for watch in context.broken:
            watch.on_failure(WatchExpired())
        wait_until(lambda: context.service.calls['get'] > reads)

    @staticmethod
    @when(
        'the service loses the entry of "{member}" by its return from a copy'
    )
    def lose_entry(context: Any, member: str) -> None:
        """Add a member and other keys after a copy, and restore the copy."""
        copy = context.service.take_copy()
        for _ in range(5):
            context.service.put('other', b'x')
        _put(context, member, 'ready')
        _restore(context, copy)

    @staticmethod
    @when('the service loses by its return from a copy that "{member}" leaves')
    def lose_leaving(context: Any, member: str) -> None:
        """Let a member announce its stop, and restore an older copy."""
        copy = context.service.take_copy()
        _put(context, member, 'draining')
        _restore(context, copy)

    @staticmethod
    @when(
        'the service loses by its return from a copy that "{member}" was '
        'deleted'
    )
    def lose_deletion(context: Any, member: str) -> None:
        """Let a member leave, and restore an older copy."""
        copy = context.service.take_copy()
        context.service.put(f'servers/{member}', b'')
        _pass_grace(context)
        _restore(context, copy)

    @staticmethod
    @when(
        'the service loses the registration of "{name}" by its return from a '
        'copy'
    )
    def lose_host(context: Any, name: str) -> None:
        """Register a host, and restore a copy from before."""
        copy = context.service.take_copy()
        _register(context, name)
        _restore(context, copy)
        wait_until(lambda: context.follower.is_following)

    @staticmethod
    @when('the service is down during the grace period')
    def take_down(context: Any) -> None:
        """Let the grace period pass while nothing can be followed."""
        context.service.take_down()
        wait_until(lambda: not context.follower.is_following)
        _pass_grace(context)

    @staticmethod
    @when('the service is followed again')
    def bring_up(context: Any) -> None:
        """End the outage and wait until the host follows the service."""
        context.service.is_down = False
        wait_until(lambda: context.follower.is_following)

    @staticmethod
    @when('the service returns from a copy once more within the grace period')
    def restore_again(context: Any) -> None:
        """Return half-way, and let the rest of the first period pass."""
        context.clock.at += REMOVAL_GRACE_S / 2
        _restore(context, context.service.take_copy())
        wait_until(lambda: context.follower.is_following)
        context.clock.at += REMOVAL_GRACE_S / 2
        context.service.answer_watches()
        context.follower.remove_expired()

    @staticmethod
    @when('"{member}" is deleted and the service does not answer any more')
    def delete_before_silence(context: Any, member: str) -> None:
        """Let the grace period pass without an answer."""
        context.service.put(f'servers/{member}', b'')
        context.clock.at += REMOVAL_GRACE_S
        context.follower.remove_expired()

    @staticmethod
    @then('the host has the members "{members}"')
    def check_kept(context: Any, members: str) -> None:
        """Check which members are in use now."""
        found = sorted(context.directory.members)
        assert found == members.split(), found

    @staticmethod
    @when('"{name}" registers and stops')
    def stop_host(context: Any, name: str) -> None:
        """Register a host and delete its entry."""
        _register(context, name)
        context.service.put(f'{HOST_PREFIX}{name}', b'')

    @staticmethod
    @then('the host knows the hosts "{names}"')
    def check_hosts(context: Any, names: str) -> None:
        """Check which hosts are known."""
        found = [h.name for h in context.follower.hosts]
        assert found == names.split(), found

    @staticmethod
    @then('the host knows no host')
    def check_no_host(context: Any) -> None:
        """Check that no host is known."""
        assert not context.follower.hosts, context.follower.hosts

    @staticmethod
    @then('after the grace period it knows no host')
    def check_no_host_later(context: Any) -> None:
        """Let the grace period pass and check the hosts."""
        _pass_grace(context)
        FollowingSteps.check_no_host(context)

    @staticmethod
    @when('member "{member}" writes its entry again')
    def write_again(context: Any, member: str) -> None:
        """Write the next entry of a member that is alive."""
        _put(context, member, 'ready')

    @staticmethod
    @then('the host has no member')
    def check_none(context: Any) -> None:
        """Check that no member is in use."""
        assert not context.directory.members, context.directory.members

    @staticmethod
    @when('member "{member}" reports that it is leaving')
    def leave(context: Any, member: str) -> None:
        """Announce the stop of a member."""
        _put(context, member, 'draining')

    @staticmethod
    @when('an entry of member "{member}" fails with an unexpected error')
    def break_entry(context: Any, member: str) -> None:
        """Publish an entry that the directory can't apply."""
        _put(context, member, 'ready')

    @staticmethod
    @then('after the grace period the host has no member')
    def check_no_member(context: Any) -> None:
        """Check that every member was removed."""
        _pass_grace(context)
        assert not context.directory.members, context.directory.members

    @staticmethod
    @then('after the grace period the host has the members "{members}"')
    def check_members(context: Any, members: str) -> None:
        """Check which members are in use."""
        _pass_grace(context)
        found = sorted(context.directory.members)
        assert found == members.split(), found

    @staticmethod
    @then('the host knows that "{member}" is leaving')
    def check_leaving(context: Any, member: str) -> None:
        """Check that the newest entry of a member is in use."""
        assert context.directory.members[member].is_leaving


def _put(context: Any, member: str, state: str) -> None:
    """Write the entry of a member as the member does."""
    entry = {
        'service': 'ledger',
        'address': '127.0.0.1:1',
        'zone': 'a',
        'db_role': 'primary',
        'state': state,
        'sequence': next(context.sequence),
        'born': 1,
    }
    context.service.put(f'servers/{member}', json.dumps(entry).encode())


def _register(context: Any, name: str) -> None:
    """Write the entry of a host; the host must have read it."""
    endpoint = Endpoint('127.0.0.1', 1)
    entry = HostEntry(name, 'here', 'a', endpoint, endpoint)
    context.service.put(f'{HOST_PREFIX}{name}', write_host(entry))
    assert [h.name for h in context.follower.hosts] == [name]


def _restore(context: Any, copy: FakeCopy) -> None:
    """Restore a copy and wait until the host has read it."""
    reads = context.service.calls['get']
    context.service.restore(copy)
    wait_until(lambda: context.service.calls['get'] > reads)


def _pass_grace(context: Any) -> None:
    """Let the grace period of removed members pass, and the service answer."""
    context.clock.at += REMOVAL_GRACE_S
    context.service.answer_watches()
    context.follower.remove_expired()
