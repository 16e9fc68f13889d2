"""Calls the platform's service for duties and leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.coordination.duty import AcquireDuty
from trefoilpulley_core.coordination.duty import GrantLease
from trefoilpulley_core.coordination.duty import KeepAlive
from trefoilpulley_core.coordination.duty import ReadDuty
from trefoilpulley_core.coordination.duty import ReleaseDuty
from trefoilpulley_core.keys import duty_key
from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_core.platform import RevisionConflict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import HostEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.coordination.duty import Duty
    from trefoilpulley_core.coordination.duty import DutyCommand
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import Platform


class DutyRunner:
    """Executes the commands that `Duty` returns.

    Parameters
    ----------
    duty : Duty
        Decides which duties this host claims and releases.
    holder : str
        Name under which this process holds duties.
    platform : Platform
        Client of the platform's key-value service.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, duty: Duty, holder: str, platform: Platform, clock: Clock
    ) -> None:
        self._duty = duty
        self._holder = holder
        self._platform = platform
        self._clock = clock

    def tick(
        self,
        hosts: Sequence[HostEntry],
        databases: Sequence[DatabaseEntry],
        now: float,
    ) -> None:
        """Start the calls that are due, each in a greenlet."""
        for command in self._duty.on_tick(hosts, databases, now):
            gevent.spawn(self._run, command)

    def record_service_call(
        self, is_answered: bool, sent_at: float, now: float
    ) -> None:
        """Record whether the service answered a call made elsewhere."""
        if is_answered:
            self._duty.on_answer(sent_at)
        else:
            self._duty.on_failure(sent_at, now)

    def end_lease(self) -> None:
        """Revoke the lease, which releases every duty."""
        if self._duty.lease_id:
            self._platform.revoke_lease(self._duty.lease_id)
            self._duty.on_lease_lost(self._clock.now())

    def _run(self, command: DutyCommand) -> None:
        sent_at = self._clock.now()
        match command:
            case GrantLease() | KeepAlive():
                self._renew_lease(command, sent_at)
            case ReadDuty(shard):
                self._read_duty(shard, sent_at)
            case AcquireDuty(shard, lease_id):
                self._acquire_duty(shard, lease_id, sent_at)
            case ReleaseDuty(shard, revision):
                self._release_duty(shard, revision, sent_at)

    def _renew_lease(
        self, command: GrantLease | KeepAlive, sent_at: float
    ) -> None:
        if isinstance(command, GrantLease):
            leased = self._platform.grant_lease(command.ttl_s)
        else:
            leased = self._platform.keep_alive(command.lease_id)
        if isinstance(leased, Success):
            lease = leased.unwrap()
            self._duty.on_lease(lease.lease_id, lease.ttl_s, sent_at)
        elif isinstance(leased.failure(), LeaseExpired):
            self._duty.on_lease_lost(sent_at)
        else:
            self._duty.on_lease_failed(sent_at, self._clock.now())

    def _read_duty(self, shard: int, sent_at: float) -> None:
        fetched = self._platform.get(duty_key(shard))
        if not isinstance(fetched, Success):
            self._on_failed(shard, fetched.failure(), sent_at)
            return
        pair = fetched.unwrap()
        if pair is None:
            self._duty.on_read(shard, '', 0, 0, sent_at)
            return
        self._duty.on_read(
            shard,
            pair.value.decode(),
            pair.lease_id,
            pair.mod_revision,
            sent_at,
        )

    def _acquire_duty(self, shard: int, lease_id: int, sent_at: float) -> None:
        value = self._holder.encode()
        acquired = self._platform.compare_and_swap(
            duty_key(shard), 0, value, lease_id
        )
        if isinstance(acquired, Success):
            self._duty.on_acquired(shard, acquired.unwrap(), sent_at)
        else:
            self._on_failed(shard, acquired.failure(), sent_at)

    def _release_duty(self, shard: int, revision: int, sent_at: float) -> None:
        released = self._platform.delete(duty_key(shard), revision)
        if isinstance(released, Success):
            self._duty.on_read(shard, '', 0, 0, sent_at)
        else:
            self._on_failed(shard, released.failure(), sent_at)

    def _on_failed(self, shard: int, failure: Failure, sent_at: float) -> None:
        is_answer = isinstance(failure, RevisionConflict | LeaseExpired)
        self._duty.on_call_failed(shard, sent_at, is_answer, self._clock.now())
