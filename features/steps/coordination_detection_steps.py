"""Steps on the evidence about a primary."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Success

from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_core.coordination.commands import CallDone
from trefoilpulley_core.coordination.detection import FailureDetector
from trefoilpulley_core.coordination.polling import ProbeSchedule
from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.upstream import MemberStatus

NOWHERE = Endpoint('127.0.0.1', 1)
ENTRY = DatabaseEntry(
    'ledger/0',
    'ledger',
    tuple(MemberEntry(name, name, NOWHERE, 2, 16) for name in 'bac'),
)


def _status(name: str, contact_age_ms: int) -> MemberStatus:
    return MemberStatus(
        name,
        name == 'b',
        1,
        1,
        LogHistory(),
        primary_contact_age_ms=contact_age_ms,
    )


class DetectionSteps:
    """Feeds a detector with answers and losses."""

    @staticmethod
    @given('a detector that heard members a, b and c at {at:g}, b leading')
    def make_detector(context: Any, at: float) -> None:
        """Let all three answer once."""
        context.detector = FailureDetector(ENTRY)
        for name in 'abc':
            context.detector.on_status(_status(name, 0), at)

    @staticmethod
    @when('the probe of "{name}" that left at {at:g} is lost')
    def lose_probe(context: Any, name: str, at: float) -> None:
        """Lose one probe."""
        context.detector.on_probe_failed(name, at, False)

    @staticmethod
    @when(
        '"{name}" answers the probe of {at:g} without contact for {age:d} ms'
    )
    def answer_probe(context: Any, name: str, at: float, age: int) -> None:
        """Answer one probe."""
        context.detector.on_status(_status(name, age), at)

    @staticmethod
    @then('the verdict at {now:g} is "{verdict}"')
    def check_verdict(context: Any, now: float, verdict: str) -> None:
        """Compare the verdict."""
        found = context.detector.verdict(now)
        assert found == verdict, found

    @staticmethod
    @then('more evidence is needed')
    def check_doubt(context: Any) -> None:
        """Expect a doubt newer than the leader's answer."""
        assert context.detector.has_primary_contact_loss

    @staticmethod
    @then('no more evidence is needed')
    def check_no_doubt(context: Any) -> None:
        """Expect that the leader has answered since."""
        assert not context.detector.has_primary_contact_loss


class PollingSteps:
    """Probes members at intervals."""

    @staticmethod
    @given('probes of three members every {interval:g} seconds from {at:g}')
    def make_polling(context: Any, interval: float, at: float) -> None:
        """Send and answer the first probes."""
        context.polling = ProbeSchedule(ENTRY)
        context.interval_s = interval
        PollingSteps._tick(context, at)
        context.polling.is_urgent = False
        for step in range(1, 5):
            PollingSteps._tick(context, at + step / 10)

    @staticmethod
    @when('evidence is needed urgently at {now:g}')
    def become_urgent(context: Any, now: float) -> None:
        """Raise the urgency."""
        context.polling.is_urgent = True
        context.probed = set(PollingSteps._tick(context, now))

    @staticmethod
    @then('each member is probed again by {until:g}')
    def check_probed(context: Any, until: float) -> None:
        """Expect a probe of each member."""
        for step in range(51, round(until * 100) + 1):
            context.probed.update(PollingSteps._tick(context, step / 100))
        assert context.probed == {'a', 'b', 'c'}, context.probed

    @staticmethod
    @when('{seconds:d} seconds pass')
    def pass_time(context: Any, seconds: int) -> None:
        """Note the time of each calm probe after the first round."""
        times = [step / 20 for step in range(8, seconds * 20)]
        probes = [
            time for time in times for _ in PollingSteps._tick(context, time)
        ]
        context.probes = probes[len(ENTRY.members) :]

    @staticmethod
    @then('at most one member is probed in any half second')
    def check_spread(context: Any) -> None:
        """Compare the distances of successive probes."""
        pairs = zip(context.probes, context.probes[1:])
        assert len(context.probes) > 6
        assert all(b - a >= 0.5 for a, b in pairs), context.probes

    @staticmethod
    def _tick(context: Any, now: float) -> list[str]:
        calls = context.polling.on_tick(context.interval_s, now)
        for call in calls:
            reply = Success(_status(call.member, 0))
            context.polling.on_call_done(CallDone(call, now, reply, True))
        return [call.member for call in calls]
