"""What the coordination decides and what it hears back."""

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
    """What a call to a member serves."""

    PROBE = 'probe'
    """Evidence on the member's health."""

    STEP = 'step'
    """A step of a promotion or handover."""

    REDIRECT = 'care'
    """A replica is told which primary to follow."""


@dataclass(frozen=True, slots=True)
class CallMember:
    """Sends a control message to a member through its pooler."""

    database: str
    """Name of the database."""

    member: str
    """Name of the member."""

    message: Any
    """Control message of `trefoilpulley_core.peer`."""

    timeout_s: float
    """Longest wait for the reply, in seconds."""

    purpose: Purpose = Purpose.STEP
    """What the call serves."""


@dataclass(frozen=True, slots=True)
class CallDone:
    """Outcome of a `CallMember`."""

    call: CallMember
    """The call."""

    sent_at: float
    """Monotonic time at which the call left, in seconds."""

    result: Result[Any, Failure]
    """Reply or failure."""

    is_from_pooler: bool = False
    """Whether a failure was reported by the member's pooler."""


@dataclass(frozen=True, slots=True)
class EditRecord:
    """Changes a database's record in the platform's service."""

    edit: RecordEdit
    """The change."""


@dataclass(frozen=True, slots=True)
class LoadShard:
    """Reads the records of a shard."""

    shard: int
    """Number of the shard."""


@dataclass(frozen=True, slots=True)
class StoreShard:
    """Writes the records of a shard by compare-and-swap."""

    shard: int
    """Number of the shard."""

    expected_revision: int
    """Revision that the key must have."""

    value: bytes
    """JSON form of the records."""


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that operators want to see in the log."""

    database: str
    """Name of the database."""


@dataclass(frozen=True, slots=True)
class PromotionBegan(Notice):
    """A promotion has begun."""

    term: int
    """Term of the promotion."""

    reason: str
    """Verdict that led to it."""


@dataclass(frozen=True, slots=True)
class PrimaryPromoted(Notice):
    """A member leads a new term."""

    term: int
    """Term."""

    primary: str
    """Name of the member."""

    elapsed_ms: int
    """Time since the promotion began."""


@dataclass(frozen=True, slots=True)
class PromotionEnded(Notice):
    """A promotion is over."""

    term: int
    """Term."""

    outcome: str
    """How it ended."""


@dataclass(frozen=True, slots=True)
class HandoverBegan(Notice):
    """A handover has begun."""

    handover_id: str
    """Identifier."""

    source: str
    """Primary at the start."""

    target: str
    """Member that is to lead."""


@dataclass(frozen=True, slots=True)
class HandoverEnded(Notice):
    """A handover is over."""

    handover_id: str
    """Identifier."""

    outcome: str
    """How it ended."""

    pause_ms: int
    """Time from the hold of writes to its end."""


Command = CallMember | EditRecord | LoadShard | StoreShard | Notice
"""Anything that a decision asks for."""

Commands = tuple[Command, ...]
"""Decisions in the order in which they are to be carried out."""
