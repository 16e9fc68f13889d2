"""Terms granted in advance, each for one use by one process."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.shard import TermGrant

if TYPE_CHECKING:
    from trefoilpulley_core.coordination.shard import DatabaseRecord

TERMS_GRANTED_AHEAD = 3
"""Number of unused terms of a process for each database of its shards."""

MAX_GRANTS = 30
"""Maximum number of grants in a record.

If a record would have more, the oldest grants of other processes are dropped.
"""


def holder_name(host: str, incarnation: int) -> str:
    """Return the name of a host's process in term grants and duties."""
    return f'{host}#{incarnation}'


def host_of(holder: str) -> str:
    """Return the host part of a process's name."""
    return holder.rpartition('#')[0]


def usable_term(record: DatabaseRecord, holder: str, above: int) -> int | None:
    """Return a process's lowest granted term above a known term."""
    terms = [
        g.term for g in record.grants if g.holder == holder and g.term > above
    ]
    return min(terms, default=None)


def has_grants(record: DatabaseRecord, holder: str, above: int) -> bool:
    """Return whether a process has enough terms above a known term."""
    own = [g for g in record.grants if g.holder == holder and g.term > above]
    return len(own) >= TERMS_GRANTED_AHEAD


def _is_kept(grant: TermGrant, holder: str, term: int) -> bool:
    """Return whether another process may still use a grant.

    Terms up to the recorded term can't be used any more, and earlier
    processes of the same host have ended.
    """
    return grant.term > term and host_of(grant.holder) != host_of(holder)


def with_grants(
    record: DatabaseRecord, holder: str, above: int
) -> DatabaseRecord:
    """Return the record with the missing grants of a process added.

    Parameters
    ----------
    record : DatabaseRecord
        Current record.
    holder : str
        Process that receives the terms.
    above : int
        Known term that the granted terms must exceed.

    Returns
    -------
    DatabaseRecord
        Record in which every added term was never granted before.
    """
    own = [g for g in record.grants if g.holder == holder and g.term > above]
    missing = TERMS_GRANTED_AHEAD - len(own)
    if missing <= 0:
        return record
    first = max(record.ceiling, record.term, above) + 1
    terms = range(first, first + missing)
    own.extend(TermGrant(term, holder) for term in terms)
    others = [g for g in record.grants if _is_kept(g, holder, record.term)]
    kept = others[max(0, len(others) + len(own) - MAX_GRANTS) :]
    return replace(record, grants=(*kept, *own), ceiling=terms[-1])
