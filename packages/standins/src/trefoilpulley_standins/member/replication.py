"""Replication messages between members."""

from __future__ import annotations

from dataclasses import dataclass

from trefoilpulley_core.position import LogHistory
from trefoilpulley_core.position import Position
from trefoilpulley_core.upstream import MemberStatus
from trefoilpulley_standins.member.record import Record
from trefoilpulley_wire.codec import Codec


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request for the records of a primary."""

    member: str
    """Name of the replica."""

    term: int
    """Term that the replica follows."""

    history: LogHistory
    """Terms and end of the replica's log."""

    is_rebuilding: bool = False
    """Whether the replica needs a copy of the state in any case."""


@dataclass(frozen=True, slots=True)
class Subscribed:
    """Reply: the replica's log is a prefix of the primary's log."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Reply with a copy of the primary's state for the replica."""

    history: LogHistory
    """Terms and end of the primary's log."""

    data: bytes
    """Serialized database."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Reply to a request that the member rejects."""

    code: str
    """Error code."""


@dataclass(frozen=True, slots=True)
class Confirm:
    """Acknowledgement of the log up to a position."""

    member: str
    """Name of the replica."""

    term: int
    """Term that the replica follows."""

    position: Position
    """Last position of the replica's log."""


@dataclass(frozen=True, slots=True)
class Append:
    """Records that follow a position; a heartbeat if there are none."""

    term: int
    """Term of the primary."""

    previous: Position
    """Position directly before the first record."""

    records: tuple[Record, ...] = ()
    """Records in the order of the log."""


@dataclass(frozen=True, slots=True)
class SetLag:
    """Changes the delay before a replica applies records."""

    lag_ms: float
    """Delay in milliseconds."""


@dataclass(frozen=True, slots=True)
class Observe:
    """Request for the status over a replication connection.

    Replication connections do not count towards the connection limit.
    """


@dataclass(frozen=True, slots=True)
class Observed:
    """Reply to `Observe`."""

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
"""Codec of the replication connections."""
