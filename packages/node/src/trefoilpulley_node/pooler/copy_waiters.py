"""Writes that wait for their copies without holding a slot."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from gevent.event import AsyncResult
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.copies import count_copies
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import OutcomeUnknown

if TYPE_CHECKING:
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.upstream import MemberStatus


@dataclass(eq=False, slots=True)
class _Waiter:
    position: Position
    term: int
    copies: int
    result: AsyncResult = field(default_factory=AsyncResult)


class CopyWaiters:
    """Writes of one primary that wait until enough members hold them."""

    def __init__(self) -> None:
        self._waiters: set[_Waiter] = set()

    def __len__(self) -> int:
        return len(self._waiters)

    def wait(
        self,
        status: MemberStatus | None,
        position: Position,
        term: int,
        copies: int,
        timeout_s: float,
    ) -> Result[None, Failure]:
        """Wait until enough members hold a log record of a term.

        Parameters
        ----------
        status : MemberStatus or None
            Newest status of the primary, or ``None`` if unknown.
        position : Position
            Position of the record.
        term : int
            Term under which the record was written.
        copies : int
            Number of members that must hold the record, including the
            primary.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Result[None, Failure]
            Success, or `OutcomeUnknown` if the copies were not confirmed.
        """
        waiter = _Waiter(position, term, copies)
        if status is not None and self._try_complete(waiter, status):
            return waiter.result.get()
        self._waiters.add(waiter)
        waiter.result.wait(timeout_s)
        self._waiters.discard(waiter)
        if not waiter.result.ready():
            return Failed(
                OutcomeUnknown('too few members confirmed the write in time')
            )
        return waiter.result.get()

    def on_status(self, status: MemberStatus) -> None:
        """Wake the writes whose result a new status decides."""
        for waiter in list(self._waiters):
            self._try_complete(waiter, status)

    def on_lost(self) -> None:
        """Wake every write, because the connection to the primary is lost."""
        failed = Failed(OutcomeUnknown('connection to the primary was lost'))
        for waiter in list(self._waiters):
            waiter.result.set(failed)

    def _try_complete(self, waiter: _Waiter, status: MemberStatus) -> bool:
        if status.term > waiter.term or (
            status.term == waiter.term and not status.is_primary
        ):
            waiter.result.set(
                Failed(OutcomeUnknown('another member became primary'))
            )
            return True
        if status.term < waiter.term:
            return False
        if count_copies(status, waiter.position) < waiter.copies:
            return False
        waiter.result.set(Success(None))
        return True
