"""Faults of the service that a test orders."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Order:
    """One order to the service; fields that are left out change nothing."""

    is_down: bool | None = None
    """Whether connections are refused in every zone."""

    slow_ms: float | None = None
    """Time added to each call, in milliseconds."""

    lose_answers: int | None = None
    """Writes whose answers are lost after they took effect."""

    lose_prefix: str = ''
    """Keys whose writes lose their answers; empty for every key."""

    cut_zones: tuple[str, ...] | None = None
    """Zones whose calls get no answer and have no effect."""

    lapse_key: str | None = None
    """Key whose lease ends at once."""


@dataclass(slots=True)
class Faults:
    """Faults in force."""

    is_down: bool = False
    """Whether connections are refused in every zone."""

    slow_ms: float = 0.0
    """Time added to each call, in milliseconds."""

    lose_answers: int = 0
    """Writes that still lose their answers."""

    lose_prefix: bytes = b''
    """Keys whose writes lose their answers."""

    cut_zones: frozenset[str] = field(default_factory=frozenset)
    """Zones whose calls get no answer."""

    def apply_order(self, order: Order) -> None:
        """Put an order in force."""
        if order.is_down is not None:
            self.is_down = order.is_down
        if order.slow_ms is not None:
            self.slow_ms = order.slow_ms
        if order.lose_answers is not None:
            self.lose_answers = order.lose_answers
            self.lose_prefix = order.lose_prefix.encode()
        if order.cut_zones is not None:
            self.cut_zones = frozenset(order.cut_zones)

    def try_lose_answer(self, keys: tuple[bytes, ...]) -> bool:
        """Return whether the answer to a write of keys is lost."""
        if not self.lose_answers:
            return False
        if not any(key.startswith(self.lose_prefix) for key in keys):
            return False
        self.lose_answers -= 1
        return True
