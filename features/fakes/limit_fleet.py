"""Hosts that count the operations of customers, in virtual time."""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate
import random

from trefoilpulley_core.direct.admission_messages import AdmissionQuestion
from trefoilpulley_core.direct.customer_limit import CustomerLimits
from trefoilpulley_core.direct.customer_limit import LimitBounds
from trefoilpulley_core.direct.customer_limit import START_S
from trefoilpulley_core.direct.customers import Customer
from trefoilpulley_core.direct.customers import CustomerLimit

BOUNDS = LimitBounds()
"""Bound that the scenarios check."""

CUSTOMERS = 85
"""Customers of the deployment."""

DETECTION_S = 1.0
"""Time in which hosts learn of a change of the live hosts, in seconds."""

LIMIT_PER_RATE = 1.5
"""Limit of a customer in relation to what it sends."""

TOTAL_PER_S = 380.0
"""Operations of all customers in a second."""

MIN_LIMIT = 5.0
"""Least limit, in operations per second."""


def make_limits() -> dict[str, CustomerLimit]:
    """Return limits that follow the sizes of the customers (Zipf 1.2)."""
    sizes = [1 / (n + 1) ** 1.2 for n in range(CUSTOMERS)]
    unit = LIMIT_PER_RATE * TOTAL_PER_S / sum(sizes)
    rates = [max(MIN_LIMIT, float(round(unit * s))) for s in sizes]
    return {f'customer-{n}': CustomerLimit(r, r) for n, r in enumerate(rates)}


class LimitFleet:
    """Hosts of three zones with random callers.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, hosts: int, seed: int = 1) -> None:
        self.now = 1000.0
        self.names = [f'host-{n:02d}' for n in range(hosts)]
        self.up = set(self.names)
        self.side = dict.fromkeys(self.names, 0)
        """Side of a network partition on which a host is."""

        self.registered = set(self.names)
        self.entries: list[str] = list(self.names)
        """Hosts to which callers connect."""

        self.limits = make_limits()
        self.factor: dict[str, float] = {}
        """Load of customers in relation to the usual one."""

        self.admitted: dict[str, list[float]] = {n: [] for n in self.limits}
        self.refused: dict[str, list[float]] = {n: [] for n in self.limits}
        self._rng = random.Random(seed)
        self._pending: list[tuple[float, str]] = []
        self.hosts = {n: CustomerLimits(n, BOUNDS) for n in self.names}
        for name in self.names:
            self.apply(name)
            self.update(name)
        self.run(3.0, is_loaded=False)

    def apply(self, name: str) -> None:
        """Put the limits in force at a host."""
        customers = {n: Customer(n, 0, x) for n, x in self.limits.items()}
        self.hosts[name].set_customers(customers, self.now)

    def update(self, name: str) -> None:
        """Show a host the hosts that it reaches."""
        live = [n for n in self.up if self.side[n] == self.side[name]]
        self.hosts[name].set_hosts(live, self.registered, {}, self.now)

    def count_refused(self) -> int:
        """Return how many operations were refused."""
        return sum(len(times) for times in self.refused.values())

    def restart_all(self, down_s: float) -> None:
        """Restart all hosts, which find each other within `DETECTION_S`."""
        self.now += down_s
        for name in self.names:
            self.hosts[name] = CustomerLimits(name, BOUNDS, self.now)
            self.apply(name)
            limits = self.hosts[name]
            limits.set_hosts({name}, self.registered, {}, self.now)
            self._pending.append((self.now + START_S, name))
        self.change()

    def change(self) -> None:
        """Let each host learn of the live hosts within `DETECTION_S`."""
        for name in self.names:
            delay = self._rng.uniform(0.1, DETECTION_S)
            self._pending.append((self.now + delay, name))
        self._pending.sort()

    def run(self, duration_s: float, is_loaded: bool = True) -> None:
        """Let time pass, with operations of all customers or without."""
        names = list(self.limits)
        rates = [
            x.rate_per_s / LIMIT_PER_RATE * self.factor.get(n, 1.0)
            for n, x in make_limits().items()
        ]
        sums = list(accumulate(rates))
        until = self.now + duration_s
        while is_loaded and self.now < until:
            self.now += self._rng.expovariate(sums[-1])
            self._learn()
            place = bisect_right(sums, self._rng.uniform(0, sums[-1]))
            self._operate(names[min(place, len(names) - 1)])
        self.now = max(self.now, until)
        self._learn()

    def worst_excess(self, customer: str, limit: CustomerLimit) -> float:
        """Return by how much the worst window exceeds the bound."""
        times = self.admitted[customer]
        total = limit.rate_per_s * BOUNDS.window_s + limit.burst
        bound = total * (1 + BOUNDS.over) + BOUNDS.slack
        worst = 0
        start = 0
        for end, at in enumerate(times):
            while times[start] < at - BOUNDS.window_s:
                start += 1
            worst = max(worst, end - start + 1)
        return worst - bound

    def _learn(self) -> None:
        while self._pending and self._pending[0][0] <= self.now:
            self.update(self._pending.pop(0)[1])

    def _operate(self, customer: str) -> None:
        entry = self._rng.choice(self.entries)
        if entry not in self.up:
            return
        limits = self.hosts[entry]
        owner = limits.find_owner(customer)
        granted = None
        if owner in self.up and self.side[owner] == self.side[entry]:
            question = AdmissionQuestion(customer, 1)
            answer = self.hosts[owner].answer(question, self.now)
            granted = answer.granted if answer.is_owner else None
        if granted is None:
            granted = limits.admit_alone(customer, 1, self.now)
        (self.admitted if granted else self.refused)[customer].append(self.now)
