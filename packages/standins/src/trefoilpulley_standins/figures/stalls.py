"""Detection of stalls in the measuring process, which distort times."""

from __future__ import annotations

import time

import gevent

TICK_INTERVAL_S = 0.02
"""Interval between two checks of the clock, in seconds."""


class StallMonitor:
    """Records the longest time for which this process did not run."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        """Duration of the longest stall, in seconds."""

        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop checking the clock."""
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            began_s = time.monotonic()
            gevent.sleep(TICK_INTERVAL_S)
            late_s = time.monotonic() - began_s - TICK_INTERVAL_S
            self.longest_s = max(self.longest_s, late_s)
