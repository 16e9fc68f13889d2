"""Simulates eight hosts at one member, with a pooler or fixed shares."""

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
from trefoilpulley_standins.policy_entry import INTRA_ZONE_DELAY_S
from trefoilpulley_standins.policy_loop import Future
from trefoilpulley_standins.policy_loop import VirtualLoop
from trefoilpulley_standins.policy_slots import FakeSlots
from trefoilpulley_standins.policy_tally import Tally

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.declarations import WorkClass
    from trefoilpulley_standins.policy_deployment import Deployment

HOST_COUNT = 8
"""Number of entry hosts."""

HOT_HOST_SHARE = 0.5
"""Share of the requests that uneven traffic sends to one host."""

WRITE_SHARE = 0.2
"""Share of the requests that are writes."""

RUN_DURATION_S = 8.0
"""Virtual duration of the traffic, in seconds."""


@dataclass(frozen=True, slots=True)
class TimedRequest:
    """One request with its deadline and service time."""

    work_class: WorkClass
    """Class of work."""

    is_write: bool
    """Whether the request is a write."""

    deadline: float
    """Virtual time of the deadline for the answer, in seconds."""

    service_s: float
    """Time for which the request occupies a slot, in seconds."""


class SharedMemberRun(abc.ABC):
    """Simulates the requests of eight hosts to one member.

    Parameters
    ----------
    deployment : Deployment
        Deployment to simulate.
    load : float
        Offered load, as a share of the capacity of the slots.
    is_uneven : bool
        Whether half of the requests go to one host.
    seed : int
        Seed of the random number generator.
    """

    def __init__(
        self,
        deployment: Deployment,
        load: float,
        is_uneven: bool,
        seed: int,
    ) -> None:
        self.deployment = deployment
        """Deployment to simulate."""

        self.loop = VirtualLoop()
        """Event loop on a virtual clock."""

        self.tally = Tally()
        """Request counts by class of work."""

        self._is_uneven = is_uneven
        self._rng = random.Random(seed)
        mean_s = WRITE_SHARE * WRITE_SERVICE_S
        mean_s += (1 - WRITE_SHARE) * READ_SERVICE_S
        self._rate = load * deployment.slots / mean_s
        self.create_slots()

    @abc.abstractmethod
    def create_slots(self) -> None:
        """Create the idle slots and connections."""

    def run(self) -> Tally:
        """Run the traffic and wait until the last requests have ended."""
        self.loop.spawn(self._generate_arrivals())
        self.loop.run_until(RUN_DURATION_S + 5.0)
        return self.tally

    @abc.abstractmethod
    def serve_request(
        self, host: int, req: TimedRequest
    ) -> Generator[Any, Any, bool]:
        """Execute one request; return whether the request was answered."""

    def one_way_delay_s(self, host: int) -> float:
        """Return the delay from a host to the member's zone, in seconds."""
        zones = len(self.deployment.zones)
        return (
            self.deployment.one_way_delay_s
            if host % zones
            else INTRA_ZONE_DELAY_S
        )

    def _generate_arrivals(self) -> Generator[Any, Any, None]:
        while self.loop.now < RUN_DURATION_S:
            self.loop.spawn(self._run_request())
            yield self._rng.expovariate(self._rate)

    def _pick_host(self) -> int:
        if self._is_uneven and self._rng.random() < HOT_HOST_SHARE:
            return 1
        return self._rng.randrange(HOST_COUNT)

    def _run_request(self) -> Generator[Any, Any, None]:
        is_write = self._rng.random() < WRITE_SHARE
        deployment = self.deployment
        work_class = deployment.write if is_write else deployment.aged_read
        mean_s = WRITE_SERVICE_S if is_write else READ_SERVICE_S
        service_s = mean_s / 2 + self._rng.expovariate(2 / mean_s)
        started_at = self.loop.now
        deadline = started_at + work_class.promptness.within_ms / 1000
        req = TimedRequest(work_class, is_write, deadline, service_s)
        is_answered = yield from self.serve_request(self._pick_host(), req)
        if not is_answered:
            self.tally.count_refusal(
                work_class.name, self.loop.now - started_at
            )
            return
        elapsed_s = self.loop.now - started_at
        is_in_time = self.loop.now <= deadline
        self.tally.count_answer(work_class.name, elapsed_s, is_in_time, False)


class PooledRun(SharedMemberRun):
    """One pooler in the member's zone owns all connections."""

    def create_slots(self) -> None:
        """Create the slots of the pooler."""
        targets = ClassTargets()
        targets.declare(self.deployment.classes)
        count = self.deployment.slots
        queue = DeadlineQueue(count, targets)
        self._slots = FakeSlots(self.loop, queue, count)

    def serve_request(
        self, host: int, req: TimedRequest
    ) -> Generator[Any, Any, bool]:
        """Execute one request through the pooler."""
        delay_s = self.one_way_delay_s(host)
        yield delay_s
        held_s = req.service_s + 2 * INTRA_ZONE_DELAY_S
        is_answered = yield from self._slots.run(
            'caller',
            req.work_class.name,
            req.deadline - delay_s,
            req.is_write,
            held_s,
        )
        yield delay_s
        return is_answered


class FixedShareRun(SharedMemberRun):
    """Each host owns a fixed share of the connections."""

    def create_slots(self) -> None:
        """Create the connections of each host and the slots of the member."""
        share = self.deployment.connections // HOST_COUNT
        self._connections = [
            FakeSlots(self.loop, FifoQueue(share), share)
            for _ in range(HOST_COUNT)
        ]
        self._free = self.deployment.slots
        self._waiting: deque[Future] = deque()

    def serve_request(
        self, host: int, req: TimedRequest
    ) -> Generator[Any, Any, bool]:
        """Execute one request over one of the host's own connections."""
        delay_s = self.one_way_delay_s(host)
        connections = self._connections[host]
        ticket = yield from connections.acquire(
            req.work_class.name, req.deadline, req.is_write
        )
        if ticket is None:
            return False
        acquired_at = self.loop.now
        yield delay_s
        yield from self._run_at_member(req.service_s)
        yield delay_s
        connections.release(ticket, self.loop.now - acquired_at)
        return True

    def _run_at_member(self, service_s: float) -> Generator[Any, Any, None]:
        if self._free:
            self._free -= 1
        else:
            granted = Future(self.loop)
            self._waiting.append(granted)
            yield granted
        yield service_s
        if self._waiting:
            self._waiting.popleft().set_result()
        else:
            self._free += 1
