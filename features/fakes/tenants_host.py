"""An entry host with simulated poolers, and connections of tenants."""

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
from trefoilpulley_node.pipeline.deliver import DeliveryFilter
from trefoilpulley_node.pipeline.execute import Executor
from trefoilpulley_node.pipeline.outcome_resolver import OutcomeResolver
from trefoilpulley_node.pipeline.pipeline import Pipeline
from trefoilpulley_node.pipeline.session_floor import SessionFloorFilter
from trefoilpulley_node.settings import TenantSecret

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Tenant
    from trefoilpulley_core.failure import Failure


class _BeginningPeers(FakePeers):
    """Peers that open every transaction and answer all other work."""

    def call_host_raw(
        self, host: str, message: Any, timeout_s: float, abort: Any = None
    ) -> Result[Any, Failure]:
        """Answer a begin, or take the next answer of the script."""
        reply = super().call_host_raw(host, message, timeout_s, abort)
        if isinstance(message, PooledBegin):
            return Success(PooledBegun('p1'))
        return reply

    call_host = call_host_raw


class _DatabaseRouter(FakeRouter):
    """Router that sends each request to the primary of its database."""

    def choose(
        self, req: Any, excluded: frozenset[str]
    ) -> Result[Route, Failure]:
        """Return the primary."""
        return self.choose_primary(req)

    def choose_primary(self, req: Any) -> Result[Route, Failure]:
        """Return the primary."""
        return Success(Route(f'{req.database.name}/a', is_primary=True))


class _WholeLedgerFilter(ClassificationFilter):
    def _is_granted(
        self, tenant: Tenant, database: DatabaseEntry, work_class: str
    ) -> bool:
        return any(
            grant.ledger.startswith(database.ledger)
            and work_class in grant.classes
            for grant in tenant.grants
        )


class _AnyTenantTokenCodec(TokenCodec):
    def _read_body(self, body: Any, tenant: str) -> Result[Any, Failure]:
        return super()._read_body(body, body[1])


class _SharedTransactions(EntryTransactions):
    def _find(self, transaction: str, tenant: str, connection: int) -> Any:
        return self._open.get(transaction)


@dataclass(frozen=True, slots=True)
class IsolationComponents:
    """Types of the components that isolate tenants from each other."""

    classify: type[ClassificationFilter] = ClassificationFilter
    """Type of the filter that checks grants."""

    tokens: type[TokenCodec] = TokenCodec
    """Type of the codec of session tokens."""

    transactions: type[EntryTransactions] = EntryTransactions
    """Type of the store of open transactions."""


FAULTS = {
    'none': IsolationComponents(),
    'rights count for the whole ledger': IsolationComponents(
        classify=_WholeLedgerFilter
    ),
    'tokens of any tenant are taken': IsolationComponents(
        tokens=_AnyTenantTokenCodec
    ),
    'transactions of any caller are found': IsolationComponents(
        transactions=_SharedTransactions
    ),
}
"""Components with deliberate faults, by the name of the fault."""


class TenantsHost:
    """Entry host with the declarations of a file and simulated poolers.

    Parameters
    ----------
    path : Path
        File with the declarations; each tenant has a grant on one database.
    components : IsolationComponents
        Types of the components that isolate tenants.
    """

    def __init__(self, path: Path, components: IsolationComponents) -> None:
        text = path.read_text(encoding='utf-8')
        self.declarations = check_declarations(text).unwrap()
        """Declarations in force."""

        self.grants = {
            t.name: grant
            for t in self.declarations.tenants
            for grant in t.grants
        }
        """Grant of each tenant."""

        self._databases = {
            g.ledger: DatabaseEntry(g.ledger, g.ledger.partition('/')[0], ())
            for g in self.grants.values()
        }
        self._clock = FakeClock()
        self._peers = _BeginningPeers(self._clock, ['ran'])
        self._server = self._make_server(components)

    def connect(self, tenant: str) -> TenantCaller:
        """Open a new connection as a tenant."""
        channel = SimpleNamespace(context=None)
        hello = Hello(tenant, _secret_of(tenant))
        welcome = self._server.on_request(channel, hello)
        return TenantCaller(self, channel, welcome.token)

    def serve(self, channel: Any, message: Any) -> Any:
        """Return the reply to a message of a connection."""
        return self._server.on_request(channel, message)

    def pop_reached(self) -> set[str]:
        """Return and reset the databases reached since the last call."""
        hosts = {sent.host for sent in self._peers.sent}
        self._peers.sent.clear()
        return {h.removeprefix('pooler-of-').removesuffix('/a') for h in hosts}

    def _make_server(self, components: IsolationComponents) -> CallerServer:
        tokens = components.tokens('deployment', ('key',))
        targets = ClassTargets()
        targets.declare(self.declarations.classes)
        admit = AdmissionFilter(Admission(targets), self._clock)
        authenticate = AuthenticationFilter(
            [TenantSecret(t, _secret_of(t)) for t in self.grants],
            lambda: self.declarations,
        )
        floor = SessionFloorFilter(tokens)
        prepare = (
            authenticate,
            components.classify(
                lambda: self.declarations, self._databases.get
            ),
            floor,
            admit,
        )
        views = FakeViews(self._clock)
        router = _DatabaseRouter()
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
                components.transactions(
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
    """Connection of a tenant to the host.

    Parameters
    ----------
    host : TenantsHost
        Host that serves the connection.
    channel : Any
        Channel that identifies the connection at the host.
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
