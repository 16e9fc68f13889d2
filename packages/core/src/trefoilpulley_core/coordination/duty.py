"""Elects the process that coordinates a shard.

The duty of a shard is the right to coordinate its databases. A process
has the duty while it owns the shard's key in the platform's service.
The key is bound to the process's lease. During an outage of the service
no lease can be granted, so the last known holder continues. If the host
of that holder is down, the first live host in the order of succession
takes over.
Two processes that both act on the same duty are safe, because each
process uses only terms that were granted to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.succession import Succession
from trefoilpulley_core.coordination.terms import host_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import HostEntry

LEASE_TTL_S = 3
"""Time to live of a process's lease, in seconds."""

RENEW_S = 1.0
"""Interval between renewals of the lease, in seconds."""

READ_INTERVAL_S = 1.0
"""Interval between reads of a duty by hosts that lack it, in seconds.

Applies to the hosts of rank 0 and 1. A host of a higher rank multiplies the
interval by its rank.
"""

CONFIRM_INTERVAL_S = 0.25
"""Interval between reads of a duty without a holder, in seconds."""

LEASE_RETRY_INTERVAL_S = 0.5
"""Delay of the next lease call after an unanswered call, in seconds."""

OUTAGE_TIMEOUT_S = 2.0
"""Time without an answer that counts as a service outage, in seconds."""

MAX_FAILURE_AGE_S = 3.0
"""Maximum age of a failed call as evidence of an outage, in seconds."""

REACQUIRE_DELAY_S = 5.0
"""Time before a process reads a released duty again, in seconds.

Leaves time for the process of a higher ranked host to acquire the duty.
"""

RELEASE_DELAY_S = 300.0
"""Time for which another host must rank first before a release, in seconds."""

HOME_ZONE_RELEASE_DELAY_S = 5.0
"""Release delay of a holder in a home primary's zone, in seconds.

The home primaries of a shard share one zone. The delay is shorter because
a failure of that zone would stop primary and coordinator together, and a
promotion would have to wait for the lease to expire.
"""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Command to request a lease."""

    ttl_s: int
    """Time to live, in seconds."""


@dataclass(frozen=True, slots=True)
class KeepAlive:
    """Command to renew the lease."""

    lease_id: int
    """Identifier of the lease."""


@dataclass(frozen=True, slots=True)
class ReadDuty:
    """Command to read the holder of a duty."""

    shard: int
    """Number of the shard."""


@dataclass(frozen=True, slots=True)
class AcquireDuty:
    """Command to acquire a duty without a holder."""

    shard: int
    """Number of the shard."""

    lease_id: int
    """Lease that the duty's key is bound to."""


@dataclass(frozen=True, slots=True)
class ReleaseDuty:
    """Command to release a duty."""

    shard: int
    """Number of the shard."""

    revision: int
    """Revision at which the duty was acquired."""


DutyCommand = GrantLease | KeepAlive | ReadDuty | AcquireDuty | ReleaseDuty
"""Call to the platform's service about a lease or a duty."""


@dataclass(slots=True)
class DutyView:
    """Local state of one duty."""

    holder: str = ''
    """Last known holder; empty where none is known."""

    revision: int = 0
    """Revision at which this process acquired the duty, or 0."""

    is_pending: bool = False
    """Whether a call about the duty is in flight."""

    read_at: float = float('-inf')
    """Monotonic time of the last call, in seconds.

    Lies in the future after a release.
    """

    vacant_reads: int = 0
    """Number of consecutive reads that found no holder."""

    outranked_since: float | None = None
    """Time since which another host ranks first, or ``None``."""

    is_outage_coordinator: bool = False
    """Whether this process coordinates the shard in the present outage."""


