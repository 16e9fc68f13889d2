"""Steps on duties and the terms granted ahead."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_core.coordination.duty import Duty
from trefoilpulley_core.coordination.duty import ReleaseDuty
from trefoilpulley_core.coordination.shard import DatabaseRecord
from trefoilpulley_core.coordination.terms import has_grants
from trefoilpulley_core.coordination.terms import with_grants

NOWHERE = Endpoint('127.0.0.1', 1)
ENTRY = DatabaseEntry(
    'ledger/0',
    'ledger',
    tuple(MemberEntry(f'm-{z}', z, NOWHERE, 2, 16) for z in 'abc'),
)
RECORDED_TERM = 2


def _host(name: str, zone: str) -> HostEntry:
    return HostEntry(name, 'region', zone, NOWHERE, NOWHERE)


class DutySteps:
    """Lets one process hold the duty of a shard."""

    @staticmethod
    @given('a duty of home zone "a" held by a host of zone "{zone}"')
    def hold_duty(context: Any, zone: str) -> None:
        """Grant the lease and the duty while nobody else is there."""
        context.own = _host('own', zone)
        context.duty = duty = Duty('own#1')
        duty.on_tick((context.own,), (ENTRY,), 0.0)
        (context.shard,) = duty.views
        duty.on_lease(1, 1000.0, 0.0)
        duty.on_acquired(context.shard, 5, 0.0)

    @staticmethod
    @when('a host of zone "{zone}" has come first for {seconds:d} seconds')
    def outrank(context: Any, zone: str, seconds: int) -> None:
        """Let hosts come until one is first; tick every second."""
        number = 0
        hosts = (context.own,)
        while context.duty.succession.rank(context.shard, 'own') == 0:
            number += 1
            hosts = (*hosts, _host(f'other-{number}', zone))
            context.duty.on_tick(hosts, (ENTRY,), 0.0)
        context.commands = []
        for second in range(seconds + 1):
            context.commands += context.duty.on_tick(
                hosts, (ENTRY,), float(second)
            )

    @staticmethod
    @then('the duty is {outcome}')
    def check_duty(context: Any, outcome: str) -> None:
        """Look for the release."""
        is_released = any(isinstance(c, ReleaseDuty) for c in context.commands)
        assert is_released == (outcome == 'given back'), context.commands


class LeaseSteps:
    """Looks at the lease of a process."""

    @staticmethod
    @then('its lease holds for {left:g} seconds at {now:g}')
    def check_lease(context: Any, left: float, now: float) -> None:
        """Compare the time that is left."""
        assert context.duty.lease_left_s(now) == left


class TermSteps:
    """Grants terms ahead to several processes."""

    @staticmethod
    @given('a record whose acting process holds terms ahead')
    def make_record(context: Any) -> None:
        """Grant the first terms."""
        record = DatabaseRecord('ledger/0', term=RECORDED_TERM)
        context.record = with_grants(record, 'own#1', RECORDED_TERM)

    @staticmethod
    @when('{count:d} other processes claim terms ahead of it')
    def claim_others(context: Any, count: int) -> None:
        """Grant terms to others."""
        for number in range(count):
            context.record = with_grants(
                context.record, f'other-{number}#1', RECORDED_TERM
            )

    @staticmethod
    @when('its host starts anew and claims terms ahead')
    def claim_anew(context: Any) -> None:
        """Grant terms to the next process of the host."""
        context.record = with_grants(context.record, 'own#2', RECORDED_TERM)

    @staticmethod
    @then('the acting process still holds terms ahead')
    def check_held(context: Any) -> None:
        """Expect all grants of the acting process."""
        assert has_grants(context.record, 'own#1', RECORDED_TERM)

    @staticmethod
    @then('only the new process of the host holds terms')
    def check_new(context: Any) -> None:
        """Expect no grant of the earlier process."""
        holders = {grant.holder for grant in context.record.grants}
        assert holders == {'own#2'}, holders
