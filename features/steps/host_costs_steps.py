"""Steps on the calls of a host that starts among many."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from urllib.parse import parse_qs

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Success

from features.fakes.virtual_sleep import VirtualSleep
from trefoilpulley_core.direct.watch_pace import WatchPace
from trefoilpulley_core.keys import CLAIM_PREFIX
from trefoilpulley_core.keys import HOST_PREFIX
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_platform.kv_calls import OK
from trefoilpulley_platform.kv_calls import Reply
from trefoilpulley_platform.kv_watcher import KvWatcher

POLL_S = 0.001
"""Virtual time between two looks of a waiting call, in seconds."""

CALM_S = 1.0
"""Virtual time in which no key changes, in seconds."""

EPSILON_S = 2 * POLL_S
"""Delay that the looks of a waiting call may add, in seconds."""


@dataclass
class _WatchedService:
    """Service whose keys change at given times in virtual time."""

    time: VirtualSleep
    schedule: list[tuple[float, str]] = field(default_factory=list)
    watch_calls: int = 0
    era: int = 1

    def subscribe_restored(self, on_restored: Any) -> None:
        """Accept a subscriber; the service does not come back."""

    def call(self, *call: Any) -> Any:
        """Answer a read of the revision."""
        return Success(Reply(OK, {'store_revision': 0}, 1))

    def watch(self, path: str, timeout_s: float) -> Any:
        """Answer when a key has changed, or after the time to wait."""
        self.watch_calls += 1
        query = parse_qs(path.partition('?')[2])
        after = int(query['after'][0])
        ends_at = self.time.clock.now() + int(query['wait_ms'][0]) / 1000
        while True:
            now = self.time.clock.now()
            done = sum(1 for at, _ in self.schedule if at <= now)
            if done > after or now >= ends_at:
                rows = [
                    {'key': key, 'value': _VALUE, 'revision': number}
                    for number, (_, key) in enumerate(self.schedule[:done], 1)
                ]
                body = {'events': rows[after:], 'store_revision': done}
                return Success(Reply(OK, body, 1))
            gevent.sleep(POLL_S)


_VALUE = base64.b64encode(b'{}').decode()


class StartCostSteps:
    """Steps on the watch of one host."""

    @staticmethod
    @given('a host that watches a service with {count:d} hosts')
    def start(context: Any, count: int) -> None:
        """Create the watcher of a host that has read the entries."""
        context.time = VirtualSleep()
        context.service = _WatchedService(context.time)
        context.watcher = KvWatcher(
            context.service, WatchPace(), context.time.clock
        )
        context.watcher.on_read(
            KeyValue(f'{HOST_PREFIX}old-{n}', b'{}', 1) for n in range(count)
        )
        context.delays = []

    @staticmethod
    @when('{count:d} hosts register, one each {gap_ms:d} ms')
    def register(context: Any, count: int, gap_ms: int) -> None:
        """Watch until each registration has been reported."""
        keys = [f'{HOST_PREFIX}new-{n}' for n in range(count)]
        StartCostSteps._run(context, gap_ms, keys)

    @staticmethod
    @when(
        '{count:d} hosts register and then as many claims are written, one '
        'each {gap_ms:d} ms'
    )
    def register_and_claim(context: Any, count: int, gap_ms: int) -> None:
        """Let claims follow the registrations."""
        StartCostSteps._run(
            context,
            gap_ms,
            [f'{HOST_PREFIX}new-{n}' for n in range(count)]
            + [f'{CLAIM_PREFIX}group-{n}' for n in range(count)],
        )

    @staticmethod
    @then('the watch has made at most {count:d} calls')
    def check_calls(context: Any, count: int) -> None:
        """Compare the number of watch calls."""
        assert context.service.watch_calls <= count, (
            context.service.watch_calls
        )

    @staticmethod
    @then('it has reported {count:d} changes')
    def check_changes(context: Any, count: int) -> None:
        """Check that no change is lost and none reported twice."""
        assert len(context.delays) == count, len(context.delays)

    @staticmethod
    @then('no change was reported later than {delay_ms:d} ms')
    def check_delays(context: Any, delay_ms: int) -> None:
        """Compare the delays in virtual time."""
        longest = max(context.delays)
        assert longest <= delay_ms / 1000 + EPSILON_S, longest

    @staticmethod
    @then(
        'the last {count:d} changes were not reported later than '
        '{delay_ms:d} ms'
    )
    def check_last_delays(context: Any, count: int, delay_ms: int) -> None:
        """Compare the delays of the changes that came last."""
        longest = max(context.delays[-count:])
        assert longest <= delay_ms / 1000 + EPSILON_S, longest

    @staticmethod
    def _run(context: Any, gap_ms: int, keys: list[str]) -> None:
        time = context.time
        begin = time.clock.now() + CALM_S
        schedule = context.service.schedule = [
            (begin + n * gap_ms / 1000, key) for n, key in enumerate(keys)
        ]

        def on_change(change: KeyValue) -> None:
            at, _ = schedule[change.mod_revision - 1]
            context.delays.append(time.clock.now() - at)
            if len(context.delays) == len(schedule):
                context.watch.cancel()

        def watch() -> None:
            context.watch = context.watcher.watch(
                '', on_change, context.delays.append
            )

        time.run(watch)
