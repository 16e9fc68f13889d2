"""Steps for members that have announced their planned stop."""

from __future__ import annotations

from dataclasses import dataclass
import itertools
import json
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from features.fakes.asking import wait_until
from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_platform import FakePlatform
from features.fakes.host_settings import SETTINGS
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.direct.routes import RouteTable
from trefoilpulley_core.direct.watch_pace import WatchPace
from trefoilpulley_core.platform import WatchExpired
from trefoilpulley_core.platform import WatchPosition
from trefoilpulley_node.direct.config_holder import ConfigHolder
from trefoilpulley_node.direct.directory import GroupDirectory
from trefoilpulley_node.direct.platform_follower import PlatformFollower
from trefoilpulley_node.direct.primary_wait import PrimaryWait
from trefoilpulley_platform.documents import KvDocuments
from trefoilpulley_platform.kv_watcher import KvWatcher
from trefoilpulley_platform.platform_settings import parse_settings

ANSWER_INTERVAL_S = 0.5
"""Time between two answers of the service to a watch, in seconds."""


@dataclass
class _Host:
    """Host that follows the service."""

    follower: PlatformFollower
    directory: GroupDirectory
    wait: PrimaryWait

    @classmethod
    def start(cls, context: Any) -> _Host:
        """Start a host, and let it read and follow the service."""
        clock = context.clock
        directory = GroupDirectory('h', 'a', None, None, clock)
        route = Route('orders', 'ledger', ReadFreshness.PRIMARY, 5.0, 0.2, 1)
        directory.set_routes(RouteTable(1, {'orders': route}))
        follower = PlatformFollower(
            context.service,
            KvDocuments(),
            ConfigHolder(KvDocuments(), directory),
            directory,
            lambda hosts: None,
            lambda group, claim, entry: None,
            lambda group, roster, entry: None,
            lambda era: None,
            clock,
        )
        follower.start()
        context.cleanups.append(follower.stop)
        wait_until(lambda: follower.is_following)
        return cls(
            follower, directory, PrimaryWait(clock, context.cfg.proxy.drain_s)
        )


