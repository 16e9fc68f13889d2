"""An entry host whose poolers are faked, and tenants' tries at it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_entry_parts import FakePeers
from features.fakes.fake_entry_parts import FakeRouter
from features.fakes.fake_entry_parts import FakeViews
from trefoilpulley_core.admission import Admission
from trefoilpulley_core.caller import Hello
from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.declarations_check import check_declarations
from trefoilpulley_core.peer import PooledBegin
from trefoilpulley_core.peer import PooledBegun
from trefoilpulley_core.retry_budget import RetryBudget
from trefoilpulley_core.routing import Route
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_core.token import TokenCodec
from trefoilpulley_node.entry.caller_server import CallerServer
from trefoilpulley_node.entry.caller_server import EntryComponents
from trefoilpulley_node.entry.entry_transactions import EntryTransactions
from trefoilpulley_node.entry.state import StateCollector
from trefoilpulley_node.metrics import Metrics
from trefoilpulley_node.pipeline.admit import AdmissionFilter
from trefoilpulley_node.pipeline.answer import AnswerBuilder
from trefoilpulley_node.pipeline.authenticate import AuthenticationFilter
from trefoilpulley_node.pipeline.classify import ClassificationFilter
from trefoilpulley_node.pipeline.confirm import OutcomeResolver
from trefoilpulley_node.pipeline.deliver import DeliveryFilter
from trefoilpulley_node.pipeline.execute import Executor
from trefoilpulley_node.pipeline.pipeline import Pipeline
from trefoilpulley_node.pipeline.session_floor import SessionFloorFilter
from trefoilpulley_node.settings import TenantSecret

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Tenant
    from trefoilpulley_core.failure import Failure


class _Peers(FakePeers):
    """Begins transactions too; all other work is answered."""

    def call_host_raw(
        self, host: str, message: Any, timeout_s: float, abort: Any = None
    ) -> Result[Any, Failure]:
        """Answer a message of any kind."""
        reply = super().call_host_raw(host, message, timeout_s, abort)
        if isinstance(message, PooledBegin):
            return Success(PooledBegun('p1'))
        return reply

    call_host = call_host_raw


class _Router(FakeRouter):
    """Sends everything to the primary of its database."""

    def choose(
        self, req: Any, excluded: frozenset[str]
    ) -> Result[Route, Failure]:
        """Return the primary."""
        return self.choose_primary(req)

    def choose_primary(self, req: Any) -> Result[Route, Failure]:
        """Return the primary."""
        return Success(Route(f'{req.database.name}/a', is_primary=True))


class _LedgerAlone(ClassificationFilter):
    def _is_granted(
        self, tenant: Tenant, database: DatabaseEntry, work_class: str
    ) -> bool:
        return any(
            grant.ledger.startswith(database.ledger)
            and work_class in grant.classes
            for grant in tenant.grants
        )


class _AnyTenantsTokens(TokenCodec):
    def _read_body(self, body: Any, tenant: str) -> Result[Any, Failure]:
        return super()._read_body(body, body[1])


class _AnyCallersTransactions(EntryTransactions):
    def _find(self, transaction: str, tenant: str, connection: int) -> Any:
        return self._open.get(transaction)


@dataclass(frozen=True, slots=True)
class HostParts:
    """Types of the parts that keep tenants apart."""

    classify: type[ClassificationFilter] = ClassificationFilter
    """Checks rights."""

    tokens: type[TokenCodec] = TokenCodec
    """Reads session tokens."""

    transactions: type[EntryTransactions] = EntryTransactions
    """Holds open transactions."""


FAULTS = {
    'none': HostParts(),
    'rights count for the whole ledger': HostParts(classify=_LedgerAlone),
    'tokens of any tenant are taken': HostParts(tokens=_AnyTenantsTokens),
    'transactions of any caller are found': HostParts(
        transactions=_AnyCallersTransactions
    ),
}
"""Deliberate faults."""


class TenantsHost:
    """Entry host with the declarations of a file.

    Parameters
    ----------
    path : Path
        Declarations; each tenant has rights on one database.
    parts : HostParts
        Types of the parts.
    """

    def __init__(self, path: Path, parts: HostParts) -> None:
        text = path.read_text(encoding='utf-8')
        self.declarations = check_declarations(text).unwrap()
        """Declarations in force."""

        self.rights = {
            t.name: grant
            for t in self.declarations.tenants
            for grant in t.grants
        }
        """Right of each tenant."""

        self._databases = {
            g.ledger: DatabaseEntry(g.ledger, g.ledger.partition('/')[0], ())
            for g in self.rights.values()
        }
        self._clock = FakeClock()
        self._peers = _Peers(self._clock, ['ran'])
        self._server = self._make_server(parts)

    def connect(self, tenant: str) -> TenantCaller:
        """Return a new connection of a tenant."""
        channel = SimpleNamespace(context=None)
        hello = Hello(tenant, _secret_of(tenant))
        welcome = self._server.on_request(channel, hello)
        return TenantCaller(self, channel, welcome.token)

    def serve(self, channel: Any, message: Any) -> Any:
        """Serve one message of a connection."""
        return self._server.on_request(channel, message)

    def take_reached(self) -> set[str]:
        """Return the databases reached since the last call."""
        hosts = {sent.host for sent in self._peers.sent}
        self._peers.sent.clear()
        return {h.removeprefix('pooler-of-').removesuffix('/a') for h in hosts}

    def _make_server(self, parts: HostParts) -> CallerServer:
        tokens = parts.tokens('deployment', ('key',))
        targets = ClassTargets()
        targets.declare(self.declarations.classes)
        admit = AdmissionFilter(Admission(targets), self._clock)
        authenticate = AuthenticationFilter(
            [TenantSecret(t, _secret_of(t)) for t in self.rights],
            lambda: self.declarations,
        )
        floor = SessionFloorFilter(tokens)
        prepare = (
            authenticate,
            parts.classify(lambda: self.declarations, self._databases.get),
            floor,
            admit,
        )
        views = FakeViews(self._clock)
        router = _Router()
        executor = Executor(self._peers, views, self._clock)
        confirm = OutcomeResolver(
            router, executor, views, lambda: False, self._clock
        )
        deliver = DeliveryFilter(
            router,
            executor,
            confirm,
            views,
            RetryBudget(),
            lambda: False,
            self._clock,
        )
        return CallerServer(
            EntryComponents(
                'host',
                authenticate,
                admit,
                Pipeline(prepare),
                Pipeline((deliver,)),
                parts.transactions(
                    router, self._peers, floor, confirm, views, self._clock
                ),
                AnswerBuilder(tokens),
                targets,
                tokens,
                StateCollector('operators'),
                Metrics(None),
                self._clock,
            )
        )


class TenantCaller:
    """Connection of a tenant.

    Parameters
    ----------
    host : TenantsHost
        Host at the other side.
    channel : Any
        Connection as the host knows it.
    token : bytes
        Token of the session.
    """

    def __init__(self, host: TenantsHost, channel: Any, token: bytes) -> None:
        self._host = host
        self._channel = channel
        self.token = token
        """Token of the session."""

    def send(self, message: Any) -> Any:
        """Send a message and return the reply."""
        return self._host.serve(self._channel, message)


def _secret_of(tenant: str) -> str:
    return f'secret of {tenant}'
