"""Rendezvous hashing, which selects the owner of a key among hosts.

Each host has a score for each key, and the host with the highest score
owns the key. When a host is removed, only its own keys get new owners.

Load pattern of the weights: the hosts of a deployment differ in capacity, by
up to a factor of four. A host then owns a share of the keys that is
proportional to its weight.
"""

from __future__ import annotations

from functools import lru_cache
import math
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

MAX_CACHED_HOST_SETS = 256
"""Number of sets of hosts whose seeds are cached."""


DEFAULT_WEIGHT = 1.0
"""Weight of a host that publishes none."""

_DIGEST_BITS = 64
_FRACTION_BITS = 52


def rank_hosts(
    key: str,
    hosts: Sequence[str],
    weights: Mapping[str, float] | None = None,
) -> tuple[str, ...]:
    """Return the hosts in the order of ownership of a key.

    Parameters
    ----------
    key : str
        Key, for example the name of a member.
    hosts : Sequence[str]
        Names of the hosts, in any order.
    weights : Mapping[str, float], optional
        Positive weights by host; `DEFAULT_WEIGHT` for others. Equal weights
        give the same order as no weights.

    Returns
    -------
    tuple[str, ...]
        The owner, followed by its successors.
    """
    scores = _scores(key, hosts, weights)
    return tuple(host for _, host in sorted(scores, reverse=True))


def pick_host(
    key: str,
    hosts: Sequence[str],
    weights: Mapping[str, float] | None = None,
) -> str | None:
    """Return the owner of a key, or ``None`` if there are no hosts."""
    best = max(_scores(key, hosts, weights), default=None)
    return None if best is None else best[1]


def _scores(
    key: str, hosts: Sequence[str], weights: Mapping[str, float] | None
) -> list[tuple[float, str]]:
    data = key.encode()
    digests = [
        (xxh3_64_intdigest(data, seed), host)
        for seed, host in _seeds(tuple(hosts))
    ]
    used = {(weights or {}).get(h, DEFAULT_WEIGHT) for h in hosts}
    if len(used) < 2:
        return digests
    return [
        (_weighted_score(digest, weights.get(host, DEFAULT_WEIGHT)), host)
        for digest, host in digests
    ]


def _weighted_score(digest: int, weight: float) -> float:
    # A float holds 53 bits, so that the fraction is never 0 or 1.
    shift = _DIGEST_BITS - _FRACTION_BITS
    fraction = ((digest >> shift) + 0.5) / (1 << _FRACTION_BITS)
    return -weight / math.log(fraction)


@lru_cache(maxsize=MAX_CACHED_HOST_SETS)
def _seeds(hosts: tuple[str, ...]) -> tuple[tuple[int, str], ...]:
    return tuple((xxh3_64_intdigest(host.encode()), host) for host in hosts)
