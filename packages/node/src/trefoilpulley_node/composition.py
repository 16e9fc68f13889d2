"""Composition root of an entry host in the pooled mode."""

from __future__ import annotations

from functools import cached_property
import random
import time
from typing import TYPE_CHECKING

from trefoilpulley_core.admission import Admission
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.configuration.store import ConfigurationStore
from trefoilpulley_core.configuration.sync import DocumentDissemination
from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.retry_budget import RetryBudget
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_core.token import TokenCodec
from trefoilpulley_node.clock import MonotonicClock
from trefoilpulley_node.configuration_runner import ConfigurationRunner
from trefoilpulley_node.coordination.driver import CoordinationDriver
from trefoilpulley_node.coordination.observer import DeploymentObserver
from trefoilpulley_node.directory import Directory
from trefoilpulley_node.entry.caller_server import CallerServer
from trefoilpulley_node.entry.caller_server import EntryComponents
from trefoilpulley_node.entry.database_views import DatabaseViews
from trefoilpulley_node.entry.entry_state import EntryState
from trefoilpulley_node.entry.entry_transactions import EntryTransactions
from trefoilpulley_node.entry.state import StateCollector
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_platform import EtcdPlatform
from trefoilpulley_node.membership_runner import MembershipRunner
from trefoilpulley_node.metrics import Metrics
from trefoilpulley_node.node import Node
from trefoilpulley_node.notice_log import NoticeLog
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_node.peers import Peers
from trefoilpulley_node.pipeline.admit import AdmissionFilter
from trefoilpulley_node.pipeline.answer import AnswerBuilder
from trefoilpulley_node.pipeline.authenticate import AuthenticationFilter
from trefoilpulley_node.pipeline.classify import ClassificationFilter
from trefoilpulley_node.pipeline.deliver import DeliveryFilter
from trefoilpulley_node.pipeline.execute import Executor
from trefoilpulley_node.pipeline.outcome_resolver import OutcomeResolver
from trefoilpulley_node.pipeline.pipeline import Pipeline
from trefoilpulley_node.pipeline.route import Router
from trefoilpulley_node.pipeline.session_floor import SessionFloorFilter
from trefoilpulley_node.policies import make_routing
from trefoilpulley_node.policies import make_slot_queue
from trefoilpulley_node.pool_owner import PoolOwnershipMonitor
from trefoilpulley_node.pooler.pooler import Pooler
from trefoilpulley_node.pooler.pooler_state import dump_pooler
from trefoilpulley_node.tls import make_caller_context
from trefoilpulley_node.tls import make_peer_client_context
from trefoilpulley_node.tls import make_peer_server_context
from trefoilpulley_node.traffic_state import TrafficState
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire.member_codec import MEMBER_CODEC
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from trefoilpulley_core.configuration.messages import DocumentKind
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_node.settings import NodeSettings


