"""Virtual clock that runs generators as processes."""

from __future__ import annotations

import heapq
import itertools
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator


class Signal:
    """Value that a process waits for; the first one set counts."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self._waiting: Generator[Any, Any, Any] | None = None
        self.is_set = False
        """Whether the value is there."""

        self.value: Any = None
        """Value, once set."""

    def set(self, value: Any = None) -> None:
        """Set the value and wake the process."""
        if self.is_set:
            return
        self.is_set = True
        self.value = value
        if self._waiting is not None:
            self._loop.resume(self._waiting, value)

    def add(self, process: Generator[Any, Any, Any]) -> None:
        """Wake a process once the value is there."""
        if self.is_set:
            self._loop.resume(process, self.value)
        self._waiting = process


class VirtualLoop:
    """Runs callbacks and processes in the order of their virtual time.

    A process yields a number of seconds to sleep, or a `Signal`.
    """

    def __init__(self) -> None:
        self.now = 0.0
        """Virtual time in seconds."""

        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Call back at a time."""
        entry = (max(at, self.now), next(self._order), call)
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
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def _step(self, process: Generator[Any, Any, Any], value: Any) -> None:
        try:
            wanted = process.send(value)
        except StopIteration:
            return
        if isinstance(wanted, Signal):
            wanted.add(process)
            return
        self.call_at(self.now + wanted, lambda: self._step(process, None))
