"""Composition root: wires the parts of an entry host process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.live_hosts import LiveHosts
from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.token import TokenCodec
from trefoilpulley_node.clock import MonotonicClock
from trefoilpulley_node.directory import Directory
from trefoilpulley_node.entry.caller_server import CallerServer
from trefoilpulley_node.entry.caller_server import EntryParts
from trefoilpulley_node.entry.entry_state import EntryState
from trefoilpulley_node.entry.entry_transactions import EntryTransactions
from trefoilpulley_node.entry.state import StateSource
from trefoilpulley_node.entry.views import Views
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_platform import EtcdPlatform
from trefoilpulley_node.metrics import Metrics
from trefoilpulley_node.node import Node
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_node.peers import Peers
from trefoilpulley_node.pipeline.admit import Admit
from trefoilpulley_node.pipeline.answer import AnswerMaker
from trefoilpulley_node.pipeline.authenticate import Authenticate
from trefoilpulley_node.pipeline.classify import Classify
from trefoilpulley_node.pipeline.confirm import Confirm
from trefoilpulley_node.pipeline.deliver import Deliver
from trefoilpulley_node.pipeline.execute import Executor
from trefoilpulley_node.pipeline.pipeline import Pipeline
from trefoilpulley_node.pipeline.route import Router
from trefoilpulley_node.pipeline.session_floor import SessionFloor
from trefoilpulley_node.policies import make_routing
from trefoilpulley_node.policies import make_slot_queue
from trefoilpulley_node.pooler.pooler import Pooler
from trefoilpulley_node.pooler.pooler_state import dump_pooler
from trefoilpulley_node.stored_documents import StoredDocuments
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from trefoilpulley_node.settings import NodeSettings


def compose(cfg: NodeSettings) -> Node:
    """Return the wired process of one entry host."""
    clock = MonotonicClock()
    incarnation = time.time_ns()
    platform = EtcdPlatform(
        EtcdGateway(f'http://{cfg.platform.address}:{cfg.platform.port}')
    )
    documents = StoredDocuments(platform)

    def get_live() -> LiveHosts:
        zones = sorted({h.zone for h in documents.catalog.hosts})
        return LiveHosts(
            cfg.region,
            0,
            tuple(
                ZoneHosts(
                    z,
                    cfg.region,
                    tuple(
                        sorted(
                            h.name
                            for h in documents.catalog.hosts
                            if h.zone == z
                        )
                    ),
                )
                for z in zones
            ),
        )

    def get_declarations():
        return documents.configuration.declarations

    directory = Directory(lambda: documents.catalog, get_live)
    peer_server = PeerServer(cfg.host, incarnation, cfg.peer_secret)
    peers = Peers(
        PeerHello(cfg.host, cfg.zone, incarnation, cfg.peer_secret),
        peer_server,
        directory.find_peer_endpoint,
        directory.find_pooler,
    )
    pooler = Pooler(
        clock,
        lambda member: make_slot_queue(cfg.slots, member),
        directory.find_database,
        directory.find_member,
    )
    pooler.serve_on(peer_server, peers)
    views = Views(clock, peers, get_declarations)
    tokens = TokenCodec(cfg.deployment, cfg.token_keys)
    router = Router(make_routing(cfg.routing), views, cfg.zone, clock)
    executor = Executor(peers, views, clock)
    confirm = Confirm(router, executor, views, clock)
    admit = Admit()
    authenticate = Authenticate(cfg.tenants, get_declarations)
    state = StateSource(cfg.operator_secret)
    parts = EntryParts(
        cfg.host,
        authenticate,
        admit,
        Pipeline(
            (
                authenticate,
                Classify(get_declarations, directory.find_database),
                SessionFloor(tokens),
                admit,
            )
        ),
        Pipeline((Deliver(router, executor, confirm, views, clock),)),
        EntryTransactions(router, peers, confirm, views, clock),
        AnswerMaker(tokens),
        tokens,
        state,
        Metrics(cfg.statsd),
        clock,
    )
    callers = Listener(cfg.listen, CALLER_CODEC, CallerServer(parts))
    peer_listener = Listener(cfg.peer_listen, PEER_CODEC, peer_server)
    state.register(
        'entry',
        lambda: EntryState(
            cfg.host,
            cfg.zone,
            len(callers.channels),
            admit.running,
            len(parts.transactions),
            views.databases_in_use,
            peers.open_channels,
            admit.is_draining,
            documents.configuration.revision,
        ),
    )
    state.register('pooler', lambda: dump_pooler(pooler))
    return Node(
        cfg,
        (documents, views),
        callers,
        peer_listener,
        admit,
        pooler,
        peers,
        parts.transactions,
    )
