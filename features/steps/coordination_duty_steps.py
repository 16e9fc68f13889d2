"""Steps on duties and on terms that are granted in advance."""

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
    """Steps on the duty of one shard."""

    @staticmethod
    @given('a duty with home zone "a" that is held by a host of zone "{zone}"')
    def hold_duty(context: Any, zone: str) -> None:
        """Grant the lease and the duty to the only host."""
        context.own = _host('own', zone)
        context.duty = duty = Duty('own#1')
        duty.on_tick((context.own,), (ENTRY,), 0.0)
        (context.shard,) = duty.views
        duty.on_lease(1, 1000.0, 0.0)
        duty.on_acquired(context.shard, 5, 0.0)

    @staticmethod
    @when('a host of zone "{zone}" has ranked first for {seconds:d} seconds')
    def outrank(context: Any, zone: str, seconds: int) -> None:
        """Add hosts until another one ranks first; tick every second."""
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
        """Compare whether the duty was released."""
        is_released = any(isinstance(c, ReleaseDuty) for c in context.commands)
        assert is_released == (outcome == 'given back'), context.commands


class LeaseSteps:
    """Steps on the lease of a process."""

    @staticmethod
    @then('the remaining time of its lease is {left:g} seconds at {now:g}')
    def check_lease(context: Any, left: float, now: float) -> None:
        """Compare the remaining time of the lease."""
        assert context.duty.lease_left_s(now) == left


class TermSteps:
    """Steps that grant terms in advance to several processes."""

    @staticmethod
    @given('a record with terms granted in advance to the acting process')
    def make_record(context: Any) -> None:
        """Grant terms to the acting process."""
        record = DatabaseRecord('ledger/0', term=RECORDED_TERM)
        context.record = with_grants(record, 'own#1', RECORDED_TERM)

    @staticmethod
    @when('{count:d} other processes are granted terms')
    def grant_others(context: Any, count: int) -> None:
        """Grant terms to processes of other hosts."""
        for number in range(count):
            context.record = with_grants(
                context.record, f'other-{number}#1', RECORDED_TERM
            )

    @staticmethod
    @when('a new process of the same host is granted terms')
    def grant_new_process(context: Any) -> None:
        """Grant terms to the next process of the host."""
        context.record = with_grants(context.record, 'own#2', RECORDED_TERM)

    @staticmethod
    @then('the acting process still has its granted terms')
    def check_granted(context: Any) -> None:
        """Expect that the acting process has all its grants."""
        assert has_grants(context.record, 'own#1', RECORDED_TERM)

    @staticmethod
    @then('only the new process of the host has granted terms')
    def check_only_new(context: Any) -> None:
        """Expect grants of the new process only."""
        holders = {grant.holder for grant in context.record.grants}
        assert holders == {'own#2'}, holders
