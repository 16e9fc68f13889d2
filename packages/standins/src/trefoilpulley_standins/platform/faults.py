"""Injected faults of the simulated service."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Order:
    """Change of the injected faults; omitted fields change nothing."""

    is_down: bool | None = None
    """Whether connections are refused in every zone."""

    slow_ms: float | None = None
    """Time added to each call, in milliseconds."""

    lose_answers: int | None = None
    """Number of writes that take effect but get no response."""

    lose_prefix: str = ''
    """Prefix of the keys whose writes get no response; empty for all."""

    cut_zones: tuple[str, ...] | None = None
    """Zones whose calls get no response and have no effect."""

    lapse_key: str | None = None
    """Key whose lease is revoked at once."""


@dataclass(slots=True)
class Faults:
    """Injected faults that are in effect."""

    is_down: bool = False
    """Whether connections are refused in every zone."""

    slow_ms: float = 0.0
    """Time added to each call, in milliseconds."""

    lose_answers: int = 0
    """Number of further writes that get no response."""

    lose_prefix: bytes = b''
    """Prefix of the keys whose writes get no response."""

    cut_zones: frozenset[str] = field(default_factory=frozenset)
    """Zones whose calls get no response."""

    def apply_order(self, order: Order) -> None:
        """Apply the fields of an order that are set."""
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
        """Return whether the response to a write is lost.

        Each lost response decrements the number of writes that lose theirs.
        """
        if not self.lose_answers:
            return False
        if not any(key.startswith(self.lose_prefix) for key in keys):
            return False
        self.lose_answers -= 1
        return True
