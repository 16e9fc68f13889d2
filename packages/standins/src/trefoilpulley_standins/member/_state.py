"""State of a member that terms, replication and statements share."""

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

_MS = 1000


class Transaction:
    """Open transaction of one connection."""

    def __init__(self) -> None:
        self.statements: list[Statement] = []
        """Statements that have run, in order."""


class MemberState:
    """Log, term and databases of one member.

    Parameters
    ----------
    name : str
        Name of the member.
    schema : tuple[str, ...]
        Statements run before the first record.
    term : int
        First term that the member accepts; 0 where it has lost its log.
    primary : str
        Primary of that term; empty where the member knows none.
    """

    def __init__(
        self, name: str, schema: tuple[str, ...], term: int, primary: str
    ) -> None:
        self.name = name
        """Name of the member."""

        self.log = RecordLog()
        """Replicated log."""

        self.term = term
        """Term last led or followed."""

        self.fenced_term = term
        """Lowest term accepted."""

        self.is_primary = False
        """Whether the member leads ``term``."""

        self.is_rebuilding = not term
        """Whether the member waits for a copy of the primary's state."""

        self.is_compared = bool(term)
        """Whether the log is known to be a beginning of the primary's."""

        self.primary = primary
        """Member that this one follows; empty where none."""

        self.observers: list[Callable[[], None]] = []
        """Called after each change of the status."""

        self._committed = SqlStore(schema)
        self._workspace: SqlStore | None = None
        self._open: Transaction | None = None
        self._acknowledged: dict[str, Position] = {}
        self._contact_at: float | None = None

    def status(self, now: float) -> MemberStatus:
        """Return what the member says of itself."""
        acknowledgements = tuple(
            Acknowledgement(m, p) for m, p in self._acknowledged.items()
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
        self._committed.apply(record)
        self.log.append(record)
        self._changed()

    def _lead(self, term: int) -> None:
        self.term = term
        self.is_primary = True
        self.is_compared = True
        self.primary = ''
        self._acknowledged = {}
        self._workspace = SqlStore.from_snapshot(self._committed.snapshot())
        self._append(Record(Position(term, self.log.last.index + 1)))

    def _step_down(self, now: float) -> None:
        if self.is_primary:
            self._contact_at = now
        self._open = None
        self.is_primary = False
        self._acknowledged = {}
        if self._workspace is not None:
            self._workspace.close()
            self._workspace = None

    def _contact_age_ms(self, now: float) -> int | None:
        if self.is_primary:
            return 0
        if self._contact_at is None:
            return None
        return int((now - self._contact_at) * _MS)

    def _is_followed(self, term: int) -> bool:
        return bool(self.primary) and not self.is_primary and term == self.term

    def _changed(self) -> None:
        for observer in self.observers:
            observer()
