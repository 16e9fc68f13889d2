"""Replay of eight hosts before one member: pooled or in fixed shares."""

from __future__ import annotations

import abc
from collections import deque
import itertools
import random
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.slots import Ticket
from trefoilpulley_core.slots_deadline import DeadlineSlots
from trefoilpulley_core.slots_fifo import FifoSlots
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_standins.policy_deployment import READ_SERVICE_S
from trefoilpulley_standins.policy_deployment import WRITE_SERVICE_S
from trefoilpulley_standins.policy_entry import IN_ZONE_S
from trefoilpulley_standins.policy_loop import Signal
from trefoilpulley_standins.policy_loop import VirtualLoop
from trefoilpulley_standins.policy_tally import Tally

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.declarations import WorkClass
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_standins.policy_deployment import Deployment

HOSTS = 8
"""Entry hosts."""

HOT_SHARE = 0.5
"""Share of the callers on one host, where the traffic is uneven."""

WRITE_SHARE = 0.2
"""Share of the requests that are writes."""

RUN_S = 8.0
"""Virtual time of the traffic, in seconds."""


class FakeSlots:
    """Runs work in the order of a queue, a number at once."""

    def __init__(
        self, loop: VirtualLoop, queue: SlotQueue, count: int
    ) -> None:
        self._loop = loop
        self._queue = queue
        self._free = count
        self._ids = itertools.count(1)
        self._granted: dict[int, Signal] = {}

    def acquire(
        self, work_class: WorkClass, deadline: float, is_write: bool
    ) -> Generator[Any, Any, bool]:
        """Wait for a slot; return whether there is one in time."""
        ticket = Ticket(
            next(self._ids), 'caller', work_class.name, deadline, is_write
        )
        if not isinstance(self._queue.offer(ticket, self._loop.now), Success):
            return False
        granted = Signal(self._loop)
        self._granted[ticket.ticket_id] = granted
        self._loop.call_at(deadline, self._dispatch)
        self._dispatch()
        return (yield granted)

    def release(self, work_class: WorkClass, held_s: float) -> None:
        """Free a slot."""
        self._free += 1
        self._queue.record_service(work_class.name, held_s, True)
        self._dispatch()

    def _dispatch(self) -> None:
        now = self._loop.now
        for ticket in self._queue.expire(now):
            self._granted.pop(ticket.ticket_id).set(False)
        while self._free:
            ticket = self._queue.take(now, True)
            if ticket is None:
                return
            self._free -= 1
            self._granted.pop(ticket.ticket_id).set(True)


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

    def run(self) -> Tally:
        """Replay the traffic and let it drain."""
        self.loop.spawn(self._arrive())
        self.loop.run_until(RUN_S + 5.0)
        return self.tally

    @abc.abstractmethod
    def serve(
        self,
        host: int,
        work_class: WorkClass,
        deadline: float,
        service_s: float,
    ) -> Generator[Any, Any, bool]:
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
        is_answered = yield from self.serve(
            self._pick_host(), work_class, deadline, service_s
        )
        if not is_answered:
            self.tally.refuse(work_class.name, self.loop.now - started_at)
            return
        elapsed_s = self.loop.now - started_at
        is_in_time = self.loop.now <= deadline
        self.tally.answer(work_class.name, elapsed_s, is_in_time, False)


class PooledRun(ShareRun):
    """One pooler in the member's zone holds the connections."""

    def __init__(
        self,
        deployment: Deployment,
        load: float,
        is_uneven: bool,
        seed: int,
    ) -> None:
        super().__init__(deployment, load, is_uneven, seed)
        targets = ClassTargets()
        targets.declare(deployment.classes)
        queue = DeadlineSlots(deployment.slots, targets)
        self._slots = FakeSlots(self.loop, queue, deployment.slots)

    def serve(
        self,
        host: int,
        work_class: WorkClass,
        deadline: float,
        service_s: float,
    ) -> Generator[Any, Any, bool]:
        """Run one request through the pooler."""
        way_s = self.one_way_s(host)
        yield way_s
        is_write = work_class is self.deployment.write
        is_granted = yield from self._slots.acquire(
            work_class, deadline - way_s, is_write
        )
        if not is_granted:
            yield way_s
            return False
        held_s = service_s + 2 * IN_ZONE_S
        yield held_s
        self._slots.release(work_class, held_s)
        yield way_s
        return True


class FixedShareRun(ShareRun):
    """Each host holds its own share of the connections."""

    def __init__(
        self,
        deployment: Deployment,
        load: float,
        is_uneven: bool,
        seed: int,
    ) -> None:
        super().__init__(deployment, load, is_uneven, seed)
        share = deployment.connections // HOSTS
        self._connections = [
            FakeSlots(self.loop, FifoSlots(share), share) for _ in range(HOSTS)
        ]
        self._free = deployment.slots
        self._waiting: deque[Signal] = deque()

    def serve(
        self,
        host: int,
        work_class: WorkClass,
        deadline: float,
        service_s: float,
    ) -> Generator[Any, Any, bool]:
        """Run one request over a connection of the host's own."""
        way_s = self.one_way_s(host)
        is_write = work_class is self.deployment.write
        connections = self._connections[host]
        is_granted = yield from connections.acquire(
            work_class, deadline, is_write
        )
        if not is_granted:
            return False
        taken_at = self.loop.now
        yield way_s
        yield from self._run_at_member(service_s)
        yield way_s
        connections.release(work_class, self.loop.now - taken_at)
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
