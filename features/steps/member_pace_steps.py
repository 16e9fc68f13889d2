"""Steps on the pace of members that start or recover."""

from __future__ import annotations

import math
from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.pace_replay import PaceFigures
from features.fakes.pace_replay import replay
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.evidence import Evidence
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.placement import place_read
from trefoilpulley_core.position import BEGINNING

USUAL_S = 0.025
"""Duration of the work at members that are warm, in seconds."""

SEEDS = range(3)
"""Seeds of the replays."""


class MemberPaceSteps:
    """Steps on one host's pace of the members of a group."""

    @staticmethod
    @given('a host that has seen {count:d} answers of the members')
    def start(context: Any, count: int) -> None:
        """Create a group of three members."""
        context.now = 100.0
        context.born = dict.fromkeys(('m0', 'm1', 'm2'), 1)
        context.primary = 'm0'
        context.group = GroupState('g')
        _update(context)
        for _ in range(count):
            _answer(context, 'm1', USUAL_S)

    @staticmethod
    @when('the member "{name}" {change}')
    def change(context: Any, name: str, change: str) -> None:
        """Change a member."""
        if change == 'restarts':
            context.born[name] += 1
        elif change == 'joins anew':
            born = context.born.pop(name)
            _update(context)
            context.born[name] = born
        elif change == 'recovers':
            context.group.members[name].on_unreachable(context.now)
            _answer(context, name, USUAL_S)
        elif change == 'is promoted':
            context.primary = name
        else:
            raise AssertionError(change)
        _update(context)

    @staticmethod
    @when('"{name}" answers {count:d} times in {took_ms:d} ms')
    def answer(context: Any, name: str, count: int, took_ms: int) -> None:
        """Answer one statement after the other."""
        for _ in range(count):
            _answer(context, name, took_ms / 1000)

    @staticmethod
    @when('"{name}" refuses {count:d} statements')
    def refuse(context: Any, name: str, count: int) -> None:
        """Refuse one statement after the other."""
        for _ in range(count):
            context.now += 0.2
            context.group.members[name].pace.on_busy(context.now)

    @staticmethod
    @when('the members "{names}" do not answer')
    def fail(context: Any, names: str) -> None:
        """Let members be unreachable."""
        for name in names.split():
            context.group.members[name].on_unreachable(context.now)

    @staticmethod
    @then('"{name}" gets the part {part:f} of its share')
    def check_part(context: Any, name: str, part: float) -> None:
        """Check the part."""
        pace = context.group.members[name].pace
        assert math.isclose(pace.fraction, part), pace.fraction

    @staticmethod
    @then(
        '"{name}" gets the part {part:f} of its share for the reason '
        '"{reason}"'
    )
    def check_reason(
        context: Any, name: str, part: float, reason: str
    ) -> None:
        """Check the part and its reason."""
        MemberPaceSteps.check_part(context, name, part)
        assert context.group.members[name].pace.reason.value == reason

    @staticmethod
    @then('the other members are not paced')
    def check_others(context: Any) -> None:
        """Check that other members are as before."""
        for name in ('m0', 'm1'):
            pace = context.group.members[name].pace
            assert pace.reason is None, name
            assert pace.cap(7) == 7 and pace.admits_read(100), name

    @staticmethod
    @then('a limit of {limit:d} {verb} {cap:d} at "{name}"')
    def check_cap(
        context: Any, limit: int, verb: str, cap: int, name: str
    ) -> None:
        """Check how many statements may be in flight."""
        assert context.group.members[name].pace.cap(limit) == cap, verb

    @staticmethod
    @then('the steps were "{steps}"')
    def check_steps(context: Any, steps: str) -> None:
        """Check all steps that are logged."""
        notices = context.group.members['m2'].pace.take_notices()
        assert [n.step.value for n in notices] == steps.split(), notices

    @staticmethod
    @then('the first steps were "{steps}"')
    def check_first_steps(context: Any, steps: str) -> None:
        """Check the steps that are logged first."""
        notices = context.group.members['m2'].pace.take_notices()
        names = [n.step.value for n in notices]
        assert names[: len(steps.split())] == steps.split(), notices

    @staticmethod
    @then('reads go to "{name}"')
    def check_reads(context: Any, name: str) -> None:
        """Check that each read goes to a member."""
        assert _count_reads(context, name, 10) == 10

    @staticmethod
    @then('{count:d} of {total:d} reads go to "{name}"')
    def check_share(context: Any, count: int, total: int, name: str) -> None:
        """Check the part of the reads that go to a member."""
        # The other replica is slow, so that all reads would go to this one.
        context.group.members['m1'].on_served(0.1, context.now)
        assert _count_reads(context, name, total) == count


class PaceReplaySteps:
    """Steps that compare the ways to treat a member that starts."""

    @staticmethod
    @when('"{name}" is replayed at {hosts:d} hosts')
    def run(context: Any, name: str, hosts: int) -> None:
        """Replay without a pace, with a fixed ramp and with the pace."""
        context.figures = {
            way: [replay(name, way, seed, hosts) for seed in SEEDS]
            for way in ('none', 'ramp', 'pace')
        }

    @staticmethod
    @then('the pace has at most {part:f} of the refusals without one')
    def check_refused(context: Any, part: float) -> None:
        """Compare the refusals at the member."""
        refused = {
            way: sum(f.refused for f in figures)
            for way, figures in context.figures.items()
        }
        assert refused['pace'] <= part * refused['none'], refused

    @staticmethod
    @then('no more late requests than without a pace and {more:d}')
    def check_late(context: Any, more: int) -> None:
        """Compare the late requests at the member."""
        late = {
            way: sum(f.late for f in figures)
            for way, figures in context.figures.items()
        }
        assert late['pace'] <= late['none'] + more, late

    @staticmethod
    @then('the member has its fair share within {limit_s:d} s')
    def check_fair(context: Any, limit_s: int) -> None:
        """Check the time until the fair share."""
        times = [_fair_s(f) for f in context.figures['pace']]
        assert max(times) <= limit_s, times

    @staticmethod
    @then('the pace reaches the fair share sooner than the ramp')
    def check_sooner(context: Any) -> None:
        """Compare the time until the fair share."""
        pace_s, ramp_s = (
            sorted(_fair_s(f) for f in context.figures[way])[1]
            for way in ('pace', 'ramp')
        )
        assert pace_s < ramp_s, (pace_s, ramp_s)


def _fair_s(figures: PaceFigures) -> float:
    return math.inf if figures.fair_s is None else figures.fair_s


def _update(context: Any) -> None:
    context.group.update(
        MemberRecord(
            name,
            'g',
            Endpoint('127.0.0.1', 1),
            'a',
            name == context.primary,
            False,
            born,
        )
        for name, born in context.born.items()
    )


def _answer(context: Any, name: str, took_s: float) -> None:
    context.now += took_s
    health = context.group.members[name]
    health.on_answer(context.now, BEGINNING)
    health.pace.on_served('read', took_s, context.now)


def _count_reads(context: Any, name: str, total: int) -> int:
    floor = Evidence(context.now - 1, BEGINNING)
    return sum(
        place_read(context.group, floor, 'a', frozenset(), context.now).member
        == name
        for _ in range(total)
    )
