"""Terms of the sums on the capacity page."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_standins.measure.slopes import Recorded

MS_PER_S_TO_PERCENT = 0.1
"""Percent of a core that one millisecond per second is."""


class Term(abc.ABC):
    """Term of a row's sum."""

    @abc.abstractmethod
    def value(self, recorded: Recorded) -> float:
        """Return the value of the term."""

    @abc.abstractmethod
    def text(self, recorded: Recorded) -> str:
        """Return the calculation of the value as text."""


@dataclass(frozen=True, slots=True)
class SlopeTerm(Term):
    """Value of a recorded slope at a size."""

    key: str
    """Key of the slope."""

    size: float
    """Size at which the slope is evaluated."""

    size_unit: str
    """Unit of the size."""

    factor: float = 1.0
    """Factor by which the value is multiplied."""

    factor_unit: str = ''
    """Unit of the factor."""

    has_base: bool = True
    """Whether the value of the line at size 0 is included."""

    is_rate_of_ms: bool = False
    """Whether to convert milliseconds per second to percent of a core."""

    def value(self, recorded: Recorded) -> float:
        """Return the value of the term."""
        line = recorded.slope(self.key)
        base = line.base if self.has_base else 0.0
        return self._scale * (base + line.slope * self.size)

    def text(self, recorded: Recorded) -> str:
        """Return the calculation of the value as text."""
        line = recorded.slope(self.key)
        product = f'{format_figure(line.slope)} × {format_figure(self.size)}'
        product = f'{product} {self.size_unit}'
        if self.has_base:
            product = f'{format_figure(line.base)} + {product}'
        if self.has_base or self.factor != 1.0:
            product = f'({product})'
        if self.factor != 1.0:
            product = (
                f'{_format_factor(self.factor, self.factor_unit)} × {product}'
            )
        return (
            f'{product}{_percent_conversion(self.is_rate_of_ms)} [{self.key}]'
        )

    def size_at(self, recorded: Recorded, value: float) -> float | None:
        """Return the size at which the term reaches a value.

        Returns ``None`` if the slope does not rise.
        """
        line = recorded.slope(self.key)
        if line.slope <= 0:
            return None
        base = line.base if self.has_base else 0.0
        return (value / self._scale - base) / line.slope

    @property
    def _scale(self) -> float:
        return self.factor * (
            MS_PER_S_TO_PERCENT if self.is_rate_of_ms else 1.0
        )


@dataclass(frozen=True, slots=True)
class FigureTerm(Term):
    """Recorded figure of a single size, multiplied by a factor."""

    key: str
    """Key of the figure."""

    factor: float
    """Factor by which the figure is multiplied."""

    factor_unit: str
    """Unit of the factor."""

    is_rate_of_ms: bool = False
    """Whether to convert milliseconds per second to percent of a core."""

    def value(self, recorded: Recorded) -> float:
        """Return the value of the term."""
        scale = MS_PER_S_TO_PERCENT if self.is_rate_of_ms else 1.0
        return self.factor * scale * recorded.figure(self.key).value

    def text(self, recorded: Recorded) -> str:
        """Return the calculation of the value as text."""
        value = format_figure(recorded.figure(self.key).value)
        product = f'{_format_factor(self.factor, self.factor_unit)} × {value}'
        return (
            f'{product}{_percent_conversion(self.is_rate_of_ms)} [{self.key}]'
        )


@dataclass(frozen=True, slots=True)
class ConstantTerm(Term):
    """Value that follows from constants of the code and the target size."""

    amount: float
    """Value of the term."""

    arithmetic: str
    """Calculation of the value, as shown on the page."""

    is_estimate: bool = False
    """Whether the value is an estimate."""

    def value(self, recorded: Recorded) -> float:
        """Return the value of the term."""
        return self.amount

    def text(self, recorded: Recorded) -> str:
        """Return the calculation of the value as text."""
        return (
            f'guess: {self.arithmetic}'
            if self.is_estimate
            else (self.arithmetic)
        )


def format_figure(value: float) -> str:
    """Return a figure as text with three digits."""
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _percent_conversion(is_rate_of_ms: bool) -> str:
    return ' ms / 10 ms for a percent' if is_rate_of_ms else ''


def _format_factor(factor: float, factor_unit: str) -> str:
    return f'{format_figure(factor)} {factor_unit}'.strip()
