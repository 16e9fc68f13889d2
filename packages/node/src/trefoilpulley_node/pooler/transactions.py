"""Transactions that a pooler keeps open for entry hosts."""

from __future__ import annotations

from dataclasses import dataclass
import itertools
from typing import Any
from typing import TYPE_CHECKING

import gevent
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_node.pending_begins import PendingBegins

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.peer import PooledBegin
    from trefoilpulley_core.peer import PooledCommit
    from trefoilpulley_core.peer import PooledRun
    from trefoilpulley_core.upstream import StatementResult
    from trefoilpulley_node.peer_server import PeerIdentity
    from trefoilpulley_node.pooler.member_pool import SlotLease
    from trefoilpulley_node.pooler.pooled_member import PooledMember
    from trefoilpulley_node.pooler.pooled_work import PooledStatementRunner


MIN_IDLE_TIMEOUT_S = 1.0
"""Shortest time for which a transaction may be idle, in seconds."""


@dataclass(eq=False, slots=True)
class _Transaction:
    member: PooledMember
    lease: SlotLease
    connection: int
    idle_timeout_s: float
    use_count: int = 0
    is_busy: bool = False
    is_aborted: bool = False


class PoolerTransactions:
    """Open transactions, each pinned to a slot and a connection.

    A transaction belongs to the peer connection on which it was begun.
    The pooler rolls back a transaction when that connection ends. The
    pooler also rolls back a transaction that is idle for longer than the
    promptness of its class, because other work can't use the slot of an
    open transaction.

    Parameters
    ----------
    work : PooledStatementRunner
        Waits for the copies of a commit.
    call_later : Callable[..., Any]
        Calls a function with arguments after a delay in seconds.
    """

    def __init__(
        self,
        work: PooledStatementRunner,
        call_later: Callable[..., Any] = gevent.spawn_later,
    ) -> None:
        self._work = work
        self._call_later = call_later
        self._open: dict[str, _Transaction] = {}
        self._pending_begins = PendingBegins()
        self._ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self, member: PooledMember, req: PooledBegin, peer: PeerIdentity
    ) -> Result[str, Failure]:
        """Begin a transaction for a peer and return its identifier."""
        return self._pending_begins.run(
            peer.connection,
            lambda: self._begin(member, req, peer),
            lambda transaction: self.rollback(transaction, peer),
        )

    def run(
        self, req: PooledRun, peer: PeerIdentity
    ) -> Result[StatementResult, Failure]:
        """Run a statement in a transaction that the peer began."""
        opened = self._find(req.transaction, peer)
        if opened is None or opened.is_busy:
            return Failed(
                TransactionLost('transaction is not open on this connection')
            )
        opened.is_busy = True
        result = opened.lease.link.run(req.statement)
        opened.is_busy = False
        if opened.is_aborted or not opened.lease.link.is_open:
            self._end(req.transaction)
            return Failed(TransactionLost('connection to the member was lost'))
        self._start_idle_timer(req.transaction, opened)
        return result

    def commit(
        self, req: PooledCommit, peer: PeerIdentity
    ) -> Result[StatementResult, Failure]:
        """Commit a transaction that the peer began and wait for its copies."""
        opened = self._find(req.transaction, peer)
        if opened is None or opened.is_busy:
            return Failed(
                TransactionLost('transaction is not open on this connection')
            )
        opened.is_busy = True
        result = opened.lease.link.commit(req.key)
        opened.is_busy = False
        if not isinstance(result, Success):
            return self._on_commit_failed(req.transaction, opened, result)
        self._end(req.transaction)
        return self._work.confirm(opened.member, result.unwrap(), req.copies)

    def rollback(
        self, transaction: str, peer: PeerIdentity
    ) -> Result[None, Failure]:
        """Roll back a transaction that the peer began."""
        opened = self._find(transaction, peer)
        if opened is None:
            return Failed(
                TransactionLost('transaction is not open on this connection')
            )
        self._abort(transaction, opened)
        return Success(None)

    def on_peer_lost(self, peer: PeerIdentity) -> None:
        """Roll back the open transactions of a peer connection that ended."""
        self._pending_begins.on_connection_lost(peer.connection)
        for transaction, opened in list(self._open.items()):
            if opened.connection == peer.connection:
                self._abort(transaction, opened)

    def _begin(
        self, member: PooledMember, req: PooledBegin, peer: PeerIdentity
    ) -> Result[str, Failure]:
        status = member.monitor.status
        if not member.is_primary or status is None:
            return Failed(NotPrimary('member is not the primary'))
        if not status.history.contains(req.floor):
            return Failed(
                ReplicaBehind('log of the member does not hold the floor')
            )
        acquired = member.pool.acquire(req.scope, is_write=True)
        if not isinstance(acquired, Success):
            return acquired
        lease = acquired.unwrap()
        begun = lease.link.begin(status.term)
        if not isinstance(begun, Success):
            member.pool.release(lease)
            return Failed(NotPrimary('member could not begin the transaction'))
        transaction = f't{next(self._ids)}'
        opened = self._open[transaction] = _Transaction(
            member,
            lease,
            peer.connection,
            max(MIN_IDLE_TIMEOUT_S, req.scope.remaining_ms / 1000),
        )
        self._start_idle_timer(transaction, opened)
        return Success(transaction)

    def _start_idle_timer(
        self, transaction: str, opened: _Transaction
    ) -> None:
        opened.use_count += 1
        self._call_later(
            opened.idle_timeout_s,
            self._on_idle,
            transaction,
            opened.use_count,
        )

    def _on_idle(self, transaction: str, use_count: int) -> None:
        opened = self._open.get(transaction)
        if opened is None or opened.is_busy or opened.use_count != use_count:
            return
        self._abort(transaction, opened)

    def _find(
        self, transaction: str, peer: PeerIdentity
    ) -> _Transaction | None:
        opened = self._open.get(transaction)
        if opened is None or opened.connection != peer.connection:
            return None
        return opened

    def _on_commit_failed(
        self,
        transaction: str,
        opened: _Transaction,
        result: Result[StatementResult, Failure],
    ) -> Result[StatementResult, Failure]:
        failure = result.failure()
        self._abort(transaction, opened)
        if isinstance(failure, PeerUnreachable):
            return Failed(
                OutcomeUnknown(
                    'connection to the member was lost during a commit'
                )
            )
        return result

    def _abort(self, transaction: str, opened: _Transaction) -> None:
        if opened.is_busy:
            # While a statement is running, only closing the connection
            # reliably rolls back the transaction.
            opened.is_aborted = True
            opened.lease.link.close()
            return
        if opened.lease.link.is_open:
            rolled_back = opened.lease.link.rollback()
            if not isinstance(rolled_back, Success):
                opened.lease.link.close()
        self._end(transaction)

    def _end(self, transaction: str) -> None:
        opened = self._open.pop(transaction, None)
        if opened is not None:
            opened.member.pool.release(opened.lease)
