"""Limits of customers: who admits an operation, and how many.

Load pattern: 85 customers of very different sizes (Zipf 1.2) spread their
operations over 86 hosts, and one of them sends six times its limit. The sum
over all hosts has to stay within the limit in any sliding window, also while
the owner of a limit dies, is cut off or changes, and operations below the
limit must not be refused because they arrive at other hosts than before.

The bound of a window leaves an allowance above the limit. It is split, so that
the parts can be used up in the same window: a part enlarges the owner's bucket
(bursts of small customers), a part is what a new owner starts with, a part is
for hosts that count alone and a part for a former owner that still counts.
"""

from __future__ import annotations

from dataclasses import dataclass
import math
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.admission_messages import AdmissionAnswer
from trefoilpulley_core.direct.limit_share import LimitShare
from trefoilpulley_core.rendezvous import pick_host
from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.direct.admission_messages import AdmissionQuestion
    from trefoilpulley_core.direct.customers import Customer
    from trefoilpulley_core.direct.customers import CustomerLimit

TAKEOVER_S = 1.0
"""Time for which a new owner grants less than the rate, in seconds.

Hosts learn of a change of the live hosts within about 1 s. Until then another
host may still own the limit.
"""

START_S = 3.0
"""Time after a host's start in which it takes all registered hosts for live.

In seconds. The membership finds the live hosts within this time. If each host
that has just started took itself for the only one, the owners would change
several times after a loss of all power, and each would grant a small share.
"""

LONE_START_SHARE = 0.75
"""Part of the allowance of lone hosts that they may use at once.

The rest accrues in the course of a window.
"""

ACCURACY = 1e-9
"""Rounding error of a bucket, in operations."""


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """Bound of a customer's operations in any sliding window."""

    window_s: float = 5.0
    """Length of the window, in seconds."""

    over: float = 0.1
    """Part of the limit that may be exceeded."""

    slack: float = 20.0
    """Operations that may exceed the limit, in addition."""

    def allowance(self, limit: CustomerLimit) -> float:
        """Return how many operations may exceed the limit in a window."""
        total = limit.rate_per_s * self.window_s + limit.burst
        return self.over * total + self.slack


@dataclass(frozen=True, slots=True)
class LimitPlan:
    """Split of the allowance of one limit; the parts add up to it."""

    headroom: float
    """Operations that an owner's bucket holds above the burst."""

    start: float
    """Operations in the bucket of a new owner."""

    lone: float
    """Operations that all hosts that count alone may admit in a window."""

    takeover: float
    """Operations that a new owner may admit in `TAKEOVER_S`."""

    @classmethod
    def of(cls, limit: CustomerLimit, bounds: LimitBounds) -> LimitPlan:
        """Return the split for a limit."""
        headroom = min(bounds.slack / 2, bounds.allowance(limit))
        rest = bounds.allowance(limit) - headroom
        start = min(bounds.slack / 2, limit.burst, rest / 2)
        rest -= start
        return cls(headroom, start, rest / 2, rest / 2)


