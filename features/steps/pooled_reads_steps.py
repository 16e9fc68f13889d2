"""Steps for reads at a pooled member."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Result
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.peer import PooledRead
from trefoilpulley_core.peer import WorkScope
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.upstream import Statement
from trefoilpulley_core.upstream import StatementResult
from trefoilpulley_node.pooler.pooled_member import RequestedAge
from trefoilpulley_node.pooler.pooled_work import PooledStatementRunner


class FakeLink:
    """Connection to a member that answers every read."""

    def read(
        self, statement: Statement, floor: Any
    ) -> Result[StatementResult, Failure]:
        """Return a result of one row."""
        return Success(StatementResult(row_count=1))


class FakeLease:
    """Lease of a slot with a connection."""

    link = FakeLink()


class FakePool:
    """Pool that always has a free slot."""

    def acquire(
        self, scope: WorkScope, is_write: bool
    ) -> Result[FakeLease, Failure]:
        """Lease the slot."""
        return Success(FakeLease())

    def release(self, lease: FakeLease) -> None:
        """Do nothing."""


class FakeMonitor:
    """Monitor of a reachable member that has reached every floor."""

    is_reachable = True

    def wait_for_position(self, floor: Any, timeout_s: float) -> bool:
        """Report that the member has reached the floor."""
        return True


class FakeProver:
    """Prover whose last successful round of proof was at a fixed time."""

    def __init__(self, proven_at: float) -> None:
        self._proven_at = proven_at

    def prove(self, since: float) -> bool:
        """Return whether the last proof is no older than a time."""
        return self._proven_at >= since


class FakeMember:
    """Member whose data were last proven current at a fixed time."""

    def __init__(self, role: str, proven_ms: int, now: float) -> None:
        self.is_primary = role == 'primary'
        self.monitor = FakeMonitor()
        self.pool = FakePool()
        self.prover = FakeProver(now - proven_ms / 1000)
        self.requested_age = RequestedAge()
        self._proven_ms = proven_ms

    def age_ms(self) -> int:
        """Return the age of the data in milliseconds."""
        return self._proven_ms


class PooledReadSteps:
    """Steps that run one read at a fake member."""

    @staticmethod
    @given(
        'a pooled {role:w} whose data were last proven current {age:d} ms ago'
    )
    def make_member(context: Any, role: str, age: int) -> None:
        """Build a primary or a replica."""
        context.clock = FakeClock()
        context.member = FakeMember(role, age, context.clock.now())

    @staticmethod
    @when('a read of {freshness} is pooled')
    def pool_read(context: Any, freshness: str) -> None:
        """Run a read with a freshness requirement."""
        max_age_ms = 2000 if freshness == 'at most 2000 ms' else None
        req = PooledRead(
            WorkScope('a', 'north', 'lookup', 1000),
            Statement('select'),
            BEGINNING,
            max_age_ms,
            0,
            needs_leader=freshness == 'the present',
        )
        context.result = PooledStatementRunner(context.clock).read(
            context.member, req
        )

    @staticmethod
    @then('the pooled read is {outcome}')
    def check_read(context: Any, outcome: str) -> None:
        """Compare the outcome: an answer or a failure code."""
        found = 'answered'
        if not isinstance(context.result, Success):
            found = context.result.failure().code
        assert found == outcome, context.result
