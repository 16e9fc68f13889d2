"""In-memory SQLite database of a member."""

from __future__ import annotations

from enum import Enum
import sqlite3
from typing import Any
from typing import TYPE_CHECKING

import cbor2
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import ResultTooLarge
from trefoilpulley_core.failure import StatementFailed
from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_core.upstream import Statement
from trefoilpulley_core.upstream import StatementResult
from trefoilpulley_standins.member.record import Outcome
from trefoilpulley_standins.member.record import StoredOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from trefoilpulley_standins.member.record import Record

MAX_RESULT_BYTES = 1 << 20
"""Greatest size of a result, in bytes."""

_VALUE_OVERHEAD_BYTES = 9
_OUTCOMES_TABLE = 'trefoilpulley_outcomes'
_CREATE_OUTCOMES_TABLE = f"""
create table if not exists {_OUTCOMES_TABLE} (
    tenant text not null,
    request_id text not null,
    digest text not null,
    is_abandoned integer not null,
    answer blob not null,
    term integer not null,
    position integer not null,
    primary key (tenant, request_id)
) without rowid
"""
_FIND_OUTCOME = f"""
select digest, is_abandoned, answer, term, position
from {_OUTCOMES_TABLE} where tenant = ? and request_id = ?
"""
_INSERT_OUTCOME = f'insert into {_OUTCOMES_TABLE} values (?, ?, ?, ?, ?, ?, ?)'

_READ_ACTIONS = frozenset(
    (
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_RECURSIVE,
        sqlite3.SQLITE_SELECT,
    )
)
_FORBIDDEN_ACTIONS = frozenset(
    (
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_TRANSACTION,
    )
)


class _AccessMode(Enum):
    ALL = 'all'
    WRITE = 'write'
    READ = 'read'


class SqlStore:
    """SQLite database with a table of the outcomes of writes.

    Parameters
    ----------
    schema : Iterable[str]
        SQL statements that create the tables.
    """

    def __init__(self, schema: Iterable[str] = ()) -> None:
        self._access_mode = _AccessMode.ALL
        self._conn = _open_in_memory()
        self._conn.execute(_CREATE_OUTCOMES_TABLE)
        for sql in schema:
            self._conn.execute(sql)
        self._conn.set_authorizer(self._authorize)

    @classmethod
    def from_snapshot(cls, data: bytes) -> SqlStore:
        """Return a store with the content of a snapshot."""
        store = cls.__new__(cls)
        store._access_mode = _AccessMode.ALL
        store._conn = _open_in_memory()
        store._conn.deserialize(data)
        store._conn.set_authorizer(store._authorize)
        return store

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._conn.in_transaction

    def snapshot(self) -> bytes:
        """Return the serialized database."""
        return self._conn.serialize()

    def close(self) -> None:
        """Close the database and free its memory."""
        self._conn.close()

    def read(self, statement: Statement) -> Result[StatementResult, Failure]:
        """Run a statement that may only read."""
        return self._execute(statement, _AccessMode.READ)

    def begin(self) -> None:
        """Begin a transaction."""
        self._conn.execute('begin')

    def run(self, statement: Statement) -> Result[StatementResult, Failure]:
        """Run a statement in the open transaction."""
        return self._execute(statement, _AccessMode.WRITE)

    def commit(self) -> Result[None, Failure]:
        """Commit the open transaction."""
        try:
            self._conn.execute('commit')
        except sqlite3.Error as exc:
            return Failed(StatementFailed(str(exc)))
        return Success(None)

    def rollback(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._conn.in_transaction:
            self._conn.execute('rollback')

    def apply(self, record: Record) -> Result[None, Failure]:
        """Run and commit a record of the replicated log."""
        try:
            self.begin()
            self._run_record(record)
        except sqlite3.Error as exc:
            self.rollback()
            return Failed(StatementFailed(str(exc)))
        return self.commit()

    def _run_record(self, record: Record) -> None:
        for statement in record.statements:
            self._conn.execute(statement.sql, statement.parameters).fetchall()
        if record.outcome:
            self.insert_outcome(record.outcome, record.position)

    def find_outcome(self, key: OutcomeKey) -> StoredOutcome | None:
        """Return the outcome stored for a tenant and request id."""
        found = self._conn.execute(
            _FIND_OUTCOME, (key.tenant, key.request_id)
        ).fetchone()
        if found is None:
            return None
        digest, is_abandoned, answer, term, index = found
        columns, rows, row_count = cbor2.loads(answer)
        outcome = Outcome(
            OutcomeKey(key.tenant, key.request_id, digest),
            bool(is_abandoned),
            tuple(columns),
            tuple(tuple(row) for row in rows),
            row_count,
        )
        return StoredOutcome(outcome, Position(term, index))

    def insert_outcome(self, outcome: Outcome, position: Position) -> None:
        """Store an outcome within the open transaction."""
        key = outcome.key
        answer = cbor2.dumps(
            [outcome.columns, outcome.rows, outcome.row_count]
        )
        fields = (
            key.tenant,
            key.request_id,
            key.content_digest,
            int(outcome.is_abandoned),
            answer,
            position.term,
            position.index,
        )
        self._conn.execute(_INSERT_OUTCOME, fields)

    def _execute(
        self, statement: Statement, access_mode: _AccessMode
    ) -> Result[StatementResult, Failure]:
        self._access_mode = access_mode
        try:
            cursor = self._conn.execute(statement.sql, statement.parameters)
            return _fetch(cursor)
        except (sqlite3.Error, sqlite3.Warning, OverflowError) as exc:
            return Failed(StatementFailed(str(exc)))
        finally:
            self._access_mode = _AccessMode.ALL

    def _authorize(
        self, action: int, first: str | None, *others: str | None
    ) -> int:
        if self._access_mode is _AccessMode.ALL:
            return sqlite3.SQLITE_OK
        if first == _OUTCOMES_TABLE or action in _FORBIDDEN_ACTIONS:
            return sqlite3.SQLITE_DENY
        if (
            self._access_mode is _AccessMode.READ
            and action not in _READ_ACTIONS
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK


def _open_in_memory() -> sqlite3.Connection:
    # The statement cache is off, because SQLite calls the authorizer only
    # when it prepares a statement.
    return sqlite3.connect(
        ':memory:', isolation_level=None, cached_statements=0
    )


def _fetch(cursor: sqlite3.Cursor) -> Result[StatementResult, Failure]:
    rows = []
    size = 0
    for row in cursor:
        rows.append(row)
        size += sum(_size_of(value) for value in row)
        if size > MAX_RESULT_BYTES:
            cursor.close()
            return Failed(ResultTooLarge(f'limit is {MAX_RESULT_BYTES}'))
    columns = tuple(d[0] for d in cursor.description or ())
    count = len(rows) if columns else cursor.rowcount
    return Success(StatementResult(columns, tuple(rows), count))


def _size_of(value: Any) -> int:
    return _VALUE_OVERHEAD_BYTES + _length_of(value)


def _length_of(value: Sequence[Any] | Any) -> int:
    return len(value) if isinstance(value, (str, bytes)) else 0
