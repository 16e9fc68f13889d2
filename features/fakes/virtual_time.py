"""Virtual time for greenlets that never end, and events that wait in it."""

from __future__ import annotations

import functools
import heapq
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

import gevent
from gevent.event import Event

from features.fakes.virtual_sleep import VirtualSleep

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator


class VirtualTime(VirtualSleep):
    """Runs greenlets for a virtual time, in which their events wait, too."""

    def run_for(self, duration_s: float) -> None:
        """Let virtual time pass, in seconds."""
        until = self.clock.at + duration_s
        with mock.patch('gevent.sleep', self.sleep):
            self._settle()
            while self._sleepers and self._sleepers[0][0] <= until:
                at, _, woken = heapq.heappop(self._sleepers)
                if not woken.is_set():
                    self.clock.at = at
                    woken.set()
                    self._settle()
            self.clock.at = until

    def do(self, function: Callable[[], Any]) -> None:
        """Run a function in virtual time until it waits."""
        with mock.patch('gevent.sleep', self.sleep):
            gevent.spawn(self._start, function)
            self._settle()

    def patch_events(self, modules: Iterable[str]) -> Iterator[Any]:
        """Yield patches that let the events of modules wait in this time."""
        make = functools.partial(VirtualEvent, self)
        for module in modules:
            yield mock.patch(f'{module}.Event', make)

    def wait_any(
        self, waited: Iterable[VirtualEvent], timeout: float | None
    ) -> None:
        """Wait until one of some events is set, or for a time in seconds."""
        waited = tuple(waited)
        if any(e.is_set() for e in waited):
            return
        woken = Event()
        if timeout is not None:
            at = self.clock.at + max(0.0, timeout)
            heapq.heappush(self._sleepers, (at, next(self._order), woken))
        for event in waited:
            event.waiters.append(woken)
        try:
            woken.wait()
        finally:
            # The end of the time-out is passed over.
            woken.set()
            for event in waited:
                event.waiters.remove(woken)


class VirtualEvent:
    """Event whose waits time out in virtual time."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self._is_set = False
        self.waiters: list[Event] = []
        """One event for each wait."""

    def is_set(self) -> bool:
        """Return whether the event is set."""
        return self._is_set

    def set(self) -> None:
        """Set the event and wake all that wait."""
        self._is_set = True
        for woken in self.waiters:
            woken.set()

    def clear(self) -> None:
        """Unset the event."""
        self._is_set = False

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the event is set; return whether it is."""
        self._time.wait_any((self,), timeout)
        return self._is_set
