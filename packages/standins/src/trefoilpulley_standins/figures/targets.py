"""Targets that the figures must meet."""

from __future__ import annotations

from dataclasses import dataclass
import operator
import statistics
from typing import TYPE_CHECKING

from trefoilpulley_standins.deployment import DEPLOYMENTS
from trefoilpulley_standins.starting import load_declarations

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class Target:
    """Bounds of the values of a figure."""

    figure: str
    """Prefix of the figure's name."""

    worst: float
    """Bound for the worst value."""

    median: float | None = None
    """Bound for the median; ``None`` if there is none."""

    is_minimum: bool = False
    """Whether the bounds are minimums; otherwise they are maximums."""

    def worst_value(self, values: list[float]) -> float:
        """Return the value that is worst for this target."""
        return min(values) if self.is_minimum else max(values)

    def is_met(self, values: list[float | None]) -> bool:
        """Return whether the values meet the target; ``None`` never does."""
        if any(v is None for v in values):
            return False
        return self._comparison(self.worst_value(values), self.worst) and (
            self.median is None
            or self._comparison(statistics.median(values), self.median)
        )

    @property
    def _comparison(self) -> Callable[[float, float], bool]:
        return operator.ge if self.is_minimum else operator.le

    def __str__(self) -> str:
        """Return the text of the target for the table."""
        sign = '≥' if self.is_minimum else '≤'
        worst = f'{sign} {self.worst:g}'
        if self.median is None:
            return worst
        return f'median {sign} {self.median:g}, {worst}'


TARGETS = (
    Target('failover gap s, service up', 6.0, 1.5),
    Target('failover gap s, service out', 6.0),
    *(
        Target(f'{move}, {bound[0]}', bound[1])
        for move in (
            'planned stop',
            'return after planned stop',
            'return after cut',
            'return after death',
            'return after pause',
        )
        for bound in (('gap s', 0.25), ('requests cut', 0))
    ),
    *(
        Target(count, 0)
        for count in (
            'lost',
            'doubled',
            'mixed',
            'false not run',
            'read-your-writes violations',
            'stale beyond age',
        )
    ),
    Target('reads at replicas, aged', 0.95, is_minimum=True),
    Target('reads at replicas, own write', 0.85, is_minimum=True),
    Target('configuration in force s', 2.0),
    Target('leaving', 2.0),
)
"""Targets; the first one with a matching prefix applies to a figure."""


def find_target(deployment: str, figure: str) -> Target | None:
    """Return the target of a figure; ``None`` if it has no target."""
    if figure.startswith('in time, '):
        return _target_of_class(deployment, figure)
    return next((t for t in TARGETS if figure.startswith(t.figure)), None)


def _target_of_class(deployment: str, figure: str) -> Target:
    found = next(d for d in DEPLOYMENTS if d.name == deployment)
    name = figure.rpartition(', ')[2]
    work_class = load_declarations(found).find_class(name)
    return Target(figure, work_class.promptness.share, is_minimum=True)
