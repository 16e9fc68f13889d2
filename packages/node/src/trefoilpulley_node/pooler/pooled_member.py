"""State that a pooler keeps for one member."""

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

REQUESTED_AGE_TIMEOUT_S = 10.0
"""Time after which a higher age replaces a lower one, in seconds."""


@dataclass(frozen=True, slots=True)
class RequestedAge:
    """Lowest maximum age that recent reads have requested."""

    max_age_ms: int = 0
    """Maximum age of the data in milliseconds."""

    requested_at: float = float('-inf')
    """Monotonic time of the last read that requested this age, in seconds."""

    def updated_with(self, max_age_ms: int, now: float) -> RequestedAge:
        """Return the requested age updated with one more read."""
        is_old = now - self.requested_at > REQUESTED_AGE_TIMEOUT_S
        if is_old or max_age_ms <= self.max_age_ms:
            return RequestedAge(max_age_ms, now)
        return self


class PooledMember:
    """Monitor, slots, connections and data age of one member.

    Parameters
    ----------
    database : DatabaseEntry
        Database to which the member belongs.
    entry : MemberEntry
        Catalogue entry of the member with its limits.
    queue : SlotQueue
        Queue of the work that waits for the member's slots.
    peers : Peers
        Sends requests to the poolers of the other members.
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
        """Name of the member's database."""

        self.entry = entry
        """Catalogue entry of the member with its limits."""

        self.monitor = MemberMonitor(entry, clock)
        """Watches the member and keeps the newest status."""

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

        self.requested_age = RequestedAge()
        """Lowest maximum age that recent reads have requested."""

        self.prover = LeadershipProver(
            database, entry.name, self.monitor, peers, clock
        )
        """Proves that the member still leads, if the member is the primary."""

        self.monitor.subscribe(connections.on_status)
        self.monitor.subscribe_lost(connections.close_all)

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
        """Start watching the member."""
        self.monitor.start()

    def stop(self) -> None:
        """Stop watching the member and close its idle connections."""
        self.monitor.stop()
        self.pool.close()

    def age_ms(self) -> int | None:
        """Return the highest possible age of the data, or ``None``.

        The age of a primary's data is the time since the last proof that
        the primary leads.
        """
        if self.is_primary:
            return self.prover.age_ms()
        return self.age.age_ms(self._clock.now())

    def make_digest(self) -> MemberDigest:
        """Return the digest of the member for entry hosts."""
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
            self.pool.write_pause.is_active,
            status.acknowledgements,
        )