class Duty:
    """Lease and duties of one process.

    Parameters
    ----------
    holder : str
        Name of the process, made of its host and incarnation.
    """

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._host = host_of(holder)
        self._lease_id = 0
        self._lease_until = float('-inf')
        self._renewed_at = float('-inf')
        self._is_leasing = False
        self._answered_at = float('-inf')
        self._failed_at = float('-inf')
        self._hosts: Sequence[HostEntry] = ()
        self._live: frozenset[str] = frozenset()
        self.succession = Succession()
        """Order in which the hosts take over each duty."""

        self.views: dict[int, DutyView] = {}
        """State by shard, for duties that this host may hold."""

    @property
    def is_service_up(self) -> bool:
        """Whether the platform's service answered the last call."""
        return self._answered_at >= self._failed_at

    @property
    def lease_id(self) -> int:
        """Identifier of this process's lease, or 0."""
        return self._lease_id

    def lease_left_s(self, now: float) -> float:
        """Return the remaining validity of the lease, in seconds."""
        return max(0.0, self._lease_until - now)

    def may_act(self, shard: int, now: float) -> bool:
        """Return whether this process may coordinate a shard now."""
        view = self.views.get(shard)
        if view is None:
            return False
        if view.revision and now < self._lease_until:
            return True
        if not self._is_service_out(now):
            return False
        return view.is_outage_coordinator or self._elect_outage_coordinator(
            shard, view
        )

    def on_tick(
        self,
        hosts: Sequence[HostEntry],
        databases: Sequence[DatabaseEntry],
        now: float,
    ) -> tuple[DutyCommand, ...]:
        """Return the calls to the platform's service that are due."""
        if hosts is not self._hosts:
            self._hosts = hosts
            self._live = frozenset(h.name for h in hosts)
        self.succession.update(hosts, databases)
        self._update_views()
        if self.is_service_up:
            self._end_outage()
        out = self._maintain_lease(now)
        for shard, view in self.views.items():
            out += self._maintain_duty(shard, view, now)
        return out

    def on_lease(self, lease_id: int, ttl_s: float, sent_at: float) -> None:
        """Process a granted or renewed lease."""
        self.on_answer(sent_at)
        self._is_leasing = False
        self._lease_id = lease_id
        self._renewed_at = sent_at
        self._lease_until = sent_at + ttl_s

    def on_lease_lost(self, sent_at: float) -> None:
        """Drop the lease and every duty after the lease has expired."""
        self.on_answer(sent_at)
        self._is_leasing = False
        self._lease_id = 0
        self._lease_until = float('-inf')
        for view in self.views.values():
            view.revision = 0

    def on_lease_failed(self, sent_at: float, now: float) -> None:
        """Process a lease call that was not answered."""
        self.on_failure(sent_at, now)
        self._is_leasing = False
        self._renewed_at = now - RENEW_S + LEASE_RETRY_INTERVAL_S

    def on_read(
        self,
        shard: int,
        holder: str,
        lease_id: int,
        revision: int,
        sent_at: float,
    ) -> None:
        """Process the result of `ReadDuty`.

        Parameters
        ----------
        shard : int
            Number of the shard.
        holder : str
            Current holder; empty where there is none.
        lease_id : int
            Lease that the duty's key is bound to.
        revision : int
            Revision of the duty's key.
        sent_at : float
            Monotonic time at which the call was sent, in seconds.
        """
        self.on_answer(sent_at)
        view = self.views.get(shard)
        if view is None:
            return
        view.is_pending = False
        view.holder = holder or view.holder
        view.vacant_reads = 0 if holder else view.vacant_reads + 1
        is_own = holder == self._holder and lease_id == self._lease_id
        view.revision = revision if is_own else 0

    def on_acquired(self, shard: int, revision: int, sent_at: float) -> None:
        """Process the success of `AcquireDuty`."""
        self.on_read(shard, self._holder, self._lease_id, revision, sent_at)

    def on_call_failed(
        self, shard: int, sent_at: float, is_answer: bool, now: float
    ) -> None:
        """Process a failed call about a duty, which is then read again.

        Parameters
        ----------
        shard : int
            Number of the shard.
        sent_at : float
            Monotonic time at which the call was sent, in seconds.
        is_answer : bool
            Whether the service answered the call with an error.
        now : float
            Monotonic time in seconds.
        """
        if is_answer:
            self.on_answer(sent_at)
        else:
            self.on_failure(sent_at, now)
        view = self.views.get(shard)
        if view is not None:
            view.is_pending = False

    def on_answer(self, sent_at: float) -> None:
        """Record that the service answered a call."""
        self._answered_at = max(self._answered_at, sent_at)

    def on_failure(self, sent_at: float, now: float) -> None:
        """Record that the service did not answer a call."""
        if sent_at >= self._answered_at:
            self._failed_at = now

    def _update_views(self) -> None:
        shards = self.succession.shards_of(self._host)
        for shard in shards - self.views.keys():
            self.views[shard] = DutyView()
        for shard in self.views.keys() - shards:
            if not self.views[shard].revision:
                del self.views[shard]

    def _end_outage(self) -> None:
        for view in self.views.values():
            view.is_outage_coordinator = False

    def _is_service_out(self, now: float) -> bool:
        if self.is_service_up or now - self._failed_at > MAX_FAILURE_AGE_S:
            return False
        return now - self._answered_at >= OUTAGE_TIMEOUT_S

    def _elect_outage_coordinator(self, shard: int, view: DutyView) -> bool:
        host = host_of(view.holder)
        if host not in self._live:
            ranked = self.succession.ranking(shard)
            host = next((h for h in ranked if h in self._live), '')
        view.is_outage_coordinator = host == self._host
        return view.is_outage_coordinator

    def _maintain_lease(self, now: float) -> tuple[DutyCommand, ...]:
        if self._is_leasing or now < self._renewed_at + RENEW_S:
            return ()
        if self._lease_id:
            self._is_leasing = True
            return (KeepAlive(self._lease_id),)
        if not any(self._is_claimable(s, v) for s, v in self.views.items()):
            return ()
        self._is_leasing = True
        return (GrantLease(LEASE_TTL_S),)

    def _maintain_duty(
        self, shard: int, view: DutyView, now: float
    ) -> tuple[DutyCommand, ...]:
        if view.is_pending:
            return ()
        if view.revision:
            return self._maintain_held_duty(shard, view, now)
        if self._is_claimable(shard, view) and now < self._lease_until:
            view.vacant_reads = 0
            return self._call(view, AcquireDuty(shard, self._lease_id), now)
        if now < view.read_at + self._read_interval_s(shard, view):
            return ()
        return self._call(view, ReadDuty(shard), now)

    def _maintain_held_duty(
        self, shard: int, view: DutyView, now: float
    ) -> tuple[DutyCommand, ...]:
        if self.succession.rank(shard, self._host) == 0:
            view.outranked_since = None
            return ()
        if view.outranked_since is None:
            view.outranked_since = now
        if now - view.outranked_since < self._release_delay_s(shard):
            return ()
        revision, view.revision = view.revision, 0
        view.outranked_since = None
        out = self._call(view, ReleaseDuty(shard, revision), now)
        view.read_at = now + REACQUIRE_DELAY_S
        return out

    def _release_delay_s(self, shard: int) -> float:
        if self.succession.is_in_home_zone(shard, self._host):
            return HOME_ZONE_RELEASE_DELAY_S
        return RELEASE_DELAY_S

    def _call(
        self, view: DutyView, command: DutyCommand, now: float
    ) -> tuple[DutyCommand, ...]:
        view.is_pending = True
        view.read_at = now
        return (command,)

    def _is_claimable(self, shard: int, view: DutyView) -> bool:
        return view.vacant_reads > self.succession.rank(shard, self._host)

    def _read_interval_s(self, shard: int, view: DutyView) -> float:
        if view.vacant_reads:
            return CONFIRM_INTERVAL_S
        return READ_INTERVAL_S * max(
            1, self.succession.rank(shard, self._host)
        )
