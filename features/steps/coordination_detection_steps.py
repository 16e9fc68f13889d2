"""Steps on the failure detection of a primary."""

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
from trefoilpulley_core.coordination.probe_schedule import ProbeSchedule
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
    """Steps that pass answers and lost probes to a failure detector."""

    @staticmethod
    @given(
        'a failure detector with answers of members a, b and c at {at:g} and '
        'primary b'
    )
    def make_detector(context: Any, at: float) -> None:
        """Process one answer of each member."""
        context.detector = FailureDetector(ENTRY)
        for name in 'abc':
            context.detector.on_status(_status(name, 0), at)

    @staticmethod
    @when('the probe sent to "{name}" at {at:g} is lost')
    def lose_probe(context: Any, name: str, at: float) -> None:
        """Record a probe as lost."""
        context.detector.on_probe_failed(name, at, False)

    @staticmethod
    @when(
        '"{name}" answers the probe sent at {at:g} with its last contact to '
        'the primary {age:d} ms ago'
    )
    def answer_probe(context: Any, name: str, at: float, age: int) -> None:
        """Process the answer to one probe."""
        context.detector.on_status(_status(name, age), at)

    @staticmethod
    @then('the verdict at {now:g} is "{verdict}"')
    def check_verdict(context: Any, now: float, verdict: str) -> None:
        """Compare the verdict with the expected one."""
        found = context.detector.verdict(now)
        assert found == verdict, found

    @staticmethod
    @then('the detector reports a loss of primary contact')
    def check_contact_loss(context: Any) -> None:
        """Expect a contact loss newer than the primary's answer."""
        assert context.detector.has_primary_contact_loss

    @staticmethod
    @then('the detector reports no loss of primary contact')
    def check_no_contact_loss(context: Any) -> None:
        """Expect that the primary has answered since the contact loss."""
        assert not context.detector.has_primary_contact_loss


class ProbeScheduleSteps:
    """Steps on the intervals at which members are probed."""

    @staticmethod
    @given(
        'a schedule that probes three members every {interval:g} seconds '
        'from {at:g}'
    )
    def make_schedule(context: Any, interval: float, at: float) -> None:
        """Make a schedule and answer its first probes."""
        context.schedule = ProbeSchedule(ENTRY)
        context.interval_s = interval
        ProbeScheduleSteps._tick(context, at)
        context.schedule.is_urgent = False
        for step in range(1, 5):
            ProbeScheduleSteps._tick(context, at + step / 10)

    @staticmethod
    @when('the probe schedule becomes urgent at {now:g}')
    def become_urgent(context: Any, now: float) -> None:
        """Make the schedule urgent and collect its first probes."""
        context.schedule.is_urgent = True
        context.probed = set(ProbeScheduleSteps._tick(context, now))

    @staticmethod
    @then('each member is probed again by {until:g}')
    def check_probed(context: Any, until: float) -> None:
        """Expect a probe of each member until the given time."""
        for step in range(51, round(until * 100) + 1):
            context.probed.update(
                ProbeScheduleSteps._tick(context, step / 100)
            )
        assert context.probed == {'a', 'b', 'c'}, context.probed

    @staticmethod
    @when('{seconds:d} seconds pass')
    def pass_time(context: Any, seconds: int) -> None:
        """Collect the times of the probes after the first round."""
        times = [step / 20 for step in range(8, seconds * 20)]
        probe_times = [
            time
            for time in times
            for _ in ProbeScheduleSteps._tick(context, time)
        ]
        context.probe_times = probe_times[len(ENTRY.members) :]

    @staticmethod
    @then('at most one member is probed in any half second')
    def check_spread(context: Any) -> None:
        """Expect at least 0.5 s between successive probes."""
        pairs = zip(context.probe_times, context.probe_times[1:])
        assert len(context.probe_times) > 6
        assert all(b - a >= 0.5 for a, b in pairs), context.probe_times

    @staticmethod
    def _tick(context: Any, now: float) -> list[str]:
        calls = context.schedule.on_tick(context.interval_s, now)
        for call in calls:
            reply = Success(_status(call.member, 0))
            context.schedule.on_call_done(CallDone(call, now, reply, True))
        return [call.member for call in calls]
