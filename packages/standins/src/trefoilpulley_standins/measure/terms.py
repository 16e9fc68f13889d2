"""Terms of the arithmetic on the page of capacity."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_standins.measure.slopes import Recorded

MS_TO_PERCENT = 0.1
"""Percent of a core that a millisecond a second is."""


class Term(abc.ABC):
    """One summand."""

    @abc.abstractmethod
    def value(self, recorded: Recorded) -> float:
        """Return the summand."""

    @abc.abstractmethod
    def text(self, recorded: Recorded) -> str:
        """Return the summand's arithmetic."""


@dataclass(frozen=True, slots=True)
class Line(Term):
    """A slope at a size."""

    key: str
    """Key of the slope."""

    size: float
    """Size."""

    of: str
    """What the size counts."""

    factor: float = 1.0
    """Factor of the whole."""

    per: str = ''
    """What the factor is."""

    has_base: bool = True
    """Whether the line's figure at 0 counts."""

    is_rate_of_ms: bool = False
    """Whether milliseconds a second become percent of a core."""

    def value(self, recorded: Recorded) -> float:
        """Return the summand."""
        found = recorded.slope(self.key)
        base = found.base if self.has_base else 0.0
        return self._scale * (base + found.slope * self.size)

    def text(self, recorded: Recorded) -> str:
        """Return the summand's arithmetic."""
        found = recorded.slope(self.key)
        risen = f'{format_figure(found.slope)} × {format_figure(self.size)}'
        risen = f'{risen} {self.of}'
        if self.has_base:
            risen = f'{format_figure(found.base)} + {risen}'
        if self.has_base or self.factor != 1.0:
            risen = f'({risen})'
        if self.factor != 1.0:
            risen = f'{_times(self.factor, self.per)} × {risen}'
        return f'{risen}{_to_percent(self.is_rate_of_ms)} [{self.key}]'

    def size_at(self, recorded: Recorded, value: float) -> float | None:
        """Return the size at which the summand has a value."""
        found = recorded.slope(self.key)
        if found.slope <= 0:
            return None
        base = found.base if self.has_base else 0.0
        return (value / self._scale - base) / found.slope

    @property
    def _scale(self) -> float:
        return self.factor * (MS_TO_PERCENT if self.is_rate_of_ms else 1.0)


@dataclass(frozen=True, slots=True)
class Single(Term):
    """A figure of one size, so many times."""

    key: str
    """Key of the figure."""

    factor: float
    """Factor."""

    per: str
    """What the factor is."""

    is_rate_of_ms: bool = False
    """Whether milliseconds a second become percent of a core."""

    def value(self, recorded: Recorded) -> float:
        """Return the summand."""
        scale = MS_TO_PERCENT if self.is_rate_of_ms else 1.0
        return self.factor * scale * recorded.figure(self.key).value

    def text(self, recorded: Recorded) -> str:
        """Return the summand's arithmetic."""
        value = format_figure(recorded.figure(self.key).value)
        risen = f'{_times(self.factor, self.per)} × {value}'
        return f'{risen}{_to_percent(self.is_rate_of_ms)} [{self.key}]'


@dataclass(frozen=True, slots=True)
class Stated(Term):
    """A count that follows from constants of the code and the size."""

    amount: float
    """Summand."""

    arithmetic: str
    """How it comes about."""

    is_guess: bool = False
    """Whether it rests on a guess."""

    def value(self, recorded: Recorded) -> float:
        """Return the summand."""
        return self.amount

    def text(self, recorded: Recorded) -> str:
        """Return the summand's arithmetic."""
        return (
            f'guess: {self.arithmetic}' if self.is_guess else (self.arithmetic)
        )


def format_figure(value: float) -> str:
    """Return a figure with three digits."""
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _to_percent(is_rate_of_ms: bool) -> str:
    return ' ms / 10 ms for a percent' if is_rate_of_ms else ''


def _times(factor: float, per: str) -> str:
    return f'{format_figure(factor)} {per}'.strip()
