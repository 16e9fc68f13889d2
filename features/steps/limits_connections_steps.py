"""Steps on the connection limit of a member."""

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
"""Number of seeds of each simulation."""

CONNECT_S = 0.012
"""Time to open a connection, in seconds."""


class _FixedHalfBudget(ConnectionBudget):
    """Deliberate fault: uses half of the limit regardless of reports."""

    def allowance(self, now: float) -> int:
        """Return half of the limit."""
        return self._usable // 2


class LimitsConnectionsSteps:
    """Steps on the connection budget and the rate limiter."""

    @staticmethod
    @given('a connection budget for {limit:d} connections and {slots:d} slots')
    def make_budget(context: Any, limit: int, slots: int) -> None:
        """Make a budget without a report of the member."""
        context.budget = ConnectionBudget(limit, slots)
        context.now = 0.0

    @staticmethod
    @when(
        'the member reports {count:d} connections, {own:d} of them own, at '
        '{at:d} s'
    )
    @when(
        'the member reports {count:d} connection, {own:d} of them own, at '
        '{at:d} s'
    )
    def process_report(context: Any, count: int, own: int, at: int) -> None:
        """Process a report of the member."""
        context.now = float(at)
        context.budget.on_status(count, own, context.now)

    @staticmethod
    @when('the clock shows {at:d} s')
    def set_clock(context: Any, at: int) -> None:
        """Set the clock without a report."""
        context.now = float(at)

    @staticmethod
    @then('the allowance is {count:d} connections')
    @then('the allowance is {count:d} connection')
    def check_allowance(context: Any, count: int) -> None:
        """Compare the allowance and the permission to open."""
        found = context.budget.allowance(context.now)
        assert found == count, found
        assert context.budget.may_open(count - 1, context.now)
        assert not context.budget.may_open(count, context.now)

    @staticmethod
    @then('{count:d} idle connections of {own:d} open ones are closed')
    def check_surplus(context: Any, count: int, own: int) -> None:
        """Compare the number of idle connections to close."""
        plan = context.budget.plan(own, own - 1, context.now)
        assert plan.surplus == count, plan

    @staticmethod
    @then(
        'a connection idle for {idle:d} s is closed with {n:d} open for work'
    )
    def check_idle_closed(context: Any, idle: int, n: int) -> None:
        """Expect that an idle connection may be closed after this time."""
        assert context.budget.may_close_idle(n, float(idle))
        assert not context.budget.may_close_idle(n, 1.0)

    @staticmethod
    @then('a connection idle for {idle:d} s is kept with {n:d} open for work')
    def check_idle_kept(context: Any, idle: int, n: int) -> None:
        """Expect that an idle connection is kept."""
        assert not context.budget.may_close_idle(n, float(idle))

    @staticmethod
    @given('a connection rate limiter')
    def make_rate_limiter(context: Any) -> None:
        """Make a rate limiter with seeded jitter."""
        context.rate_limiter = ConnectionRateLimiter(random.Random(1))

    @staticmethod
    @then('{count:d} of {tries:d} connections may be opened at the same time')
    def check_concurrent_opens(context: Any, count: int, tries: int) -> None:
        """Try to open many connections at the same time."""
        pauses = [context.rate_limiter.try_open(0.0) for _ in range(tries)]
        assert pauses.count(0.0) == count, pauses
        for _ in range(count):
            context.rate_limiter.on_opened()

    @staticmethod
    @then(
        '{count:d} connections that open in {each:d} ms each take at least '
        '{least:f} s'
    )
    def check_rate(context: Any, count: int, each: int, least: float) -> None:
        """Open connections one after the other."""
        now = 0.0
        for _ in range(count):
            while pause_s := context.rate_limiter.try_open(now):
                now += pause_s
            now += each / 1000
            context.rate_limiter.on_opened()
        assert now >= least, now

    @staticmethod
    @when(
        '{count:d} poolers with {way} share {limit:d} connections and '
        '{slots:d} slots'
    )
    def share(
        context: Any, count: int, way: str, limit: int, slots: int
    ) -> None:
        """Simulate a host failure and different views with each seed."""
        budgets = {
            'a budget': ConnectionBudget,
            'half of the limit': _FixedHalfBudget,
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
    @then('the limit is exceeded for at most {over_ms:d} ms')
    def check_limit(context: Any, over_ms: int) -> None:
        """Compare the longest time above the limit."""
        assert context.over_s * 1000 <= over_ms, context.over_s

    @staticmethod
    @then('the limit is exceeded for more than {over_ms:d} ms')
    def check_limit_exceeded(context: Any, over_ms: int) -> None:
        """Expect that the simulation detects the missing limit."""
        assert context.over_s * 1000 > over_ms, context.over_s
