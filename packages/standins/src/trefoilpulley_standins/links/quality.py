"""Delays on a simulated link, without I/O or a clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

RETRANSMISSION_DELAY_MS = 200.0
"""Delay that the retransmission of a lost packet adds, in milliseconds."""

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ZonePair:
    """Direction from one zone to another."""

    source: str
    """Sending zone."""

    target: str
    """Receiving zone."""

    @property
    def reversed(self) -> ZonePair:
        """Opposite direction."""
        return ZonePair(self.target, self.source)


@dataclass(frozen=True, slots=True)
class Quality:
    """Delay, jitter and loss of one direction between two zones."""

    pair: ZonePair
    """Direction that the values apply to."""

    one_way_ms: float = 0.0
    """Least one-way delay, in milliseconds."""

    jitter_ms: float = 0.0
    """Upper bound of the random delay that is added, in milliseconds."""

    loss: float = 0.0
    """Probability from 0 to 1 that a packet is retransmitted."""


class DeliverySchedule:
    """Arrival times in one direction of a connection, in sending order.

    Parameters
    ----------
    rng : random.Random
        Random number generator of the jitter and loss.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._last_arrival_at = 0.0

    def arrival_at(self, quality: Quality, now: float) -> float:
        """Return the time at which data sent at ``now`` arrives.

        Data never arrives before data that was sent earlier, as in TCP.
        """
        delay_ms = quality.one_way_ms
        delay_ms += self._rng.random() * quality.jitter_ms
        if self._rng.random() < quality.loss:
            delay_ms += RETRANSMISSION_DELAY_MS
        self._last_arrival_at = max(
            self._last_arrival_at, now + delay_ms / _MS_PER_S
        )
        return self._last_arrival_at
