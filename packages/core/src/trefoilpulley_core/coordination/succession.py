"""Order in which hosts take over the duty of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from trefoilpulley_core.coordination.shard import shard_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import HostEntry

SUCCESSORS_PER_SHARD = 3
"""Number of hosts that stand by for each duty."""

MAX_SHARDS_PER_TICK = 8
"""Number of shards whose order is computed at one tick."""


class Succession:
    """Ranks the hosts for each shard by zone and hash.

    Hosts in the zones of the shard's members rank first. Among these,
    hosts outside the zones of the home primaries rank first, so that
    the failure of a zone does not stop a primary and its coordinator
    together. The successors are in different zones where there are
    enough zones.
    """

    def __init__(self) -> None:
        self._hosts: tuple[HostEntry, ...] = ()
        self._by_zone: dict[str, list[HostEntry]] = {}
        self._databases: tuple[DatabaseEntry, ...] = ()
        self._stale: list[int] = []
        self._rankings: dict[int, tuple[str, ...]] = {}
        self.members: dict[int, list[DatabaseEntry]] = {}
        """Databases by the number of their shard."""

    def update(
        self,
        hosts: Sequence[HostEntry],
        databases: Sequence[DatabaseEntry],
    ) -> None:
        """Set the current hosts and databases.

        At each call the order of some changed shards is computed.
        """
        if tuple(databases) != self._databases:
            self._databases = tuple(databases)
            self._group_by_shard()
            self._stale = list(self.members)
        if tuple(hosts) != self._hosts:
            self._hosts = tuple(hosts)
            self._by_zone = _group_by_zone(self._hosts)
            self._stale = list(self.members)
        for shard in self._stale[:MAX_SHARDS_PER_TICK]:
            self._rankings[shard] = self._rank_hosts(shard)
        del self._stale[:MAX_SHARDS_PER_TICK]

    def ranking(self, shard: int) -> tuple[str, ...]:
        """Return the standby hosts of a duty in order of succession."""
        return self._rankings.get(shard, ())

    def rank(self, shard: int, host: str) -> int:
        """Return a host's zero-based rank for a duty."""
        ranking = self.ranking(shard)
        return ranking.index(host) if host in ranking else SUCCESSORS_PER_SHARD

    def is_in_home_zone(self, shard: int, host: str) -> bool:
        """Return whether a host shares a zone with a home primary."""
        home_zones = {e.members[0].zone for e in self.members.get(shard, ())}
        return any(
            h.name == host and h.zone in home_zones for h in self._hosts
        )

    def shards_of(self, host: str) -> set[int]:
        """Return the shards for whose duty a host stands by."""
        return {s for s, r in self._rankings.items() if host in r}

    def _group_by_shard(self) -> None:
        self.members = {}
        for entry in self._databases:
            self.members.setdefault(shard_of(entry), []).append(entry)
        removed = self._rankings.keys() - self.members.keys()
        for shard in removed:
            del self._rankings[shard]

    def _rank_hosts(self, shard: int) -> tuple[str, ...]:
        entries = self.members[shard]
        near_zones = {m.zone for e in entries for m in e.members}
        home_zones = {e.members[0].zone for e in entries}
        scored = [
            (
                h.zone not in near_zones,
                h.zone in home_zones,
                _score(shard, h.name),
                h,
            )
            for h in self._candidates(near_zones)
        ]
        scored.sort(key=lambda s: s[:3])
        ranked = [s[-1] for s in scored]
        return tuple(
            h.name
            for h in _distinct_zones_first(ranked)[:SUCCESSORS_PER_SHARD]
        )

    def _candidates(self, near_zones: set[str]) -> list[HostEntry]:
        # Hosts in other zones rank last. Where the near zones suffice for
        # all successors, the other hosts need not be scored.
        zones = self._by_zone.keys() & near_zones
        if len(zones) < SUCCESSORS_PER_SHARD:
            zones = self._by_zone.keys()
        return [h for zone in zones for h in self._by_zone[zone]]


def _group_by_zone(
    hosts: Sequence[HostEntry],
) -> dict[str, list[HostEntry]]:
    zones: dict[str, list[HostEntry]] = {}
    for host in hosts:
        zones.setdefault(host.zone, []).append(host)
    return zones


def _score(shard: int, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{shard}/{host}'.encode())


def _distinct_zones_first(ranked: list[HostEntry]) -> list[HostEntry]:
    first: dict[str, HostEntry] = {}
    for host in ranked:
        first.setdefault(host.zone, host)
    firsts = list(first.values())
    return firsts + [h for h in ranked if first[h.zone] is not h]
