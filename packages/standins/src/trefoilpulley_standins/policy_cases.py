"""Simulation cases and the figures that they yield for one seed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.connection_budget import ConnectionBudget
from trefoilpulley_standins.policy_connections import ConnectionRun
from trefoilpulley_standins.policy_deployment import DEPLOYMENTS
from trefoilpulley_standins.policy_deployment import READ_SERVICE_S
from trefoilpulley_standins.policy_deployment import WRITE_SERVICE_S
from trefoilpulley_standins.policy_run import Load
from trefoilpulley_standins.policy_run import PolicyRun
from trefoilpulley_standins.policy_run import READ_AFTER_WRITE
from trefoilpulley_standins.policy_run import READS_PER_SESSION
from trefoilpulley_standins.policy_shares import FixedShareRun
from trefoilpulley_standins.policy_shares import PooledRun

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpulley_standins.policy_deployment import Deployment
    from trefoilpulley_standins.policy_shares import SharedMemberRun

POLICIES = ('thin', 'plain', 'targets')
"""Nearest member, round robin, and routing by targets with deadlines."""

LAGS_S = (0.005, 0.05, 0.5)
"""Mean replication lags of the read cases, in seconds."""

MEMBER_COUNT = 3
"""Number of members of a database group."""

_SESSIONS_PER_S = 100.0
_OVERLOAD_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value of one simulation with one seed."""

    case: str
    """Deployment and kind of load."""

    policy: str
    """Name of the simulated policy."""

    name: str
    """Name of the measured quantity."""

    value: float
    """Measured value."""

    is_higher_worse: bool = False
    """Whether a higher value is worse than a lower one."""


def measure_seed(seed: int) -> tuple[Figure, ...]:
    """Return the figures of every case at one seed."""
    figures: list[Figure] = []
    for deployment in DEPLOYMENTS:
        for policy in POLICIES:
            figures += _measure_reads(deployment, policy, seed)
            figures += _measure_overload(deployment, policy, seed)
            figures += _measure_fairness(deployment, policy, seed)
        figures += _measure_shares(deployment, seed)
        figures += _measure_connections(deployment, seed)
    return tuple(figures)


def make_overload(deployment: Deployment, seconds: float) -> Load:
    """Return a load of twice the capacity of a database group's slots."""
    session_s = WRITE_SERVICE_S + (READS_PER_SESSION + 1) * READ_SERVICE_S
    capacity = MEMBER_COUNT * deployment.slots * _OVERLOAD_FACTOR
    lookups = (capacity - _SESSIONS_PER_S * session_s) / READ_SERVICE_S
    return Load(_SESSIONS_PER_S, lookups, 0.05, seconds)


def _measure_reads(
    deployment: Deployment, policy: str, seed: int
) -> Iterator[Figure]:
    for lag_s in LAGS_S:
        run = PolicyRun(deployment, policy, Load(20, 200, lag_s, 6.0), seed)
        tally = run.run()
        case = f'{deployment.name}, lag {round(1000 * lag_s)} ms'
        aged = tally[deployment.aged_read.name]
        written = tally[READ_AFTER_WRITE]
        yield Figure(case, policy, 'aged at replicas', aged.replica_share)
        name = 'just written at replicas'
        yield Figure(case, policy, name, written.replica_share)
        p99_ms = 1000 * written.p99_answer_s
        yield Figure(case, policy, 'just written p99 ms', p99_ms, True)
        for work_class in deployment.classes:
            share = tally[work_class.name].in_time_share
            yield Figure(case, policy, f'{work_class.name} in time', share)
        yield Figure(case, policy, 'false ages', run.understated_ages, True)


def _measure_overload(
    deployment: Deployment, policy: str, seed: int
) -> Iterator[Figure]:
    load = make_overload(deployment, 3.0)
    tally = PolicyRun(deployment, policy, load, seed).run()
    case = f'{deployment.name}, twice the load'
    for work_class in deployment.classes:
        name = work_class.name
        share = tally[name].in_time_share
        yield Figure(case, policy, f'{name} in time', share)
    aged = tally[deployment.aged_read.name]
    name = deployment.aged_read.name
    yield Figure(case, policy, f'{name} refused', aged.refused_share, True)
    refusal_ms = 1000 * aged.median_refusal_s
    yield Figure(case, policy, 'refused after ms', refusal_ms, True)


def _measure_fairness(
    deployment: Deployment, policy: str, seed: int
) -> Iterator[Figure]:
    load = Load(20, 200, 0.05, 3.0, flood_per_s=3000)
    tally = PolicyRun(deployment, policy, load, seed).run()
    case = f'{deployment.name}, one tenant floods'
    name = deployment.aged_read.name
    for tenant in ('steady', 'flood'):
        share = tally[f'{tenant}/{name}'].in_time_share
        yield Figure(case, policy, f'{tenant} {name} in time', share)


def _measure_shares(deployment: Deployment, seed: int) -> Iterator[Figure]:
    policies: tuple[tuple[str, type[SharedMemberRun]], ...] = (
        ('pooled', PooledRun),
        ('fixed shares', FixedShareRun),
    )
    for load, is_uneven in (
        (0.5, False),
        (0.8, True),
        (_OVERLOAD_FACTOR, False),
    ):
        kind = 'uneven' if is_uneven else 'even'
        case = f'{deployment.name}, 8 hosts, load {load}, {kind}'
        for policy, run in policies:
            tally = run(deployment, load, is_uneven, seed).run()
            for work_class in (deployment.write, deployment.aged_read):
                share = tally[work_class.name].in_time_share
                yield Figure(case, policy, f'{work_class.name} in time', share)


def _measure_connections(
    deployment: Deployment, seed: int
) -> Iterator[Figure]:
    limit = deployment.connections
    for slots in (deployment.slots, limit - 6):
        for budget in (ConnectionBudget, None):
            policy = 'budget' if budget else 'no budget'
            case = f'{deployment.name}, {slots} slots, death and two views'
            run = ConnectionRun(
                limit, slots, deployment.connect_s, 3, budget, seed
            )
            run.run()
            excess_ms = 1000 * run.member_connections.max_excess_s
            yield Figure(
                case,
                policy,
                'peak connections',
                run.member_connections.peak_count,
                True,
            )
            yield Figure(case, policy, 'over the limit ms', excess_ms, True)
            max_warm_up_s = max(p.warm_up_s or 60.0 for p in run.poolers[1:])
            yield Figure(
                case, policy, 'warm after ms', 1000 * max_warm_up_s, True
            )
