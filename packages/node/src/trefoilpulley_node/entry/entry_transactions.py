"""Open transactions of callers, each bound to one pooler."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
import itertools
from typing import Any
from typing import TYPE_CHECKING

import gevent
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from xxhash import xxh3_128_hexdigest

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_core.peer import PooledBegin
from trefoilpulley_core.peer import PooledBegun
from trefoilpulley_core.peer import PooledCommit
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_core.peer import PooledResult
from trefoilpulley_core.peer import PooledRollback
from trefoilpulley_core.peer import PooledRun
from trefoilpulley_core.peer import WorkScope
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Statement
from trefoilpulley_node.peers import read_failure
from trefoilpulley_node.pending_begins import PendingBegins
from trefoilpulley_node.pipeline.request import DeliveredResult

if TYPE_CHECKING:
    from trefoilpulley_core.caller import Commit
    from trefoilpulley_core.caller import Execute
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.entry.database_views import DatabaseViews
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.pipeline.outcome_resolver import OutcomeResolver
    from trefoilpulley_node.pipeline.request import PipelineRequest
    from trefoilpulley_node.pipeline.route import Router
    from trefoilpulley_node.pipeline.session_floor import SessionFloorFilter

STATEMENT_TIMEOUT_S = 30.0
"""Longest wait for a statement inside a transaction, in seconds."""

BEGIN_RETRY_INTERVAL_S = 0.05
"""Longest wait for a new primary between attempts to begin, in seconds."""

MIN_BEGIN_TIMEOUT_S = 0.001
"""Shortest time for one attempt to begin, in seconds."""

ANSWER_MARGIN_S = 0.5
"""Wait for the answer after the end of an attempt, in seconds."""

LATE_ANSWER_TIMEOUT_S = 60.0
"""Longest wait for the late answer of an attempt, in seconds.

