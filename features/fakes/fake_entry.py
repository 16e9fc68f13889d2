"""Simulated entry hosts that share one database, with scripted faults."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_client.timer import Timer
from trefoilpulley_client.transport import Dialer
from trefoilpulley_client.transport import Transport
from trefoilpulley_core import caller
from trefoilpulley_core.failure import failures_by_code
from trefoilpulley_core.failure import PeerUnreachable

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.failure import Failure

CONNECTION_LOST = Failed(PeerUnreachable('broken'))


class BreakMoment(StrEnum):
    """Moments of a request at which its connection breaks."""

    BEFORE = 'before it is taken'
    AFTER = 'after it has run'


class VirtualTimer(Timer):
    """Timer whose virtual time passes only during sleeps."""

    def __init__(self) -> None:
        self.time = 0.0
        self.sleeps: list[float] = []

    def now(self) -> float:
        """Return virtual time in seconds."""
        return self.time

    def sleep(self, seconds: float) -> None:
        """Record the pause and advance virtual time, in seconds."""
        self.sleeps.append(seconds)
        self.time += seconds


@dataclass
class FakeDatabase:
    """Database that stores outcomes by request id, as members do."""

    outcomes: dict[str, caller.Answer | None] = field(default_factory=dict)
    """Stored answers; ``None`` for an abandoned request id."""

    runs: list[tuple[str, ...]] = field(default_factory=list)
    """Statements of each write that took effect."""

    def write(self, request_id: str, sql: tuple[str, ...]) -> Any:
        """Run a write at most once for its request id."""
        if request_id not in self.outcomes:
            self.runs.append(sql)
            token = b'token-%d' % len(self.runs)
            self.outcomes[request_id] = caller.Answer(
                ('n',), ((len(self.runs),),), 1, token, 'ledger/0/a'
            )
        return self._stored_reply(request_id)

    def look_up(self, request_id: str) -> Any:
        """Return an outcome, or abandon the request id."""
        self.outcomes.setdefault(request_id, None)
        return self._stored_reply(request_id)

    def _stored_reply(self, request_id: str) -> Any:
        return self.outcomes[request_id] or make_refusal('not-run')


@dataclass
class FakeHost:
    """Simulated entry host."""

    name: str
    database: FakeDatabase
    is_up: bool = True
    orders: list[tuple[str, Any]] = field(default_factory=list)
    """Pairs of a message type, or ``*`` for any type, and its reply.

    The reply is a message, the moment of a break, or a function of the
    host and the message.
    """

    received: list[Any] = field(default_factory=list)
    transactions: dict[str, list[str]] = field(default_factory=dict)

    def pop_reply(self, message: Any) -> Any:
        """Remove and return the scripted reply to a message, or ``None``."""
        expected = ('*', type(message).__name__)
        if self.orders and self.orders[0][0] in expected:
            return self.orders.pop(0)[1]
        return None

    def serve(self, message: Any) -> Any:
        """Serve a message and return the reply."""
        transaction = getattr(message, 'transaction', '')
        if transaction and transaction not in self.transactions:
            return make_refusal('transaction-lost')
        match message:
            case caller.Hello():
                return caller.Welcome(self.name, b'new-session')
            case caller.Begin():
                name = f'{self.name}-t{len(self.transactions)}'
                self.transactions[name] = []
                return caller.Begun(name)
            case caller.Execute(transaction=''):
                return self.database.write(message.request_id, (message.sql,))
            case caller.Execute():
                self.transactions[message.transaction].append(message.sql)
                return caller.Answer()
            case caller.Commit():
                sql = self.transactions.pop(message.transaction)
                return self.database.write(message.request_id, tuple(sql))
            case caller.Rollback():
                self.transactions.pop(message.transaction)
                return caller.Done()
            case caller.LookUp():
                return self.database.look_up(message.request_id)
            case caller.GetState():
                return caller.StateDump({'host': self.name})
        raise AssertionError(message)


class FakeTransport(Transport):
    """Connection to a simulated host."""

    def __init__(self, host: FakeHost) -> None:
        self._host = host
        self.is_open = True

    def call(self, message: Any, timeout_s: float) -> Result[Any, Failure]:
        """Serve the message, or apply the scripted reply or break."""
        assert self.is_open, 'call on a closed connection'
        if not self._host.is_up:
            return self._break()
        reply = self._host.pop_reply(message)
        if reply is BreakMoment.BEFORE:
            return self._break()
        self._host.received.append(message)
        if reply is BreakMoment.AFTER:
            self._host.serve(message)
            return self._break()
        if callable(reply):
            return Success(reply(self._host, message))
        return Success(reply or self._host.serve(message))

    def close(self) -> None:
        """Close; the host rolls its open transactions back."""
        self.is_open = False
        self._host.transactions.clear()

    def _break(self) -> Result[Any, Failure]:
        self.close()
        return CONNECTION_LOST


class FakeDialer(Dialer):
    """Dialer that finds simulated hosts by their port."""

    def __init__(self, hosts: dict[int, FakeHost]) -> None:
        self._hosts = hosts

    def dial(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[Transport, Failure]:
        """Open a connection to a host that is up."""
        host = self._hosts[endpoint.port]
        return Success(FakeTransport(host)) if host.is_up else CONNECTION_LOST


def make_refusal(code: str) -> caller.Refusal:
    """Return the refusal for a failure code of the catalogue."""
    failure_type = failures_by_code()[code]
    return caller.Refusal(
        code, failure_type.run_state.value, failure_type.is_repeatable
    )
