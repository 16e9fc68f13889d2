"""Member state that terms, replication and statements share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import Acknowledgement
from trefoilpulley_core.upstream import MemberStatus
from trefoilpulley_core.upstream import Statement
from trefoilpulley_standins.member.log import RecordLog
from trefoilpulley_standins.member.record import Record
from trefoilpulley_standins.member.store import SqlStore

if TYPE_CHECKING:
    from collections.abc import Callable

_MS_PER_S = 1000


class Transaction:
    """Statements of an open transaction."""

    def __init__(self) -> None:
        self.statements: list[Statement] = []
        """Successful statements in the order of execution."""


class MemberState:
    """Log, term and database stores of one member.

    Parameters
    ----------
    name : str
        Name of the member.
    schema : tuple[str, ...]
        SQL statements that create the tables before the first record.
    term : int
        First term that the member accepts; 0 if the member lost its log.
    primary : str
        Primary of that term; empty if the member knows none.
    """

    def __init__(
        self, name: str, schema: tuple[str, ...], term: int, primary: str
    ) -> None:
        self.name = name
        """Name of the member."""

        self.log = RecordLog()
        """Replicated log."""

        self.term = term
        """Latest term that the member led or followed."""

        self.fenced_term = term
        """Lowest term that the member accepts."""

        self.is_primary = False
        """Whether the member is the primary of ``term``."""

        self.is_rebuilding = not term
        """Whether the member waits for a copy of the primary's state."""

        self.is_log_verified = bool(term)
        """Whether the log is known to be a prefix of the primary's log."""

        self.primary = primary
        """Primary that the member follows; empty if there is none."""

        self.observers: list[Callable[[], None]] = []
        """Callbacks that run after each change of the state."""

        self._committed_store = SqlStore(schema)
        self._working_store: SqlStore | None = None
        self._open_transaction: Transaction | None = None
        self._acknowledged_positions: dict[str, Position] = {}
        self._primary_contact_at: float | None = None

    def status(self, now: float) -> MemberStatus:
        """Return the status that the member reports at a time."""
        acknowledgements = tuple(
            Acknowledgement(m, p)
            for m, p in self._acknowledged_positions.items()
        )
        return MemberStatus(
            self.name,
            self.is_primary,
            self.term,
            self.fenced_term,
            self.log.history,
            acknowledgements,
            self._contact_age_ms(now),
        )

    def _append(self, record: Record) -> None:
        self._committed_store.apply(record)
        self.log.append(record)
        self._notify_observers()

    def _become_primary(self, term: int) -> None:
        self.term = term
        self.is_primary = True
        self.is_log_verified = True
        self.primary = ''
        self._acknowledged_positions = {}
        self._working_store = SqlStore.from_snapshot(
            self._committed_store.snapshot()
        )
        self._append(Record(Position(term, self.log.last.index + 1)))

    def _step_down(self, now: float) -> None:
        if self.is_primary:
            self._primary_contact_at = now
        self._open_transaction = None
        self.is_primary = False
        self._acknowledged_positions = {}
        if self._working_store is not None:
            self._working_store.close()
            self._working_store = None

    def _contact_age_ms(self, now: float) -> int | None:
        if self.is_primary:
            return 0
        if self._primary_contact_at is None:
            return None
        return int((now - self._primary_contact_at) * _MS_PER_S)

    def _is_replica_in_term(self, term: int) -> bool:
        return bool(self.primary) and not self.is_primary and term == self.term

    def _notify_observers(self) -> None:
        for observer in self.observers:
            observer()
