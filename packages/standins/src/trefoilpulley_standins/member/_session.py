"""Slots of a member and what each connection holds of them."""

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

SLOT_WAIT_S = 1.0
"""Longest wait for a slot, in seconds."""

TRANSACTION_LIMIT_S = 10.0
"""Longest time that a transaction may stay open, in seconds."""


class Slots:
    """Limits what runs at once: slots in all, and one writer.

    Parameters
    ----------
    count : int
        Statements and transactions that may run at once.
    statement_s : float
        Time for which each statement holds its slot, in seconds.
    """

    def __init__(self, count: int, statement_s: float) -> None:
        self._slots = BoundedSemaphore(count)
        self._writer = BoundedSemaphore(1)
        self._statement_s = statement_s
        self.in_use = 0
        """Slots in use."""

    @contextmanager
    def hold(self, is_writer: bool) -> Iterator[bool]:
        """Hold a slot for a block; gives false where none got free."""
        is_held = self.acquire(is_writer)
        try:
            yield is_held
        finally:
            if is_held:
                self.release(is_writer)

    def acquire(self, is_writer: bool) -> bool:
        """Take a slot; a writer waits without one for the other writer."""
        if is_writer and not self._writer.acquire(timeout=SLOT_WAIT_S):
            return False
        if not self._slots.acquire(timeout=SLOT_WAIT_S):
            if is_writer:
                self._writer.release()
            return False
        self.in_use += 1
        return True

    def release(self, is_writer: bool) -> None:
        """Give a slot back."""
        self.in_use -= 1
        self._slots.release()
        if is_writer:
            self._writer.release()

    def work(self) -> None:
        """Spend the time that a statement takes."""
        if self._statement_s:
            gevent.sleep(self._statement_s)


class Session:
    """Open transaction of one connection.

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
        self.order = BoundedSemaphore(1)
        """Held while a statement of the connection runs."""

        self.transaction: Transaction | None = None
        """Open transaction."""

    def open(self, transaction: Transaction, on_late: Callable) -> None:
        """Keep a transaction whose slot is held already."""
        self.transaction = transaction
        self._timer = gevent.spawn_later(TRANSACTION_LIMIT_S, on_late)

    def end(self) -> None:
        """Roll back what is still open and give the slot back."""
        if self.transaction is None:
            return
        self._engine.rollback(self.transaction)
        self.transaction = None
        self._slots.release(is_writer=True)
        # The timer may be the caller, through the connection's close.
        if self._timer is not gevent.getcurrent():
            self._timer.kill(block=False)
