"""What hosts tell each other of hosts and availability zones."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from trefoilpulley_core.catalog import HostEntry


class HostState(StrEnum):
    """States of a host."""

    ALIVE = 'alive'
    """The host takes new work."""

    LEAVING = 'leaving'
    """The host finishes its work and takes no new."""

    DEAD = 'dead'
    """The host answers nobody in its availability zone."""


_STATE_RANKS = {HostState.ALIVE: 0, HostState.LEAVING: 1, HostState.DEAD: 2}


@dataclass(frozen=True, slots=True)
class HostRecord:
    """State of one host."""

    entry: HostEntry
    """Name, place and addresses of the host."""

    incarnation: int
    """Raised by the host alone, at each start and each refutation.

    0 for a host that is known from the platform's list alone.
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
    """Whether an availability zone answers its region."""

    zone: str
    """Name of the availability zone."""

    version: int
    """Raised at each change."""

    is_lost: bool
    """Whether no host of the zone answers."""

    def supersedes(self, other: ZoneRecord | None) -> bool:
        """Return whether this record is newer than another."""
        return self.version > (other.version if other else 0)


@dataclass(frozen=True, slots=True)
class ZoneDigest:
    """Digest of the records of one availability zone's hosts."""

    zone: str
    """Name of the availability zone."""

    digest: int
    """Equal where the records are equal."""
