"""Bounded model checking of promotion and handover.

``python -m trefoilpulley_standins.explore`` visits every state that
two coordinators and three members can reach within a bound on writes,
outages and lost answers. The command prints the number of states and
the rules that held in all of them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Any

import click

from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_standins.explore_faults import FAULTY_RULES
from trefoilpulley_standins.explore_member import ModelMember
from trefoilpulley_standins.explore_state import EventBudget
from trefoilpulley_standins.explore_state import ExploredState
from trefoilpulley_standins.explore_steps import next_states

MAX_STATES = 3_000_000
"""Number of states after which an exploration stops unfinished."""

_UNUSED_ENDPOINT = Endpoint('127.0.0.1', 1)


class Rule(StrEnum):
    """Rule that must hold in every state."""

    ONE_PRIMARY_PER_TERM = 'one-lead'
    """At most one member obtains a majority for a term."""

    NO_LOST_WRITE = 'nothing-lost'
    """Each primary with a majority holds every write that was acknowledged
    in an earlier term."""

    NO_LATE_ACKNOWLEDGEMENT = 'no-late-acknowledgement'
    """No write of a term is acknowledged after a later term has a majority."""


@dataclass(slots=True)
class Exploration:
    """Result of an exploration."""

    state_count: int = 0
    """Number of visited states."""

    acknowledged_count: int = 0
    """Number of states with an acknowledged write."""

    primary_change_count: int = 0
    """Number of states in which a term after the first has a majority."""

    is_complete: bool = True
    """Whether every state within the bound was visited."""

    broken_rules: set[Rule] = field(default_factory=set)
    """Rules that at least one state violates."""


BUDGETS = {
    'small': EventBudget(starts=(1, 0), call_timeouts=0, ticks=0),
    'repeated': EventBudget(starts=(1, 0), ticks=1),
    'without-writes': EventBudget(writes=0, call_timeouts=0, ticks=0),
    'two-coordinators': EventBudget(call_timeouts=0, ticks=0),
    'two-and-lost-answer': EventBudget(ticks=0),
    'handover': EventBudget(
        starts=(0, 0),
        handovers=1,
        call_timeouts=1,
        outages=1,
        ticks=1,
    ),
    'handover-and-promotion': EventBudget(
        starts=(0, 1),
        handovers=1,
        call_timeouts=0,
        outages=1,
        ticks=0,
    ),
}
"""Bounds of the explorations, by name."""


class _VisitedStates:
    """Compact set of the visited states.

    Each distinct part of a state is stored once and replaced by a number,
    so that a state takes little memory. States are compared exactly, not
    by a hash that could make two different states look equal.
    """

    def __init__(self) -> None:
        self._numbers: dict[Any, int] = {}
        self._states: set[tuple[int, ...]] = set()

    def __len__(self) -> int:
        """Return the number of states."""
        return len(self._states)

    def add(self, state: ExploredState) -> bool:
        """Add a state; return whether the state is new."""
        key = tuple(
            self._numbers.setdefault(part, len(self._numbers))
            for part in state.key()
        )
        if key in self._states:
            return False
        self._states.add(key)
        return True


def explore(
    budget: EventBudget,
    limit: int = MAX_STATES,
    fault: str = '',
    target_rule: Rule | None = None,
) -> Exploration:
    """Visit every state within a bound.

    Parameters
    ----------
    budget : EventBudget
        Bound on the events.
    limit : int
        Number of states after which to stop.
    fault : str
        Name of the deliberate fault to use; none by default.
    sought : Rule, optional
        Rule whose first violation ends the exploration.

    Returns
    -------
    Exploration
        Counts of the visited states, and the violated rules.
    """
    exploration = Exploration()
    first = make_initial_state(budget, fault)
    visited = _VisitedStates()
    visited.add(first)
    pending = deque((first,))
    while pending:
        state = pending.popleft()
        _check_rules(state, exploration)
        if target_rule in exploration.broken_rules:
            return exploration
        pending.extend(n for n in next_states(state) if visited.add(n))
        if len(visited) >= limit:
            exploration.is_complete = False
            return exploration
    return exploration


def make_initial_state(budget: EventBudget, fault: str = '') -> ExploredState:
    """Return the state before the first step."""
    entry = DatabaseEntry(
        'ledger/0',
        'ledger',
        tuple(
            MemberEntry(n, n, _UNUSED_ENDPOINT, 2, 16) for n in ('a', 'b', 'c')
        ),
    )
    members = {
        m.name: ModelMember(m.name, m.zone, primary='a', last_contact_at=0.0)
        for m in entry.members
    }
    members['a'].start_term(1)
    state_type = FAULTY_RULES[fault] if fault else ExploredState
    return state_type(entry, members, budget)


def _check_rules(state: ExploredState, exploration: Exploration) -> None:
    exploration.state_count += 1
    exploration.acknowledged_count += bool(state.acknowledged)
    exploration.primary_change_count += any(
        term > 1 for term, _ in state.majorities
    )
    terms = [term for term, _ in state.majorities]
    if len(terms) != len(set(terms)):
        exploration.broken_rules.add(Rule.ONE_PRIMARY_PER_TERM)
    if state.late_acknowledged:
        exploration.broken_rules.add(Rule.NO_LATE_ACKNOWLEDGEMENT)
    if _has_lost_write(state):
        exploration.broken_rules.add(Rule.NO_LOST_WRITE)


def _has_lost_write(state: ExploredState) -> bool:
    leaders = [m for m in state.members.values() if m.is_primary]
    for leader in leaders:
        if (leader.term, leader.name) not in state.majorities:
            continue
        held = {entry.value for entry in leader.log}
        older = [
            w for w in state.acknowledged if w.position.term < leader.term
        ]
        if any(w.value not in held for w in older):
            return True
    return False


@click.command()
@click.option(
    '--bound',
    type=click.Choice(sorted(BUDGETS)),
    multiple=True,
    help='Bound to explore; all of them by default.',
)
@click.option(
    '--limit', default=MAX_STATES, help='Maximum number of states to visit.'
)
def main(bound: tuple[str, ...], limit: int) -> None:
    """Explore the bounds and print the states and the rules that held."""
    is_broken = False
    for name in bound or tuple(BUDGETS):
        exploration = explore(BUDGETS[name], limit)
        is_broken |= (
            bool(exploration.broken_rules) or not exploration.is_complete
        )
        held = sorted(r for r in Rule if r not in exploration.broken_rules)
        click.echo(
            f'{name}: {exploration.state_count} states'
            f' ({"all" if exploration.is_complete else "cut short"}),'
            f' {exploration.acknowledged_count} with an acknowledged write,'
            f' {exploration.primary_change_count} after a change of primary;'
            f' held: {", ".join(held)};'
            f' broken: {", ".join(sorted(exploration.broken_rules)) or "none"}'
        )
    raise SystemExit(is_broken)


if __name__ == '__main__':
    main()
