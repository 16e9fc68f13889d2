"""Simulates traffic with a routing policy and a slot queue."""

from __future__ import annotations

from dataclasses import dataclass
import random
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.routing import RouteRequest
from trefoilpulley_core.routing_nearest import NearestRouting
from trefoilpulley_core.routing_round_robin import RoundRobinRouting
from trefoilpulley_core.routing_targets import TargetRouting
from trefoilpulley_core.slots_deadline import DeadlineQueue
from trefoilpulley_core.slots_fifo import FifoQueue
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_standins.policy_deployment import READ_SERVICE_S
from trefoilpulley_standins.policy_deployment import WRITE_SERVICE_S
from trefoilpulley_standins.policy_entry import FakeEntryHost
from trefoilpulley_standins.policy_group import FakeGroup
from trefoilpulley_standins.policy_group import REPLICA_COUNT
from trefoilpulley_standins.policy_loop import VirtualLoop
from trefoilpulley_standins.policy_pooler import FakePooler
from trefoilpulley_standins.policy_tally import Tally

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.declarations import WorkClass
    from trefoilpulley_core.routing import RoutingPolicy
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_standins.policy_deployment import Deployment

MEAN_THINK_TIME_S = 0.03
"""Mean time between a session's answer and its next request, in seconds."""

READS_PER_SESSION = 3
"""Number of reads that a session sends after its write."""

CALLER_DELAY_S = 0.001
"""One-way delay between a caller and its entry host, in seconds."""

READ_AFTER_WRITE = 'just-written'
"""Tally name of a session's first read after its write."""


@dataclass(frozen=True, slots=True)
class Load:
    """Traffic of one simulation."""

    sessions_per_s: float
    """Sessions that start per second; each sends a write and several reads."""

    lookups_per_s: float
    """Aged reads per second outside of sessions."""

    lag_s: float
    """Mean replication lag, in seconds."""

    seconds: float = 10.0
    """Virtual duration of the traffic, in seconds."""

    flood_per_s: float = 0.0
    """Aged reads per second of a tenant that exceeds its share."""


