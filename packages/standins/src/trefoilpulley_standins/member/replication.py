"""Messages of the replication between members."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import MemberStatus
from trefoilpulley_standins.member.record import Record
from trefoilpulley_wire.codec import Codec


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks a primary for its records."""

    member: str
    """Name of the replica."""

    term: int
    """Term that the replica follows."""

    history: LogHistory
    """Log of the replica."""

    is_rebuilding: bool = False
    """Whether the replica needs a copy in any case."""


@dataclass(frozen=True, slots=True)
class Subscribed:
    """The replica's log is a beginning of the primary's."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Copy of the primary's state, which replaces the replica's."""

    history: LogHistory
    """Log of the primary."""

    data: bytes
    """Content of the database."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The asked member does not lead the term."""

    code: str
    """Code of the failure."""


@dataclass(frozen=True, slots=True)
class Confirm:
    """The replica holds the log up to a position."""

    member: str
    """Name of the replica."""

    term: int
    """Term that the replica follows."""

    position: Position
    """End of the replica's log."""


@dataclass(frozen=True, slots=True)
class Append:
    """Records that follow a position; without any it is a heartbeat."""

    term: int
    """Term of the primary."""

    previous: Position
    """Position before the first of the records."""

    records: tuple[Record, ...] = ()
    """Records in order."""


@dataclass(frozen=True, slots=True)
class SetLag:
    """Changes the time for which a replica holds records back."""

    lag_ms: float
    """Lag in milliseconds."""


@dataclass(frozen=True, slots=True)
class Observe:
    """Asks for the status without one of the limited connections."""


@dataclass(frozen=True, slots=True)
class Observed:
    """Answer to `Observe`."""

    status: MemberStatus
    """Status of the member."""


REPLICATION_CODEC = Codec(
    (
        Append,
        Confirm,
        Observe,
        Observed,
        Refused,
        SetLag,
        Snapshot,
        Subscribe,
        Subscribed,
    )
)
"""Codec of the connections between members."""
