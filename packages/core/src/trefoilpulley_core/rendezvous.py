"""Rendezvous hashing: the owner of a key among a set of hosts.

Each host has a score for each key; the host with the greatest score
owns the key. A host that goes moves its own keys alone.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_CACHED_HOST_SETS = 256
"""Sets of hosts whose seeds are kept."""


def rank_hosts(key: str, hosts: Sequence[str]) -> tuple[str, ...]:
    """Return the hosts in the order in which they own a key.

    Parameters
    ----------
    key : str
        Key, such as the name of a member.
    hosts : Sequence[str]
        Names of the hosts, in any order.

    Returns
    -------
    tuple[str, ...]
        The owner first, then each successor.
    """
    return tuple(host for _, host in sorted(_scores(key, hosts), reverse=True))


def pick_host(key: str, hosts: Sequence[str]) -> str | None:
    """Return the owner of a key, or ``None`` where there is no host."""
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
