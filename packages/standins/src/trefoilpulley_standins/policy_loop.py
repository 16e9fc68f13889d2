"""Virtual clock that runs generators as processes."""

from __future__ import annotations

import heapq
import itertools
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator


class Future:
    """Value that a process waits for; the first one set counts."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self._waiter: Generator[Any, Any, Any] | None = None
        self.is_done = False
        """Whether the value is there."""

        self.value: Any = None
        """Value, once set."""

    def set_result(self, value: Any = None) -> None:
        """Set the value and wake the process."""
        if self.is_done:
            return
        self.is_done = True
        self.value = value
        if self._waiter is not None:
            self._loop.resume(self._waiter, value)

    def add_waiter(self, process: Generator[Any, Any, Any]) -> None:
        """Wake a process once the value is there."""
        if self.is_done:
            self._loop.resume(process, self.value)
        self._waiter = process


class VirtualLoop:
    """Runs callbacks and processes in the order of their virtual time.

    A process yields a number of seconds to sleep, or a `Signal`.
    """

    def __init__(self) -> None:
        self.now = 0.0
        """Virtual time in seconds."""

        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Call back at a time."""
        entry = (max(at, self.now), next(self._order), callback)
        heapq.heappush(self._events, entry)

    def spawn(self, process: Generator[Any, Any, Any]) -> None:
        """Start a process now."""
        self.resume(process, None)

    def resume(self, process: Generator[Any, Any, Any], value: Any) -> None:
        """Run a process to its next wait, from a callback of its own."""
        self.call_at(self.now, lambda: self._step(process, value))

    def run_until(self, end: float) -> None:
        """Run everything that is due up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def _step(self, process: Generator[Any, Any, Any], value: Any) -> None:
        try:
            awaited = process.send(value)
        except StopIteration:
            return
        if isinstance(awaited, Future):
            awaited.add_waiter(process)
            return
        self.call_at(self.now + awaited, lambda: self._step(process, None))
