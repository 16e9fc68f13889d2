"""Stalls of the measuring process, which blur every time it takes."""

from __future__ import annotations

import time

import gevent

TICK_S = 0.02
"""Time between two looks at the clock, in seconds."""


class StallWatch:
    """Keeps the longest time for which this process did not run."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        """Longest stall in seconds."""

        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the watch."""
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            began = time.monotonic()
            gevent.sleep(TICK_S)
            late_s = time.monotonic() - began - TICK_S
            self.longest_s = max(self.longest_s, late_s)
