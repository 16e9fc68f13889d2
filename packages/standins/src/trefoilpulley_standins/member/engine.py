"""Terms, log and transactions of a member, without I/O or a clock."""

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
from trefoilpulley_standins.member.record import Outcome
from trefoilpulley_standins.member.record import Record
from trefoilpulley_standins.member.record import StoredOutcome


FIRST_TERM = 1
"""Term of the initial primary."""


class MemberEngine(ReplicatedMember):
    """Terms and transactions of one member of a database group.

    Parameters
    ----------
    name : str
        Name of the member.
    schema : tuple[str, ...]
        SQL statements that create the tables before the first record.
    primary : str
        Name of the first term's primary.
    is_rejoining : bool
        Whether the member lost its log. Such a member rejects fences,
        and so takes no part in a vote, and rejects reads until it has a
        copy of a primary's state.
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
            self._become_primary(FIRST_TERM)

    def read(
        self, statement: Statement, floor: Position
    ) -> Result[StatementResult, Failure]:
        """Run a read on committed data.

        Fails with ``ReplicaBehind`` unless the log contains the floor.
        """
        if self.is_rebuilding or not self.is_log_verified:
            return Failed(
                ReplicaBehind('log is not yet verified against the primary')
            )
        if not self.log.history.contains(floor):
            return Failed(ReplicaBehind(f'log ends at {self.log.last}'))
        return self._committed_store.read(statement).map(self._with_position)

    def write(
        self, statement: Statement, term: int, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Run a write and record its outcome in a single transaction.

        Returns the recorded outcome if the key has one.
        """
        begin_result = self.begin(term)
        if not is_successful(begin_result):
            return begin_result
        transaction = begin_result.unwrap()
        stored_result = self._stored_result(key)
        if stored_result is not None:
            self.rollback(transaction)
            return stored_result
        run_result = self.run(transaction, statement)
        if not is_successful(run_result):
            self.rollback(transaction)
            return run_result
        return self._commit_with_outcome(transaction, key, run_result.unwrap())

    def begin(self, term: int) -> Result[Transaction, Failure]:
        """Begin a transaction; only one may be open at a time."""
        refusal = self._refusal_unless_primary(term)
        if refusal is not None:
            return Failed(refusal)
        if self._open_transaction is not None:
            return Failed(Overloaded('another transaction is open'))
        self._working_store.begin()
        self._open_transaction = Transaction()
        return Success(self._open_transaction)

    def run(
        self, transaction: Transaction, statement: Statement
    ) -> Result[StatementResult, Failure]:
        """Run a statement in an open transaction."""
        if transaction is not self._open_transaction:
            return Failed(TransactionLost())
        run_result = self._working_store.run(statement)
        if not is_successful(run_result):
            self._clear_ended_transaction()
            return run_result.lash(_as_statement_failure)
        transaction.statements.append(statement)
        return run_result.map(self._with_position)

    def commit(
        self, transaction: Transaction, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure]:
        """Commit a transaction and record its outcome under the key.

        Returns the recorded outcome, and rolls back, if the key has one.
        """
        if transaction is not self._open_transaction:
            return Failed(TransactionLost())
        stored_result = self._stored_result(key)
        if stored_result is not None:
            self.rollback(transaction)
            return stored_result
        return self._commit_with_outcome(transaction, key, StatementResult())

    def rollback(self, transaction: Transaction) -> None:
        """Roll a transaction back if it is still open."""
        if transaction is not self._open_transaction:
            return
        self._open_transaction = None
        self._working_store.rollback()

    def resolve(
        self, key: OutcomeKey, term: int
    ) -> Result[StatementResult, Failure]:
        """Return the outcome recorded under a key.

        A key without an outcome is marked as abandoned, so that no later
        write can succeed under the key.
        """
        refusal = self._refusal_unless_primary(term)
        if refusal is not None:
            return Failed(refusal)
        stored = self._committed_store.find_outcome(key)
        if stored is not None:
            return self._result_of_outcome(stored, key)
        if self._open_transaction is not None:
            return Failed(Overloaded('another transaction is open'))
        self._working_store.begin()
        self._open_transaction = Transaction()
        marker = Outcome(key, is_abandoned=True)
        commit_result = self._commit_record((), marker)
        return commit_result.bind(lambda _: Failed(NotRun('abandoned')))

    def fence(self, term: int, now: float) -> Result[None, Failure]:
        """Reject every lower term from now on."""
        if self.is_rebuilding and not self.log.last.index:
            return Failed(StaleTerm('member lost its log'))
        if term <= self.fenced_term:
            return Failed(StaleTerm(f'fenced at {self.fenced_term}'))
        self.fenced_term = term
        self._step_down(now)
        self.primary = ''
        self._notify_observers()
        return Success(None)

    def promote(self, term: int, now: float) -> Result[None, Failure]:
        """Become the primary of the term that the member is fenced at."""
        if self.is_primary and self.term == term:
            return Success(None)
        if term != self.fenced_term or term == self.term:
            return Failed(StaleTerm(f'fenced at {self.fenced_term}'))
        if self.is_rebuilding:
            return Failed(ReplicaBehind('member is being rebuilt'))
        self._primary_contact_at = now
        self._become_primary(term)
        self._notify_observers()
        return Success(None)

    def follow(
        self, term: int, primary: str, now: float
    ) -> Result[None, Failure]:
        """Become a replica of the primary of a term.

        Reads are rejected until the log is verified to be a prefix of the
        primary's log.
        """
        if term < self.fenced_term or primary == self.name:
            return Failed(StaleTerm(f'fenced at {self.fenced_term}'))
        if term == self.term and self.is_primary:
            return Failed(StaleTerm(f'is primary of term {self.term}'))
        if term == self.term and primary == self.primary:
            return Success(None)
        self._step_down(now)
        self.is_log_verified = False
        self.fenced_term = term
        self.term = term
        self.primary = primary
        self._notify_observers()
        return Success(None)

    def _clear_ended_transaction(self) -> None:
        # A conflict clause (OR ROLLBACK) of a failed statement can end the
        # transaction.
        if not self._working_store.is_in_transaction:
            self._open_transaction = None

    def _refusal_unless_primary(self, term: int) -> Failure | None:
        if self.is_primary and term == self.term:
            return None
        return NotPrimary(f'member is at term {self.term}')

    def _stored_result(
        self, key: OutcomeKey | None
    ) -> Result[StatementResult, Failure] | None:
        stored = self._committed_store.find_outcome(key) if key else None
        return self._result_of_outcome(stored, key) if stored else None

    def _result_of_outcome(
        self, stored: StoredOutcome, key: OutcomeKey
    ) -> Result[StatementResult, Failure]:
        outcome = stored.outcome
        if not _is_same_content(
            outcome.key.content_digest, key.content_digest
        ):
            return Failed(RequestIdReused())
        if outcome.is_abandoned:
            return Failed(NotRun('abandoned'))
        return Success(
            StatementResult(
                outcome.columns,
                outcome.rows,
                outcome.row_count,
                stored.position,
                self.term,
                is_recalled=True,
            )
        )

    def _commit_with_outcome(
        self,
        transaction: Transaction,
        key: OutcomeKey | None,
        result: StatementResult,
    ) -> Result[StatementResult, Failure]:
        outcome = None
        if key is not None:
            outcome = Outcome(
                key,
                columns=result.columns,
                rows=result.rows,
                row_count=result.row_count,
            )
        commit_result = self._commit_record(
            tuple(transaction.statements), outcome
        )
        return commit_result.map(lambda _: self._with_position(result))

    def _commit_record(
        self, statements: tuple[Statement, ...], outcome: Outcome | None
    ) -> Result[None, Failure]:
        position = Position(self.term, self.log.last.index + 1)
        record = Record(position, statements, outcome)
        if outcome is not None:
            self._working_store.insert_outcome(outcome, position)
        self._open_transaction = None
        committed = self._working_store.commit()
        if not is_successful(committed):
            self._working_store.rollback()
            return committed
        self._append(record)
        return Success(None)

    def _with_position(self, result: StatementResult) -> StatementResult:
        return StatementResult(
            result.columns,
            result.rows,
            result.row_count,
            self.log.last,
            self.term,
        )


def _is_same_content(stored_digest: str, digest: str) -> bool:
    return stored_digest == digest or ANY_CONTENT in (stored_digest, digest)


def _as_statement_failure(
    failure: Failure,
) -> Result[StatementResult, Failure]:
    return Failed(StatementFailed(failure.detail))
