"""Durable records of a shard's databases.

All records of a shard are stored under one key of the platform's
service.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter
import xxhash

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry

SHARDS_PER_ZONE = 10
"""Number of shards for databases whose home primaries share a zone."""

SHARD_NUMBER_COUNT = 10_000
"""Size of the range of shard numbers."""


class HandoverStep(StrEnum):
    """Steps of a handover that are stored in the record."""

    WARMING = 'warming'
    """The target's pooler opens connections; writes are accepted."""

    SWITCHING = 'switching'
    """Writes may be paused and the handover's term may be in use."""


@dataclass(frozen=True, slots=True)
class TermGrant:
    """Exclusive right of one process to use a term once."""

    term: int
    """Granted term."""

    holder: str
    """Process that may use the term, named by host and incarnation."""


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """Record of a handover in progress."""

    handover_id: str
    """Identifier, unique in the database."""

    holder: str
    """Process that runs the handover."""

    source: str
    """Primary at the start of the handover."""

    target: str
    """Member that should become the primary."""

    step: HandoverStep = HandoverStep.WARMING
    """Current step."""


@dataclass(frozen=True, slots=True)
class DatabaseRecord:
    """Coordination state of one database."""

    database: str
    """Name of the database."""

    term: int = 0
    """Highest term with a recorded primary."""

    primary: str = ''
    """Primary of that term."""

    ceiling: int = 0
    """Highest term ever granted or recorded."""

    grants: tuple[TermGrant, ...] = ()
    """Terms above the recorded one that were granted in advance."""

    handover: HandoverRecord | None = None
    """Handover in progress, or ``None``."""

    is_by_handover: bool = False
    """Whether the primary was changed by a handover."""

    relapses: int = 0
    """Handovers that failed or were undone since the last reset."""


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """Records of all databases of a shard."""

    databases: dict[str, DatabaseRecord] = field(default_factory=dict)
    """Records by the name of the database."""

    def find(self, database: str) -> DatabaseRecord:
        """Return the record of a database, or an empty one."""
        return self.databases.get(database) or DatabaseRecord(database)

    def with_database(self, record: DatabaseRecord) -> ShardRecord:
        """Return a copy of the shard with one record replaced."""
        databases = {**self.databases, record.database: record}
        return replace(self, databases=databases)


_CONVERTER = make_converter(omit_if_default=True)


def encode_shard(record: ShardRecord) -> bytes:
    """Encode a shard as JSON."""
    return _CONVERTER.dumps(record, sort_keys=True).encode()


def decode_shard(data: bytes) -> ShardRecord:
    """Decode a shard from JSON; empty bytes yield an empty shard."""
    if not data:
        return ShardRecord()
    return _CONVERTER.loads(data, ShardRecord)


def shard_of(entry: DatabaseEntry) -> int:
    """Return the number of the shard that a database belongs to.

    All databases of a shard have their home primary in the same zone,
    so the shard's coordinator can be near the databases but outside
    that zone.
    """
    part = xxhash.xxh3_64_intdigest(entry.name.encode()) % SHARDS_PER_ZONE
    name = f'{entry.members[0].zone}#{part}'
    return xxhash.xxh3_64_intdigest(name.encode()) % SHARD_NUMBER_COUNT