class TokenBucket:
    """Bucket of operations that may be admitted.

    Parameters
    ----------
    tokens : float
        Operations in the bucket at the start.
    now : float
        Time in seconds.
    """

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        """Operations that may be admitted at once."""

        self.at = now
        """Time of the last refill, in seconds."""

    def refill(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Add what has accrued since the last call, up to the capacity."""
        added = rate_per_s * max(0.0, now - self.at)
        self.tokens = min(capacity, self.tokens + added)
        self.at = max(self.at, now)

    def take(self, count: int) -> int:
        """Take up to a number of operations and return how many."""
        taken = max(0, min(count, math.floor(self.tokens + ACCURACY)))
        self.tokens -= taken
        return taken

    def put_back(self, count: int, capacity: float) -> None:
        """Return operations that were taken and have not run."""
        self.tokens = min(capacity, self.tokens + count)


class _OwnedLimit:
    """Bucket of a customer whose limit this host owns."""

    def __init__(self, tokens: float, since: float) -> None:
        self.bucket = TokenBucket(tokens, since)
        self.since = since
        self.limit: CustomerLimit | None = None
        self.fraction = 0.0


class CustomerLimits:
    """Admits operations as the owner of limits, and as a host alone.

    Parameters
    ----------
    host : str
        Name of this host.
    bounds : LimitBounds
        Bound of a sliding window.
    started_at : float, optional
        Time at which the host has started, in seconds.
    """

    def __init__(
        self,
        host: str,
        bounds: LimitBounds,
        started_at: float = float('-inf'),
    ) -> None:
        self._host = host
        self._started_at = started_at
        self._bounds = bounds
        self._customers: Mapping[str, Customer] = {}
        self._weights: Mapping[str, float] = {}
        self._hosts: tuple | None = None
        self._share = LimitShare()
        self._owners: dict[str, str | None] = {}
        self._owned: dict[str, _OwnedLimit] = {}
        self._lone: dict[str, TokenBucket] = {}

    @property
    def owned(self) -> tuple[str, ...]:
        """Customers whose limits this host owns, in order."""
        return tuple(sorted(self._owned))

    def set_customers(
        self, customers: Mapping[str, Customer], now: float
    ) -> None:
        """Put the customers of a configuration in force.

        Parameters
        ----------
        customers : Mapping[str, Customer]
            Customers by name; empty if the deployment has none.
        now : float
            Time in seconds.
        """
        for name, owned in self._owned.items():
            # What has accrued until now accrued under the former limit.
            self._refill(owned, now)
            customer = customers.get(name)
            if customer is not None and customer.limit != owned.limit:
                self._change_limit(owned, customer.limit)
        self._customers = customers
        self._lone = {n: b for n, b in self._lone.items() if n in customers}
        self._assign(now)

    def set_hosts(
        self,
        live: Iterable[str],
        registered: Iterable[str],
        weights: Mapping[str, float],
        now: float,
    ) -> None:
        """Set the hosts among which the owners are chosen.

        Parameters
        ----------
        live : Iterable[str]
            Names of the live hosts.
        registered : Iterable[str]
            Names of the registered hosts.
        weights : Mapping[str, float]
            Capacities of the hosts by name.
        now : float
            Time in seconds.
        """
        known = frozenset(registered)
        seen = frozenset(live)
        if now - self._started_at < START_S:
            seen |= known
        if (seen, known, weights) == self._hosts:
            # A host that starts learns of the others one by one, and the
            # ranks of all customers take some milliseconds.
            return
        self._hosts = seen, known, weights
        for owned in self._owned.values():
            self._refill(owned, now)
        self._share.update(seen, known, now)
        self._weights = weights
        self._assign(now)

    def is_limited(self, customer: str) -> bool:
        """Return whether the operations of a customer are counted."""
        entry = self._customers.get(customer)
        return entry is not None and entry.limit is not None

    def find_owner(self, customer: str) -> str | None:
        """Return the host that counts a customer's operations, if any."""
        return self._owners.get(customer)

    def share(self, now: float) -> float:
        """Return the fraction of limits that this side may grant."""
        return self._share.fraction(now)

    def count_tokens(self, customer: str, now: float) -> float | None:
        """Return the operations in the bucket of an owned limit, if any."""
        owned = self._owned.get(customer)
        if owned is None:
            return None
        self._refill(owned, now)
        return owned.bucket.tokens

    def answer(
        self, question: AdmissionQuestion, now: float
    ) -> AdmissionAnswer:
        """Answer a question as the owner of a limit.

        Parameters
        ----------
        question : AdmissionQuestion
            Operations to admit, and operations that are returned.
        now : float
            Time in seconds.
        """
        entry = self._customers.get(question.customer)
        if entry is not None and entry.limit is None:
            # The asker has an older configuration.
            return AdmissionAnswer(question.count)
        owned = self._owned.get(question.customer)
        if owned is None:
            return AdmissionAnswer(is_owner=False)
        self._refill(owned, now)
        owned.bucket.put_back(
            max(0, question.returned), self._capacity(owned, now)
        )
        granted = owned.bucket.take(question.count)
        retry_ms = 0
        if granted < question.count:
            rate = self._rate(owned, now)
            missing = max(0.0, 1 - owned.bucket.tokens)
            retry_ms = math.ceil(1000 * missing / rate) if rate else 1000
        return AdmissionAnswer(granted, retry_ms)

    def admit_alone(self, customer: str, count: int, now: float) -> int:
        """Admit operations without the owner and return how many.

        The hosts in the order of the customer's rank have whole operations
        that add up to the allowance, since a fraction of an operation at each
        of 86 hosts would admit none, and one at each too many.

        Parameters
        ----------
        customer : str
            Name of the customer.
        count : int
            Operations to admit.
        now : float
            Time in seconds.
        """
        entry = self._customers.get(customer)
        if entry is None or entry.limit is None:
            return count
        plan = LimitPlan.of(entry.limit, self._bounds)
        total = math.floor(plan.lone * LONE_START_SHARE)
        part = self._part(customer, total)
        bucket = self._lone.get(customer)
        if bucket is None:
            bucket = self._lone[customer] = TokenBucket(part, now)
        rest = (1 / LONE_START_SHARE - 1) * part
        bucket.refill(rest / self._bounds.window_s, part, now)
        return bucket.take(count)

    def return_alone(self, customer: str, count: int) -> None:
        """Return operations that were admitted alone and have not run."""
        entry = self._customers.get(customer)
        bucket = self._lone.get(customer)
        if bucket is None or entry is None or entry.limit is None:
            return
        plan = LimitPlan.of(entry.limit, self._bounds)
        total = math.floor(plan.lone * LONE_START_SHARE)
        bucket.put_back(count, self._part(customer, total))

    def _part(self, customer: str, total: int) -> int:
        """Return this host's part of a number of whole operations."""
        ranked = rank_hosts(customer, sorted(self._share.known))
        if self._host not in ranked:
            return 0
        each, rest = divmod(total, len(ranked))
        return each + (ranked.index(self._host) < rest)

    def _assign(self, now: float) -> None:
        live = sorted(self._share.live)
        kept: dict[str, _OwnedLimit] = {}
        self._owners = {}
        for name, customer in self._customers.items():
            if customer.limit is None:
                continue
            owner = pick_host(name, live, self._weights)
            self._owners[name] = owner
            if owner != self._host:
                continue
            kept[name] = self._owned.get(name) or self._start(customer, now)
        self._owned = kept

    def _start(self, customer: Customer, now: float) -> _OwnedLimit:
        plan = LimitPlan.of(customer.limit, self._bounds)
        owned = _OwnedLimit(plan.start, now)
        owned.limit = customer.limit
        owned.fraction = self._share.fraction(now)
        return owned

    def _change_limit(
        self, owned: _OwnedLimit, limit: CustomerLimit | None
    ) -> None:
        """Keep the part of the bucket that is full.

        A limit that is lowered and raised again then gives nothing twice, and
        a customer with a full bucket has a full one afterwards.
        """
        former = owned.limit
        owned.limit = limit
        if limit is None or former is None:
            return
        headroom = LimitPlan.of(former, self._bounds).headroom
        full = former.burst + headroom
        new = limit.burst + LimitPlan.of(limit, self._bounds).headroom
        if full > 0:
            owned.bucket.tokens *= new / full

    def _refill(self, owned: _OwnedLimit, now: float) -> None:
        until = owned.since + TAKEOVER_S
        bucket, capacity = owned.bucket, self._capacity(owned, now)
        if bucket.at < until:
            paced = self._rate(owned, bucket.at)
            bucket.refill(paced, capacity, min(until, now))
        bucket.refill(self._rate(owned, now), capacity, now)
        # A larger share takes effect only for the time after it.
        owned.fraction = self._share.fraction(now)

    def _rate(self, owned: _OwnedLimit, now: float) -> float:
        if owned.limit is None:
            return 0.0
        rate = owned.limit.rate_per_s * owned.fraction
        if now < owned.since + TAKEOVER_S:
            plan = LimitPlan.of(owned.limit, self._bounds)
            rate = min(rate, plan.takeover / TAKEOVER_S)
        return rate

    def _capacity(self, owned: _OwnedLimit, now: float) -> float:
        if owned.limit is None:
            return 0.0
        plan = LimitPlan.of(owned.limit, self._bounds)
        full = owned.limit.burst + plan.headroom
        return full * self._share.fraction(now)
