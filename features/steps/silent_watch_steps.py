"""Steps on hosts whose watch calls are lost in a silence of the service."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.fake_entry_parts import FakeClock
from features.fakes.host_settings import SETTINGS
from features.fakes.watch_fleet import WatchFleet
from trefoilpulley_core.direct.change_history import ChangeHistory
from trefoilpulley_core.direct.watch_pace import WatchPace
from trefoilpulley_core.direct.watch_relay_messages import ChangesQuestion
from trefoilpulley_core.direct.watch_relay_messages import ChangesStatus
from trefoilpulley_core.platform import WatchPosition
from trefoilpulley_node.direct.change_relay import ChangeRelay
from trefoilpulley_platform.documents import KvDocuments
from trefoilpulley_platform.platform_settings import parse_settings

SETTLE_S = 12.0
"""Time in which the hosts begin to follow the service, in seconds."""

ANSWER_S = 0.1
"""Time in which the answer to every open call arrives, in seconds."""

SILENCE_S = 0.7
"""Time in which the next call of every host begins, in seconds."""

RETURN_S = 2.0
"""Time until a member that lives has its entry back, in seconds."""

STEP_S = 0.05
"""Time between two looks at the hosts, in seconds."""

VERSION = 2
"""Version of the configuration that is written after the silence."""

MEMBER = 'm6'
"""Member that the service lists."""


class SilentWatchSteps:
    """Steps on a service that is silent and well again."""

    @staticmethod
    @given(
        '{hosts:d} hosts of {zones:d} zones with a bound of {bound:d} s that '
        'follow the service'
    )
    def settle(context: Any, hosts: int, zones: int, bound: int) -> None:
        """Start hosts and let them follow."""
        context.fleet = WatchFleet(hosts, zones, bound_s=bound)
        context.cleanups.append(context.fleet.stop)
        context.fleet.start()
        for _ in range(6):
            context.fleet.change_members()
        context.fleet.run(SETTLE_S)

    @staticmethod
    @when(
        'the service forgets the next calls, and the configuration changes '
        'after it'
    )
    def change_after_silence(context: Any) -> None:
        """Write a configuration when the service is well again."""
        context.fleet.change_members()
        _forget_calls(context.fleet)
        context.changed_at = context.fleet.now
        context.fleet.configure(VERSION)

    @staticmethod
    @when('the service is silent for {duration:g} s')
    def be_silent(context: Any, duration: float) -> None:
        """Record which hosts count the service as followed."""
        fleet = context.fleet
        _set_silent(fleet, True)
        context.followed = []
        for _ in range(round(duration / STEP_S)):
            fleet.run(STEP_S)
            context.followed.append(
                {h.name for h in fleet.live_hosts() if h.follower.is_following}
            )
        _set_silent(fleet, False)

    @staticmethod
    @when(
        'the entry of a member expires, the service forgets the next calls, '
        'and the entry returns'
    )
    def expire(context: Any) -> None:
        """Write the entry again while every host waits for a lost call."""
        fleet = context.fleet
        key = f'servers/{MEMBER}'
        entry = fleet.service.find(key)
        fleet.service.remove(key)
        expired_at = fleet.now
        _forget_calls(fleet)
        fleet.run(expired_at + RETURN_S - fleet.now)
        fleet.service.put(key, entry.replace(b'"born": 1', b'"born": 2'))

    @staticmethod
    @given('a relay that the service has answered')
    def make_relay(context: Any) -> None:
        """Create a relay whose watch has come to a position."""
        context.clock = FakeClock()
        context.position = WatchPosition(1, 100)
        context.relay = ChangeRelay(
            ChangeHistory(), KvDocuments(), lambda: None, context.clock
        )
        context.relay.on_progress(context.position)

    @staticmethod
    @when('{duration:d} s pass without another answer')
    def pass_time(context: Any, duration: int) -> None:
        """Let time pass."""
        context.clock.at += duration

    @staticmethod
    @then('its answer to another host is {age_ms:d} ms old')
    def check_age(context: Any, age_ms: int) -> None:
        """Check the age that the relay tells."""
        position = context.position
        question = ChangesQuestion(position.era, position.revision, 0)
        answer = context.relay.on_question(question)
        assert answer.status is ChangesStatus.OK, answer
        assert answer.age_ms == age_ms, answer

    @staticmethod
    @given('platform settings with a bound of {bound}')
    def set_bound(context: Any, bound: str) -> None:
        """Read the settings of a host."""
        lines = [*SETTINGS]
        if bound != 'nothing':
            lines.append(f'bounds.config_apply_ms={bound.split()[0]}')
        context.cfg = parse_settings('\n'.join(lines)).unwrap()

    @staticmethod
    @then('a watch call is held for {hold:d} ms')
    def check_hold(context: Any, hold: int) -> None:
        """Check the hold that follows from the settings."""
        pace = WatchPace(context.cfg.configuration_bound_s)
        assert pace.wait_ms == hold, pace.wait_ms

    @staticmethod
    @then('no host that has lost the service counts it as followed meanwhile')
    def check_followed(context: Any) -> None:
        """Check that no host follows the service again without an answer."""
        lost: set[str] = set()
        previous = context.followed[0]
        for followed in context.followed:
            lost |= previous - followed
            previous = followed
            assert not lost & followed, lost & followed
        assert lost, 'no host has noticed the silence'

    @staticmethod
    @then('no host removes the member')
    def check_kept(context: Any) -> None:
        """Look at the members of each host until all have caught up."""
        fleet = context.fleet
        for _ in range(round(SETTLE_S / STEP_S)):
            fleet.run(STEP_S)
            without = [
                h.name
                for h in fleet.live_hosts()
                if MEMBER not in h.directory.members
            ]
            assert not without, without


def _forget_calls(fleet: WatchFleet) -> None:
    """Answer the open calls, and lose those that follow them."""
    fleet.run(ANSWER_S)
    _set_silent(fleet, True)
    fleet.run(SILENCE_S)
    _set_silent(fleet, False)


def _set_silent(fleet: WatchFleet, is_silent: bool) -> None:
    for host in fleet.hosts.values():
        host.link.is_silent = is_silent
