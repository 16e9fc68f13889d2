"""Delay of what crosses a link, without I/O or a clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

RETRANSMISSION_DELAY_MS = 200.0
"""Time that the retransmission of a lost packet adds, in milliseconds."""

_MS = 1000


@dataclass(frozen=True, slots=True)
class ZonePair:
    """Ordered pair of zones."""

    source: str
    """Zone that sends."""

    target: str
    """Zone that receives."""

    @property
    def reversed(self) -> ZonePair:
        """The pair of the other direction."""
        return ZonePair(self.target, self.source)


@dataclass(frozen=True, slots=True)
class Quality:
    """How one direction between two zones behaves."""

    pair: ZonePair
    """Direction."""

    one_way_ms: float = 0.0
    """Least delay in milliseconds."""

    jitter_ms: float = 0.0
    """Greatest delay added at random, in milliseconds."""

    loss: float = 0.0
    """Share of the packets that are sent again."""


class DeliverySchedule:
    """Times of arrival in one direction of one connection, in order.

    Parameters
    ----------
    rng : random.Random
        Source of jitter and loss.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_due = 0.0

    def arrival_at(self, quality: Quality, now: float) -> float:
        """Return when data sent now arrives."""
        delay_ms = quality.one_way_ms
        delay_ms += self._rng.random() * quality.jitter_ms
        if self._rng.random() < quality.loss:
            delay_ms += RETRANSMISSION_DELAY_MS
        self._last_due = max(self._last_due, now + delay_ms / _MS)
        return self._last_due
