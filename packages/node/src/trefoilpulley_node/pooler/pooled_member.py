"""All that a pooler keeps of one member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.connection_budget import ConnectionBudget
from trefoilpulley_core.connection_pacer import ConnectionRateLimiter
from trefoilpulley_core.freshness import AgeTracker
from trefoilpulley_core.peer import MemberDigest
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_node.pooler.leadership_prover import LeadershipProver
from trefoilpulley_node.pooler.member_connections import MemberConnections
from trefoilpulley_node.pooler.member_monitor import MemberMonitor
from trefoilpulley_node.pooler.member_pool import MemberPool

if TYPE_CHECKING:
    import random

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_node.peers import Peers

WANTED_AGE_MEMORY_S = 10.0
"""Time after which a larger stated age replaces a smaller one."""


@dataclass(frozen=True, slots=True)
class WantedAge:
    """Smallest age that reads have stated of late."""

    max_age_ms: int = 0
    """Age in milliseconds."""

    stated_at: float = float('-inf')
    """Monotonic time of the last read that stated it, in seconds."""

    def after(self, max_age_ms: int, now: float) -> WantedAge:
        """Return what is wanted after one more read."""
        is_old = now - self.stated_at > WANTED_AGE_MEMORY_S
        if is_old or max_age_ms <= self.max_age_ms:
            return WantedAge(max_age_ms, now)
        return self


class PooledMember:
    """Monitor, slots and age of one member.

    Parameters
    ----------
    database : DatabaseEntry
        Database group of the member.
    entry : MemberEntry
        Member and its limits.
    queue : SlotQueue
        Order of the work that waits for its slots.
    peers : Peers
        Way to the other members of the group.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        database: DatabaseEntry,
        entry: MemberEntry,
        queue: SlotQueue,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self.database = database.name
        """Database of the member."""

        self.entry = entry
        """Member and its limits."""

        self.monitor = MemberMonitor(entry, clock)
        """Newest status."""

        connections = MemberConnections(
            entry,
            ConnectionBudget(entry.connections, entry.slots),
            ConnectionRateLimiter(rng),
            clock,
        )
        self.pool = MemberPool(entry, queue, connections, clock)
        """Slots and connections."""

        self.age = AgeTracker()
        """Age of the member's data."""

        self.wanted_age = WantedAge()
        """Smallest age that reads have stated of late."""

        self.prover = LeadershipProver(
            database, entry.name, self.monitor, peers, clock
        )
        """Proof that the member still leads."""

        self.monitor.listen(connections.on_status)
        self.monitor.listen_lost(connections.close_all)

    @property
    def is_primary(self) -> bool:
        """Whether the member is reachable and leads its term."""
        status = self.monitor.status
        return (
            status is not None
            and status.is_primary
            and self.monitor.is_reachable
        )

    def start(self) -> None:
        """Begin to watch the member."""
        self.monitor.start()

    def stop(self) -> None:
        """Close every connection to the member."""
        self.monitor.stop()
        self.pool.close()

    def age_ms(self) -> int | None:
        """Return the greatest age of the data, or ``None``.

        A primary's data are as old as the last proof that it leads.
        """
        if self.is_primary:
            return self.prover.age_ms()
        return self.age.age_ms(self._clock.now())

    def make_digest(self) -> MemberDigest:
        """Return what entry hosts learn of the member."""
        status = self.monitor.status
        if status is None:
            return MemberDigest(
                self.entry.name, False, 0, BEGINNING, 0, None, 0, 0, False
            )
        starts = status.history.starts
        return MemberDigest(
            self.entry.name,
            status.is_primary,
            status.term,
            status.history.last,
            starts[-1].index if starts else 0,
            self.age_ms(),
            0 if status.is_primary else self.age.lag_ms(),
            self.pool.expected_wait_ms,
            self.monitor.is_reachable,
            self.pool.hold.is_active,
            status.acknowledgements,
        )
