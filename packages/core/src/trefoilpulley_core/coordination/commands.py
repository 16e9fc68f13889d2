"""Commands of the coordination, and the results of member calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.coordination.edits import RecordEdit
    from trefoilpulley_core.failure import Failure


class Purpose(StrEnum):
    """Reasons for a call to a member."""

    PROBE = 'probe'
    """Checks whether the member answers and in which state it is."""

    STEP = 'step'
    """Carries out a step of a promotion or handover."""

    REDIRECT = 'care'
    """Tells a replica which primary to follow."""


@dataclass(frozen=True, slots=True)
class CallMember:
    """Command to send a control message to a member's pooler."""

    database: str
    """Name of the database."""

    member: str
    """Name of the member."""

    message: Any
    """Control message of `trefoilpulley_core.peer`."""

    timeout_s: float
    """Time limit for the reply, in seconds."""

    purpose: Purpose = Purpose.STEP
    """Reason for the call."""


@dataclass(frozen=True, slots=True)
class CallDone:
    """Result of a `CallMember` command."""

    call: CallMember
    """Call that has ended."""

    sent_at: float
    """Monotonic time at which the call was sent, in seconds."""

    result: Result[Any, Failure]
    """Reply of the member, or the failure of the call."""

    is_from_pooler: bool = False
    """Whether the member's pooler answered and reported the failure."""


@dataclass(frozen=True, slots=True)
class EditRecord:
    """Command to change a database's record in the platform's service."""

    edit: RecordEdit
    """Change to apply to the record."""


@dataclass(frozen=True, slots=True)
class LoadShard:
    """Command to read the records of a shard."""

    shard: int
    """Number of the shard."""


@dataclass(frozen=True, slots=True)
class StoreShard:
    """Command to write the records of a shard by compare-and-swap."""

    shard: int
    """Number of the shard."""

    expected_revision: int
    """Revision that the shard's key must have for the write to succeed."""

    value: bytes
    """Records, encoded as JSON."""


@dataclass(frozen=True, slots=True)
class Notice:
    """Base of the events that are written to the operators' log."""

    database: str
    """Name of the database."""


@dataclass(frozen=True, slots=True)
class PromotionBegan(Notice):
    """Log event at the start of a promotion."""

    term: int
    """Term of the promotion."""

    reason: str
    """Verdict that caused the promotion, or ``handover``."""


@dataclass(frozen=True, slots=True)
class PrimaryPromoted(Notice):
    """Log event when a member has become the primary of a new term."""

    term: int
    """Term of the new primary."""

    primary: str
    """Name of the new primary."""

    elapsed_ms: int
    """Time since the start of the promotion, in milliseconds."""


@dataclass(frozen=True, slots=True)
class PromotionEnded(Notice):
    """Log event at the end of a promotion."""

    term: int
    """Term of the promotion."""

    outcome: str
    """Last stage of the promotion."""


@dataclass(frozen=True, slots=True)
class HandoverBegan(Notice):
    """Log event at the start of a handover."""

    handover_id: str
    """Identifier of the handover."""

    source: str
    """Primary at the start of the handover."""

    target: str
    """Member that should become the primary."""


@dataclass(frozen=True, slots=True)
class HandoverEnded(Notice):
    """Log event at the end of a handover."""

    handover_id: str
    """Identifier of the handover."""

    outcome: str
    """``done``, or the reason for which the handover was abandoned."""

    pause_ms: int
    """Time for which writes were paused, in milliseconds."""


Command = CallMember | EditRecord | LoadShard | StoreShard | Notice
"""Command or log event that a coordinator returns."""

Commands = tuple[Command, ...]
"""Commands in the order in which they must be carried out."""
