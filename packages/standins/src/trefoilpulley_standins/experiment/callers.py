"""Callers of an experiment, which generate its load."""

from __future__ import annotations

from collections import Counter
import random
import time
from typing import Any
from typing import TYPE_CHECKING

import gevent
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram
from returns.result import Success

from trefoilpulley_core.caller import Answer
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import Hello
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.dial import dial

if TYPE_CHECKING:
    from trefoilpulley_standins.experiment.spec import Load
    from trefoilpulley_standins.layout import Layout
    from trefoilpulley_wire.channel import Channel

READ_CLASS = 'order-status'
"""Class of work of the reads."""

WRITE_CLASS = 'filing'
"""Class of work of the writes."""

READ_SQL = 'select coalesce(max(id), 0) from filings'
"""SQL statement of the reads."""

WRITE_SQL = "insert into filings (request, session, part) values ('r', 's', 1)"
"""SQL statement of the writes."""

MAX_RECORDED_MS = 60_000
"""Longest response time that the histogram records, in milliseconds."""

ANSWER_TIMEOUT_S = 5.0
"""Timeout of dialing, authentication and statements, in seconds."""

MAX_CONCURRENT_DIALS = 16
"""Maximum number of idle connections dialed concurrently."""

_SI_PREFIX_FACTOR = 1000


def open_caller_channel(layout: Layout, number: int) -> Channel | None:
    """Open an authenticated connection to a host, bypassing the links.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    number : int
        Number of the caller; consecutive callers use consecutive hosts.

    Returns
    -------
    Channel | None
        Connection; ``None`` if dialing or authentication failed.
    """
    host = layout.hosts[number % len(layout.hosts)]
    opened = dial(host.listen, CALLER_CODEC, timeout_s=ANSWER_TIMEOUT_S)
    if not isinstance(opened, Success):
        return None
    channel = opened.unwrap()
    tenant = host.tenants[0]
    welcomed = channel.call(
        Hello(tenant.tenant, tenant.secret), ANSWER_TIMEOUT_S
    )
    return channel if isinstance(welcomed, Success) else None


class Callers:
    """Idle connections and sessions that send statements.

    The load is an open loop: each statement is sent at its scheduled time,
    even if earlier statements are unanswered, and its response time is
    measured from the scheduled time.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    load : Load
        Load to generate.
    seed : int
        Seed of the times and kinds of the statements.
    """

    def __init__(self, layout: Layout, load: Load, seed: int) -> None:
        self._layout = layout
        self._load = load
        self._rng = random.Random(seed)
        self._prefix = f'e{seed}-{time.time_ns()}'
        self._idle: list[Channel] = []
        self._pool = Pool()
        self._greenlets: list[gevent.Greenlet] = []
        self._is_measuring = False
        self.histogram = HdrHistogram(
            1, MAX_RECORDED_MS * _SI_PREFIX_FACTOR, 3
        )
        """Response times during the measurement window, in microseconds."""

        self.outcomes: Counter[str] = Counter()
        """Number of answers and of failures by code during the window."""

    def start(self) -> None:
        """Open the idle connections and start to send statements."""
        dial_pool = Pool(MAX_CONCURRENT_DIALS)
        numbers = range(self._load.idle_callers)
        opened = dial_pool.map(self._open, numbers)
        self._idle = [c for c in opened if c is not None]
        if not self._load.statements_per_s:
            return
        for number in range(self._load.callers):
            rng = random.Random(self._rng.random())
            self._greenlets.append(gevent.spawn(self._run, number, rng))

    def begin_window(self) -> None:
        """Start to record response times and outcomes."""
        self._is_measuring = True

    def stop(self) -> None:
        """Stop sending statements and close the idle connections."""
        self._is_measuring = False
        gevent.killall(self._greenlets)
        self._pool.kill()
        for channel in self._idle:
            channel.close()

    def _open(self, number: int) -> Channel | None:
        return open_caller_channel(self._layout, number)

    def _run(self, number: int, rng: random.Random) -> None:
        rate_per_s = self._load.statements_per_s / self._load.callers
        session = _Session(self._layout, number)
        due_s = time.monotonic()
        count = 0
        while True:
            due_s += rng.expovariate(rate_per_s)
            gevent.sleep(max(due_s - time.monotonic(), 0))
            count += 1
            name = f'{self._prefix}-{number}-{count}'
            request = self._make_request(name, rng)
            self._pool.spawn(self._send, session, request, due_s)

    def _make_request(self, name: str, rng: random.Random) -> Execute:
        databases = self._layout.databases
        used_count = self._load.databases_in_use or len(databases)
        database = databases[rng.randrange(used_count)].name
        if rng.random() < self._load.write_share:
            return Execute(name, WRITE_CLASS, database, WRITE_SQL)
        return Execute(name, READ_CLASS, database, READ_SQL)

    def _send(self, session: _Session, request: Execute, due_s: float) -> None:
        reply = session.call(request)
        if not self._is_measuring:
            return
        if isinstance(reply, Answer):
            response_us = max(
                1,
                int(
                    (time.monotonic() - due_s)
                    * _SI_PREFIX_FACTOR
                    * _SI_PREFIX_FACTOR
                ),
            )
            self.histogram.record_value(response_us)
            self.outcomes['answered'] += 1
        else:
            self.outcomes[getattr(reply, 'code', 'unreachable')] += 1


class _Session:
    def __init__(self, layout: Layout, number: int) -> None:
        self._layout = layout
        self._number = number
        self._channel: Channel | None = None
        self._token = b''

    def call(self, request: Execute) -> Any:
        if self._channel is None or not self._channel.is_open:
            self._channel = open_caller_channel(self._layout, self._number)
        if self._channel is None:
            self._number += 1
            return None
        message = Execute(
            request.request_id,
            request.work_class,
            request.database,
            request.sql,
            token=self._token,
        )
        reply = self._channel.call(message, ANSWER_TIMEOUT_S).value_or(None)
        if isinstance(reply, Answer):
            self._token = reply.token
        return reply
