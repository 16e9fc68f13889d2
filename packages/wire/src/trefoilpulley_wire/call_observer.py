"""Interface of what observes the calls on a channel."""

from __future__ import annotations

import abc


class CallObserver(abc.ABC):
    """Is told of the start and the end of each call on a channel."""

    @abc.abstractmethod
    def on_call(self) -> float | None:
        """Return the start time of a call in seconds.

        ``None`` if the end of the call is not to be reported.
        """

    @abc.abstractmethod
    def on_call_ended(self, started_at: float, is_answered: bool) -> None:
        """Handle the end of a call that started at a time in seconds."""
