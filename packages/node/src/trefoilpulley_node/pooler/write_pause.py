"""Pauses the writes of one member during a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock


class WritePause:
    """Pause of writes that belongs to one handover and has a time limit.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._handover_id = ''
        self._paused_until = float('-inf')

    @property
    def is_active(self) -> bool:
        """Whether writes are currently paused."""
        return self._clock.now() < self._paused_until

    def try_begin(self, handover_id: str, pause_s: float) -> bool:
        """Start or extend the pause.

        Returns
        -------
        bool
            False if another handover has paused the writes.
        """
        if self.is_active and self._handover_id != handover_id:
            return False
        self._handover_id = handover_id
        self._paused_until = self._clock.now() + pause_s
        return True

    def end(self, handover_id: str) -> None:
        """End the pause if the pause belongs to the handover."""
        if handover_id == self._handover_id:
            self._paused_until = float('-inf')
