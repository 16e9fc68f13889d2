"""Holds back the writes of one member during a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock


class WriteHold:
    """Hold on writes that belongs to one handover and expires in time.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._handover_id = ''
        self._held_until = float('-inf')

    @property
    def is_active(self) -> bool:
        """Whether writes are currently held."""
        return self._clock.now() < self._held_until

    def try_begin(self, handover_id: str, hold_s: float) -> bool:
        """Start or extend a hold.

        Returns
        -------
        bool
            False if another handover holds the writes.
        """
        if self.is_active and self._handover_id != handover_id:
            return False
        self._handover_id = handover_id
        self._held_until = self._clock.now() + hold_s
        return True

    def end(self, handover_id: str) -> None:
        """End the hold if it belongs to the handover."""
        if handover_id == self._handover_id:
            self._held_until = float('-inf')
