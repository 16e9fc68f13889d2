"""Terms granted ahead, each to one process that may use it once."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.shard import TermGrant

if TYPE_CHECKING:
    from trefoilpulley_core.coordination.shard import DatabaseRecord

TERMS_GRANTED_AHEAD = 3
"""Terms that a process holds ahead for each database of its shards."""

MAX_GRANTS = 30
"""Grants that a record keeps; the oldest others are dropped first."""


def holder_name(host: str, incarnation: int) -> str:
    """Return the name under which one process of a host holds terms."""
    return f'{host}#{incarnation}'


def host_of(holder: str) -> str:
    """Return the host of a process that holds terms or a duty."""
    return holder.rpartition('#')[0]


def usable_term(record: DatabaseRecord, holder: str, above: int) -> int | None:
    """Return the lowest term granted to a process above a known one."""
    terms = [
        g.term for g in record.grants if g.holder == holder and g.term > above
    ]
    return min(terms, default=None)


def has_grants(record: DatabaseRecord, holder: str, above: int) -> bool:
    """Return whether a process holds all the terms it should."""
    own = [g for g in record.grants if g.holder == holder and g.term > above]
    return len(own) >= TERMS_GRANTED_AHEAD


def _is_kept(grant: TermGrant, holder: str, term: int) -> bool:
    """Return whether another process may still use a grant.

    Terms up to the recorded one are past, and an earlier process of the
    same host is gone.
    """
    return grant.term > term and host_of(grant.holder) != host_of(holder)


def with_grants(
    record: DatabaseRecord, holder: str, above: int
) -> DatabaseRecord:
    """Return the record with a process's grants topped up.

    Parameters
    ----------
    record : DatabaseRecord
        Record as it stands.
    holder : str
        Process that gets the terms.
    above : int
        Term that the granted ones must exceed.

    Returns
    -------
    DatabaseRecord
        A record whose new terms were never granted before.
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
