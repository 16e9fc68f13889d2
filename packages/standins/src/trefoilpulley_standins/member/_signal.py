"""Signal that wakes every waiting greenlet."""

from __future__ import annotations

from gevent.event import Event


class Signal:
    """Wakes all waiters at each call of `fire`."""

    def __init__(self) -> None:
        self._event = Event()

    def fire(self) -> None:
        """Wake every waiter."""
        fired, self._event = self._event, Event()
        fired.set()

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next call of `fire`; return false after the timeout."""
        return self._event.wait(timeout_s)
