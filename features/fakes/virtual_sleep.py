"""Virtual time for greenlets that sleep with `gevent.sleep`."""

from __future__ import annotations

import heapq
import itertools
from typing import Any
from typing import TYPE_CHECKING
from unittest import mock

import gevent
from gevent.event import Event

from features.fakes.fake_entry_parts import FakeClock

if TYPE_CHECKING:
    from collections.abc import Callable

IDLE_TURNS = 20
"""Turns of the event loop after which every greenlet sleeps or has ended."""


class VirtualSleep:
    """Runs greenlets whose sleeps take virtual time only.

    The greenlets wake in the order of their times, so that a run gives the
    same order whatever the load of the machine is. Greenlets that an earlier
    scenario has left running sleep in real time: a loop among them would keep
    the run from ending.
    """

    def __init__(self) -> None:
        self.clock = FakeClock()
        self._sleepers: list[tuple[float, int, Event]] = []
        self._order = itertools.count()
        self._turn = gevent.sleep
        self._trees: list[dict] = []

    def run(self, *functions: Callable[[], Any]) -> None:
        """Run functions side by side until each of them has returned."""
        with mock.patch('gevent.sleep', self.sleep):
            greenlets = [gevent.spawn(self._start, f) for f in functions]
            self._settle()
            while self._sleepers:
                self.clock.at, _, woken = heapq.heappop(self._sleepers)
                woken.set()
                self._settle()
            gevent.joinall(greenlets, raise_error=True)

    def sleep(self, duration_s: float = 0) -> None:
        """Let virtual time pass, in seconds."""
        tree = getattr(gevent.getcurrent(), 'spawn_tree_locals', None)
        if not any(tree is own for own in self._trees):
            self._turn(duration_s)
            return
        woken = Event()
        at = self.clock.at + duration_s
        heapq.heappush(self._sleepers, (at, next(self._order), woken))
        woken.wait()

    def _start(self, function: Callable[[], Any]) -> Any:
        # Greenlets that the function spawns share these locals.
        tree = gevent.getcurrent().spawn_tree_locals = {}
        self._trees.append(tree)
        return function()

    def _settle(self) -> None:
        for _ in range(IDLE_TURNS):
            self._turn(0)
