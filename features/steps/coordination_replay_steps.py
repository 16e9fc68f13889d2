"""Steps that replay recorded and generated faults of the coordination."""

from __future__ import annotations

import json
from pathlib import Path
import random
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as hypothesis_given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from trefoilpulley_core.coordination.commands import HandoverBegan
from trefoilpulley_core.coordination.commands import PromotionBegan
from trefoilpulley_standins.explore_schedules import evaluate
from trefoilpulley_standins.explore_schedules import FAULTS
from trefoilpulley_standins.explore_schedules import FIRST_FAULT_TIME_S
from trefoilpulley_standins.explore_schedules import FIRST_FAULTS
from trefoilpulley_standins.explore_schedules import make_schedule
from trefoilpulley_standins.explore_schedules import run_schedule
from trefoilpulley_standins.explore_script import ClusterSimulation
from trefoilpulley_standins.explore_script import Step

TRACES = Path(__file__).parent.parent / 'traces' / 'coordination'

WARM_UP_S = 5.0
"""Time after which the hosts have their duties, in seconds."""

SEED = 1


class CoordinationReplaySteps:
    """Steps on simulated hosts and members."""

    @staticmethod
    @given('coordination hosts and members of the deployment "{deployment}"')
    def make_stage(context: Any, deployment: str) -> None:
        """Build the hosts and members with the delays of a deployment."""
        if deployment == 'karamanlis':
            context.stage = ClusterSimulation(('a', 'b', 'c'), 0.003, SEED, 8)
        else:
            context.stage = ClusterSimulation(
                ('a', 'b', 'c', 'd'), 0.005, SEED, 7
            )

    @staticmethod
    @given('coordination hosts with replicas that lag by {lag:d} ms')
    def make_lagging_stage(context: Any, lag: int) -> None:
        """Build the smaller deployment with replicas that lag."""
        context.stage = ClusterSimulation(
            ('a', 'b', 'c'), 0.003, SEED, 8, lag_s=lag / 1000
        )

    @staticmethod
    @when('the coordination trace "{name}" is replayed for {time:g} seconds')
    def replay(context: Any, name: str, time: float) -> None:
        """Plan the steps of a trace and run the simulation."""
        text = (TRACES / f'{name}.jsonl').read_text(encoding='utf-8')
        for line in text.splitlines():
            fields = json.loads(line)
            step = Step(
                fields['time'], fields['event'], tuple(fields['parties'])
            )
            context.stage.schedule(step)
        context.stage.cluster.run_until(time)

    @staticmethod
    @when(
        'the coordination runs with {count:d} generated faults of seed '
        '{seed:d}'
    )
    def run_generated_faults(context: Any, count: int, seed: int) -> None:
        """Run a generated schedule of faults."""
        steps = make_schedule(random.Random(seed), count)
        context.stage = run_schedule(steps, seed)

    @staticmethod
    @when('the coordination runs with {count:d} sets of two or three faults')
    def run_fault_sets(context: Any, count: int) -> None:
        """Run sets whose later faults occur shortly after the first one."""
        context.verdicts = []

        @settings(
            derandomize=True,
            max_examples=count,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @hypothesis_given(_fault_sets())
        def run_fault_set(steps: tuple[Step, ...]) -> None:
            stage = run_schedule(steps, SEED)
            context.verdicts.append((steps, evaluate(stage)))

        run_fault_set()

    @staticmethod
    @then('no set of faults breaks a rule and each run settles')
    def check_sets(context: Any) -> None:
        """Expect no broken rule and a settled deployment for each set."""
        assert context.verdicts
        for steps, verdict in context.verdicts:
            assert not verdict.faults, (steps, verdict)
            assert verdict.is_settled, (steps, verdict)

    @staticmethod
    @then('the coordination broke no rule')
    def check_rules(context: Any) -> None:
        """Expect no lost write, second primary or late acknowledgement."""
        cluster = context.stage.cluster
        faults = cluster.history.faults(cluster.members.values())
        assert cluster.history.acknowledged
        assert not faults, faults

    @staticmethod
    @then('member "{zone}" is the primary at the end')
    def check_primary(context: Any, zone: str) -> None:
        """Compare the zone of the primary."""
        assert context.stage.cluster.leader().zone == zone

    @staticmethod
    @then('{promotions:d} promotions and {handovers:d} handovers have begun')
    def check_counts(context: Any, promotions: int, handovers: int) -> None:
        """Compare the number of promotions and handovers in the notices."""
        notices = _notices(context)
        promoted = [n for _, n in notices if isinstance(n, PromotionBegan)]
        unplanned = [n for n in promoted if n.reason != 'handover']
        handed_over = [n for _, n in notices if isinstance(n, HandoverBegan)]
        assert len(unplanned) == promotions, notices
        assert len(handed_over) == handovers, notices

    @staticmethod
    @then('writes were acknowledged at least every {gap:g} seconds')
    def check_gap(context: Any, gap: float) -> None:
        """Compare the longest time without an acknowledged write."""
        found = context.stage.cluster.history.longest_gap_s(WARM_UP_S)
        assert found <= gap, found

    @staticmethod
    @then(
        'writes after {time:g} seconds were acknowledged at least every '
        '{gap:g} seconds'
    )
    def check_late_gap(context: Any, time: float, gap: float) -> None:
        """Compare the longest gap after the given time."""
        found = context.stage.cluster.history.longest_gap_s(time)
        assert found <= gap, found

    @staticmethod
    @then(
        'the first return was delayed by at least {first:g} seconds and '
        'the second by {second:g}'
    )
    def check_hold_down(context: Any, first: float, second: float) -> None:
        """Compare the delays of the handovers to the home primary.

        The trace restarts the home primary after 10 and after 24 seconds.
        """
        times = [
            t for t, n in _notices(context) if isinstance(n, HandoverBegan)
        ]
        delays = times[0] - 10.0, times[1] - 24.0
        assert first <= delays[0] < second <= delays[1], delays

    @staticmethod
    @then('no write was acknowledged between {start:g} and {end:g} seconds')
    def check_no_write(context: Any, start: float, end: float) -> None:
        """Expect no acknowledgement while there is no majority."""
        acknowledged = context.stage.cluster.history.acknowledged
        assert not [a for a in acknowledged if start < a.time < end]

    @staticmethod
    @then('no term was used by two processes')
    def check_terms(context: Any) -> None:
        """Expect that each promotion has a term of its own."""
        terms = [
            n.term
            for _, n in _notices(context)
            if isinstance(n, PromotionBegan)
        ]
        assert terms
        assert len(terms) == len(set(terms)), terms

    @staticmethod
    @then('the home layout is restored')
    def check_settled(context: Any) -> None:
        """Expect that the deployment has returned to its home layout."""
        verdict = evaluate(context.stage)
        assert verdict.is_settled, verdict


def _fault_sets() -> st.SearchStrategy[tuple[Step, ...]]:
    later_fault = st.tuples(
        st.floats(0.0, 2.0).map(lambda t: round(FIRST_FAULT_TIME_S + t, 3)),
        st.sampled_from(FAULTS),
    )
    first_fault = st.sampled_from(FIRST_FAULTS)
    return st.tuples(
        first_fault, st.lists(later_fault, min_size=1, max_size=2)
    ).map(
        lambda drawn: (
            Step(FIRST_FAULT_TIME_S, *drawn[0]),
            *(Step(time, *fault) for time, fault in drawn[1]),
        )
    )


def _notices(context: Any) -> list[tuple[float, Any]]:
    notices = [n for h in context.stage.hosts for n in h.notices]
    return sorted(notices, key=lambda notice: notice[0])