class Composition:
    """Creates each component of the process once, on first use.

    Parameters
    ----------
    cfg : NodeSettings
        Settings of the process.
    """

    def __init__(self, cfg: NodeSettings) -> None:
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._incarnation = time.time_ns()
        self._rng = random.Random(self._incarnation)
        self._targets = ClassTargets()
        self._tokens = TokenCodec(cfg.deployment, cfg.token_keys)
        self._state = StateCollector(cfg.operator_secret)

    def compose(self) -> Node:
        """Connect the components and return the process."""
        self._connect_services()
        self._register_state()
        return Node(
            self._cfg,
            (
                self._documents,
                self._membership,
                self._views,
                self._pool_ownership,
                self._coordination,
            ),
            self._membership,
            self._caller_listener,
            self._peer_listener,
            self._admit,
            self._pooler,
            self._peers,
            self._transactions,
        )

    @cached_property
    def _platform(self) -> EtcdPlatform:
        endpoint = self._cfg.platform
        return EtcdPlatform(
            EtcdGateway(f'http://{endpoint.address}:{endpoint.port}')
        )

    @cached_property
    def _documents(self) -> ConfigurationRunner:
        store = ConfigurationStore()
        dissemination = DocumentDissemination(
            self._cfg.host, self._cfg.zone, store
        )
        return ConfigurationRunner(
            store, dissemination, self._platform, self._clock
        )

    @cached_property
    def _membership(self) -> MembershipRunner:
        cfg = self._cfg
        own_entry = HostEntry(
            cfg.host, cfg.region, cfg.zone, cfg.listen, cfg.peer_listen
        )
        membership = Membership(
            own_entry,
            self._incarnation,
            [s.name for s in cfg.seeds],
            self._rng,
        )
        return MembershipRunner(membership, self._clock, cfg.seeds)

    @cached_property
    def _directory(self) -> Directory:
        return Directory(
            lambda: self._documents.catalog,
            lambda: self._membership.live_hosts,
            self._cfg.zone,
        )

    @cached_property
    def _peer_server(self) -> PeerServer:
        return PeerServer(
            self._cfg.host, self._incarnation, self._cfg.peer_secret
        )

    @cached_property
    def _peers(self) -> Peers:
        cfg = self._cfg
        return Peers(
            PeerHello(cfg.host, cfg.zone, self._incarnation, cfg.peer_secret),
            self._peer_server,
            self._membership.find_peer_endpoint,
            self._directory.find_pooler,
            make_peer_client_context(cfg.tls),
        )

    @cached_property
    def _pooler(self) -> Pooler:
        return Pooler(
            self._clock,
            lambda m: make_slot_queue(self._cfg.slots, m, self._targets),
            self._directory.find_database,
            self._directory.find_member,
            self._peers,
            self._rng,
        )

    @cached_property
    def _pool_ownership(self) -> PoolOwnershipMonitor:
        return PoolOwnershipMonitor(
            self._cfg.host, self._directory, self._pooler
        )

    @cached_property
    def _observer(self) -> DeploymentObserver:
        return DeploymentObserver(
            lambda: self._documents.catalog,
            self._get_declarations,
            lambda: self._membership.live_hosts,
        )

    @cached_property
    def _coordination(self) -> CoordinationDriver:
        return CoordinationDriver(
            self._cfg.host,
            self._incarnation,
            self._platform,
            self._peers,
            self._observer.observe,
            self._clock,
            NoticeLog(),
        )

    @cached_property
    def _views(self) -> DatabaseViews:
        return DatabaseViews(self._clock, self._peers, self._get_declarations)

    @cached_property
    def _router(self) -> Router:
        policy = make_routing(self._cfg.routing, self._targets)
        return Router(policy, self._views, self._cfg.zone, self._clock)

    @cached_property
    def _executor(self) -> Executor:
        return Executor(self._peers, self._views, self._clock)

    @cached_property
    def _outcome_resolver(self) -> OutcomeResolver:
        return OutcomeResolver(
            self._router,
            self._executor,
            self._views,
            self._is_giving_up,
            self._clock,
        )

    @cached_property
    def _admit(self) -> AdmissionFilter:
        return AdmissionFilter(Admission(self._targets), self._clock)

    @cached_property
    def _authenticate(self) -> AuthenticationFilter:
        return AuthenticationFilter(self._cfg.tenants, self._get_declarations)

    @cached_property
    def _session_floor(self) -> SessionFloorFilter:
        return SessionFloorFilter(self._tokens)

    @cached_property
    def _transactions(self) -> EntryTransactions:
        return EntryTransactions(
            self._router,
            self._peers,
            self._session_floor,
            self._outcome_resolver,
            self._views,
            self._clock,
        )

    @cached_property
    def _prepare_pipeline(self) -> Pipeline:
        return Pipeline(
            (
                self._authenticate,
                ClassificationFilter(
                    self._get_declarations, self._directory.find_database
                ),
                self._session_floor,
                self._admit,
            )
        )

    @cached_property
    def _deliver_pipeline(self) -> Pipeline:
        deliver = DeliveryFilter(
            self._router,
            self._executor,
            self._outcome_resolver,
            self._views,
            RetryBudget(),
            self._is_giving_up,
            self._clock,
        )
        return Pipeline((deliver,))

    @cached_property
    def _caller_listener(self) -> Listener:
        parts = EntryComponents(
            self._cfg.host,
            self._authenticate,
            self._admit,
            self._prepare_pipeline,
            self._deliver_pipeline,
            self._transactions,
            AnswerBuilder(self._tokens),
            self._targets,
            self._tokens,
            self._state,
            Metrics(self._cfg.statsd),
            self._clock,
        )
        return Listener(
            self._cfg.listen,
            CALLER_CODEC,
            CallerServer(parts),
            make_caller_context(self._cfg.tls),
        )

    @cached_property
    def _peer_listener(self) -> Listener:
        return Listener(
            self._cfg.peer_listen,
            PEER_CODEC,
            self._peer_server,
            make_peer_server_context(self._cfg.tls),
        )

    def _is_giving_up(self) -> bool:
        return self._admit.is_stopping or self._directory.is_cut_off()

    def _get_declarations(self) -> Declarations:
        return self._documents.configuration.declarations

    def _connect_services(self) -> None:
        self._documents.register_handlers(self._peer_server, self._peers)
        self._membership.register_handlers(self._peer_server, self._peers)
        self._pooler.register_handlers(self._peer_server)
        self._documents.subscribe(self._on_document)
        self._membership.subscribe_live(self._documents.on_live_hosts)
        self._membership.subscribe_versions(self._documents.on_versions)

    def _on_document(self, kind: DocumentKind) -> None:
        self._targets.declare(self._get_declarations().classes)
        self._membership.set_host_list(self._documents.catalog.hosts)
        self._membership.set_versions(self._documents.versions)

    def _register_state(self) -> None:
        self._state.register('entry', self._dump_entry)
        self._state.register('pooler', lambda: dump_pooler(self._pooler))
        self._state.register('membership', self._membership.dump)
        self._state.register('configuration', self._documents.dump)
        self._state.register('traffic', self._dump_traffic)
        self._state.register('coordination', self._coordination.dump)

    def _dump_traffic(self) -> TrafficState:
        return TrafficState(
            CALLER_CODEC.traffic.snapshot(),
            PEER_CODEC.traffic.snapshot(),
            MEMBER_CODEC.traffic.snapshot(),
            self._platform.counts,
        )

    def _dump_entry(self) -> EntryState:
        return EntryState(
            self._cfg.host,
            self._cfg.zone,
            len(self._caller_listener.channels),
            self._admit.running,
            len(self._transactions),
            self._views.databases_in_use,
            self._peers.open_channels,
            self._admit.is_draining,
            self._targets.snapshot(self._clock.now()),
        )


def compose(cfg: NodeSettings) -> Node:
    """Create the process of an entry host."""
    return Composition(cfg).compose()
