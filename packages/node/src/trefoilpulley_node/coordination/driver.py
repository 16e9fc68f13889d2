"""Runs the coordinators of the shards assigned to this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent import Greenlet
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.coordination.commands import CallDone
from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.coordination.commands import LoadShard
from trefoilpulley_core.coordination.commands import Notice
from trefoilpulley_core.coordination.commands import StoreShard
from trefoilpulley_core.coordination.database import TickContext
from trefoilpulley_core.coordination.duty import Duty
from trefoilpulley_core.coordination.layout import stopped_zones
from trefoilpulley_core.coordination.probe_schedule import probe_interval_s
from trefoilpulley_core.coordination.shard_coordinator import ShardCoordinator
from trefoilpulley_core.coordination.shard_coordinator import STANDBY_TICK_S
from trefoilpulley_core.coordination.terms import holder_name
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_node.coordination.dump import CoordinationState
from trefoilpulley_node.coordination.dump import describe_shard
from trefoilpulley_node.coordination.duty_runner import DutyRunner
from trefoilpulley_node.coordination.shard_store import ShardStore
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.coordination.commands import Command
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.platform import Platform
    from trefoilpulley_node.coordination.deployment_view import DeploymentView
    from trefoilpulley_node.coordination.deployment_view import NoticeListener
    from trefoilpulley_node.coordination.deployment_view import PoolerCaller


class CoordinationDriver(Service):
    """Performs the I/O that the shard coordinators request.

    A loop calls each `ShardCoordinator`. Greenlets send the calls that a
    coordinator returns, and pass the results back to the coordinator.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Identifier of this run of the process, increased at each start.
    platform : Platform
        Client of the platform's key-value service.
    poolers : PoolerCaller
        Sends control messages to the poolers of members.
    observe : Callable[[], DeploymentView]
        Returns the current catalogue, declarations and live hosts.
    clock : Clock
        Monotonic time.
    listener : NoticeListener
        Receives the notices for operators.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        platform: Platform,
        poolers: PoolerCaller,
        observe: Callable[[], DeploymentView],
        clock: Clock,
        listener: NoticeListener,
    ) -> None:
        self._holder = holder_name(host, incarnation)
        self._poolers = poolers
        self._observe = observe
        self._clock = clock
        self._listener = listener
        self._duty = Duty(self._holder)
        self._duty_runner = DutyRunner(
            self._duty, self._holder, platform, clock
        )
        self._store = ShardStore(platform)
        self._shards: dict[int, ShardCoordinator] = {}
        self._loop: Greenlet | None = None

    def start(self) -> None:
        """Start the coordination loop."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the loop and revoke the lease.

        Other hosts can then take over the shards without waiting for the
        lease to expire.
        """
        if self._loop is None:
            return
        self._loop.kill()
        self._loop = None
        self._duty_runner.end_lease()

    def dump(self) -> CoordinationState:
        """Return the coordinator's section of the state dump."""
        now = self._clock.now()
        return CoordinationState(
            self._holder,
            self._duty.is_service_up,
            self._duty.lease_left_s(now),
            tuple(
                describe_shard(number, shard, self._duty.may_act(number, now))
                for number, shard in sorted(self._shards.items())
            ),
        )

    def _run(self) -> None:
        while True:
            self._tick()
            tick_intervals_s = (
                s.tick_interval_s for s in self._shards.values()
            )
            gevent.sleep(min(tick_intervals_s, default=STANDBY_TICK_S))

    def _tick(self) -> None:
        now = self._clock.now()
        view = self._observe()
        self._duty_runner.tick(view.live_hosts, view.catalog.databases, now)
        self._update_shards()
        interval_s = self._probe_interval_s(now)
        for number, shard in list(self._shards.items()):
            entries = self._duty.succession.members.get(number, ())
            contexts = [
                self._make_context(entry, view, interval_s)
                for entry in entries
            ]
            is_acting = self._duty.may_act(number, now)
            self._execute_commands(
                number, shard.on_tick(contexts, is_acting, now)
            )

    def _update_shards(self) -> None:
        for number in self._duty.views.keys() - self._shards.keys():
            self._shards[number] = ShardCoordinator(number, self._holder)
        for number in self._shards.keys() - self._duty.views.keys():
            del self._shards[number]

    def _probe_interval_s(self, now: float) -> float:
        member_count = sum(
            len(entry.members)
            for number in self._shards
            if self._duty.may_act(number, now)
            for entry in self._duty.succession.members.get(number, ())
        )
        return probe_interval_s(member_count)

    def _make_context(
        self, entry: DatabaseEntry, view: DeploymentView, interval_s: float
    ) -> TickContext:
        return TickContext(
            entry,
            stopped_zones(view.declarations, entry),
            interval_s,
            self._duty.is_service_up,
        )

    def _execute_commands(self, number: int, commands: Commands) -> None:
        for command in commands:
            self._execute_command(number, command)

    def _execute_command(self, number: int, command: Command) -> None:
        match command:
            case CallMember():
                gevent.spawn(self._call_member, number, command)
            case LoadShard() | StoreShard():
                gevent.spawn(self._call_service, number, command)
            case Notice():
                self._listener.on_notice(command)

    def _call_member(self, number: int, call: CallMember) -> None:
        sent_at = self._clock.now()
        result = Failed(PeerUnreachable('timed out'))
        with gevent.Timeout(call.timeout_s, False):
            result = self._poolers.call_pooler(
                call.member, call.message, call.timeout_s
            )
        shard = self._shards.get(number)
        if shard is None:
            return
        is_from_pooler = not isinstance(result, Success) and not isinstance(
            result.failure(), PeerUnreachable
        )
        done = CallDone(call, sent_at, result, is_from_pooler)
        now = self._clock.now()
        is_acting = self._duty.may_act(number, now)
        self._execute_commands(
            number, shard.on_call_done(done, is_acting, now)
        )

    def _call_service(
        self, number: int, command: LoadShard | StoreShard
    ) -> None:
        sent_at = self._clock.now()
        outcome = self._store.run(command)
        now = self._clock.now()
        self._duty_runner.record_service_call(
            outcome.is_answered, sent_at, now
        )
        shard = self._shards.get(number)
        if shard is not None:
            self._execute_commands(number, outcome.report_to(shard, now))
