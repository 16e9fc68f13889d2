"""Terms, log and transactions of a member, without sockets or a clock."""

from __future__ import annotations

from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RequestIdReused
from trefoilpulley_core.failure import StaleTerm
from trefoilpulley_core.failure import StatementFailed
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import ANY_CONTENT
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Statement
from trefoilpulley_core.upstream import StatementResult
from trefoilpulley_standins.member._replicated import ReplicatedMember
from trefoilpulley_standins.member._state import Transaction
from trefoilpulley_standins.member.record import KeptOutcome
from trefoilpulley_standins.member.record import Outcome
from trefoilpulley_standins.member.record import Record


FIRST_TERM = 1
"""Term of the home primary at the start."""


class MemberEngine(ReplicatedMember):
    """Terms and transactions of one member of a database group.

    Parameters
    ----------
    name : str
        Name of the member.
    schema : tuple[str, ...]
        Statements run before the first record.
    primary : str
        Name of the first term's primary.
    is_rejoining : bool
        Whether the member has lost its log: it then gives no vote and
        serves nothing before it holds a copy of a primary's state.
    """

    def __init__(
        self,
        name: str,
        schema: tuple[str, ...],
        primary: str,
        is_rejoining: bool = False,
    ) -> None:
        if is_rejoining:
            super().__init__(name, schema, 0, '')
            return
        super().__init__(name, schema, FIRST_TERM, primary)
        if primary == name:
            self._lead(FIRST_TERM)

    def read(
        self, statement: Statement, floor: Position
    ) -> Result[StatementResult, Failure]:
        """Run a read on committed data that holds the floor."""
        if self.is_rebuilding or not self.is_compared:
            return Failed(ReplicaBehind('log is not a copy of the primary'))
        if not self.log.history.contains(floor):
            return Failed(ReplicaBehind(f'log ends at {self.log.last}'))
        return self._committed.read(statement).map(self._stamp)

    def write(
        self, statement: Statement, term: int, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Run one write with its outcome in a transaction of its own."""
        begun = self.begin(term)
        if not is_successful(begun):
            return begun
        transaction = begun.unwrap()
        recalled = self._recall(key)
        if recalled is not None:
            self.rollback(transaction)
            return recalled
        ran = self.run(transaction, statement)
        if not is_successful(ran):
            self.rollback(transaction)
            return ran
        return self._finish(transaction, key, ran.unwrap())

    def begin(self, term: int) -> Result[Transaction, Failure]:
        """Begin the one transaction that may be open."""
        refusal = self._check_primary(term)
        if refusal is not None:
            return Failed(refusal)
        if self._open is not None:
            return Failed(Overloaded('another transaction is open'))
        self._workspace.begin()
        self._open = Transaction()
        return Success(self._open)

    def run(
        self, transaction: Transaction, statement: Statement
    ) -> Result[StatementResult, Failure]:
        """Run a statement in an open transaction."""
        if transaction is not self._open:
            return Failed(TransactionLost())
        ran = self._workspace.run(statement)
        if not is_successful(ran):
            self._forget_ended()
            return ran.lash(_as_statement_failure)
        transaction.statements.append(statement)
        return ran.map(self._stamp)

    def commit(
        self, transaction: Transaction, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Commit a transaction with its outcome."""
        if transaction is not self._open:
            return Failed(TransactionLost())
        recalled = self._recall(key)
        if recalled is not None:
            self.rollback(transaction)
            return recalled
        return self._finish(transaction, key, StatementResult())

    def rollback(self, transaction: Transaction) -> None:
        """Roll a transaction back, where it is still open."""
        if transaction is not self._open:
            return
        self._open = None
        self._workspace.rollback()

    def resolve(
        self, key: OutcomeKey, term: int
    ) -> Result[StatementResult, Failure]:
        """Return the outcome of a key, or abandon the key."""
        refusal = self._check_primary(term)
        if refusal is not None:
            return Failed(refusal)
        kept = self._committed.find_outcome(key)
        if kept is not None:
            return self._recalled(kept, key)
        if self._open is not None:
            return Failed(Overloaded('another transaction is open'))
        self._workspace.begin()
        self._open = Transaction()
        marker = Outcome(key, is_abandoned=True)
        written = self._commit_record((), marker)
        return written.bind(lambda _: Failed(NotRun('abandoned')))

    def fence(self, term: int, now: float) -> Result[None, Failure]:
        """Refuse every lower term from now on."""
        if self.is_rebuilding and not self.log.last.index:
            return Failed(StaleTerm('member has lost its log'))
        if term <= self.fenced_term:
            return Failed(StaleTerm(f'fenced at {self.fenced_term}'))
        self.fenced_term = term
        self._step_down(now)
        self.primary = ''
        self._changed()
        return Success(None)

    def promote(self, term: int, now: float) -> Result[None, Failure]:
        """Lead a term that the member is fenced at."""
        if self.is_primary and self.term == term:
            return Success(None)
        if term != self.fenced_term or term == self.term:
            return Failed(StaleTerm(f'fenced at {self.fenced_term}'))
        if self.is_rebuilding:
            return Failed(ReplicaBehind('member is being rebuilt'))
        self._contact_at = now
        self._lead(term)
        self._changed()
        return Success(None)

    def follow(
        self, term: int, primary: str, now: float
    ) -> Result[None, Failure]:
        """Become a replica of the primary of a term.

        Reads are refused until the log was compared with the primary's.
        """
        if term < self.fenced_term or primary == self.name:
            return Failed(StaleTerm(f'fenced at {self.fenced_term}'))
        if term == self.term and self.is_primary:
            return Failed(StaleTerm(f'leads {self.term}'))
        if term == self.term and primary == self.primary:
            return Success(None)
        self._step_down(now)
        self.is_compared = False
        self.fenced_term = term
        self.term = term
        self.primary = primary
        self._changed()
        return Success(None)

    def _forget_ended(self) -> None:
        # A conflict clause of the statement can end the transaction.
        if not self._workspace.is_in_transaction:
            self._open = None

    def _check_primary(self, term: int) -> Failure | None:
        if self.is_primary and term == self.term:
            return None
        return NotPrimary(f'member is at term {self.term}')

    def _recall(
        self, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure] | None:
        kept = self._committed.find_outcome(key) if key else None
        return self._recalled(kept, key) if kept else None

    def _recalled(
        self, kept: KeptOutcome, key: OutcomeKey
    ) -> Result[StatementResult, Failure]:
        outcome = kept.outcome
        if not _fits(outcome.key.content_digest, key.content_digest):
            return Failed(RequestIdReused())
        if outcome.is_abandoned:
            return Failed(NotRun('abandoned'))
        return Success(
            StatementResult(
                outcome.columns,
                outcome.rows,
                outcome.row_count,
                kept.position,
                self.term,
                is_recalled=True,
            )
        )

    def _finish(
        self,
        transaction: Transaction,
        key: OutcomeKey | None,
        answer: StatementResult,
    ) -> Result[StatementResult, Failure]:
        outcome = None
        if key is not None:
            outcome = Outcome(
                key,
                columns=answer.columns,
                rows=answer.rows,
                row_count=answer.row_count,
            )
        written = self._commit_record(tuple(transaction.statements), outcome)
        return written.map(lambda _: self._stamp(answer))

    def _commit_record(
        self, statements: tuple[Statement, ...], outcome: Outcome | None
    ) -> Result[None, Failure]:
        position = Position(self.term, self.log.last.index + 1)
        record = Record(position, statements, outcome)
        if outcome is not None:
            self._workspace.keep_outcome(outcome, position)
        self._open = None
        committed = self._workspace.commit()
        if not is_successful(committed):
            self._workspace.rollback()
            return committed
        self._append(record)
        return Success(None)

    def _stamp(self, result: StatementResult) -> StatementResult:
        return StatementResult(
            result.columns,
            result.rows,
            result.row_count,
            self.log.last,
            self.term,
        )


def _fits(kept_digest: str, digest: str) -> bool:
    return kept_digest == digest or ANY_CONTENT in (kept_digest, digest)


def _as_statement_failure(
    failure: Failure,
) -> Result[StatementResult, Failure]:
    return Failed(StatementFailed(failure.detail))
