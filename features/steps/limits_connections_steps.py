"""Steps on the connections of a member."""

from __future__ import annotations

import random
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.connection_budget import ConnectionBudget
from trefoilpulley_core.connection_pacer import ConnectionRateLimiter
from trefoilpulley_standins.policy_connections import ConnectionRun

SEEDS = 20
"""Seeds of each replay."""

CONNECT_S = 0.012
"""Time that a connection takes, in seconds."""


class _CountlessBudget(ConnectionBudget):
    """Deliberate fault: takes half of the limit, whatever is open."""

    def allowance(self, now: float) -> int:
        """Return half of the limit."""
        return self._usable // 2


class LimitsConnectionsSteps:
    """Steps that count and pace connections."""

    @staticmethod
    @given('a connection budget for {limit:d} connections and {slots:d} slots')
    def make_budget(context: Any, limit: int, slots: int) -> None:
        """Make a budget that has seen nothing."""
        context.budget = ConnectionBudget(limit, slots)
        context.now = 0.0

    @staticmethod
    @when('the member counts {count:d} connections of {own:d} own at {at:d} s')
    @when('the member counts {count:d} connection of {own:d} own at {at:d} s')
    def count(context: Any, count: int, own: int, at: int) -> None:
        """Take a count of the member."""
        context.now = float(at)
        context.budget.on_status(count, own, context.now)

    @staticmethod
    @when('the clock shows {at:d} s')
    def wait(context: Any, at: int) -> None:
        """Move the clock."""
        context.now = float(at)

    @staticmethod
    @then('{count:d} connections may be held')
    @then('{count:d} connection may be held')
    def check_allowance(context: Any, count: int) -> None:
        """Compare the allowance."""
        found = context.budget.allowance(context.now)
        assert found == count, found
        assert context.budget.may_open(count - 1, context.now)
        assert not context.budget.may_open(count, context.now)

    @staticmethod
    @then('{count:d} idle connections of {own:d} are closed')
    def check_surplus(context: Any, count: int, own: int) -> None:
        """Compare what is given back."""
        plan = context.budget.plan(own, own - 1, context.now)
        assert plan.surplus == count, plan

    @staticmethod
    @then(
        'a connection idle for {idle:d} s is closed with {n:d} open for work'
    )
    def check_shrink(context: Any, idle: int, n: int) -> None:
        """Expect an idle connection to go."""
        assert context.budget.may_close_idle(n, float(idle))
        assert not context.budget.may_close_idle(n, 1.0)

    @staticmethod
    @then('a connection idle for {idle:d} s is kept with {n:d} open for work')
    def check_keep(context: Any, idle: int, n: int) -> None:
        """Expect an idle connection to stay."""
        assert not context.budget.may_close_idle(n, float(idle))

    @staticmethod
    @given('a connection pacer')
    def make_pacer(context: Any) -> None:
        """Make a pacer with seeded jitter."""
        context.pacer = ConnectionRateLimiter(random.Random(1))

    @staticmethod
    @then('{count:d} of {tries:d} connections open at once')
    def check_burst(context: Any, count: int, tries: int) -> None:
        """Try many at the same time."""
        pauses = [context.pacer.try_open(0.0) for _ in range(tries)]
        assert pauses.count(0.0) == count, pauses
        for _ in range(count):
            context.pacer.on_opened()

    @staticmethod
    @then(
        '{count:d} connections that open in {each:d} ms each take at least '
        '{least:f} s'
    )
    def check_pace(context: Any, count: int, each: int, least: float) -> None:
        """Open one after the other."""
        now = 0.0
        for _ in range(count):
            while pause_s := context.pacer.try_open(now):
                now += pause_s
            now += each / 1000
            context.pacer.on_opened()
        assert now >= least, now

    @staticmethod
    @when(
        '{count:d} poolers with {way} share {limit:d} connections and '
        '{slots:d} slots'
    )
    def share(
        context: Any, count: int, way: str, limit: int, slots: int
    ) -> None:
        """Replay a death and different views over all seeds."""
        budgets = {
            'a budget': ConnectionBudget,
            'half of the limit': _CountlessBudget,
            'no budget': None,
        }
        context.over_s = 0.0
        for seed in range(SEEDS):
            run = ConnectionRun(
                limit, slots, CONNECT_S, count, budgets[way], seed
            )
            run.run()
            context.over_s = max(
                context.over_s, run.member_connections.max_excess_s
            )

    @staticmethod
    @then('the limit is passed for at most {over_ms:d} ms')
    def check_limit(context: Any, over_ms: int) -> None:
        """Compare the longest time over the limit."""
        assert context.over_s * 1000 <= over_ms, context.over_s

    @staticmethod
    @then('the limit is passed for more than {over_ms:d} ms')
    def check_fault(context: Any, over_ms: int) -> None:
        """Expect the deliberate fault to show."""
        assert context.over_s * 1000 > over_ms, context.over_s
