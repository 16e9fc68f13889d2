"""Tracks begin requests whose connection may end during the request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import TransactionLost

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(eq=False, slots=True)
class _PendingBegin:
    connection: int
    is_connection_lost: bool = False


class PendingBegins:
    """Rolls back a transaction if its connection ends during the begin."""

    def __init__(self) -> None:
        self._running: set[_PendingBegin] = set()

    def run(
        self,
        connection: int,
        begin: Callable[[], Result[str, Failure]],
        roll_back: Callable[[str], Any],
    ) -> Result[str, Failure]:
        """Begin a transaction for a connection.

        Parameters
        ----------
        connection : int
            Number of the connection that requested the transaction.
        begin : Callable[[], Result[str, Failure]]
            Begins the transaction and returns its identifier.
        roll_back : Callable[[str], Any]
            Rolls back the transaction with an identifier. Called if the
            connection ended while the transaction began.
        """
        pending = _PendingBegin(connection)
        self._running.add(pending)
        try:
            begun = begin()
        finally:
            self._running.discard(pending)
        if not pending.is_connection_lost or not isinstance(begun, Success):
            return begun
        roll_back(begun.unwrap())
        return Failed(
            TransactionLost('connection ended while the transaction began')
        )

    def on_connection_lost(self, connection: int) -> None:
        """Record that a connection has ended."""
        for pending in self._running:
            if pending.connection == connection:
                pending.is_connection_lost = True
