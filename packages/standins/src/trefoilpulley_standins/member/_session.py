"""Concurrency limits of a member and the transactions of connections."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from trefoilpulley_standins.member.engine import MemberEngine
    from trefoilpulley_standins.member.engine import Transaction

SLOT_TIMEOUT_S = 1.0
"""Longest wait of a statement for a slot, in seconds."""

TRANSACTION_TIMEOUT_S = 10.0
"""Time after which an open transaction is rolled back, in seconds."""


class Slots:
    """Limits concurrent statements by a slot count, and writers to one.

    Parameters
    ----------
    count : int
        Greatest number of concurrent statements and transactions.
    statement_duration_s : float
        Simulated execution time of a statement, in seconds.
    """

    def __init__(self, count: int, statement_duration_s: float) -> None:
        self._slots = BoundedSemaphore(count)
        self._writer = BoundedSemaphore(1)
        self._statement_duration_s = statement_duration_s
        self.in_use = 0
        """Number of slots in use."""

    @contextmanager
    def hold(self, is_writer: bool) -> Iterator[bool]:
        """Hold a slot within a ``with`` block.

        Yields whether a slot was acquired before the timeout.
        """
        is_held = self.acquire(is_writer)
        try:
            yield is_held
        finally:
            if is_held:
                self.release(is_writer)

    def acquire(self, is_writer: bool) -> bool:
        """Acquire a slot; return false after a timeout.

        A writer waits for the other writer before it acquires a slot, so
        that waiting writers occupy no slots.
        """
        if is_writer and not self._writer.acquire(timeout=SLOT_TIMEOUT_S):
            return False
        if not self._slots.acquire(timeout=SLOT_TIMEOUT_S):
            if is_writer:
                self._writer.release()
            return False
        self.in_use += 1
        return True

    def release(self, is_writer: bool) -> None:
        """Release a slot."""
        self.in_use -= 1
        self._slots.release()
        if is_writer:
            self._writer.release()

    def simulate_statement(self) -> None:
        """Sleep for the execution time of a statement."""
        if self._statement_duration_s:
            gevent.sleep(self._statement_duration_s)


class Session:
    """Transaction state of one connection.

    Parameters
    ----------
    engine : MemberEngine
        State of the member.
    slots : Slots
        Slots of the member.
    """

    def __init__(self, engine: MemberEngine, slots: Slots) -> None:
        self._engine = engine
        self._slots = slots
        self._timer = None
        self.statement_lock = BoundedSemaphore(1)
        """Serializes the statements of the connection."""

        self.transaction: Transaction | None = None
        """Open transaction; ``None`` if there is none."""

    def open(self, transaction: Transaction, on_timeout: Callable) -> None:
        """Keep a transaction open until its timeout.

        The caller must have acquired the slot of the transaction.
        """
        self.transaction = transaction
        self._timer = gevent.spawn_later(TRANSACTION_TIMEOUT_S, on_timeout)

    def end(self) -> None:
        """Roll back the open transaction, if any, and release its slot."""
        if self.transaction is None:
            return
        self._engine.rollback(self.transaction)
        self.transaction = None
        self._slots.release(is_writer=True)
        # The timer's own greenlet runs this method when the timeout closes
        # the connection; that greenlet must not kill itself.
        if self._timer is not gevent.getcurrent():
            self._timer.kill(block=False)