class PolicyRun:
    """Simulates traffic on one database group under one policy.

    Parameters
    ----------
    deployment : Deployment
        Deployment to simulate.
    policy : str
        Name of the policy: ``thin``, ``plain`` or ``targets``.
    load : Load
        Traffic.
    seed : int
        Seed of the random number generator.
    """

    def __init__(
        self, deployment: Deployment, policy: str, load: Load, seed: int
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._load = load
        self._rng = random.Random(seed)
        self._loop = VirtualLoop()
        self.tally = Tally()
        """Request counts by class of work and by tenant."""

        self._targets = self._make_targets()
        self._poolers = self._make_poolers()
        self._entries = self._make_entries()

    @property
    def understated_ages(self) -> int:
        """Number of reads whose stated age was lower than the true age."""
        return sum(p.understated_ages for p in self._poolers)

    @property
    def served(self) -> int:
        """Number of requests that the members have executed."""
        return sum(p.served for p in self._poolers)

    def run(self) -> Tally:
        """Run the traffic and wait until the last requests have ended."""
        load = self._load
        arrivals = (
            (load.sessions_per_s, self._run_session),
            (load.lookups_per_s, self._run_lookup),
            (load.flood_per_s, self._run_flood_read),
        )
        for rate, start_request in arrivals:
            if rate:
                self._loop.spawn(self._generate_arrivals(rate, start_request))
        drain_s = 2 * self._deployment.write.promptness.within_ms / 1000
        self._loop.run_until(1.0 + load.seconds + drain_s)
        return self.tally

    def _make_targets(self) -> ClassTargets:
        targets = ClassTargets()
        targets.declare(self._deployment.classes)
        return targets

    def _make_routing(self) -> RoutingPolicy:
        if self._policy == 'targets':
            return TargetRouting(self._targets)
        return (
            RoundRobinRouting()
            if self._policy == 'plain'
            else NearestRouting()
        )

    def _make_queue(self) -> SlotQueue:
        slots = self._deployment.slots
        if self._policy != 'targets':
            return FifoQueue(slots)
        return DeadlineQueue(slots, self._make_targets())

    def _make_poolers(self) -> tuple[FakePooler, ...]:
        deployment = self._deployment
        group = FakeGroup(
            self._loop, self._rng, self._load.lag_s, deployment.one_way_delay_s
        )
        names = self._names
        poolers = tuple(
            FakePooler(
                self._loop,
                self._rng,
                group,
                names,
                number,
                self._make_queue(),
                deployment.slots,
            )
            for number in range(REPLICA_COUNT + 1)
        )
        for pooler in poolers[1:]:
            self._loop.spawn(pooler.run_probes(deployment.one_way_delay_s))
        return poolers

    def _make_entries(self) -> tuple[FakeEntryHost, ...]:
        deployment = self._deployment
        policy = self._make_routing()
        entries = tuple(
            FakeEntryHost(
                self._loop,
                policy,
                zone,
                self._names,
                deployment.zones[: REPLICA_COUNT + 1],
                self._poolers,
                deployment.one_way_delay_s,
            )
            for zone in deployment.zones
        )
        for entry in entries:
            self._loop.spawn(entry.poll_digests())
        return entries

    @property
    def _names(self) -> tuple[str, ...]:
        return tuple(f'member-{i}' for i in range(REPLICA_COUNT + 1))

    def _generate_arrivals(
        self, rate: float, start_request: Any
    ) -> Generator[Any, Any, None]:
        yield 1.0
        while self._loop.now < 1.0 + self._load.seconds:
            self._loop.spawn(start_request())
            yield self._rng.expovariate(rate)

    def _run_session(self) -> Generator[Any, Any, None]:
        floor = yield from self._run_request(
            self._deployment.write, BEGINNING, 'steady'
        )
        if floor is None:
            return
        for turn in range(READS_PER_SESSION):
            yield self._rng.expovariate(1 / MEAN_THINK_TIME_S)
            extra_names = () if turn else (READ_AFTER_WRITE,)
            yield from self._run_request(
                self._deployment.session_read, floor, 'steady', extra_names
            )
        yield from self._run_request(
            self._deployment.aged_read, floor, 'steady'
        )

    def _run_lookup(self) -> Generator[Any, Any, None]:
        yield from self._run_request(
            self._deployment.aged_read, BEGINNING, 'steady'
        )

    def _run_flood_read(self) -> Generator[Any, Any, None]:
        yield from self._run_request(
            self._deployment.aged_read, BEGINNING, 'flood'
        )

    def _run_request(
        self,
        work_class: WorkClass,
        floor: Position,
        tenant: str,
        extra_names: tuple[str, ...] = (),
    ) -> Generator[Any, Any, Position | None]:
        """Send one request through a random entry host.

        Returns
        -------
        Position | None
            Position of a write; ``None`` for a read or a refusal.
        """
        started_at = self._loop.now
        deadline = started_at + work_class.promptness.within_ms / 1000
        entry = self._rng.choice(self._entries)
        yield CALLER_DELAY_S
        req = RouteRequest(
            work_class, floor, entry.zone, deadline - CALLER_DELAY_S
        )
        if work_class is self._deployment.write:
            result = yield from entry.write(req, tenant, WRITE_SERVICE_S)
        else:
            result = yield from entry.read(req, tenant, READ_SERVICE_S)
        yield CALLER_DELAY_S
        names = (work_class.name, f'{tenant}/{work_class.name}', *extra_names)
        if not isinstance(result, Success):
            self._count_refusal(names, started_at)
            return None
        self._count_answer(names, started_at, deadline, result.unwrap())
        return (
            result.unwrap() if isinstance(result.unwrap(), Position) else None
        )

    def _count_refusal(
        self, names: tuple[str, ...], started_at: float
    ) -> None:
        elapsed_s = self._loop.now - started_at
        self._targets.record_refusal(names[0], self._loop.now)
        for name in names:
            self.tally.count_refusal(name, elapsed_s)

    def _count_answer(
        self,
        names: tuple[str, ...],
        started_at: float,
        deadline: float,
        outcome: Any,
    ) -> None:
        elapsed_s = self._loop.now - started_at
        self._targets.record(names[0], elapsed_s, self._loop.now)
        is_replica = (
            not isinstance(outcome, Position) and not outcome.is_primary
        )
        is_in_time = self._loop.now <= deadline
        for name in names:
            self.tally.count_answer(name, elapsed_s, is_in_time, is_replica)