A transaction that began after its caller was refused is rolled back.
"""


@dataclass(frozen=True, slots=True)
class _TransactionBinding:
    request: PipelineRequest
    host: str
    """Host that pools the member."""

    member: str
    pooled: str
    """Identifier of the transaction at the pooler."""

    connection: int
    statements: tuple[str, ...] = ()
    """Digest of each statement that the transaction has run."""


class EntryTransactions:
    """Begins, runs and ends the transactions of this host's callers.

    Parameters
    ----------
    router : Router
        Finds the primary of the database.
    peers : Peers
        Sends requests to poolers.
    session_floor : SessionFloorFilter
        Reads the session token of a commit.
    outcome_resolver : OutcomeResolver
        Finds out the outcome of commits whose answers were lost.
    views : DatabaseViews
        Reports changes of primary.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        router: Router,
        peers: Peers,
        session_floor: SessionFloorFilter,
        outcome_resolver: OutcomeResolver,
        views: DatabaseViews,
        clock: Clock,
    ) -> None:
        self._router = router
        self._peers = peers
        self._session_floor = session_floor
        self._outcome_resolver = outcome_resolver
        self._views = views
        self._clock = clock
        self._open: dict[str, _TransactionBinding] = {}
        self._pending_begins = PendingBegins()
        self._ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self, req: PipelineRequest, connection: int
    ) -> Result[str, Failure]:
        """Begin a transaction at the primary and return its identifier."""
        return self._pending_begins.run(
            connection,
            lambda: self._begin(req, connection),
            lambda begun: self.rollback(begun, req.tenant, connection),
        )

    def run(
        self, message: Execute, tenant: str, connection: int
    ) -> Result[DeliveredResult, Failure]:
        """Run a statement in a transaction that the caller began."""
        binding = self._find(message.transaction, tenant, connection)
        if binding is None:
            return Failed(
                TransactionLost('transaction is not open on this connection')
            )
        statement = Statement(message.sql, message.parameters)
        reply = self._peers.call_host(
            binding.host,
            PooledRun(binding.pooled, statement),
            STATEMENT_TIMEOUT_S,
        )
        if isinstance(reply, Success):
            self._add_statement(message.transaction, statement)
            return Success(_delivered(binding, reply.unwrap()))
        failure = reply.failure()
        if isinstance(failure, PeerUnreachable | TransactionLost):
            self._open.pop(message.transaction, None)
            return Failed(
                TransactionLost('transaction was lost at the pooler')
            )
        return reply

    def commit(
        self, message: Commit, tenant: str, connection: int
    ) -> Result[PipelineRequest, Failure]:
        """Commit a transaction that the caller began."""
        binding = self._find(message.transaction, tenant, connection)
        if binding is None:
            return Failed(
                TransactionLost('transaction is not open on this connection')
            )
        digest = xxh3_128_hexdigest('\n'.join(binding.statements).encode())
        key = OutcomeKey(tenant, message.request_id, digest)
        # The session may have written outside the transaction after the
        # transaction began. The token of the commit includes these writes.
        prepared = self._session_floor.apply(
            replace(binding.request, message=message, key=key)
        )
        if not isinstance(prepared, Success):
            return prepared
        del self._open[message.transaction]
        req = prepared.unwrap()
        commit = PooledCommit(binding.pooled, key, req.copies)
        reply = self._peers.call_host(
            binding.host, commit, STATEMENT_TIMEOUT_S
        )
        resolved = self._resolve_commit(req, binding, reply)
        return resolved.map(
            lambda delivered: replace(req, delivered=delivered)
        )

    def rollback(
        self, transaction: str, tenant: str, connection: int
    ) -> Result[None, Failure]:
        """Roll back a transaction that the caller began."""
        binding = self._find(transaction, tenant, connection)
        if binding is None:
            return Failed(
                TransactionLost('transaction is not open on this connection')
            )
        self._abort(transaction, binding)
        return Success(None)

    def on_caller_lost(self, connection: int) -> None:
        """Roll back the open transactions of a connection that ended."""
        self._pending_begins.on_connection_lost(connection)
        for transaction, binding in list(self._open.items()):
            if binding.connection == connection:
                self._abort(transaction, binding)

    def _add_statement(self, transaction: str, statement: Statement) -> None:
        # The caller may have disconnected while the statement ran.
        binding = self._open.get(transaction)
        if binding is None:
            return
        digest = xxh3_128_hexdigest(repr(statement).encode())
        self._open[transaction] = replace(
            binding, statements=(*binding.statements, digest)
        )

    def _begin(
        self, req: PipelineRequest, connection: int
    ) -> Result[str, Failure]:
        failure: Failure = NoUpstream('no primary was reached in time')
        while self._clock.now() < req.deadline:
            begun = self._begin_once(req, connection)
            if isinstance(begun, Success):
                return begun
            failure = begun.failure()
            self._views.wait_for_primary_change(
                req.database, BEGIN_RETRY_INTERVAL_S
            )
        return Failed(_as_not_begun(failure))

    def _begin_once(
        self, req: PipelineRequest, connection: int
    ) -> Result[str, Failure]:
        route = self._router.choose_primary(req)
        if not isinstance(route, Success):
            return route
        member = route.unwrap().member
        host = self._peers.find_pooler(member)
        if host is None:
            return Failed(NoUpstream('no host pools the member'))
        left_s = max(MIN_BEGIN_TIMEOUT_S, req.deadline - self._clock.now())
        scope = WorkScope(
            member, req.tenant, req.work_class.name, round(1000 * left_s)
        )
        message = PooledBegin(scope, req.floor or BEGINNING)
        sent_at = self._clock.now()
        timeout_s = left_s + ANSWER_MARGIN_S
        reply = self._send_begin(host, message, timeout_s)
        if not isinstance(reply, Success):
            return reply
        begun = reply.unwrap()
        if isinstance(begun, PooledFailure):
            if begun.digest is not None:
                self._views.on_digest(begun.digest, sent_at)
            return Failed(read_failure(begun))
        if not isinstance(begun, PooledBegun):
            return Failed(
                NoUpstream('pooler sent a reply of an unexpected type')
            )
        transaction = f'e{next(self._ids)}'
        self._open[transaction] = _TransactionBinding(
            req, host, member, begun.transaction, connection
        )
        return Success(transaction)

    def _send_begin(
        self, host: str, message: PooledBegin, timeout_s: float
    ) -> Result[Any, Failure]:
        # While the network to the pooler is interrupted, the request may
        # arrive long after the caller was refused. The transaction that
        # begins then is rolled back, because the transaction would block
        # writes at the member.
        pending = gevent.spawn(
            self._peers.call_host_raw, host, message, LATE_ANSWER_TIMEOUT_S
        )
        pending.join(timeout_s)
        if pending.ready():
            return pending.get()
        pending.link_value(
            lambda done: gevent.spawn(self._roll_back_late, host, done.value)
        )
        return Failed(PeerUnreachable('pooler did not answer in time'))

    def _roll_back_late(self, host: str, reply: Result[Any, Failure]) -> None:
        begun = reply.value_or(None)
        if isinstance(begun, PooledBegun):
            rollback = PooledRollback(begun.transaction)
            self._peers.call_host(host, rollback, STATEMENT_TIMEOUT_S)

    def _find(
        self, transaction: str, tenant: str, connection: int
    ) -> _TransactionBinding | None:
        binding = self._open.get(transaction)
        if binding is None or binding.connection != connection:
            return None
        return binding if binding.request.tenant == tenant else None

    def _resolve_commit(
        self,
        req: PipelineRequest,
        binding: _TransactionBinding,
        reply: Result[Any, Failure],
    ) -> Result[DeliveredResult, Failure]:
        if isinstance(reply, Success):
            return Success(_delivered(binding, reply.unwrap()))
        failure = reply.failure()
        if isinstance(failure, PeerUnreachable | OutcomeUnknown):
            refusal = TransactionLost('transaction was not committed')
            return self._outcome_resolver.resolve_outcome(req, refusal)
        return reply

    def _abort(self, transaction: str, binding: _TransactionBinding) -> None:
        self._open.pop(transaction, None)
        self._peers.call_host(
            binding.host,
            PooledRollback(binding.pooled),
            STATEMENT_TIMEOUT_S,
        )


def _delivered(
    binding: _TransactionBinding, reply: PooledResult
) -> DeliveredResult:
    return DeliveredResult(reply.result, binding.member, 0)


def _as_not_begun(failure: Failure) -> Failure:
    # A transaction that was not committed has no effects.
    if isinstance(failure, PeerUnreachable):
        return NoUpstream(failure.detail)
    return failure
