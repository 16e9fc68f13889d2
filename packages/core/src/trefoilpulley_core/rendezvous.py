"""Rendezvous hashing, which selects the owner of a key among hosts.

Each host has a score for each key, and the host with the highest score
owns the key. When a host is removed, only its own keys get new owners.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_CACHED_HOST_SETS = 256
"""Number of sets of hosts whose seeds are cached."""


def rank_hosts(key: str, hosts: Sequence[str]) -> tuple[str, ...]:
    """Return the hosts in the order of ownership of a key.

    Parameters
    ----------
    key : str
        Key, for example the name of a member.
    hosts : Sequence[str]
        Names of the hosts, in any order.

    Returns
    -------
    tuple[str, ...]
        The owner, followed by its successors.
    """
    return tuple(host for _, host in sorted(_scores(key, hosts), reverse=True))


def pick_host(key: str, hosts: Sequence[str]) -> str | None:
    """Return the owner of a key, or ``None`` if there are no hosts."""
    best = max(_scores(key, hosts), default=None)
    return None if best is None else best[1]


def _scores(key: str, hosts: Sequence[str]) -> list[tuple[int, str]]:
    data = key.encode()
    return [
        (xxh3_64_intdigest(data, seed), host)
        for seed, host in _seeds(tuple(hosts))
    ]


@lru_cache(maxsize=MAX_CACHED_HOST_SETS)
def _seeds(hosts: tuple[str, ...]) -> tuple[tuple[int, str], ...]:
    return tuple((xxh3_64_intdigest(host.encode()), host) for host in hosts)
