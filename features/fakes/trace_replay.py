"""Replay of recorded traces with their expected outcomes."""

from __future__ import annotations

import abc
import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

from cattrs import structure

if TYPE_CHECKING:
    from trefoilpulley_standins.membership_fleet import Fleet

TRACES = Path(__file__).parents[1] / 'traces'
"""Directory of the traces."""


class TraceReplay(abc.ABC):
    """Replays one trace and checks its outcomes at their times.

    Parameters
    ----------
    folder : str
        Name of the directory of the traces.
    event_type : type
        Data class of the events. The method ``_on_<event>`` handles an
        event, with underscores for hyphens.
    outcome_type : type
        Data class of the outcomes.
    fleet : Fleet
        Hosts on the virtual clock.
    """

    def __init__(
        self, folder: str, event_type: type, outcome_type: type, fleet: Fleet
    ) -> None:
        self._folder = TRACES / folder
        self._event_type = event_type
        self._outcome_type = outcome_type
        self.fleet = fleet
        """Hosts on the virtual clock."""

        self.failed_outcomes: list[Any] = []
        """Outcomes that did not hold at their time."""

        self.checked_count = 0
        """Number of outcomes that were checked."""

    @abc.abstractmethod
    def holds(self, outcome: Any) -> bool:
        """Return whether an outcome holds at the current time."""

    def replay(self, name: str) -> None:
        """Replay the trace with the given name."""
        trace = self._load(f'{name}.jsonl', self._event_type)
        outcomes = self._load(f'{name}.outcomes.jsonl', self._outcome_type)
        for step in sorted((*trace, *outcomes), key=lambda s: s.time):
            self.fleet.run(step.time - self.fleet.now)
            if isinstance(step, self._outcome_type):
                self._check(step)
            else:
                getattr(self, f'_on_{step.event.replace("-", "_")}')(step)

    def check_outcomes(self) -> None:
        """Check that there are outcomes and that all of them hold."""
        assert self.checked_count
        assert not self.failed_outcomes, self.failed_outcomes

    def _check(self, outcome: Any) -> None:
        self.checked_count += 1
        if not self.holds(outcome):
            self.failed_outcomes.append(outcome)

    def _load(self, name: str, kind: type) -> tuple[Any, ...]:
        lines = (self._folder / name).read_text(encoding='utf-8').splitlines()
        return tuple(structure(json.loads(line), kind) for line in lines)
