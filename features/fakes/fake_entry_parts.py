"""Fakes of the clock, peers, views and router of an entry host."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.clock import Clock
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.peer import PooledBegun
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_core.peer import PooledResult
from trefoilpulley_core.position import Position
from trefoilpulley_core.routing import Route
from trefoilpulley_core.upstream import StatementResult
from trefoilpulley_node.peers import read_failure

STEP_S = 0.05
"""Virtual time that each exchange or wait takes, in seconds."""


class FakeClock(Clock):
    """Clock that advances only when a test sets ``at``."""

    def __init__(self) -> None:
        self.at = 100.0

    def now(self) -> float:
        """Return virtual time in seconds."""
        return self.at


@dataclass(frozen=True, slots=True)
class SentMessage:
    """One message that the pipeline has sent."""

    host: str
    """Host that the message was sent to."""

    message: Any
    """Message that was sent."""


class FakePeers:
    """Peers that answer from a script; the last answer repeats."""

    def __init__(self, clock: FakeClock, script: list[str]) -> None:
        self._clock = clock
        self._script = deque(script)
        self.sent: list[SentMessage] = []

    def find_pooler(self, member: str) -> str:
        """Return the name of a pooler that serves only this member."""
        return f'pooler-of-{member}'

    def call_host_raw(
        self, host: str, message: Any, timeout_s: float, abort: Any = None
    ) -> Result[Any, Failure]:
        """Take the next answer of the script."""
        self._clock.at += STEP_S
        self.sent.append(SentMessage(host, message))
        answer = self._script[0]
        if len(self._script) > 1:
            self._script.popleft()
        if answer == 'lost':
            return Failed(PeerUnreachable('no answer'))
        if answer == 'begun':
            return Success(PooledBegun('t1'))
        if answer == 'ran':
            result = StatementResult(row_count=1, position=Position(1, 7))
            return Success(PooledResult(result))
        if answer == 'kept':
            recalled = StatementResult(row_count=1, is_recalled=True)
            return Success(PooledResult(recalled))
        return Success(PooledFailure(answer))

    def call_host(
        self, host: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Take the next answer of the script; map a refusal to its failure."""
        reply = self.call_host_raw(host, message, timeout_s)
        if isinstance(reply.value_or(None), PooledFailure):
            return Failed(read_failure(reply.unwrap()))
        return reply


class FakeViews:
    """Views of the databases that ignore digests and never change.

    A wait for another primary advances the clock by its timeout.
    """

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock

    def begin_request(self, database: str) -> int:
        """Ignore the request."""
        return 0

    def end_request(self, number: int) -> None:
        """Ignore the request."""

    def primary_change_event(self, database: str) -> None:
        """Return no event."""

    def on_digest(self, digest: Any, sent_at: float) -> None:
        """Ignore the digest."""

    def on_unreachable(self, member: str) -> None:
        """Ignore the member."""

    def wait_for_primary_change(self, entry: Any, timeout_s: float) -> None:
        """Advance the clock by the timeout."""
        self._clock.at += timeout_s


class FakeRouter:
    """Router that sends every request to one primary."""

    def choose(
        self, req: Any, excluded: frozenset[str]
    ) -> Result[Route, Failure]:
        """Return the primary."""
        return Success(Route('a', is_primary=True))

    def choose_primary(self, req: Any) -> Result[Route, Failure]:
        """Return the primary."""
        return Success(Route('a', is_primary=True))
