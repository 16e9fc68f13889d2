"""Transactions that a pooler holds open for entry hosts."""

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
from trefoilpulley_node.beginnings import Beginnings

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.peer import PooledBegin
    from trefoilpulley_core.peer import PooledCommit
    from trefoilpulley_core.peer import PooledRun
    from trefoilpulley_core.upstream import StatementResult
    from trefoilpulley_node.peer_server import PeerIdentity
    from trefoilpulley_node.pooler.member_pool import SlotLease
    from trefoilpulley_node.pooler.pooled_member import PooledMember
    from trefoilpulley_node.pooler.pooled_work import PooledWork


IDLE_LEAST_S = 1.0
"""Idle time that every transaction is given, in seconds."""


@dataclass(eq=False, slots=True)
class _Transaction:
    member: PooledMember
    lease: SlotLease
    connection: int
    idle_limit_s: float
    uses: int = 0
    is_busy: bool = False
    is_ended: bool = False


class Transactions:
    """Open transactions, each pinned to a slot and a connection.

    A transaction belongs to the peer's connection that began it and is
    rolled back when that connection ends, or when it is idle for longer
    than its class's promptness: it keeps others from the slot.

    Parameters
    ----------
    work : PooledWork
        Confirms commits.
    call_later : Callable[..., Any]
        Calls a function with its arguments after some seconds.
    """

    def __init__(
        self,
        work: PooledWork,
        call_later: Callable[..., Any] = gevent.spawn_later,
    ) -> None:
        self._work = work
        self._call_later = call_later
        self._open: dict[str, _Transaction] = {}
        self._beginnings = Beginnings()
        self._ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self, member: PooledMember, req: PooledBegin, peer: PeerIdentity
    ) -> Result[str, Failure]:
        """Begin a transaction and return its identifier."""
        return self._beginnings.run(
            peer.connection,
            lambda: self._begin(member, req, peer),
            lambda transaction: self.rollback(transaction, peer),
        )

    def run(
        self, req: PooledRun, peer: PeerIdentity
    ) -> Result[StatementResult, Failure]:
        """Run a statement in a transaction of the peer."""
        found = self._find(req.transaction, peer)
        if found is None or found.is_busy:
            return Failed(TransactionLost('no such transaction'))
        found.is_busy = True
        result = found.lease.link.run(req.statement)
        found.is_busy = False
        if found.is_ended or not found.lease.link.is_open:
            self._end(req.transaction)
            return Failed(TransactionLost('connection broke'))
        self._watch_idle(req.transaction, found)
        return result

    def commit(
        self, req: PooledCommit, peer: PeerIdentity
    ) -> Result[StatementResult, Failure]:
        """Commit a transaction of the peer and wait for its copies."""
        found = self._find(req.transaction, peer)
        if found is None or found.is_busy:
            return Failed(TransactionLost('no such transaction'))
        found.is_busy = True
        result = found.lease.link.commit(req.key)
        found.is_busy = False
        if not isinstance(result, Success):
            return self._on_commit_failed(req.transaction, found, result)
        self._end(req.transaction)
        return self._work.confirm(found.member, result.unwrap(), req.copies)

    def rollback(
        self, transaction: str, peer: PeerIdentity
    ) -> Result[None, Failure]:
        """Roll a transaction of the peer back."""
        found = self._find(transaction, peer)
        if found is None:
            return Failed(TransactionLost('no such transaction'))
        self._abort(transaction, found)
        return Success(None)

    def on_peer_lost(self, peer: PeerIdentity) -> None:
        """Roll back what the connection of a peer had open."""
        self._beginnings.on_lost(peer.connection)
        for transaction, found in list(self._open.items()):
            if found.connection == peer.connection:
                self._abort(transaction, found)

    def _begin(
        self, member: PooledMember, req: PooledBegin, peer: PeerIdentity
    ) -> Result[str, Failure]:
        status = member.monitor.status
        if not member.is_primary or status is None:
            return Failed(NotPrimary('member does not lead'))
        if not status.history.contains(req.floor):
            return Failed(ReplicaBehind('floor is not reached'))
        acquired = member.pool.acquire(req.scope, is_write=True)
        if not isinstance(acquired, Success):
            return acquired
        lease = acquired.unwrap()
        begun = lease.link.begin(status.term)
        if not isinstance(begun, Success):
            member.pool.release(lease)
            return Failed(NotPrimary('transaction could not begin'))
        transaction = f't{next(self._ids)}'
        opened = self._open[transaction] = _Transaction(
            member,
            lease,
            peer.connection,
            max(IDLE_LEAST_S, req.scope.remaining_ms / 1000),
        )
        self._watch_idle(transaction, opened)
        return Success(transaction)

    def _watch_idle(self, transaction: str, found: _Transaction) -> None:
        found.uses += 1
        self._call_later(
            found.idle_limit_s, self._on_idle, transaction, found.uses
        )

    def _on_idle(self, transaction: str, uses: int) -> None:
        found = self._open.get(transaction)
        if found is None or found.is_busy or found.uses != uses:
            return
        self._abort(transaction, found)

    def _find(
        self, transaction: str, peer: PeerIdentity
    ) -> _Transaction | None:
        found = self._open.get(transaction)
        if found is None or found.connection != peer.connection:
            return None
        return found

    def _on_commit_failed(
        self,
        transaction: str,
        found: _Transaction,
        result: Result[StatementResult, Failure],
    ) -> Result[StatementResult, Failure]:
        failure = result.failure()
        self._abort(transaction, found)
        if isinstance(failure, PeerUnreachable):
            return Failed(OutcomeUnknown('connection broke in a commit'))
        return result

    def _abort(self, transaction: str, found: _Transaction) -> None:
        if found.is_busy:
            # A statement still runs: only the end of the connection
            # rolls the transaction back for certain.
            found.is_ended = True
            found.lease.link.close()
            return
        if found.lease.link.is_open:
            rolled_back = found.lease.link.rollback()
            if not isinstance(rolled_back, Success):
                found.lease.link.close()
        self._end(transaction)

    def _end(self, transaction: str) -> None:
        found = self._open.pop(transaction, None)
        if found is not None:
            found.member.pool.release(found.lease)
