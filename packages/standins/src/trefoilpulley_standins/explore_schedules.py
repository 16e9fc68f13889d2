"""Runs the coordination against random schedules of several faults.

``python -m trefoilpulley_standins.explore_schedules --count 200`` runs
that number of schedules. The command prints the seed and the verdict of
each schedule that violates an invariant or does not settle.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
import random

import click

from trefoilpulley_standins.explore_script import ClusterSimulation
from trefoilpulley_standins.explore_script import Step

FIRST_FAULT_TIME_S = 8.0
"""Time of the first fault, in seconds."""

LAST_FAULT_TIME_S = 28.0
"""Latest time of a fault, in seconds."""

HEAL_TIME_S = 40.0
"""Time at which all faults end, in seconds."""

SETTLE_TIMEOUT_S = 160.0
"""Time by which the home primary must lead again, in seconds."""

ZONES = ('a', 'b', 'c', 'd')
"""Availability zones; each of the first three has a member."""


_MEMBERS = tuple(f'ledger/0/{zone}' for zone in ZONES[:3])

FIRST_FAULTS = (
    ('member-down', ('primary',)),
    ('member-isolated', ('primary',)),
    ('member-unpooled', ('primary',)),
    ('zone-cut', ('a',)),
    ('stop-planned', ('a',)),
    ('member-leaving', ('primary',)),
)
"""Events that cause a promotion or a handover, with their parties."""

FAULTS = (
    ('member-down', ('primary',)),
    ('member-isolated', ('primary',)),
    ('service-down', ()),
    ('service-slow', ()),
    ('service-silent', ()),
    ('host-down', ('acting',)),
    *(('host-paused', ('acting', t)) for t in ('0.3', '1.5', '5.0')),
    *(('member-down', (name,)) for name in _MEMBERS),
    *(('member-unpooled', (name,)) for name in _MEMBERS),
    *(('member-leaving', (name,)) for name in _MEMBERS),
    *(('zone-cut', (zone,)) for zone in ZONES),
    *(('stop-planned', (zone,)) for zone in ZONES),
    *(('link-cut', pair) for pair in combinations(ZONES, 2)),
)
"""Events that occur during a promotion or handover, with their parties."""

FAULT_ENDS = (
    ('healed', ()),
    ('service-up', ()),
    *(('zone-joined', (zone,)) for zone in ZONES),
    *(('stop-cancelled', (zone,)) for zone in ZONES),
)
"""Events that end a fault, with their parties."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of one schedule."""

    faults: tuple[str, ...]
    """Descriptions of the violated invariants."""

    is_settled: bool
    """Whether the home primary leads and writes are acknowledged again."""

    promotions: int
    """Number of promotions that began."""


def make_schedule(rng: random.Random, fault_count: int) -> tuple[Step, ...]:
    """Return faults at random times after one that moves the primary."""
    steps = [Step(FIRST_FAULT_TIME_S, *rng.choice(FIRST_FAULTS))]
    for _ in range(fault_count):
        time = rng.uniform(FIRST_FAULT_TIME_S - 1.0, LAST_FAULT_TIME_S)
        steps.append(Step(round(time, 3), *rng.choice(FAULTS)))
        end = time + rng.choice((0.2, 1.0, 4.0, 12.0))
        steps.append(Step(round(end, 3), *rng.choice(FAULT_ENDS)))
    return tuple(sorted(steps, key=lambda s: s.time))


def run_schedule(steps: tuple[Step, ...], seed: int) -> ClusterSimulation:
    """Run a schedule, end all faults and wait for the cluster to settle."""
    simulation = ClusterSimulation(ZONES, 0.005, seed, write_interval_s=0.1)
    for step in steps:
        simulation.schedule(step)
    simulation.schedule(Step(HEAL_TIME_S, 'healed'))
    for zone in ZONES:
        simulation.schedule(Step(HEAL_TIME_S, 'stop-cancelled', (zone,)))
    for member in simulation.cluster.entry.members:
        simulation.schedule(
            Step(HEAL_TIME_S, 'member-staying', (member.name,))
        )
    simulation.cluster.run_until(SETTLE_TIMEOUT_S)
    return simulation


def evaluate(simulation: ClusterSimulation) -> Verdict:
    """Return the verdict on a finished simulation."""
    cluster = simulation.cluster
    leader = cluster.leader()
    last = cluster.history.acknowledged[-1].time
    home = cluster.entry.members[0].name
    is_home = leader is not None and leader.name == home
    names = [type(n).__name__ for h in simulation.hosts for _, n in h.notices]
    return Verdict(
        tuple(cluster.history.faults(cluster.members.values())),
        is_home and last > cluster.now - 1.0,
        names.count('PromotionBegan'),
    )


@click.command()
@click.option('--count', default=200, help='Number of schedules to run.')
@click.option('--first-seed', default=0, help='Seed of the first schedule.')
def main(count: int, first_seed: int) -> None:
    """Run schedules of two and three faults and print the failed ones."""
    broken_count = 0
    for seed in range(first_seed, first_seed + count):
        steps = make_schedule(random.Random(seed), 1 + seed % 2)
        verdict = evaluate(run_schedule(steps, seed))
        if verdict.faults or not verdict.is_settled:
            broken_count += 1
            click.echo(f'seed {seed}: {verdict}')
    click.echo(f'{count} schedules, {broken_count} broken')
    raise SystemExit(broken_count > 0)


if __name__ == '__main__':
    main()
