"""Changes of a database's record.

Each edit is idempotent and is applied anew to the record that another
writer left, so that a conflict or a lost answer needs no special case.
"""

from __future__ import annotations

import abc
from dataclasses import dataclass
from dataclasses import replace

from trefoilpulley_core.coordination.shard import DatabaseRecord
from trefoilpulley_core.coordination.shard import HandoverRecord
from trefoilpulley_core.coordination.terms import with_grants


@dataclass(frozen=True, slots=True)
class RecordEdit(abc.ABC):
    """One change of a database's record."""

    database: str
    """Name of the database."""

    @abc.abstractmethod
    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Return the record after the change."""


@dataclass(frozen=True, slots=True)
class ClaimTerms(RecordEdit):
    """Grants a process the next terms above a known one."""

    holder: str
    """Process that gets the terms."""

    above: int
    """Term that the granted ones must exceed."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Top up the holder's grants."""
        return with_grants(record, self.holder, self.above)


@dataclass(frozen=True, slots=True)
class RecordPrimary(RecordEdit):
    """Records the primary of a term."""

    term: int
    """Term that the primary leads."""

    primary: str
    """Name of the member."""

    is_by_handover: bool = False
    """Whether it took over by a handover."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Take the primary unless a later one is recorded."""
        if self.term <= record.term:
            return record
        is_relapse = record.is_by_handover and not self.is_by_handover
        return replace(
            record,
            term=self.term,
            primary=self.primary,
            ceiling=max(record.ceiling, self.term),
            grants=tuple(g for g in record.grants if g.term > self.term),
            is_by_handover=self.is_by_handover,
            relapses=record.relapses + is_relapse,
        )


@dataclass(frozen=True, slots=True)
class PutHandover(RecordEdit):
    """Begins a handover or moves it to its next step.

    A handover of another process stays; the writer sees it in the
    record and gives its own up.
    """

    handover: HandoverRecord
    """Handover as it should stand."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Put the handover in where no other one stands."""
        current = record.handover
        if current and current.handover_id != self.handover.handover_id:
            return record
        return replace(record, handover=self.handover)


@dataclass(frozen=True, slots=True)
class EndHandover(RecordEdit):
    """Removes a handover that is over."""

    handover_id: str
    """Identifier of the handover."""

    is_failed: bool
    """Whether it was abandoned by a fault."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Remove the handover if it still stands."""
        current = record.handover
        if current is None or current.handover_id != self.handover_id:
            return record
        relapses = record.relapses + self.is_failed
        return replace(record, handover=None, relapses=relapses)


@dataclass(frozen=True, slots=True)
class ResetRelapses(RecordEdit):
    """Ends the growth of the hold-down after a quiet time."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Set the count back."""
        return replace(record, relapses=0)
