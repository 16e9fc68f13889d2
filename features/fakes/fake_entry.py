"""Entry hosts in memory that share one database, with faults to order."""

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

BROKEN = Failed(PeerUnreachable('broken'))


class Break(StrEnum):
    """Moments at which a connection breaks."""

    BEFORE = 'before it is taken'
    AFTER = 'after it has run'


class VirtualTimer(Timer):
    """Time that passes only in sleeps."""

    def __init__(self) -> None:
        self.time = 0.0
        self.sleeps: list[float] = []

    def now(self) -> float:
        """Return virtual time in seconds."""
        return self.time

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self.sleeps.append(seconds)
        self.time += seconds


@dataclass
class FakeDatabase:
    """Outcomes by request id, as the members keep them."""

    outcomes: dict[str, caller.Answer | None] = field(default_factory=dict)
    """Kept answers; ``None`` under an abandoned id."""

    runs: list[tuple[str, ...]] = field(default_factory=list)
    """Statements of each write that took effect."""

    def write(self, request_id: str, sql: tuple[str, ...]) -> Any:
        """Run a write once for its request id."""
        if request_id not in self.outcomes:
            self.runs.append(sql)
            token = b'token-%d' % len(self.runs)
            self.outcomes[request_id] = caller.Answer(
                ('n',), ((len(self.runs),),), 1, token, 'ledger/0/a'
            )
        return self._tell(request_id)

    def look_up(self, request_id: str) -> Any:
        """Return an outcome, or abandon the request id."""
        self.outcomes.setdefault(request_id, None)
        return self._tell(request_id)

    def _tell(self, request_id: str) -> Any:
        return self.outcomes[request_id] or make_refusal('not-run')


@dataclass
class FakeHost:
    """One entry host."""

    name: str
    database: FakeDatabase
    is_up: bool = True
    orders: list[tuple[str, Any]] = field(default_factory=list)
    """Type of a message, or ``*``, and what it meets.

    That is a break, a reply, or a function of host and message.
    """

    received: list[Any] = field(default_factory=list)
    transactions: dict[str, list[str]] = field(default_factory=dict)

    def take_order(self, message: Any) -> Any:
        """Return the order for a message, or ``None``."""
        expected = ('*', type(message).__name__)
        if self.orders and self.orders[0][0] in expected:
            return self.orders.pop(0)[1]
        return None

    def serve(self, message: Any) -> Any:
        """Return the reply to a message."""
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
    """Connection to a fake host."""

    def __init__(self, host: FakeHost) -> None:
        self._host = host
        self.is_open = True

    def call(self, message: Any, timeout_s: float) -> Result[Any, Failure]:
        """Serve the message, or break as ordered."""
        assert self.is_open, 'call on a closed connection'
        if not self._host.is_up:
            return self._break()
        order = self._host.take_order(message)
        if order is Break.BEFORE:
            return self._break()
        self._host.received.append(message)
        if order is Break.AFTER:
            self._host.serve(message)
            return self._break()
        if callable(order):
            return Success(order(self._host, message))
        return Success(order or self._host.serve(message))

    def close(self) -> None:
        """Close; the host rolls back what is open."""
        self.is_open = False
        self._host.transactions.clear()

    def _break(self) -> Result[Any, Failure]:
        self.close()
        return BROKEN


class FakeDialer(Dialer):
    """Dials fake hosts by their port."""

    def __init__(self, hosts: dict[int, FakeHost]) -> None:
        self._hosts = hosts

    def dial(
        self, endpoint: Endpoint, timeout_s: float
    ) -> Result[Transport, Failure]:
        """Open a connection to a host that is up."""
        host = self._hosts[endpoint.port]
        return Success(FakeTransport(host)) if host.is_up else BROKEN


def make_refusal(code: str) -> caller.Refusal:
    """Return the refusal of a failure of the catalogue."""
    kind = failures_by_code()[code]
    return caller.Refusal(code, kind.run_state.value, kind.is_repeatable)
