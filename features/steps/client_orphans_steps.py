"""Steps for transactions whose owner's connection ends."""

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
OTHER_PEER = PeerIdentity('host-2', 'zone-a', 1, 2)
PROMPTNESS_S = 2.0
BEGIN_REQUEST = PooledBegin(
    WorkScope('ledger/0/a', 'tenant', 'filing', round(1000 * PROMPTNESS_S))
)


class VirtualScheduler:
    """Scheduler that makes calls in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, Callable[..., Any], Any]] = []

    def call_later(
        self, seconds: float, call: Callable[..., Any], *args: Any
    ) -> None:
        """Schedule a call after a delay in seconds."""
        self._calls.append((self.now + seconds, call, args))

    def advance(self, seconds: float) -> None:
        """Advance virtual time and make the calls that are due."""
        self.now += seconds
        due = [c for c in self._calls if c[0] <= self.now]
        self._calls = [c for c in self._calls if c[0] > self.now]
        for _, call, args in due:
            call(*args)


class FakeLink:
    """Connection to a member that accepts every call."""

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
    """Pool of one slot that calls a hook while a request waits."""

    def __init__(self) -> None:
        self.lease = SimpleNamespace(link=FakeLink())
        self.is_free = True
        self.on_wait: Callable[[], None] = lambda: None

    def acquire(self, scope: Any, is_write: bool) -> Success:
        """Call the hook, then lease the slot."""
        self.is_free = False
        self.on_wait()
        return Success(self.lease)

    def release(self, lease: Any) -> None:
        """Release the slot."""
        self.is_free = True


class LostOwnerSteps:
    """Steps in which the connection of a peer ends."""

    @staticmethod
    @given('a pooler whose member has one slot')
    def make_pooler(context: Any) -> None:
        """Build the transactions of a pooler and their member."""
        context.pool = FakePool()
        status = SimpleNamespace(term=1, history=LogHistory())
        context.member = SimpleNamespace(
            is_primary=True,
            monitor=SimpleNamespace(status=status),
            pool=context.pool,
        )
        context.scheduler = VirtualScheduler()
        context.transactions = PoolerTransactions(
            work=None, call_later=context.scheduler.call_later
        )

    @staticmethod
    @when("a peer's connection ends while its transaction waits for the slot")
    def lose_owner(context: Any) -> None:
        """End the owner's connection during the wait for the slot."""
        transactions = context.transactions
        context.pool.on_wait = lambda: transactions.on_peer_lost(OWNER)
        transactions.begin(context.member, BEGIN_REQUEST, OWNER)

    @staticmethod
    @when(
        "another peer's connection ends while a transaction waits for the slot"
    )
    def lose_other_peer(context: Any) -> None:
        """End another peer's connection during the wait for the slot."""
        transactions = context.transactions
        context.pool.on_wait = lambda: transactions.on_peer_lost(OTHER_PEER)
        transactions.begin(context.member, BEGIN_REQUEST, OWNER).unwrap()

    @staticmethod
    @when("a peer's connection ends after its transaction began")
    def lose_owner_after_begin(context: Any) -> None:
        """End the owner's connection while the transaction is open."""
        context.transactions.begin(
            context.member, BEGIN_REQUEST, OWNER
        ).unwrap()
        context.transactions.on_peer_lost(OWNER)

    @staticmethod
    @when(
        'a transaction is idle for {seconds:g} seconds longer '
        "than its class's promptness"
    )
    def leave_idle(context: Any, seconds: float) -> None:
        """Begin a transaction, then let it be idle."""
        begun = context.transactions.begin(
            context.member, BEGIN_REQUEST, OWNER
        )
        context.transaction = begun.unwrap()
        context.scheduler.advance(PROMPTNESS_S + seconds)

    @staticmethod
    @when('a transaction runs a statement shortly before each idle timeout')
    def keep_using(context: Any) -> None:
        """Run statements before the idle timeout."""
        begun = context.transactions.begin(
            context.member, BEGIN_REQUEST, OWNER
        )
        statement = PooledRun(begun.unwrap(), Statement('select 1'))
        for _ in range(3):
            context.scheduler.advance(0.9 * PROMPTNESS_S)
            context.transactions.run(statement, OWNER).unwrap()

    @staticmethod
    @then('the next statement is refused because the transaction is lost')
    def expect_lost(context: Any) -> None:
        """Check the class of the failure."""
        statement = PooledRun(context.transaction, Statement('select 1'))
        ran = context.transactions.run(statement, OWNER)
        assert isinstance(ran.failure(), TransactionLost), ran

    @staticmethod
    @then('no transaction is open at the pooler')
    def expect_no_transaction(context: Any) -> None:
        """Check that no transaction is open."""
        assert len(context.transactions) == 0

    @staticmethod
    @then('one transaction is open at the pooler')
    def expect_one_transaction(context: Any) -> None:
        """Check that the owner's transaction is open and holds the slot."""
        assert len(context.transactions) == 1
        assert not context.pool.is_free

    @staticmethod
    @then("the member's slot is free and its transaction rolled back")
    def expect_free_slot(context: Any) -> None:
        """Check that the slot is free and the transaction rolled back."""
        assert context.pool.is_free
        assert context.pool.lease.link.is_rolled_back
