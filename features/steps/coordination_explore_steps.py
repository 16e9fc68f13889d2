"""Steps that explore promotion and handover."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when

from trefoilpulley_standins.explore import BUDGETS
from trefoilpulley_standins.explore import explore
from trefoilpulley_standins.explore import Rule

STATES_LIMIT = 60_000


class CoordinationExploreSteps:
    """Steps on the states within a bound."""

    @staticmethod
    @when('the coordination is explored within the bound "{bound}"')
    def explore_rule(context: Any, bound: str) -> None:
        """Explore the product's rules."""
        context.found = explore(BUDGETS[bound], STATES_LIMIT)

    @staticmethod
    @when(
        'the coordination with the fault "{fault}" is explored within the '
        'bound "{bound}" for "{rule}"'
    )
    def explore_fault(context: Any, fault: str, bound: str, rule: str) -> None:
        """Explore a faulty copy of a rule."""
        context.found = explore(
            BUDGETS[bound], STATES_LIMIT, fault, Rule(rule)
        )

    @staticmethod
    @then('the exploration has seen every state')
    def check_whole(context: Any) -> None:
        """Expect that the bound was exhausted."""
        assert context.found.is_complete

    @staticmethod
    @then('it has seen a change of primary')
    def check_change(context: Any) -> None:
        """Expect states that the rules are about."""
        assert context.found.primary_change_count > 0

    @staticmethod
    @then('no rule of the exploration is broken')
    def check_sound(context: Any) -> None:
        """Expect every rule to hold."""
        assert not context.found.broken_rules, context.found

    @staticmethod
    @then('the exploration breaks the rule "{rule}"')
    def check_broken(context: Any, rule: str) -> None:
        """Expect the breach that the fault must lead to."""
        assert Rule(rule) in context.found.broken_rules, context.found
