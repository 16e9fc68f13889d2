"""Log destination with a bounded queue that never blocks a request."""

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

MAX_QUEUED_BYTES = 256 * 1024
"""Largest total size of the lines that wait to be written, in bytes."""

MAX_LINES_PER_S = 40.0
"""Average rate at which lines of one event are accepted, per second."""

MAX_BURST_LINES = 200.0
"""Number of lines of one event that may be logged in a burst."""

WRITE_BATCH_BYTES = 32 * 1024
"""Size at which a batch of lines is written to the descriptor, in bytes."""


class LogSink:
    """Destination for `eliot` that drops lines instead of blocking.

    Each event has a separate rate limit, so that a flood of one event
    does not displace the lines of other events. Dropped lines are
    counted by event. The metrics and the next line written report the
    counts.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to, which is made non-blocking.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._buckets: dict[str, _TokenBucket] = {}
        self._unreported_drops: Counter[str] = Counter()
        self._has_lines = Signal()
        self._greenlet: gevent.Greenlet | None = None
        self.dropped: Counter[str] = Counter()
        """Number of dropped lines by event since the start."""

        self.written_bytes = 0
        """Number of bytes written to the descriptor."""

    @property
    def queued_bytes(self) -> int:
        """Number of bytes that wait to be written."""
        return self._queued_bytes

    def start(self) -> None:
        """Start writing in the background."""
        os.set_blocking(self._descriptor, False)
        self._greenlet = gevent.spawn(self._run)

    def stop(self, timeout_s: float) -> None:
        """Write all lines that were accepted, for a limited time."""
        with gevent.Timeout(timeout_s, False):
            while self._queued_bytes and self._is_writing():
                gevent.sleep(0.01)

    def _is_writing(self) -> bool:
        return self._greenlet is not None and not self._greenlet.dead

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Accept or drop one message of `eliot`."""
        event = str(message.get('event', message.get('message_type', '')))
        if not self._is_allowed(event):
            self._drop(event)
            return
        if self._unreported_drops:
            self._report_dropped(message)
        if not self._enqueue(message):
            self._drop(event)

    def _enqueue(self, message: Mapping[str, Any]) -> bool:
        line = json.dumps(message, default=str).encode() + b'\n'
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            return False
        self._queue.append(line)
        self._queued_bytes += len(line)
        self._has_lines.set()
        return True

    def _report_dropped(self, message: Mapping[str, Any]) -> None:
        report = {
            'event': events.LOG_DROPPED.name,
            'message_type': f'tp{events.LOG_DROPPED.number}',
            'timestamp': message.get('timestamp'),
            'host': message.get('host'),
            'dropped': dict(self._unreported_drops),
        }
        if self._enqueue(report):
            self._unreported_drops.clear()

    def _drop(self, event: str) -> None:
        self.dropped[event] += 1
        self._unreported_drops[event] += 1

    def _is_allowed(self, event: str) -> bool:
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket()
        return bucket.try_take(self._clock.now())

    def _run(self) -> None:
        try:
            while True:
                self._has_lines.wait()
                self._has_lines.clear()
                while self._queue:
                    self._write(self._next_batch())
        except OSError:
            # The reader has closed the descriptor, so neither the queued
            # lines nor a report of this error can be written.
            self._queue.clear()

    def _next_batch(self) -> bytes:
        parts = []
        size = 0
        while self._queue and size < WRITE_BATCH_BYTES:
            line = self._queue.popleft()
            parts.append(line)
            size += len(line)
        return b''.join(parts)

    def _write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            written = nb_write(self._descriptor, remaining)
            remaining = remaining[written:]
            self._queued_bytes -= written
            self.written_bytes += written


class _TokenBucket:
    """Token bucket that limits the rate of one event."""

    def __init__(self) -> None:
        self._tokens = MAX_BURST_LINES
        self._refilled_at: float | None = None

    def try_take(self, now: float) -> bool:
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * MAX_LINES_PER_S
            self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
