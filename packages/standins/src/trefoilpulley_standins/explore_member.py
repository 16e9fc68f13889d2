"""Model of a member of a database group, for replay and exploration."""

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
    """One record of a log."""

    term: int
    """Term that it was written in."""

    value: str
    """Content; empty for the first record of a term."""


@dataclass(slots=True)
class ModelMember:
    """Terms, log and progress of one member."""

    name: str
    """Name of the member."""

    zone: str
    """Availability zone."""

    term: int = 1
    """Term last led or followed."""

    fenced_term: int = 1
    """Lowest term accepted."""

    is_primary: bool = False
    """Whether the member leads ``term``."""

    primary: str = ''
    """Member that this one follows."""

    log: tuple[Entry, ...] = ()
    """Replicated log."""

    confirmed: dict[str, Position] = field(default_factory=dict)
    """Progress of the replicas, at a primary."""

    last_contact_at: float | None = None
    """Time of the last word from the primary."""

    is_up: bool = True
    """Whether the process runs."""

    @property
    def last_position(self) -> Position:
        """End of the log."""
        if not self.log:
            return Position()
        return Position(self.log[-1].term, len(self.log))

    def status(self, now: float) -> MemberStatus:
        """Return what the member says of itself."""
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
        """Refuse lower terms; false where the term is no news."""
        if term <= self.fenced_term:
            return False
        self.fenced_term = term
        self._step_down(now)
        self.primary = ''
        return True

    def promote(self, term: int) -> bool:
        """Lead a term that the member is fenced at."""
        if self.is_primary and self.term == term:
            return True
        if term != self.fenced_term or term == self.term:
            return False
        self.start_term(term)
        return True

    def start_term(self, term: int) -> None:
        """Begin a term."""
        self.term = self.fenced_term = term
        self.is_primary = True
        self.primary = ''
        self.confirmed = {}
        self.log = (*self.log, Entry(term, ''))

    def follow(self, term: int, primary: str, now: float) -> bool:
        """Become a replica of a term's primary."""
        if term < self.fenced_term or primary == self.name:
            return False
        if term == self.term and self.is_primary:
            return False
        self._step_down(now)
        self.term = self.fenced_term = term
        self.primary = primary
        return True

    def write(self, term: int, value: str) -> Position | None:
        """Append a record where the member leads the term."""
        if not self.is_primary or self.term != term:
            return None
        self.log = (*self.log, Entry(term, value))
        return self.last_position

    def record_contact(self, term: int, primary: str, now: float) -> bool:
        """Note a word from a primary; false where it is not followed."""
        if self.is_primary or term != self.term or primary != self.primary:
            return False
        self.last_contact_at = now
        return True

    def append(
        self, term: int, primary: str, log: tuple[Entry, ...], now: float
    ) -> Position | None:
        """Take the primary's log; return what is confirmed."""
        if not self.record_contact(term, primary, now):
            return None
        is_older = len(log) < len(self.log)
        if not (is_older and self.log[: len(log)] == log):
            self.log = log
        return self.last_position

    def confirm(self, member: str, term: int, position: Position) -> None:
        """Take a replica's progress."""
        if self.is_primary and term == self.term:
            self.confirmed[member] = position

    def copy_count(self, position: Position) -> int:
        """Return how many members hold a record of the present term."""
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
