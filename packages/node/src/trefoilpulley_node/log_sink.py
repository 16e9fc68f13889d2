"""Bounded log on standard output that never holds a request up."""

from __future__ import annotations

from collections import Counter
from collections import deque
import json
import os
from typing import Any
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as Signal
from gevent.os import nb_write

from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Mapping

    from trefoilpulley_core.clock import Clock

QUEUE_BYTES = 256 * 1024
"""Lines that may wait for the reader, in bytes."""

LINES_PER_S = 40.0
"""Lines of one event that are kept in a second, on the mean."""

BURST_LINES = 200.0
"""Lines of one event that may come at once."""

FLUSH_BYTES = 32 * 1024
"""Bytes handed to the operating system at once."""


class LogSink:
    """Destination of `eliot` that drops rather than waits.

    Each event has a rate of its own, so that a flood of one hides none
    of the others. What is dropped is counted by event, in the metrics
    and in the next line that gets through.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._allowances: dict[str, _Allowance] = {}
        self._unreported: Counter[str] = Counter()
        self._filled = Signal()
        self._greenlet: gevent.Greenlet | None = None
        self.dropped: Counter[str] = Counter()
        """Dropped lines by event, since the start."""

        self.written_bytes = 0
        """Bytes that reached the reader."""

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return self._queued_bytes

    def start(self) -> None:
        """Begin to write."""
        os.set_blocking(self._descriptor, False)
        self._greenlet = gevent.spawn(self._run)

    def stop(self, timeout_s: float) -> None:
        """Write what waits, but no longer than a while."""
        with gevent.Timeout(timeout_s, False):
            while self._queue and self._greenlet and not self._greenlet.dead:
                gevent.sleep(0.01)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Take one message of `eliot`."""
        event = str(message.get('event', message.get('message_type', '')))
        if not self._is_allowed(event):
            self._drop(event)
            return
        if self._unreported:
            self._report_dropped(message)
        if not self._enqueue(message):
            self._drop(event)

    def _enqueue(self, message: Mapping[str, Any]) -> bool:
        line = json.dumps(message, default=str).encode() + b'\n'
        if self._queued_bytes + len(line) > QUEUE_BYTES:
            return False
        self._queue.append(line)
        self._queued_bytes += len(line)
        self._filled.set()
        return True

    def _report_dropped(self, message: Mapping[str, Any]) -> None:
        report = {
            'event': events.LOG_DROPPED.name,
            'message_type': f'tp{events.LOG_DROPPED.number}',
            'timestamp': message.get('timestamp'),
            'host': message.get('host'),
            'dropped': dict(self._unreported),
        }
        if self._enqueue(report):
            self._unreported.clear()

    def _drop(self, event: str) -> None:
        self.dropped[event] += 1
        self._unreported[event] += 1

    def _is_allowed(self, event: str) -> bool:
        allowance = self._allowances.get(event)
        if allowance is None:
            allowance = self._allowances[event] = _Allowance()
        return allowance.take(self._clock.now())

    def _run(self) -> None:
        try:
            while True:
                self._filled.wait()
                self._filled.clear()
                while self._queue:
                    self._write(self._take())
        except OSError:
            # The reader has gone; nobody is left to be told.
            self._queue.clear()

    def _take(self) -> bytes:
        parts = []
        size = 0
        while self._queue and size < FLUSH_BYTES:
            line = self._queue.popleft()
            parts.append(line)
            size += len(line)
        return b''.join(parts)

    def _write(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            written = nb_write(self._descriptor, left)
            left = left[written:]
            self._queued_bytes -= written
            self.written_bytes += written


class _Allowance:
    """Token bucket of one event."""

    def __init__(self) -> None:
        self._tokens = BURST_LINES
        self._at: float | None = None

    def take(self, now: float) -> bool:
        if self._at is not None:
            gained = (now - self._at) * LINES_PER_S
            self._tokens = min(BURST_LINES, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
