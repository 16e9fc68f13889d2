"""Model of a database member, for simulation and exploration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.position import Position
from trefoilpulley_core.position import TermStart
from trefoilpulley_core.upstream import Acknowledgement
from trefoilpulley_core.upstream import MemberStatus


@dataclass(frozen=True, slots=True)
class Entry:
    """Record of a replicated log."""

    term: int
    """Term in which the record was written."""

    value: str
    """Content of the record; empty for the first record of a term."""


@dataclass(slots=True)
class ModelMember:
    """Terms, log and replication state of one member."""

    name: str
    """Name of the member."""

    zone: str
    """Availability zone."""

    term: int = 1
    """Term that the member last led or followed."""

    fenced_term: int = 1
    """Lowest term that the member accepts."""

    is_primary: bool = False
    """Whether the member is the primary of ``term``."""

    primary: str = ''
    """Name of the primary that the member follows, or empty."""

    log: tuple[Entry, ...] = ()
    """Records of the replicated log."""

    confirmed: dict[str, Position] = field(default_factory=dict)
    """Positions that the replicas confirmed to this primary, by replica."""

    last_contact_at: float | None = None
    """Time of the last message from the primary, in seconds."""

    is_up: bool = True
    """Whether the member's process is running."""

    @property
    def last_position(self) -> Position:
        """Position of the last record of the log."""
        if not self.log:
            return Position()
        return Position(self.log[-1].term, len(self.log))

    def status(self, now: float) -> MemberStatus:
        """Return the status that the member reports."""
        return MemberStatus(
            self.name,
            self.is_primary,
            self.term,
            self.fenced_term,
            self._history(),
            tuple(Acknowledgement(m, p) for m, p in self.confirmed.items()),
            self._contact_age_ms(now),
        )

    def fence(self, term: int, now: float) -> bool:
        """Fence the member at a term; return whether the term is higher."""
        if term <= self.fenced_term:
            return False
        self.fenced_term = term
        self._step_down(now)
        self.primary = ''
        return True

    def promote(self, term: int) -> bool:
        """Become primary of the term at which the member is fenced.

        Returns
        -------
        bool
            Whether the member is the primary of the term.
        """
        if self.is_primary and self.term == term:
            return True
        if term != self.fenced_term or term == self.term:
            return False
        self.start_term(term)
        return True

    def start_term(self, term: int) -> None:
        """Become primary and write the first record of a term."""
        self.term = self.fenced_term = term
        self.is_primary = True
        self.primary = ''
        self.confirmed = {}
        self.log = (*self.log, Entry(term, ''))

    def follow(self, term: int, primary: str, now: float) -> bool:
        """Become a replica of a term's primary.

        Returns
        -------
        bool
            Whether the member now follows the primary.
        """
        if term < self.fenced_term or primary == self.name:
            return False
        if term == self.term and self.is_primary:
            return False
        self._step_down(now)
        self.term = self.fenced_term = term
        self.primary = primary
        return True

    def write(self, term: int, value: str) -> Position | None:
        """Append a record if the member is the primary of the term.

        Returns
        -------
        Position | None
            Position of the record; ``None`` if the member does not lead
            the term.
        """
        if not self.is_primary or self.term != term:
            return None
        self.log = (*self.log, Entry(term, value))
        return self.last_position

    def record_contact(self, term: int, primary: str, now: float) -> bool:
        """Record a message from a primary.

        Returns
        -------
        bool
            Whether the member follows this primary in this term.
        """
        if self.is_primary or term != self.term or primary != self.primary:
            return False
        self.last_contact_at = now
        return True

    def append(
        self, term: int, primary: str, log: tuple[Entry, ...], now: float
    ) -> Position | None:
        """Replace the log by the primary's log.

        A shorter log that the member's log begins with is older and is
        ignored.

        Returns
        -------
        Position | None
            Position to confirm; ``None`` if the member does not follow
            this primary.
        """
        if not self.record_contact(term, primary, now):
            return None
        is_older = len(log) < len(self.log)
        if not (is_older and self.log[: len(log)] == log):
            self.log = log
        return self.last_position

    def confirm(self, member: str, term: int, position: Position) -> None:
        """Record the position that a replica confirmed in a term."""
        if self.is_primary and term == self.term:
            self.confirmed[member] = position

    def copy_count(self, position: Position) -> int:
        """Return how many members hold a record of the current term."""
        held = [
            p
            for p in self.confirmed.values()
            if p.term == self.term and p >= position
        ]
        return len(held) + 1

    def _step_down(self, now: float) -> None:
        if self.is_primary:
            self.last_contact_at = now
        self.is_primary = False
        self.confirmed = {}

    def _contact_age_ms(self, now: float) -> int | None:
        if self.is_primary:
            return 0
        if self.last_contact_at is None:
            return None
        return round((now - self.last_contact_at) * 1000)

    def _history(self) -> LogHistory:
        starts: list[TermStart] = []
        for index, entry in enumerate(self.log, 1):
            if not starts or starts[-1].term != entry.term:
                starts.append(TermStart(entry.term, index))
        return LogHistory(tuple(starts), self.last_position)
