"""Cursors as defined by PEP 249."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_client.errors import ClosedError
from trefoilpulley_client.errors import ProgrammingError
from trefoilpulley_core.caller import Answer

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from trefoilpulley_client.connection import Connection
    from trefoilpulley_client.target import Target
    from trefoilpulley_core.upstream import Row

_PARAMETER_TYPES = (int, float, str, bytes, type(None))
_NO_ANSWER = Answer()

Description = tuple[tuple[Any, ...], ...]
"""Column descriptions of seven items each; only the name is filled in."""


class Cursor:
    """Run statements and fetch the rows of the latest one.

    Parameters
    ----------
    connection : Connection
        Connection that the cursor belongs to.
    target : Target
        Class of work and database of the statements.
    """

    def __init__(self, connection: Connection, target: Target) -> None:
        self._target = target
        self._answer = _NO_ANSWER
        self._has_rows = False
        self._next_row = 0
        self._is_closed = False
        self.connection = connection
        """Connection that the cursor belongs to."""

        self.arraysize = 1
        """Number of rows that `fetchmany` returns by default."""

        self.rowcount = -1
        """Number of rows changed or returned; -1 if unknown."""

    @property
    def description(self) -> Description | None:
        """Columns of the latest result; ``None`` if there is no result."""
        if not self._has_rows:
            return None
        return tuple((n, *(None,) * 6) for n in self._answer.columns)

    @property
    def age_ms(self) -> int:
        """Upper bound for the age of the latest result, in milliseconds."""
        return self._answer.age_ms

    @property
    def member(self) -> str:
        """Name of the member that served the latest statement."""
        return self._answer.member

    def execute(
        self,
        sql: str,
        parameters: Sequence[Any] = (),
        *,
        request_id: str = '',
    ) -> Cursor:
        """Run a statement.

        Parameters
        ----------
        sql : str
            Statement with ``?`` for each parameter.
        parameters : Sequence[Any]
            Values: ``None``, int, float, str or bytes.
        request_id : str
            Request id chosen by the program, so that the program can repeat
            the request after a restart; only allowed with autocommit.

        Returns
        -------
        Cursor
            This cursor.
        """
        self._require_open()
        self._reset()
        values = _check_parameters(parameters)
        self._store_answer(
            self.connection.run(self._target, sql, values, request_id)
        )
        return self

    def executemany(
        self, sql: str, parameter_sets: Iterable[Sequence[Any]]
    ) -> Cursor:
        """Run a statement once for each set of parameters.

        `rowcount` is the total of all runs afterwards.
        """
        self._require_open()
        self._reset()
        total = 0
        for parameters in parameter_sets:
            values = _check_parameters(parameters)
            answer = self.connection.run(self._target, sql, values)
            total += max(answer.row_count, 0)
        self.rowcount = total
        return self

    def fetchone(self) -> Row | None:
        """Return the next row, or ``None`` if no row is left."""
        rows = self._fetch(1)
        return rows[0] if rows else None

    def fetchmany(self, size: int | None = None) -> list[Row]:
        """Return up to ``size`` rows, or `arraysize` rows by default."""
        return self._fetch(self.arraysize if size is None else size)

    def fetchall(self) -> list[Row]:
        """Return all remaining rows."""
        return self._fetch(len(self._answer.rows))

    def close(self) -> None:
        """Discard the rows and close the cursor."""
        self._reset()
        self._is_closed = True

    def setinputsizes(self, sizes: Sequence[Any]) -> None:
        """Do nothing; PEP 249 allows an implementation to ignore the call."""

    def setoutputsize(self, size: int, column: int | None = None) -> None:
        """Do nothing; PEP 249 allows an implementation to ignore the call."""

    def __enter__(self) -> Cursor:
        self._require_open()
        return self

    def __exit__(self, *args: object) -> None:
        self.close()

    def __iter__(self) -> Iterator[Row]:
        return iter(self.fetchone, None)

    def _store_answer(self, answer: Answer) -> None:
        self._answer = answer
        self._has_rows = bool(answer.columns)
        self.rowcount = answer.row_count

    def _reset(self) -> None:
        self._answer = _NO_ANSWER
        self._has_rows = False
        self._next_row = 0
        self.rowcount = -1

    def _fetch(self, count: int) -> list[Row]:
        self._require_open()
        if not self._has_rows:
            raise ProgrammingError(
                'the latest statement has not returned rows'
            )
        start = self._next_row
        rows = list(self._answer.rows[start : start + count])
        self._next_row += len(rows)
        return rows

    def _require_open(self) -> None:
        if self._is_closed:
            raise ClosedError('the cursor', code='closed')


def _check_parameters(parameters: Sequence[Any]) -> tuple[Any, ...]:
    if not isinstance(parameters, list | tuple):
        raise ProgrammingError('parameters must be a list or a tuple')
    for value in parameters:
        if not isinstance(value, _PARAMETER_TYPES):
            kind = type(value).__name__
            raise ProgrammingError(f'unsupported parameter type {kind}')
    return tuple(parameters)