class LeavingMemberSteps:
    """Steps for the time for which a leaving member gets requests."""

    @staticmethod
    @given(
        'a host that follows members "p" and "r" and is told {drain_ms:d} ms '
        'to drain'
    )
    def start_host(context: Any, drain_ms: int) -> None:
        """Start a host with a setting for the time that a member serves."""
        lines = (*SETTINGS, f'bounds.drain_ms={drain_ms}')
        context.cfg = parse_settings('\n'.join(lines), '').unwrap()
        context.service = FakePlatform()
        context.clock = FakeClock()
        context.clock.at = 1000.0
        context.sequence = itertools.count(1)
        context.primary = 'p'
        for member in ('p', 'r'):
            LeavingMemberSteps._put(context, member, 'ready')
        context.host = _Host.start(context)
        LeavingMemberSteps._answer(context)

    @staticmethod
    @when('the host starts again')
    def restart(context: Any) -> None:
        """Replace the host with one that knows nothing."""
        context.host.follower.stop()
        context.host = _Host.start(context)

    @staticmethod
    @when('"{member}" announces its stop')
    def announce(context: Any, member: str) -> None:
        """Write the announcement, which the watch reports."""
        LeavingMemberSteps._put(context, member, 'draining')

    @staticmethod
    @when('"{member}" withdraws its stop')
    def withdraw(context: Any, member: str) -> None:
        """Write that the member is ready."""
        LeavingMemberSteps._put(context, member, 'ready')
        LeavingMemberSteps._answer(context)

    @staticmethod
    @when('"{member}" announces its stop while the watch is broken')
    def announce_unwatched(context: Any, member: str) -> None:
        """Write the announcement without a report."""
        context.broken, context.service.watches = context.service.watches, []
        LeavingMemberSteps._put(context, member, 'draining')

    @staticmethod
    @when('the host reads the service again')
    def read_again(context: Any) -> None:
        """End the broken watch, so that the host reads all entries."""
        reads = context.service.calls['get']
        for watch in context.broken:
            watch.on_failure(WatchExpired())
        wait_until(lambda: context.service.calls['get'] > reads)

    @staticmethod
    @when('{duration:d} s pass with answers of the service')
    def pass_answered(context: Any, duration: int) -> None:
        """Let time pass while the watch is answered."""
        for _ in range(round(duration / ANSWER_INTERVAL_S)):
            context.clock.at += ANSWER_INTERVAL_S
            LeavingMemberSteps._answer(context)

    @staticmethod
    @when('{duration:d} s pass without an answer of the service')
    def pass_silent(context: Any, duration: int) -> None:
        """Let time pass without an answer."""
        context.clock.at += duration

    @staticmethod
    @when(
        '{duration:d} s pass until the host reads an answer of the time before'
    )
    def pass_paused(context: Any, duration: int) -> None:
        """Report an answer that is as old as the pause of the host."""
        context.clock.at += duration
        for watch in context.service.watches:
            watch.on_answer(float(duration))

    @staticmethod
    @when('"{member}" becomes the primary')
    def promote(context: Any, member: str) -> None:
        """Let the entries tell another primary; the stop stays announced."""
        context.primary = member
        LeavingMemberSteps._put(context, member, 'draining')

    @staticmethod
    @then('requests go to "{member}"')
    def check_used(context: Any, member: str) -> None:
        """Check that the member is the primary and not lost."""
        group = context.host.directory.groups['ledger']
        assert group.state.primary == member, group.state.primary
        assert not context.host.wait.is_lost(group)

    @staticmethod
    @then('no request goes to "{member}"')
    def check_unused(context: Any, member: str) -> None:
        """Check that the primary counts as lost."""
        group = context.host.directory.groups['ledger']
        assert group.state.primary == member, group.state.primary
        assert context.host.wait.is_lost(group)

    @staticmethod
    def _answer(context: Any) -> None:
        for watch in context.service.watches:
            watch.answer()

    @staticmethod
    def _put(context: Any, member: str, state: str) -> None:
        is_primary = member == context.primary
        entry = {
            'service': 'ledger',
            'address': '127.0.0.1:1',
            'zone': 'a',
            'state': state,
            'db_role': 'primary' if is_primary else 'replica',
            'sequence': next(context.sequence),
            'born': 1,
        }
        key = f'servers/{member}'
        context.service.put(key, json.dumps(entry).encode())


class LateAnswerSteps:
    """Steps for answers of a watch that a host reads late."""

    @staticmethod
    @given('a watch whose answers a paused host reads {late_s:d} s late')
    def watch(context: Any, late_s: int) -> None:
        """Run a watch whose second call ends it."""
        clock = FakeClock()
        context.ages = []
        body = {'events': [], 'store_revision': 7}
        answers = iter([SimpleNamespace(status=200, era=1, body=body)])

        def answer(path: str, timeout_s: float) -> Any:
            hold_s = int(path.rpartition('wait_ms=')[2]) / 1000
            clock.at += hold_s + late_s
            reply = next(answers, None)
            if reply is None:
                return Success(SimpleNamespace(status=410, era=1, body={}))
            return Success(reply)

        calls = SimpleNamespace(
            era=1, watch=answer, subscribe_restored=lambda on_restored: None
        )
        watcher = KvWatcher(calls, WatchPace(), clock)
        watcher.resume(WatchPosition(1, 7))
        failures = []
        watcher.watch(
            '', lambda change: None, failures.append, context.ages.append
        )
        wait_until(lambda: failures)

    @staticmethod
    @then('each answer is reported as {late_s:d} s old')
    def check_ages(context: Any, late_s: int) -> None:
        """Compare the reported ages."""
        assert len(context.ages) == 1, context.ages
        assert abs(context.ages[0] - late_s) < 1e-6, context.ages
