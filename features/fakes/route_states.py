"""Random states of a host and requests to it, by seed."""

from __future__ import annotations

from dataclasses import replace
import random

from features.fakes.route_rig import GROUP
from features.fakes.route_rig import HOST
from features.fakes.route_rig import RouteRig
from trefoilpulley_core.direct.customers import CustomerLimit
from trefoilpulley_core.direct.drain import DrainPhase
from trefoilpulley_core.direct.member_pace import PaceReason
from trefoilpulley_core.direct.route_report import RouteQuery
from trefoilpulley_core.position import Position

ZONES = ('a', 'b', 'c')


def make_state(seed: int) -> tuple[RouteRig, RouteQuery]:
    """Return a host in a random state, and a request to it."""
    rng = random.Random(seed)
    rig = RouteRig()
    customers = _make_customers(rng)
    rig.configure(customers, rng.choice((6, 16, 40)))
    members = {name: rng.choice(ZONES) for name in 'prst'[: rng.randint(1, 4)]}
    leaving = [m for m in members if rng.random() < 0.1]
    rig.add_members(members, leaving)
    if rng.random() < 0.4:
        names = [HOST, *(f'h{n}' for n in range(1, rng.choice((3, 30, 60))))]
        zones = {z: tuple(names[n::3]) for n, z in enumerate(ZONES)}
        if rng.random() < 0.5:
            # With few hosts in its zone, this host is a holder more often.
            zones = {'a': tuple(names[:3]), 'b': tuple(names[3:])}
        rig.set_hosts(zones)
    query = _make_query(rng, customers)
    customer = query.customer if query.customer in (customers or {}) else ''
    _set_group(rng, rig)
    for member in members:
        _set_member(rng, rig, member)
        _set_pool(rng, rig, member, customer)
    for _ in range(rng.choice((0, 0, 20))):
        rig.group.retry_budget.try_spend(GROUP)
    if customer and rng.random() < 0.3:
        _use_limit(rng, rig, customer)
    if rng.random() < 0.05:
        rig.sessions.enter(rng.choice(list(DrainPhase)))
    return rig, query


def _make_customers(
    rng: random.Random,
) -> dict[str, CustomerLimit | None] | None:
    if rng.random() < 0.3:
        return None
    return {
        'weavers': CustomerLimit(rng.randint(1, 50), rng.randint(0, 20)),
        'dyers': None,
    }


def _make_query(
    rng: random.Random, customers: dict[str, CustomerLimit | None] | None
) -> RouteQuery:
    floor = None
    if rng.random() < 0.4:
        floor = Position(rng.randint(1, 2), rng.randint(1, 30))
    names = ['weavers', 'weavers', 'dyers']
    if rng.random() < 0.1:
        names = ['', 'strangers']
    return RouteQuery(
        rng.choice(('orders', 'orders', 'lookups', 'filings', 'notices')),
        rng.choice(names) if customers is not None else '',
        rng.random() < 0.3,
        rng.random() < 0.3,
        floor,
        rng.uniform(0, 3) if floor else 0.0,
    )


def _set_group(rng: random.Random, rig: RouteRig) -> None:
    now, state = rig.clock.at, rig.group.state
    ages_s = [rng.uniform(0, 4) for _ in range(rng.choice((0, 4, 4, 4)))]
    for age_s in sorted(ages_s, reverse=True):
        index = max(1, 20 - int(5 * age_s))
        state.evidence.record(now - age_s, Position(1, index))
    if rng.random() < 0.1:
        state.primary = None
    if rng.random() < 0.2:
        state.primary_change_due_at = now + rng.uniform(-1, 4)
    if rng.random() < 0.3:
        state.no_primary_change_until = now + rng.uniform(-1, 4)


def _set_member(rng: random.Random, rig: RouteRig, member: str) -> None:
    now, state = rig.clock.at, rig.group.state
    health = state.members[member]
    health.position = Position(1, rng.randint(0, 25))
    health.latency_s = rng.choice((0.01, 0.03, 0.1, 0.8))
    health.last_served_at = now - rng.uniform(0, 3)
    health.in_flight = rng.choice((0, 0, 1, 4))
    if health.record.leaving_since is not None:
        since = now - rng.uniform(0, 8)
        health.record = replace(health.record, leaving_since=since)
    if rng.random() < 0.3:
        health.on_floor_missing(rng.uniform(0.1, 2), now - rng.uniform(0, 1))
    if rng.random() < 0.2:
        health.on_busy(now - rng.uniform(0, 0.04))
    for _ in range(rng.choice((0, 0, 0, 3))):
        health.failure_rate.record(True, now - rng.uniform(0, 1))
    if rng.random() < 0.3:
        for _ in range(10):
            health.pace.on_served('orders', 0.02, now)
        health.pace.begin(rng.choice(list(PaceReason)))
        for _ in range(rng.randint(0, 4)):
            health.pace.admits_read(0)
    if rng.random() < 0.15:
        health.failing_since = now - rng.choice((0.02, 0.3, 1.0))


def _set_pool(
    rng: random.Random, rig: RouteRig, member: str, customer: str
) -> None:
    now, access = rig.clock.at, rig.group.accesses[member]
    pool = access.local_pool
    failing_since = access.health.failing_since
    held = rig.hold(member, rng.choice((customer, 'dyers')), rng.randint(0, 4))
    access.health.failing_since = failing_since
    for conn in held[: rng.randint(0, 4)]:
        pool.release(conn)
    for _ in range(rng.choice((0, 0, 3))):
        pool.in_flight_limit.on_busy(rng.randint(1, 4), now)
    pool.in_flight = rng.choice((0, 0, 1, 40, 40))
    if rng.random() < 0.2:
        pool.share.on_refused(now - rng.uniform(0, 0.4))
    rig.fill_queue(member, 'dyers', rng.choice((0, 0, 2, 30, 200, 200)))
    if rng.random() < 0.4:
        for holder in access._relay_client.holders_for(customer)[:2]:
            if rng.random() < 0.7:
                access._relay_client.on_holder_timeout(holder)
            if rng.random() < 0.3:
                access._relay_client.on_member_missed(holder)
    if rng.random() < 0.3:
        pool.reach.own.on_unreachable(now - rng.uniform(0, 1))


def _use_limit(rng: random.Random, rig: RouteRig, customer: str) -> None:
    if rig.limits.find_owner(customer) == HOST:
        rig.limits._owned[customer].bucket.tokens = rng.uniform(0, 2)
        return
    questions = rig.admissions._questions_of(customer)
    questions.refused_until = rig.clock.at + rng.uniform(-0.05, 0.05)
    questions.is_alone = rng.random() < 0.3
