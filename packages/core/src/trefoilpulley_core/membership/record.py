"""Records of hosts and availability zones that the hosts exchange."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from trefoilpulley_core.catalog import HostEntry


class HostState(StrEnum):
    """State of a host."""

    ALIVE = 'alive'
    """The host accepts new work."""

    LEAVING = 'leaving'
    """The host completes its work and accepts no new work."""

    DEAD = 'dead'
    """The host answers no host in its availability zone."""


_STATE_RANKS = {HostState.ALIVE: 0, HostState.LEAVING: 1, HostState.DEAD: 2}


@dataclass(frozen=True, slots=True)
class HostRecord:
    """State of one host."""

    entry: HostEntry
    """Name, location and addresses of the host."""

    incarnation: int
    """Incarnation of the host.

    Only the host itself increments its incarnation, at each start and at
    each refutation. 0 if the host is known only from the platform's list.
    """

    state: HostState
    """State of the host."""

    def supersedes(self, other: HostRecord | None) -> bool:
        """Return whether this record is newer than another."""
        if other is None:
            return True
        return self._order > other._order

    @property
    def _order(self) -> tuple[int, int]:
        return self.incarnation, _STATE_RANKS[self.state]


@dataclass(frozen=True, slots=True)
class ZoneRecord:
    """State of an availability zone as seen by the other zones."""

    zone: str
    """Name of the availability zone."""

    version: int
    """Version of the record; incremented at each change."""

    is_lost: bool
    """Whether no host of the zone answers."""

    def supersedes(self, other: ZoneRecord | None) -> bool:
        """Return whether this record is newer than another."""
        return self.version > (other.version if other else 0)


@dataclass(frozen=True, slots=True)
class ZoneDigest:
    """Digest of the records of one availability zone."""

    zone: str
    """Name of the availability zone."""

    digest: int
    """Digest of the records; equal records have equal digests."""
