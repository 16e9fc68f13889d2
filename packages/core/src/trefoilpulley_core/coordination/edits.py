"""Edits of a database's record.

Each edit is idempotent. After a conflict or a lost answer, the edit is
applied again to the latest version of the record. Neither case needs
special treatment.
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
    """Base of the edits of a database's record."""

    database: str
    """Name of the database."""

    @abc.abstractmethod
    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Return the edited record."""


@dataclass(frozen=True, slots=True)
class ClaimTerms(RecordEdit):
    """Grants a process its next terms."""

    holder: str
    """Process that receives the terms."""

    above: int
    """Known term that the granted terms must exceed."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Return the record with the missing terms granted."""
        return with_grants(record, self.holder, self.above)


@dataclass(frozen=True, slots=True)
class RecordPrimary(RecordEdit):
    """Records the primary of a term."""

    term: int
    """Term of the primary."""

    primary: str
    """Name of the primary."""

    is_by_handover: bool = False
    """Whether the primary was changed by a handover."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Return the record with the primary, unless its term is old."""
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
    """Stores a new handover or the next step of a handover.

    An existing record of another handover is kept. The process that
    issued this edit finds the other handover in the record and abandons
    its own.
    """

    handover: HandoverRecord
    """Handover to store."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Return the record with the handover, unless it has another."""
        current = record.handover
        if current and current.handover_id != self.handover.handover_id:
            return record
        return replace(record, handover=self.handover)


@dataclass(frozen=True, slots=True)
class EndHandover(RecordEdit):
    """Removes a handover that has ended."""

    handover_id: str
    """Identifier of the handover."""

    is_failed: bool
    """Whether the handover failed; a failure counts as a relapse."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Return the record without the handover."""
        current = record.handover
        if current is None or current.handover_id != self.handover_id:
            return record
        relapses = record.relapses + self.is_failed
        return replace(record, handover=None, relapses=relapses)


@dataclass(frozen=True, slots=True)
class ResetRelapses(RecordEdit):
    """Resets the number of relapses, and with it the hold-down."""

    def apply(self, record: DatabaseRecord) -> DatabaseRecord:
        """Return the record without relapses."""
        return replace(record, relapses=0)
