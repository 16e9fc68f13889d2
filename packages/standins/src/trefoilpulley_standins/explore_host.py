"""Model of a host that runs the coordination decisions."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.coordination.commands import CallDone
from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.coordination.commands import LoadShard
from trefoilpulley_core.coordination.commands import Notice
from trefoilpulley_core.coordination.commands import StoreShard
from trefoilpulley_core.coordination.database import TickContext
from trefoilpulley_core.coordination.duty import AcquireDuty
from trefoilpulley_core.coordination.duty import Duty
from trefoilpulley_core.coordination.duty import GrantLease
from trefoilpulley_core.coordination.duty import KeepAlive
from trefoilpulley_core.coordination.duty import ReadDuty
from trefoilpulley_core.coordination.duty import ReleaseDuty
from trefoilpulley_core.coordination.layout import stopped_zones
from trefoilpulley_core.coordination.shard_coordinator import ShardCoordinator
from trefoilpulley_core.coordination.shard_coordinator import STANDBY_TICK_S
from trefoilpulley_core.coordination.terms import holder_name
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.keys import duty_key
from trefoilpulley_core.keys import shard_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.coordination.commands import Command
    from trefoilpulley_core.coordination.duty import DutyCommand
    from trefoilpulley_standins.explore_cluster import ModelCluster

SERVICE_TIMEOUT_S = 0.5
"""Time after which a call to the platform service fails, in seconds."""

LEASE_TTL_S = 3.0
"""Time to live of a lease, in seconds."""


class ModelHost:
    """Host of a `ModelCluster` that runs the coordination decisions.

    Parameters
    ----------
    name : str
        Name of the host.
    zone : str
        Availability zone of the host.
    cluster : ModelCluster
        Members, platform service and links.
    """

    def __init__(self, name: str, zone: str, cluster: ModelCluster) -> None:
        self._cluster = cluster
        self._paused_until = 0.0
        self._held: list[Callable[[], None]] = []
        self.name = name
        """Name of the host."""

        self.zone = zone
        """Availability zone of the host."""

        self.is_up = True
        """Whether the host's process is running."""

        self.holder = holder_name(name, 1)
        """Holder name under which the host acquires duties."""

        self.duty = Duty(self.holder)
        """Decisions on the host's duties."""

        self.shards: dict[int, ShardCoordinator] = {}
        """Coordinators of the shards that the host follows, by number."""

        self.notices: list[tuple[float, Notice]] = []
        """Notices of the coordination, with their virtual time."""

    @property
    def is_acting(self) -> bool:
        """Whether the host currently coordinates a shard."""
        now = self._cluster.now
        return self.is_up and any(
            self.duty.may_act(number, now) for number in self.shards
        )

    def start(self) -> None:
        """Start the periodic ticks."""
        self._cluster.call_later(0.0, self._tick)

    def pause(self, duration_s: float) -> None:
        """Pause the process; the process does not notice the pause."""
        self._paused_until = self._cluster.now + duration_s

    def _defer_while_paused(
        self, action: Callable[[], None]
    ) -> Callable[[], None]:
        def run() -> None:
            if not self.is_up:
                return
            if self._cluster.now < self._paused_until:
                self._cluster.call_at(self._paused_until, run)
                return
            action()

        return run

    def _tick(self) -> None:
        self._defer_while_paused(self._tick_now)()

    def _tick_now(self) -> None:
        cluster = self._cluster
        databases = (cluster.entry,)
        for command in self.duty.on_tick(
            cluster.live_hosts, databases, cluster.now
        ):
            self._run_duty_command(command)
        for number in self.duty.views:
            if number not in self.shards:
                self.shards[number] = ShardCoordinator(number, self.holder)
        tick_context = TickContext(
            cluster.entry,
            stopped_zones(cluster.declarations, cluster.entry),
            is_service_up=self.duty.is_service_up,
        )
        for number, shard in self.shards.items():
            is_acting = self.duty.may_act(number, cluster.now)
            self._execute_commands(
                shard, shard.on_tick((tick_context,), is_acting, cluster.now)
            )
        tick_intervals_s = (s.tick_interval_s for s in self.shards.values())
        cluster.call_later(
            min(tick_intervals_s, default=STANDBY_TICK_S), self._tick
        )

    def _execute_commands(
        self, shard: ShardCoordinator, commands: tuple[Command, ...]
    ) -> None:
        for command in commands:
            match command:
                case CallMember():
                    self._call_member(shard, command)
                case LoadShard() | StoreShard():
                    self._call_shard_record(shard, command)
                case Notice():
                    self.notices.append((self._cluster.now, command))

    def _call_member(self, shard: ShardCoordinator, call: CallMember) -> None:
        sent_at = self._cluster.now
        is_pending = True

        def finish(result: Any) -> None:
            nonlocal is_pending
            if not is_pending:
                return
            is_pending = False
            is_from_pooler = not isinstance(
                result, Success
            ) and not isinstance(result.failure(), PeerUnreachable)
            done = CallDone(call, sent_at, result, is_from_pooler)
            now = self._cluster.now
            is_acting = self.duty.may_act(shard.shard, now)
            self._execute_commands(
                shard, shard.on_call_done(done, is_acting, now)
            )

        def reply(result: Any) -> None:
            self._defer_while_paused(lambda: finish(result))()

        self._cluster.call_member(
            self.zone, call.member, call.message, call.timeout_s, reply
        )
        timed_out = Failed(PeerUnreachable())
        self._cluster.call_later(call.timeout_s, lambda: reply(timed_out))

    def _call_service(
        self,
        run_call: Callable[[], Any],
        on_answer: Callable[[Any], None],
        on_failure: Callable[[bool], None],
    ) -> None:
        cluster = self._cluster
        is_cut = self.zone in cluster.cut_from_service
        if is_cut or not cluster.service.is_up:
            cluster.call_later(
                SERVICE_TIMEOUT_S,
                self._defer_while_paused(lambda: on_failure(False)),
            )
            return

        def arrive() -> None:
            answer = run_call()
            if cluster.service.is_losing_answers:
                cluster.call_later(
                    SERVICE_TIMEOUT_S,
                    self._defer_while_paused(lambda: on_failure(True)),
                )
                return
            cluster.call_later(
                cluster.service.delay_s / 2,
                self._defer_while_paused(lambda: on_answer(answer)),
            )

        cluster.call_later(cluster.service.delay_s / 2, arrive)

    def _call_shard_record(
        self, shard: ShardCoordinator, command: LoadShard | StoreShard
    ) -> None:
        service = self._cluster.service
        key = shard_key(command.shard)
        sent_at = self._cluster.now

        def on_answer(answer: Any) -> None:
            now = self._cluster.now
            self.duty.on_answer(sent_at)
            if isinstance(command, LoadShard):
                value = answer.value if answer else b''
                revision = answer.revision if answer else 0
                commands = shard.on_loaded(value, revision, now)
            elif answer is None:
                commands = shard.on_store_outcome_unknown(now)
            else:
                commands = shard.on_stored(answer, now)
            self._execute_commands(shard, commands)

        def on_failure(is_outcome_unknown: bool) -> None:
            now = self._cluster.now
            self.duty.on_failure(sent_at, now)
            if is_outcome_unknown and isinstance(command, StoreShard):
                self._execute_commands(
                    shard, shard.on_store_outcome_unknown(now)
                )
            else:
                self._execute_commands(shard, shard.on_service_down(now))

        def run_call() -> Any:
            if isinstance(command, LoadShard):
                return service.read(key)
            return service.compare_and_swap(
                key, command.expected_revision, command.value
            )

        self._call_service(run_call, on_answer, on_failure)

    def _run_duty_command(self, command: DutyCommand) -> None:
        match command:
            case GrantLease() | KeepAlive():
                self._run_lease_command(command)
            case ReadDuty(shard) | AcquireDuty(shard) | ReleaseDuty(shard):
                self._run_shard_duty_command(shard, command)

    def _run_lease_command(self, command: GrantLease | KeepAlive) -> None:
        service = self._cluster.service
        sent_at = self._cluster.now

        def run_call() -> int | None:
            now = self._cluster.now
            if isinstance(command, GrantLease):
                return service.grant(LEASE_TTL_S, now)
            is_kept = service.renew(command.lease_id, LEASE_TTL_S, now)
            return command.lease_id if is_kept else None

        def on_answer(lease_id: int | None) -> None:
            if lease_id is None:
                self.duty.on_lease_lost(sent_at)
            else:
                self.duty.on_lease(lease_id, LEASE_TTL_S, sent_at)

        def on_failure(is_outcome_unknown: bool) -> None:
            self.duty.on_lease_failed(sent_at, self._cluster.now)

        self._call_service(run_call, on_answer, on_failure)

    def _run_shard_duty_command(
        self, shard: int, command: DutyCommand
    ) -> None:
        service = self._cluster.service
        sent_at = self._cluster.now
        key = duty_key(shard)

        def run_call() -> Any:
            match command:
                case AcquireDuty(_, lease_id):
                    value = self.holder.encode()
                    return service.compare_and_swap(key, 0, value, lease_id)
                case ReleaseDuty(_, revision):
                    current = service.values.get(key)
                    if current and current.revision == revision:
                        del service.values[key]
                    return None
            return service.read(key)

        def on_answer(answer: Any) -> None:
            now = self._cluster.now
            if isinstance(command, AcquireDuty) and answer is not None:
                self.duty.on_acquired(shard, answer, sent_at)
            elif isinstance(command, AcquireDuty):
                self.duty.on_call_failed(shard, sent_at, True, now)
            elif answer is None:
                self.duty.on_read(shard, '', 0, 0, sent_at)
            else:
                holder = answer.value.decode()
                self.duty.on_read(
                    shard, holder, answer.lease_id, answer.revision, sent_at
                )

        def on_failure(is_outcome_unknown: bool) -> None:
            self.duty.on_call_failed(shard, sent_at, False, self._cluster.now)

        self._call_service(run_call, on_answer, on_failure)
