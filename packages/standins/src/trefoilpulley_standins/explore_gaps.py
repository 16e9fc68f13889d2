"""Time without acknowledged writes on a virtual clock, over seeds.

``python -m trefoilpulley_standins.explore_gaps`` prints the median and
the worst gap of failovers, returns and planned stops, and what the gap
is made of, for both deployments.
"""

from __future__ import annotations

from dataclasses import dataclass
import random
from statistics import median

import click

from trefoilpulley_core.coordination.commands import PrimaryPromoted
from trefoilpulley_core.coordination.commands import PromotionBegan
from trefoilpulley_standins.explore_script import Stage
from trefoilpulley_standins.explore_script import Step

OUTAGE_S = 6.0
"""Time at which the service goes out in the cases that need it."""

FAULT_S = 12.0
"""Earliest time of the fault."""

SPREAD_S = 1.0
"""Time over which the fault's moment is drawn."""

WATCHED_S = 15.0
"""Time for which writes are watched from the fault on."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """Zones and hosts of one deployment."""

    name: str
    """Name."""

    zones: tuple[str, ...]
    """Availability zones."""

    one_way_delay_s: float
    """Delay between two zones."""

    host_count: int
    """Entry hosts."""


@dataclass(frozen=True, slots=True)
class Case:
    """One kind of fault."""

    name: str
    """Name."""

    events: tuple[tuple[str, tuple[str, ...]], ...]
    """What happens at the fault's time."""

    is_service_out: bool = False
    """Whether the service is out before."""

    delay_s: float = 0.0
    """Time from the first event to the others."""


@dataclass(frozen=True, slots=True)
class Gap:
    """One gap and its parts, in milliseconds."""

    whole: float
    """Last acknowledgement before to the first after the change."""

    detection: float
    """Fault to the start of the promotion."""

    promotion: float
    """Start of the promotion to the new primary."""

    confirmation: float
    """New primary to the first acknowledgement."""

    faults: int
    """Breaches of what must always hold."""


DEPLOYMENTS = (
    Deployment('karamanlis', ('a', 'b', 'c'), 0.003, 8),
    Deployment('sleevecraft', ('a', 'b', 'c', 'd'), 0.005, 7),
)
"""Sizes of today."""

_DOWN = ('member-down', ('ledger/0/a',))

CASES = (
    Case('primary dies', (_DOWN,)),
    Case('primary isolated', (('member-isolated', ('ledger/0/a',)),)),
    Case('primary cut from its zone', (('member-unpooled', ('ledger/0/a',)),)),
    Case('zone of the primary cut off', (('zone-cut', ('a',)),)),
    Case('coordinator dies with it', (('host-down', ('acting',)), _DOWN)),
    Case('service out, primary dies', (_DOWN,), is_service_out=True),
    Case(
        'service out, coordinator dies first',
        (('host-down', ('acting',)), _DOWN),
        is_service_out=True,
        delay_s=0.2,
    ),
    Case('planned stop', (('stop-planned', ('a',)),)),
    Case('primary leaves', (('member-leaving', ('ledger/0/a',)),)),
)
"""Kinds of faults."""


def measure(deployment: Deployment, case: Case, seed: int) -> Gap:
    """Return the gap of one case for one seed."""
    stage = Stage(
        deployment.zones,
        deployment.one_way_delay_s,
        seed,
        deployment.host_count,
    )
    at = FAULT_S + SPREAD_S * random.Random(seed).random()
    if case.is_service_out:
        stage.plan(Step(OUTAGE_S, 'service-down'))
    for index, (event, parties) in enumerate(case.events):
        stage.plan(Step(at + index * case.delay_s, event, parties))
    stage.world.run_until(at + WATCHED_S)
    return _split(stage, at)


def measure_return(deployment: Deployment, seed: int) -> Gap:
    """Return the gap of the return after a failover."""
    stage = Stage(
        deployment.zones,
        deployment.one_way_delay_s,
        seed,
        deployment.host_count,
    )
    at = FAULT_S + SPREAD_S * random.Random(seed).random()
    stage.plan(Step(FAULT_S - 4.0, 'member-down', ('ledger/0/a',)))
    stage.plan(Step(at, 'member-up', ('ledger/0/a',)))
    stage.world.run_until(at + WATCHED_S)
    return _split(stage, at)


def _split(stage: Stage, fault_at: float) -> Gap:
    notices = sorted(
        (
            one
            for host in stage.hosts
            for one in host.notices
            if one[0] >= fault_at
        ),
        key=lambda one: one[0],
    )
    began = [t for t, n in notices if isinstance(n, PromotionBegan)]
    promoted = [t for t, n in notices if isinstance(n, PrimaryPromoted)]
    history = stage.world.history
    first = min(
        (a.time for a in history.acknowledged if a.time > promoted[0]),
        default=float('inf'),
    )
    members = stage.world.members.values()
    return Gap(
        1000 * history.gap_s(fault_at - 1.0),
        1000 * (began[0] - fault_at),
        1000 * (promoted[0] - began[0]),
        1000 * (first - promoted[0]),
        len(history.faults(members)),
    )


def _describe(name: str, gaps: list[Gap]) -> str:
    whole = [g.whole for g in gaps]
    parts = ' + '.join(
        f'{median(part):.0f}'
        for part in (
            [g.detection for g in gaps],
            [g.promotion for g in gaps],
            [g.confirmation for g in gaps],
        )
    )
    return (
        f'{name:38} median {median(whole):5.0f} worst {max(whole):5.0f} ms'
        f' = {parts}; broken rules {sum(g.faults for g in gaps)}'
    )


@click.command()
@click.option('--seeds', default=20, help='Seeds for each case.')
def main(seeds: int) -> None:
    """Print the gaps of every case, in milliseconds."""
    for deployment in DEPLOYMENTS:
        click.echo(f'{deployment.name}: fault to start + promote + confirm')
        for case in CASES:
            gaps = [measure(deployment, case, s) for s in range(seeds)]
            click.echo(_describe(case.name, gaps))
        gaps = [measure_return(deployment, s) for s in range(seeds)]
        click.echo(_describe('return', gaps))


if __name__ == '__main__':
    main()
