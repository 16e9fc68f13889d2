"""Steps on the bounded exploration of promotion and handover."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when

from trefoilpulley_standins.explore import BUDGETS
from trefoilpulley_standins.explore import explore
from trefoilpulley_standins.explore import Rule

MAX_STATES = 60_000


class CoordinationExploreSteps:
    """Steps that explore all states within a bound."""

    @staticmethod
    @when('the coordination is explored within the bound "{bound}"')
    def explore_product(context: Any, bound: str) -> None:
        """Explore the coordination without a fault."""
        context.found = explore(BUDGETS[bound], MAX_STATES)

    @staticmethod
    @when(
        'the coordination with the fault "{fault}" is explored within the '
        'bound "{bound}" for "{rule}"'
    )
    def explore_fault(context: Any, fault: str, bound: str, rule: str) -> None:
        """Explore the coordination with one deliberate fault."""
        context.found = explore(BUDGETS[bound], MAX_STATES, fault, Rule(rule))

    @staticmethod
    @then('the exploration has reached every state')
    def check_complete(context: Any) -> None:
        """Expect that all states within the bound were reached."""
        assert context.found.is_complete

    @staticmethod
    @then('the exploration has reached a change of the primary')
    def check_change(context: Any) -> None:
        """Expect at least one state with a changed primary."""
        assert context.found.primary_change_count > 0

    @staticmethod
    @then('the exploration breaks no rule')
    def check_rules(context: Any) -> None:
        """Expect that every rule holds."""
        assert not context.found.broken_rules, context.found

    @staticmethod
    @then('the exploration breaks the rule "{rule}"')
    def check_broken(context: Any, rule: str) -> None:
        """Expect that the deliberate fault breaks the rule."""
        assert Rule(rule) in context.found.broken_rules, context.found
