"""Steps for the transactions of an entry host."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from gevent.event import Event

from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_entry_parts import FakePeers
from features.fakes.fake_entry_parts import FakeRouter
from features.fakes.fake_entry_parts import FakeViews
from trefoilpulley_core.caller import Begin
from trefoilpulley_core.caller import Commit
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import Promptness
from trefoilpulley_core.declarations import Safety
from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.peer import PooledBegin
from trefoilpulley_core.peer import PooledRollback
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.token import SessionToken
from trefoilpulley_core.token import TokenCodec
from trefoilpulley_node.entry.entry_transactions import EntryTransactions
from trefoilpulley_node.pipeline.answer import AnswerBuilder
from trefoilpulley_node.pipeline.execute import Executor
from trefoilpulley_node.pipeline.outcome_resolver import OutcomeResolver
from trefoilpulley_node.pipeline.request import PipelineRequest
from trefoilpulley_node.pipeline.session_floor import SessionFloorFilter

TENANT = 'north'
CONNECTION = 1
FILING = WorkClass(
    'filing',
    WorkKind.WRITE,
    Freshness(FreshnessKind.PRESENT),
    Promptness(1000, 0.99),
    Safety(),
)


class CallerLosingPeers(FakePeers):
    """Peers that lose the caller's connection while a statement runs."""

    def call_host(self, host: str, message: Any, timeout_s: float) -> Any:
        """Report the lost connection before the second answer."""
        reply = super().call_host(host, message, timeout_s)
        if len(self.sent) == 2:
            self.transactions.on_caller_lost(CONNECTION)
        return reply


class LatePeers(FakePeers):
    """Peers that answer a begin after the caller's deadline."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__(clock, ['begun', 'ran'])
        self.is_refused = Event()
        self.is_rolled_back = Event()

    def call_host_raw(
        self, host: str, message: Any, timeout_s: float, abort: Any = None
    ) -> Any:
        """Delay the answer to a begin until the caller was refused."""
        reply = super().call_host_raw(host, message, timeout_s)
        if isinstance(message, PooledBegin):
            self._clock.at += 1
            self.is_refused.wait(5)
        if isinstance(message, PooledRollback):
            self.is_rolled_back.set()
        return reply


class EntryTransactionSteps:
    """Steps for transactions over a scripted pooler."""

    @staticmethod
    @given('a transaction that a caller has opened at "{database}"')
    def begin(context: Any, database: str) -> None:
        """Open one transaction."""
        clock = FakeClock()
        peers = CallerLosingPeers(clock, ['begun', 'ran'])
        EntryTransactionSteps._make_transactions(context, clock, peers)
        peers.transactions = context.transactions
        req = _make_request(database, clock.now() + 1)
        context.transaction = context.transactions.begin(
            req, CONNECTION
        ).unwrap()

    @staticmethod
    @given("a pooler that answers after the caller's deadline")
    def make_late_pooler(context: Any) -> None:
        """Build the transactions over a pooler that answers late."""
        context.clock = FakeClock()
        context.peers = LatePeers(context.clock)
        EntryTransactionSteps._make_transactions(
            context, context.clock, context.peers
        )

    @staticmethod
    @when('the caller begins a transaction at the late pooler')
    def begin_at_late_pooler(context: Any) -> None:
        """Begin, then release the answer of the pooler after the refusal."""
        req = _make_request('ledger/0', context.clock.now() + 0.001)
        context.result = context.transactions.begin(req, CONNECTION)
        context.peers.is_refused.set()

    @staticmethod
    @then('the begin is refused as "{code}"')
    def check_begin_refused(context: Any, code: str) -> None:
        """Compare the failure code."""
        assert context.result.failure().code == code, context.result

    @staticmethod
    @then('the transaction that began late is rolled back at the pooler')
    def check_rolled_back(context: Any) -> None:
        """Wait for the rollback message."""
        assert context.peers.is_rolled_back.wait(5)
        rollback = context.peers.sent[-1].message
        assert rollback == PooledRollback('t1'), rollback

    @staticmethod
    def _make_transactions(
        context: Any, clock: FakeClock, peers: FakePeers
    ) -> None:
        views = FakeViews(clock)
        router = FakeRouter()
        context.codec = TokenCodec('deployment', ('key',))
        confirm = OutcomeResolver(
            router,
            Executor(peers, views, clock),
            views,
            lambda: False,
            clock,
        )
        context.transactions = EntryTransactions(
            router,
            peers,
            SessionFloorFilter(context.codec),
            confirm,
            views,
            clock,
        )

    @staticmethod
    @when(
        'the caller commits the transaction with a token of a write at '
        '"{database}"'
    )
    def commit(context: Any, database: str) -> None:
        """Commit with a token that has a floor of another database."""
        token = SessionToken(TENANT).with_floor(database, Position(2, 5))
        data = context.codec.encode(token)
        message = Commit(context.transaction, 'c-1', data)
        context.result = context.transactions.commit(
            message, TENANT, CONNECTION
        )

    @staticmethod
    @when('the caller commits the transaction with a forged token')
    def commit_forged(context: Any) -> None:
        """Commit with a token signed with another key."""
        forged = TokenCodec('deployment', ('guess',))
        data = forged.encode(SessionToken(TENANT))
        message = Commit(context.transaction, 'c-1', data)
        context.result = context.transactions.commit(
            message, TENANT, CONNECTION
        )

    @staticmethod
    @when(
        'another connection of the tenant sends a statement of the transaction'
    )
    def run_on_other_connection(context: Any) -> None:
        """Use the transaction from another connection."""
        EntryTransactionSteps._run(context, TENANT, CONNECTION + 1)

    @staticmethod
    @when('a caller of another tenant sends a statement of the transaction')
    def run_as_other_tenant(context: Any) -> None:
        """Use the transaction as another tenant."""
        EntryTransactionSteps._run(context, 'south', CONNECTION)

    @staticmethod
    @when('the caller disconnects while a statement of the transaction runs')
    def run_and_disconnect(context: Any) -> None:
        """Run a statement during which the caller disconnects."""
        EntryTransactionSteps._run(context, TENANT, CONNECTION)

    @staticmethod
    @then('the answer\'s token has floors for "{databases}"')
    def check_floors(context: Any, databases: str) -> None:
        """Compare the databases of the floors in the token."""
        answer = AnswerBuilder(context.codec).make(context.result.unwrap())
        token = context.codec.decode(answer.token, TENANT).unwrap()
        found = sorted(floor.database for floor in token.floors)
        assert found == databases.split(','), found

    @staticmethod
    @then('the transaction\'s request is refused as "{code}"')
    def check_refused(context: Any, code: str) -> None:
        """Compare the failure code."""
        assert context.result.failure().code == code, context.result

    @staticmethod
    @then('{count:d} transactions are open at the entry host')
    def check_open(context: Any, count: int) -> None:
        """Compare the number of open transactions."""
        assert len(context.transactions) == count

    @staticmethod
    def _run(context: Any, tenant: str, connection: int) -> None:
        message = Execute(
            'r-1',
            'filing',
            'ledger/0',
            'insert',
            transaction=context.transaction,
        )
        context.result = context.transactions.run(message, tenant, connection)


def _make_request(database: str, deadline: float) -> PipelineRequest:
    return PipelineRequest(
        TENANT,
        Begin('filing', database),
        0.0,
        FILING,
        DatabaseEntry(database, 'ledger', ()),
        deadline,
        SessionToken(TENANT),
        BEGINNING,
    )
