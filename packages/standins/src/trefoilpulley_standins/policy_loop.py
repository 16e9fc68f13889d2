"""Event loop on a virtual clock that runs generators as processes."""

from __future__ import annotations

import heapq
import itertools
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator


class Future:
    """Result that one process can wait for; only the first result counts."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self._waiter: Generator[Any, Any, Any] | None = None
        self.is_done = False
        """Whether the result has been set."""

        self.value: Any = None
        """Result, once set."""

    def set_result(self, value: Any = None) -> None:
        """Set the result and resume the waiting process."""
        if self.is_done:
            return
        self.is_done = True
        self.value = value
        if self._waiter is not None:
            self._loop.resume(self._waiter, value)

    def add_waiter(self, process: Generator[Any, Any, Any]) -> None:
        """Resume a process as soon as the result is set."""
        if self.is_done:
            self._loop.resume(process, self.value)
        self._waiter = process


class VirtualLoop:
    """Runs callbacks and processes in the order of their virtual time.

    A process yields the seconds to sleep, or a `Future` to wait for.
    """

    def __init__(self) -> None:
        self.now = 0.0
        """Current virtual time, in seconds."""

        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time."""
        entry = (max(at, self.now), next(self._order), callback)
        heapq.heappush(self._events, entry)

    def spawn(self, process: Generator[Any, Any, Any]) -> None:
        """Start a process at the current virtual time."""
        self.resume(process, None)

    def resume(self, process: Generator[Any, Any, Any], value: Any) -> None:
        """Schedule a process to continue with a value until its next wait."""
        self.call_at(self.now, lambda: self._step(process, value))

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to a virtual time."""
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
