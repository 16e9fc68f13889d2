"""Replay of eight hosts before one member: pooled or in fixed shares."""

from __future__ import annotations

import abc
from collections import deque
from dataclasses import dataclass
import random
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.slots_deadline import DeadlineQueue
from trefoilpulley_core.slots_fifo import FifoQueue
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_standins.policy_deployment import READ_SERVICE_S
from trefoilpulley_standins.policy_deployment import WRITE_SERVICE_S
from trefoilpulley_standins.policy_entry import IN_ZONE_S
from trefoilpulley_standins.policy_loop import Signal
from trefoilpulley_standins.policy_loop import VirtualLoop
from trefoilpulley_standins.policy_slots import FakeSlots
from trefoilpulley_standins.policy_tally import Tally

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.declarations import WorkClass
    from trefoilpulley_standins.policy_deployment import Deployment

HOSTS = 8
"""Entry hosts."""

HOT_SHARE = 0.5
"""Share of the callers on one host, where the traffic is uneven."""

WRITE_SHARE = 0.2
"""Share of the requests that are writes."""

RUN_S = 8.0
"""Virtual time of the traffic, in seconds."""


@dataclass(frozen=True, slots=True)
class DueWork:
    """One request and the time that it will hold a slot."""

    work_class: WorkClass
    """Class of work."""

    is_write: bool
    """Whether the request writes."""

    deadline: float
    """Virtual time at which the answer is due, in seconds."""

    service_s: float
    """Time that it holds a slot, in seconds."""


class ShareRun(abc.ABC):
    """Replays the requests of eight hosts to one member.

    Parameters
    ----------
    deployment : Deployment
        Deployment to replay.
    load : float
        Work offered, as a share of what the slots carry.
    is_uneven : bool
        Whether half of the callers use one host.
    seed : int
        Seed of all randomness.
    """

    def __init__(
        self,
        deployment: Deployment,
        load: float,
        is_uneven: bool,
        seed: int,
    ) -> None:
        self.deployment = deployment
        """Deployment to replay."""

        self.loop = VirtualLoop()
        """Virtual clock."""

        self.tally = Tally()
        """Counts by class of work."""

        self._is_uneven = is_uneven
        self._rng = random.Random(seed)
        mean_s = WRITE_SHARE * WRITE_SERVICE_S
        mean_s += (1 - WRITE_SHARE) * READ_SERVICE_S
        self._rate = load * deployment.slots / mean_s
        self.prepare()

    @abc.abstractmethod
    def prepare(self) -> None:
        """Make the slots and connections, all idle."""

    def run(self) -> Tally:
        """Replay the traffic and let it drain."""
        self.loop.spawn(self._arrive())
        self.loop.run_until(RUN_S + 5.0)
        return self.tally

    @abc.abstractmethod
    def serve(self, host: int, due: DueWork) -> Generator[Any, Any, bool]:
        """Run one request; return whether it was answered."""

    def one_way_s(self, host: int) -> float:
        """Return the delay from a host to the member's zone."""
        zones = len(self.deployment.zones)
        return self.deployment.one_way_s if host % zones else IN_ZONE_S

    def _arrive(self) -> Generator[Any, Any, None]:
        while self.loop.now < RUN_S:
            self.loop.spawn(self._request())
            yield self._rng.expovariate(self._rate)

    def _pick_host(self) -> int:
        if self._is_uneven and self._rng.random() < HOT_SHARE:
            return 1
        return self._rng.randrange(HOSTS)

    def _request(self) -> Generator[Any, Any, None]:
        is_write = self._rng.random() < WRITE_SHARE
        deployment = self.deployment
        work_class = deployment.write if is_write else deployment.aged_read
        mean_s = WRITE_SERVICE_S if is_write else READ_SERVICE_S
        service_s = mean_s / 2 + self._rng.expovariate(2 / mean_s)
        started_at = self.loop.now
        deadline = started_at + work_class.promptness.within_ms / 1000
        due = DueWork(work_class, is_write, deadline, service_s)
        is_answered = yield from self.serve(self._pick_host(), due)
        if not is_answered:
            self.tally.refuse(work_class.name, self.loop.now - started_at)
            return
        elapsed_s = self.loop.now - started_at
        is_in_time = self.loop.now <= deadline
        self.tally.answer(work_class.name, elapsed_s, is_in_time, False)


class PooledRun(ShareRun):
    """One pooler in the member's zone holds the connections."""

    def prepare(self) -> None:
        """Make the slots of the one pooler."""
        targets = ClassTargets()
        targets.declare(self.deployment.classes)
        count = self.deployment.slots
        queue = DeadlineQueue(count, targets)
        self._slots = FakeSlots(self.loop, queue, count)

    def serve(self, host: int, due: DueWork) -> Generator[Any, Any, bool]:
        """Run one request through the pooler."""
        way_s = self.one_way_s(host)
        yield way_s
        held_s = due.service_s + 2 * IN_ZONE_S
        is_answered = yield from self._slots.run(
            'caller',
            due.work_class.name,
            due.deadline - way_s,
            due.is_write,
            held_s,
        )
        yield way_s
        return is_answered


class FixedShareRun(ShareRun):
    """Each host holds its own share of the connections."""

    def prepare(self) -> None:
        """Make each host's connections and the member's own slots."""
        share = self.deployment.connections // HOSTS
        self._connections = [
            FakeSlots(self.loop, FifoQueue(share), share) for _ in range(HOSTS)
        ]
        self._free = self.deployment.slots
        self._waiting: deque[Signal] = deque()

    def serve(self, host: int, due: DueWork) -> Generator[Any, Any, bool]:
        """Run one request over a connection of the host's own."""
        way_s = self.one_way_s(host)
        connections = self._connections[host]
        ticket = yield from connections.acquire(
            due.work_class.name, due.deadline, due.is_write
        )
        if ticket is None:
            return False
        taken_at = self.loop.now
        yield way_s
        yield from self._run_at_member(due.service_s)
        yield way_s
        connections.release(ticket, self.loop.now - taken_at)
        return True

    def _run_at_member(self, service_s: float) -> Generator[Any, Any, None]:
        if self._free:
            self._free -= 1
        else:
            turn = Signal(self.loop)
            self._waiting.append(turn)
            yield turn
        yield service_s
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self._free += 1
