"""Steps on transactions whose owners are lost."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from returns.result import Success

from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_core.peer import PooledBegin
from trefoilpulley_core.peer import PooledRun
from trefoilpulley_core.peer import WorkScope
from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.upstream import Statement
from trefoilpulley_core.upstream import StatementResult
from trefoilpulley_node.peer_server import PeerIdentity
from trefoilpulley_node.pooler.transactions import PoolerTransactions

if TYPE_CHECKING:
    from collections.abc import Callable

OWNER = PeerIdentity('host-1', 'zone-a', 1, 1)
OTHER = PeerIdentity('host-2', 'zone-a', 1, 2)
PROMPTNESS_S = 2.0
REQUEST = PooledBegin(
    WorkScope('ledger/0/a', 'tenant', 'filing', round(1000 * PROMPTNESS_S))
)


class VirtualCalls:
    """Calls functions when virtual time has come."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, Callable[..., Any], Any]] = []

    def call_later(
        self, seconds: float, call: Callable[..., Any], *args: Any
    ) -> None:
        """Keep a call."""
        self._calls.append((self.now + seconds, call, args))

    def pass_time(self, seconds: float) -> None:
        """Let time pass and make the calls that are due."""
        self.now += seconds
        due = [c for c in self._calls if c[0] <= self.now]
        self._calls = [c for c in self._calls if c[0] > self.now]
        for _, call, args in due:
            call(*args)


class FakeLink:
    """Connection to a member."""

    def __init__(self) -> None:
        self.is_open = True
        self.is_rolled_back = False

    def begin(self, term: int) -> Success:
        """Begin a transaction."""
        return Success(None)

    def run(self, statement: Statement) -> Success:
        """Run a statement."""
        return Success(StatementResult())

    def rollback(self) -> Success:
        """Roll the transaction back."""
        self.is_rolled_back = True
        return Success(None)


class FakePool:
    """One slot; something happens while work waits for it."""

    def __init__(self) -> None:
        self.lease = SimpleNamespace(link=FakeLink())
        self.is_free = True
        self.on_wait: Callable[[], None] = lambda: None

    def acquire(self, scope: Any, is_write: bool) -> Success:
        """Take the slot."""
        self.is_free = False
        self.on_wait()
        return Success(self.lease)

    def release(self, lease: Any) -> None:
        """Give the slot back."""
        self.is_free = True


class OrphansSteps:
    """Steps that lose a peer."""

    @staticmethod
    @given('a pooler whose member has one slot')
    def make_pooler(context: Any) -> None:
        """Build the transactions and their member."""
        context.pool = FakePool()
        status = SimpleNamespace(term=1, history=LogHistory())
        context.member = SimpleNamespace(
            is_primary=True,
            monitor=SimpleNamespace(status=status),
            pool=context.pool,
        )
        context.calls = VirtualCalls()
        context.transactions = PoolerTransactions(
            work=None, call_later=context.calls.call_later
        )

    @staticmethod
    @when("a peer's connection ends while its transaction waits for the slot")
    def lose_owner(context: Any) -> None:
        """Lose the owner within the wait."""
        transactions = context.transactions
        context.pool.on_wait = lambda: transactions.on_peer_lost(OWNER)
        transactions.begin(context.member, REQUEST, OWNER)

    @staticmethod
    @when(
        "another peer's connection ends while a transaction waits for the slot"
    )
    def lose_other(context: Any) -> None:
        """Lose another peer within the wait."""
        transactions = context.transactions
        context.pool.on_wait = lambda: transactions.on_peer_lost(OTHER)
        transactions.begin(context.member, REQUEST, OWNER).unwrap()

    @staticmethod
    @when("a peer's connection ends after its transaction began")
    def lose_later(context: Any) -> None:
        """Lose the owner of an open transaction."""
        context.transactions.begin(context.member, REQUEST, OWNER).unwrap()
        context.transactions.on_peer_lost(OWNER)

    @staticmethod
    @when(
        'a transaction is idle for {seconds:g} seconds longer '
        "than its class's promptness"
    )
    def leave_idle(context: Any, seconds: float) -> None:
        """Begin, then do nothing."""
        begun = context.transactions.begin(context.member, REQUEST, OWNER)
        context.transaction = begun.unwrap()
        context.calls.pass_time(PROMPTNESS_S + seconds)

    @staticmethod
    @when('a transaction runs a statement shortly before each idle limit')
    def keep_using(context: Any) -> None:
        """Run statements in time."""
        begun = context.transactions.begin(context.member, REQUEST, OWNER)
        statement = PooledRun(begun.unwrap(), Statement('select 1'))
        for _ in range(3):
            context.calls.pass_time(0.9 * PROMPTNESS_S)
            context.transactions.run(statement, OWNER).unwrap()

    @staticmethod
    @then('its next statement is told that the transaction is lost')
    def expect_lost(context: Any) -> None:
        """Expect the typed failure."""
        statement = PooledRun(context.transaction, Statement('select 1'))
        ran = context.transactions.run(statement, OWNER)
        assert isinstance(ran.failure(), TransactionLost), ran

    @staticmethod
    @then('no transaction is open at the pooler')
    def expect_none(context: Any) -> None:
        """Expect nothing open."""
        assert len(context.transactions) == 0

    @staticmethod
    @then('one transaction is open at the pooler')
    def expect_one(context: Any) -> None:
        """Expect the transaction of the peer that lives."""
        assert len(context.transactions) == 1
        assert not context.pool.is_free

    @staticmethod
    @then("the member's slot is free and its transaction rolled back")
    def expect_free(context: Any) -> None:
        """Expect a free slot."""
        assert context.pool.is_free
        assert context.pool.lease.link.is_rolled_back
