"""Measures the time without acknowledged writes on a virtual clock.

``python -m trefoilpulley_standins.explore_gaps`` prints the median
and the worst gap of failovers, returns and planned stops over several
seeds, and the parts of the gap, for both deployments.
"""

from __future__ import annotations

from dataclasses import dataclass
import random
from statistics import median

import click

from trefoilpulley_core.coordination.commands import PrimaryPromoted
from trefoilpulley_core.coordination.commands import PromotionBegan
from trefoilpulley_standins.explore_script import ClusterSimulation
from trefoilpulley_standins.explore_script import Step

SERVICE_OUTAGE_TIME_S = 6.0
"""Time of the platform service's outage, in cases with an outage."""

MIN_FAULT_TIME_S = 12.0
"""Earliest time of the fault, in seconds."""

FAULT_WINDOW_S = 1.0
"""Window after the earliest time from which the fault's time is drawn."""

OBSERVATION_DURATION_S = 15.0
"""Time after the fault during which writes are observed, in seconds."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """Zones, delay and host count of one deployment."""

    name: str
    """Name of the deployment."""

    zones: tuple[str, ...]
    """Availability zones."""

    one_way_delay_s: float
    """One-way delay between two zones, in seconds."""

    host_count: int
    """Number of entry hosts."""


@dataclass(frozen=True, slots=True)
class FaultCase:
    """Kind of fault to measure."""

    name: str
    """Name of the case."""

    events: tuple[tuple[str, tuple[str, ...]], ...]
    """Events of the fault with their parties, in order."""

    is_service_down: bool = False
    """Whether the platform service is down before the fault."""

    delay_s: float = 0.0
    """Time between two successive events, in seconds."""


@dataclass(frozen=True, slots=True)
class WriteGap:
    """Time without acknowledged writes and its parts, in milliseconds."""

    whole: float
    """Longest time between two successive acknowledgements."""

    detection: float
    """Time from the fault to the start of the promotion."""

    promotion: float
    """Time from the start of the promotion to the new primary."""

    confirmation: float
    """Time from the new primary to its first acknowledgement."""

    faults: int
    """Number of violated invariants."""


DEPLOYMENTS = (
    Deployment('karamanlis', ('a', 'b', 'c'), 0.003, 8),
    Deployment('sleevecraft', ('a', 'b', 'c', 'd'), 0.005, 7),
)
"""Deployments to measure."""

_DOWN = ('member-down', ('ledger/0/a',))

CASES = (
    FaultCase('primary dies', (_DOWN,)),
    FaultCase('primary isolated', (('member-isolated', ('ledger/0/a',)),)),
    FaultCase(
        'primary cut from its zone', (('member-unpooled', ('ledger/0/a',)),)
    ),
    FaultCase('zone of the primary cut off', (('zone-cut', ('a',)),)),
    FaultCase('coordinator dies with it', (('host-down', ('acting',)), _DOWN)),
    FaultCase('service out, primary dies', (_DOWN,), is_service_down=True),
    FaultCase(
        'service out, coordinator dies first',
        (('host-down', ('acting',)), _DOWN),
        is_service_down=True,
        delay_s=0.2,
    ),
    FaultCase('planned stop', (('stop-planned', ('a',)),)),
    FaultCase('primary leaves', (('member-leaving', ('ledger/0/a',)),)),
)
"""Faults to measure."""


def measure_gap(
    deployment: Deployment, case: FaultCase, seed: int
) -> WriteGap:
    """Return the gap that a fault causes with one seed."""
    simulation = ClusterSimulation(
        deployment.zones,
        deployment.one_way_delay_s,
        seed,
        deployment.host_count,
    )
    fault_at = MIN_FAULT_TIME_S + FAULT_WINDOW_S * random.Random(seed).random()
    if case.is_service_down:
        simulation.schedule(Step(SERVICE_OUTAGE_TIME_S, 'service-down'))
    for index, (event, parties) in enumerate(case.events):
        simulation.schedule(
            Step(fault_at + index * case.delay_s, event, parties)
        )
    simulation.cluster.run_until(fault_at + OBSERVATION_DURATION_S)
    return _measure_gap_parts(simulation, fault_at)


def measure_return(deployment: Deployment, seed: int) -> WriteGap:
    """Return the gap of the return to the home primary after a failover."""
    simulation = ClusterSimulation(
        deployment.zones,
        deployment.one_way_delay_s,
        seed,
        deployment.host_count,
    )
    fault_at = MIN_FAULT_TIME_S + FAULT_WINDOW_S * random.Random(seed).random()
    simulation.schedule(
        Step(MIN_FAULT_TIME_S - 4.0, 'member-down', ('ledger/0/a',))
    )
    simulation.schedule(Step(fault_at, 'member-up', ('ledger/0/a',)))
    simulation.cluster.run_until(fault_at + OBSERVATION_DURATION_S)
    return _measure_gap_parts(simulation, fault_at)


def _measure_gap_parts(
    simulation: ClusterSimulation, fault_at: float
) -> WriteGap:
    notices = sorted(
        (
            notice
            for host in simulation.hosts
            for notice in host.notices
            if notice[0] >= fault_at
        ),
        key=lambda notice: notice[0],
    )
    began_at = [t for t, n in notices if isinstance(n, PromotionBegan)]
    promoted_at = [t for t, n in notices if isinstance(n, PrimaryPromoted)]
    history = simulation.cluster.history
    first_write_at = min(
        (a.time for a in history.acknowledged if a.time > promoted_at[0]),
        default=float('inf'),
    )
    members = simulation.cluster.members.values()
    return WriteGap(
        1000 * history.longest_gap_s(fault_at - 1.0),
        1000 * (began_at[0] - fault_at),
        1000 * (promoted_at[0] - began_at[0]),
        1000 * (first_write_at - promoted_at[0]),
        len(history.faults(members)),
    )


def _format_gaps(name: str, gaps: list[WriteGap]) -> str:
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
@click.option('--seeds', default=20, help='Number of seeds for each case.')
def main(seeds: int) -> None:
    """Print the gaps of every case, in milliseconds."""
    for deployment in DEPLOYMENTS:
        click.echo(f'{deployment.name}: fault to start + promote + confirm')
        for case in CASES:
            gaps = [measure_gap(deployment, case, s) for s in range(seeds)]
            click.echo(_format_gaps(case.name, gaps))
        gaps = [measure_return(deployment, s) for s in range(seeds)]
        click.echo(_format_gaps('return', gaps))


if __name__ == '__main__':
    main()
