"""Cursors of PEP 249."""

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
"""Seven items a column; only the name is known."""


class Cursor:
    """Runs statements and holds the rows of the latest one.

    Parameters
    ----------
    connection : Connection
        Connection that made the cursor.
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
        """Connection that made the cursor."""

        self.arraysize = 1
        """Rows that `fetchmany` returns by default."""

        self.rowcount = -1
        """Rows changed or returned; -1 where unknown."""

    @property
    def description(self) -> Description | None:
        """Columns of the latest result, or ``None`` without one."""
        if not self._has_rows:
            return None
        return tuple((n, *(None,) * 6) for n in self._answer.columns)

    @property
    def age_ms(self) -> int:
        """Greatest age of the latest answer's data, in milliseconds."""
        return self._answer.age_ms

    @property
    def member(self) -> str:
        """Member that gave the latest answer."""
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
            Identifier of a single statement, where the program keeps
            its own to repeat the request after its own restart.
        """
        self._require_open()
        self._reset()
        values = _check_parameters(parameters)
        self._take(self.connection.run(self._target, sql, values, request_id))
        return self

    def executemany(
        self, sql: str, parameter_sets: Iterable[Sequence[Any]]
    ) -> Cursor:
        """Run a statement once for each set of parameters."""
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
        """Return the next row, or ``None``."""
        rows = self._fetch(1)
        return rows[0] if rows else None

    def fetchmany(self, size: int | None = None) -> list[Row]:
        """Return up to ``size`` rows."""
        return self._fetch(self.arraysize if size is None else size)

    def fetchall(self) -> list[Row]:
        """Return the rows that are left."""
        return self._fetch(len(self._answer.rows))

    def close(self) -> None:
        """Drop the rows; the cursor is of no use any more."""
        self._reset()
        self._is_closed = True

    def setinputsizes(self, sizes: Sequence[Any]) -> None:
        """Do nothing, as PEP 249 allows."""

    def setoutputsize(self, size: int, column: int | None = None) -> None:
        """Do nothing, as PEP 249 allows."""

    def __enter__(self) -> Cursor:
        self._require_open()
        return self

    def __exit__(self, *args: object) -> None:
        self.close()

    def __iter__(self) -> Iterator[Row]:
        return iter(self.fetchone, None)

    def _take(self, answer: Answer) -> None:
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
            raise ProgrammingError('no statement has returned rows')
        start = self._next_row
        rows = list(self._answer.rows[start : start + count])
        self._next_row += len(rows)
        return rows

    def _require_open(self) -> None:
        if self._is_closed:
            raise ClosedError('the cursor', code='closed')


def _check_parameters(parameters: Sequence[Any]) -> tuple[Any, ...]:
    if not isinstance(parameters, list | tuple):
        raise ProgrammingError('parameters are given as a list or tuple')
    for value in parameters:
        if not isinstance(value, _PARAMETER_TYPES):
            kind = type(value).__name__
            raise ProgrammingError(f'a parameter has the type {kind}')
    return tuple(parameters)
