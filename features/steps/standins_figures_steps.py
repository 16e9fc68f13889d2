"""Steps for the figures of whole runs."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_standins.demo.journal import Entry
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.figures.gaps import find_failback
from trefoilpulley_standins.figures.gaps import find_failover
from trefoilpulley_standins.figures.gaps import find_primary_changes
from trefoilpulley_standins.figures.gaps import split_gap
from trefoilpulley_standins.figures.marks import Promotion
from trefoilpulley_standins.figures.targets import find_target


class StandinsFiguresSteps:
    """Steps for gaps and targets."""

    @staticmethod
    @given('a journal of one run')
    def make_journal(context: Any) -> None:
        """Build the journal from the writes of the table."""
        context.entries = [
            Entry(
                f'w{number}',
                's',
                'filing',
                row['database'],
                StepKind.WRITE,
                float(row['began']),
                float(row['ended']),
                Verdict(row['verdict']),
                member=row['member'],
            )
            for number, row in enumerate(context.table)
        ]

    @staticmethod
    @given('promotions of one run')
    def make_promotions(context: Any) -> None:
        """Build the promotions of the table."""
        context.promotions = [
            Promotion(
                row['database'],
                row['primary'],
                'silent',
                float(row['began']),
                float(row['promoted']),
            )
            for row in context.table
        ]

    @staticmethod
    @when('the changes of primary are determined')
    def find_changes(context: Any) -> None:
        """Find the changes of primary in the journal."""
        context.changes = find_primary_changes(context.entries)

    @staticmethod
    @then('the failover of {name} after {at:g} takes {gap:g} s')
    def check_failover(context: Any, name: str, at: float, gap: float) -> None:
        """Compare the first gap after a fault, in seconds."""
        found = find_failover(context.changes, name, at)
        assert round(found.gap_s, 3) == gap, found

    @staticmethod
    @then('no failover of {name} after {at:g} is found')
    def check_no_failover(context: Any, name: str, at: float) -> None:
        """Check that no change is found."""
        assert find_failover(context.changes, name, at) is None

    @staticmethod
    @then('the failback of {name} to {home} after {at:g} takes {gap:g} s')
    def check_failback(
        context: Any, name: str, home: str, at: float, gap: float
    ) -> None:
        """Compare the gap at a failback, in seconds."""
        found = find_failback(context.changes, name, home, at)
        assert round(found.gap_s, 3) == gap, found

    @staticmethod
    @then('{count:d} change of primary is found')
    def check_count(context: Any, count: int) -> None:
        """Compare the number of changes."""
        assert len(context.changes) == count, context.changes

    @staticmethod
    @then('the failover gap of {name} after {at:g} has these parts')
    def check_parts(context: Any, name: str, at: float) -> None:
        """Compare the parts of a gap, in seconds."""
        change = find_failover(context.changes, name, at)
        parts = split_gap(change, at, context.promotions)
        for field, value in context.table[0].items():
            found = getattr(parts, f'{field}_s')
            assert round(found, 3) == float(value), parts

    @staticmethod
    @given('the values {values} of the figure "{figure}"')
    def set_values(context: Any, values: str, figure: str) -> None:
        """Set the values of several runs."""
        context.target = find_target('karamanlis', figure)
        context.values = [
            None if v == 'none' else float(v) for v in values.split()
        ]

    @staticmethod
    @then('the target of the figure is {verdict}')
    def check_target(context: Any, verdict: str) -> None:
        """Check whether the values meet the target."""
        is_met = context.target.is_met(context.values)
        assert is_met is (verdict == 'met'), context.values
