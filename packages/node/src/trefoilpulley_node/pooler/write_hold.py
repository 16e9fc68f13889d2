"""Hold of the writes of one member during a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock


class WriteHold:
    """Hold that ends by itself.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._handover_id = ''
        self._until = float('-inf')

    @property
    def is_active(self) -> bool:
        """Whether writes are held."""
        return self._clock.now() < self._until

    def begin(self, handover_id: str, hold_s: float) -> bool:
        """Hold writes; false where another handover holds them."""
        if self.is_active and self._handover_id != handover_id:
            return False
        self._handover_id = handover_id
        self._until = self._clock.now() + hold_s
        return True

    def end(self, handover_id: str) -> None:
        """End the hold of a handover."""
        if handover_id == self._handover_id:
            self._until = float('-inf')
