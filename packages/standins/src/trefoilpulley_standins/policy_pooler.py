"""Fake pooler of one member on a virtual clock."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.freshness import AgeTracker
from trefoilpulley_core.peer import MemberDigest
from trefoilpulley_standins.policy_group import TERM
from trefoilpulley_standins.policy_slots import FakeSlots

if TYPE_CHECKING:
    from collections.abc import Generator
    import random

    from trefoilpulley_core.routing import Route
    from trefoilpulley_core.routing import RouteRequest
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_standins.policy_group import FakeGroup
    from trefoilpulley_standins.policy_loop import VirtualLoop

PROBE_INTERVAL_S = 0.1
"""Time between two probes of the primary's position, in seconds."""

MIN_SERVICE_TIME_FACTOR = 0.5
"""Shortest service time, as a share of the mean service time."""


class FakePooler:
    """Slots, floor waits and data age of one member.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    rng : random.Random
        Random number generator of the service times.
    group : FakeGroup
        Logs of the members.
    names : tuple[str, ...]
        Names of the members; the first one is the primary.
    number : int
        Index of the member in the group.
    queue : SlotQueue
        Queue that orders the waiting requests.
    slots : int
        Number of requests that run concurrently.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        rng: random.Random,
        group: FakeGroup,
        names: tuple[str, ...],
        number: int,
        queue: SlotQueue,
        slots: int,
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._group = group
        self._names = names
        self._number = number
        self._slots = FakeSlots(loop, queue, slots)
        self.age = AgeTracker()
        """Age of the member's data."""

        self.understated_ages = 0
        """Number of reads whose stated age was lower than the true age."""

    @property
    def served(self) -> int:
        """Number of requests that the member has executed."""
        return self._slots.served

    @property
    def is_primary(self) -> bool:
        """Whether the member is the primary."""
        return self._number == 0

    def digest(self) -> MemberDigest:
        """Return the member's digest for the entry hosts."""
        now = self._loop.now
        copies = ()
        if self.is_primary:
            copies = self._group.acknowledgements(self._names)
        return MemberDigest(
            self._names[self._number],
            self.is_primary,
            TERM,
            self._group.position(self._number),
            1,
            0 if self.is_primary else self.age.age_ms(now),
            0 if self.is_primary else self.age.lag_ms(),
            self._slots.expected_wait_ms,
            True,
            copies=copies,
        )

    def run_probes(self, one_way_delay_s: float) -> Generator[Any, Any, None]:
        """Track the replica's age by probes of the primary, as a process."""
        while True:
            sent_at = self._loop.now
            yield one_way_delay_s
            position = self._group.position(0)
            yield one_way_delay_s
            self.age.on_primary_probe(sent_at, position)
            held = self._group.position(self._number)
            self.age.on_replica_status(held, self._loop.now, TERM)
            yield PROBE_INTERVAL_S

    def read(
        self, req: RouteRequest, route: Route, tenant: str, service_s: float
    ) -> Generator[Any, Any, Result[None, Failure]]:
        """Execute a read as soon as the member's log has reached the floor."""
        arrives_at = self._group.arrival_time(self._number, route.floor)
        behind_s = arrives_at - self._loop.now
        if behind_s > 0 and behind_s * 1000 > route.wait_ms:
            yield route.wait_ms / 1000
            return Failed(ReplicaBehind())
        if behind_s > 0:
            yield behind_s
        if not self._is_age_allowed(req):
            return Failed(ReplicaBehind())
        is_granted = yield from self._run_in_slot(
            req, tenant, False, service_s
        )
        return Success(None) if is_granted else Failed(Overloaded())

    def write(
        self, req: RouteRequest, tenant: str, service_s: float
    ) -> Generator[Any, Any, Result[Any, Failure]]:
        """Execute a write and wait until a second member has a copy."""
        is_granted = yield from self._run_in_slot(req, tenant, True, service_s)
        if not is_granted:
            return Failed(Overloaded())
        position, confirmed_at = self._group.append()
        yield max(0.0, confirmed_at - self._loop.now)
        return Success(position)

    def _is_age_allowed(self, req: RouteRequest) -> bool:
        limit_ms = req.work_class.freshness.max_age_ms
        if limit_ms is None or self.is_primary:
            return True
        age_ms = self.age.age_ms(self._loop.now)
        if age_ms is None or age_ms > limit_ms:
            return False
        true_ms = 1000 * self._group.true_age_s(self._number)
        self.understated_ages += true_ms > age_ms
        return True

    def _run_in_slot(
        self, req: RouteRequest, tenant: str, is_write: bool, mean_s: float
    ) -> Generator[Any, Any, bool]:
        """Occupy a slot for a random service time with the given mean."""
        min_s = MIN_SERVICE_TIME_FACTOR * mean_s
        service_s = min_s + self._rng.expovariate(1 / (mean_s - min_s))
        name = req.work_class.name
        return self._slots.run(tenant, name, req.deadline, is_write, service_s)
