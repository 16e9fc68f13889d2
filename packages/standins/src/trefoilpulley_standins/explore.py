"""Exhaustive exploration of promotion and handover within a bound.

``python -m trefoilpulley_standins.explore`` tries every order of the
steps of two coordinators, three members, one outage and lost answers,
and states how many states it has seen and which rules held.
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
from trefoilpulley_standins.explore_state import Budget
from trefoilpulley_standins.explore_state import ExploredState
from trefoilpulley_standins.explore_steps import next_states

STATES_LIMIT = 3_000_000
"""States after which an exploration gives up."""

_NOWHERE = Endpoint('127.0.0.1', 1)


class Rule(StrEnum):
    """What must hold in every state."""

    ONE_LEAD = 'one-lead'
    """At most one member collects a majority for a term."""

    NOTHING_LOST = 'nothing-lost'
    """The primary of the highest term that collected a majority holds
    every acknowledged write."""

    NO_LATE_ACKNOWLEDGEMENT = 'no-late-acknowledgement'
    """No write is acknowledged once a later term has its majority."""


@dataclass(slots=True)
class Exploration:
    """Outcome of an exploration."""

    states: int = 0
    """States seen."""

    acknowledged: int = 0
    """States with an acknowledged write."""

    changed: int = 0
    """States in which a later term has its majority."""

    is_whole: bool = True
    """Whether every state within the bound was seen."""

    broken: set[Rule] = field(default_factory=set)
    """Rules that did not hold."""


BUDGETS = {
    'small': Budget(starts=(1, 0), losses=0, ticks=0),
    'repeated': Budget(starts=(1, 0), ticks=1),
    'without-writes': Budget(writes=0, losses=0, ticks=0),
    'two-coordinators': Budget(losses=0, ticks=0),
    'two-and-lost-answer': Budget(ticks=0),
    'handover': Budget(
        starts=(0, 0), handovers=1, losses=1, outages=1, ticks=1
    ),
    'handover-and-promotion': Budget(
        starts=(0, 1), handovers=1, losses=0, outages=1, ticks=0
    ),
}
"""Bounds by name."""


class _Seen:
    """States seen, told apart exactly and kept small.

    Equal parts of states share a number, so that a state costs a few
    numbers and no two states are taken for one by their hash.
    """

    def __init__(self) -> None:
        self._numbers: dict[Any, int] = {}
        self._states: set[tuple[int, ...]] = set()

    def __len__(self) -> int:
        """Return the number of states."""
        return len(self._states)

    def add(self, state: ExploredState) -> bool:
        """Note a state; false where it was seen before."""
        key = tuple(
            self._numbers.setdefault(part, len(self._numbers))
            for part in state.key()
        )
        if key in self._states:
            return False
        self._states.add(key)
        return True


def explore(
    budget: Budget,
    limit: int = STATES_LIMIT,
    fault: str = '',
    sought: Rule | None = None,
) -> Exploration:
    """Visit every state within a bound.

    Parameters
    ----------
    budget : Budget
        Events that may happen.
    limit : int
        States after which to give up.
    fault : str
        Name of the faulty copy of a rule to use; none by default.
    sought : Rule, optional
        Rule whose first breach ends the exploration.

    Returns
    -------
    Exploration
        States seen and rules broken.
    """
    found = Exploration()
    first = make_first_state(budget, fault)
    seen = _Seen()
    seen.add(first)
    pending = deque((first,))
    while pending:
        state = pending.popleft()
        _judge(state, found)
        if sought in found.broken:
            return found
        pending.extend(n for n in next_states(state) if seen.add(n))
        if len(seen) >= limit:
            found.is_whole = False
            return found
    return found


def make_first_state(budget: Budget, fault: str = '') -> ExploredState:
    """Return the state before the first step."""
    entry = DatabaseEntry(
        'ledger/0',
        'ledger',
        tuple(MemberEntry(n, n, _NOWHERE, 2, 16) for n in ('a', 'b', 'c')),
    )
    members = {
        m.name: ModelMember(m.name, m.zone, primary='a', contact_at=0.0)
        for m in entry.members
    }
    members['a'].lead(1)
    kind = FAULTY_RULES[fault] if fault else ExploredState
    return kind(entry, members, budget)


def _judge(state: ExploredState, found: Exploration) -> None:
    found.states += 1
    found.acknowledged += bool(state.acknowledged)
    found.changed += any(term > 1 for term, _ in state.leads)
    terms = [term for term, _ in state.leads]
    if len(terms) != len(set(terms)):
        found.broken.add(Rule.ONE_LEAD)
    if state.late:
        found.broken.add(Rule.NO_LATE_ACKNOWLEDGEMENT)
    if _is_anything_lost(state):
        found.broken.add(Rule.NOTHING_LOST)


def _is_anything_lost(state: ExploredState) -> bool:
    leaders = [m for m in state.members.values() if m.is_primary]
    for leader in leaders:
        if (leader.term, leader.name) not in state.leads:
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
@click.option('--limit', default=STATES_LIMIT, help='Most states to see.')
def main(bound: tuple[str, ...], limit: int) -> None:
    """Explore and print the states seen and the rules held."""
    is_broken = False
    for name in bound or tuple(BUDGETS):
        found = explore(BUDGETS[name], limit)
        is_broken |= bool(found.broken) or not found.is_whole
        held = sorted(r for r in Rule if r not in found.broken)
        click.echo(
            f'{name}: {found.states} states'
            f' ({"all" if found.is_whole else "cut short"}),'
            f' {found.acknowledged} with an acknowledged write,'
            f' {found.changed} after a change of primary;'
            f' held: {", ".join(held)};'
            f' broken: {", ".join(sorted(found.broken)) or "none"}'
        )
    raise SystemExit(is_broken)


if __name__ == '__main__':
    main()
