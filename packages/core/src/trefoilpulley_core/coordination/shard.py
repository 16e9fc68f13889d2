"""Durable records of the databases of a shard.

One key of the platform's service holds a whole shard.
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
"""Shards of the databases whose home primaries share a zone."""

SHARD_NUMBER_COUNT = 10_000
"""Numbers that shards are spread over."""


class HandoverStep(StrEnum):
    """Steps of a handover that outlive their coordinator."""

    WARMING = 'warming'
    """The target gets its connections; writes go on."""

    SWITCHING = 'switching'
    """Writes may be held and the handover's term may be in use."""


@dataclass(frozen=True, slots=True)
class TermGrant:
    """Right of one process to use one term, once."""

    term: int
    """Term that nobody else may use."""

    holder: str
    """Process that may use the term: host and incarnation."""


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """Handover in progress."""

    handover_id: str
    """Identifier, unique in the database."""

    holder: str
    """Process that runs the handover."""

    source: str
    """Primary at the start."""

    target: str
    """Member that is to lead."""

    step: HandoverStep = HandoverStep.WARMING
    """Step that has begun."""


@dataclass(frozen=True, slots=True)
class DatabaseRecord:
    """What is agreed about one database."""

    database: str
    """Name of the database."""

    term: int = 0
    """Highest term recorded with a primary."""

    primary: str = ''
    """Primary of the term."""

    ceiling: int = 0
    """Highest term ever granted or recorded."""

    grants: tuple[TermGrant, ...] = ()
    """Terms granted ahead, above the recorded term."""

    handover: HandoverRecord | None = None
    """Handover in progress."""

    is_by_handover: bool = False
    """Whether the primary took over by a handover."""

    relapses: int = 0
    """Handovers that failed or were undone since the last quiet time."""


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """Records of a shard's databases."""

    databases: dict[str, DatabaseRecord] = field(default_factory=dict)
    """Records by the name of the database."""

    def find(self, database: str) -> DatabaseRecord:
        """Return the record of a database, empty before the first."""
        return self.databases.get(database) or DatabaseRecord(database)

    def with_database(self, record: DatabaseRecord) -> ShardRecord:
        """Return the shard with one record put in."""
        databases = {**self.databases, record.database: record}
        return replace(self, databases=databases)


_CONVERTER = make_converter(omit_if_default=True)


def encode_shard(record: ShardRecord) -> bytes:
    """Return the JSON form of a shard."""
    return _CONVERTER.dumps(record, sort_keys=True).encode()


def decode_shard(data: bytes) -> ShardRecord:
    """Return the shard of a JSON form; empty bytes give an empty one."""
    if not data:
        return ShardRecord()
    return _CONVERTER.loads(data, ShardRecord)


def shard_of(entry: DatabaseEntry) -> int:
    """Return the number of the shard that holds a database.

    Databases of one shard share the zone of their home primary, so that
    its coordinator can be near to them and outside that zone.
    """
    part = xxhash.xxh3_64_intdigest(entry.name.encode()) % SHARDS_PER_ZONE
    name = f'{entry.members[0].zone}#{part}'
    return xxhash.xxh3_64_intdigest(name.encode()) % SHARD_NUMBER_COUNT
