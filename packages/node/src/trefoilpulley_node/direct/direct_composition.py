"""Composition root of a host in the direct mode."""

from __future__ import annotations

from functools import cached_property
import random
import time
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.direct.admission_messages import AdmissionQuestion
from trefoilpulley_core.direct.config_inquiry import ConfigInquiry
from trefoilpulley_core.direct.config_messages import ConfigurationQuestion
from trefoilpulley_core.direct.customer_limit import CustomerLimits
from trefoilpulley_core.direct.customer_limit import START_S
from trefoilpulley_core.direct.evidence_messages import EvidenceQuestion
from trefoilpulley_core.direct.failover import LeaderNotice
from trefoilpulley_core.direct.failover import OrderNotice
from trefoilpulley_core.direct.failover import ReachQuestion
from trefoilpulley_core.direct.isolation import GroupContact
from trefoilpulley_core.direct.isolation import IsolationDetector
from trefoilpulley_core.direct.relay_choice import RelayChoice
from trefoilpulley_core.direct.relay_messages import EndLease
from trefoilpulley_core.direct.relay_messages import RelayedCalls
from trefoilpulley_core.direct.watch_relay_messages import ChangesQuestion
from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.platform import PositionedPlatform
from trefoilpulley_node.direct.admission_exchange import AdmissionExchange
from trefoilpulley_node.direct.change_settler import ChangeSettler
from trefoilpulley_node.direct.claim_store import ClaimStore
from trefoilpulley_node.direct.commit_check import CommitCheck
from trefoilpulley_node.direct.commit_judge import CommitJudge
from trefoilpulley_node.direct.config_exchange import ConfigExchange
from trefoilpulley_node.direct.config_holder import ConfigHolder
from trefoilpulley_node.direct.direct_state import make_state
from trefoilpulley_node.direct.direct_state import ProxyState
from trefoilpulley_node.direct.directory import GroupDirectory
from trefoilpulley_node.direct.evidence_exchange import EvidenceExchange
from trefoilpulley_node.direct.exchange import Exchanger
from trefoilpulley_node.direct.host_maintenance import HostMaintenance
from trefoilpulley_node.direct.host_registration import HostRegistration
from trefoilpulley_node.direct.host_view import HostView
from trefoilpulley_node.direct.host_vote import HostVote
from trefoilpulley_node.direct.isolation_watch import IsolationWatch
from trefoilpulley_node.direct.leader_recorder import LeaderRecorder
from trefoilpulley_node.direct.limit_refusals import LimitRefusals
from trefoilpulley_node.direct.member_prober import MemberProber
from trefoilpulley_node.direct.platform_follower import PlatformFollower
from trefoilpulley_node.direct.primary_changer import PrimaryChanger
from trefoilpulley_node.direct.primary_wait import PrimaryWait
from trefoilpulley_node.direct.primary_watch import PrimaryWatch
from trefoilpulley_node.direct.promotion_runner import PromotionRunner
from trefoilpulley_node.direct.relay_server import RelayServer
from trefoilpulley_node.direct.relayed_platform import RelayedPlatform
from trefoilpulley_node.direct.roster_keeper import RosterKeeper
from trefoilpulley_node.direct.roster_store import RosterStore
from trefoilpulley_node.direct.session_factory import SessionFactory
from trefoilpulley_node.direct.session_registry import SessionRegistry
from trefoilpulley_node.direct.statement_runner import StatementRunner
from trefoilpulley_node import events
from trefoilpulley_node.membership_runner import MembershipRunner
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_node.peers import Peers
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire.peer_codec import PEER_CODEC

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.commit_roster import CommitRoster
    from trefoilpulley_core.direct.failover import Claim
    from trefoilpulley_core.direct.platform_documents import PlatformDocuments
    from trefoilpulley_core.direct.promotion_service import PromotionService
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_core.direct.upstream_session import UpstreamDialer
    from trefoilpulley_core.membership.live_hosts import LiveHosts
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import Platform
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.direct_settings import DirectSettings
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.route_explainer import RouteExplainer

PEER_ANSWERS_TIMEOUT_S = 0.1
"""Wait for the requests of other hosts in progress at a stop, in seconds."""

STOP_TIMEOUT_S = 0.15
"""Longest time in which the components stop, in seconds.

Part of the exit margin of the drain policy.
"""


class DirectComposition:
    """Creates each component of a host once, at its first use.

    Parameters
    ----------
    cfg : DirectSettings
        Settings of the host.
    platform : Platform
        The platform's service.
    documents : PlatformDocuments
        Format of the platform's routes and member entries.
    dialer : UpstreamDialer
        Opens connections to members.
    promotions : PromotionService
        Orders promotions from the platform.
    clock : Clock
        Monotonic time that continues while the machine is suspended.
    metrics : DirectMetrics
        Counters, histograms and gauges of the host.
    """

    def __init__(
        self,
        cfg: DirectSettings,
        platform: Platform,
        documents: PlatformDocuments,
        dialer: UpstreamDialer,
        promotions: PromotionService,
        clock: Clock,
        metrics: DirectMetrics,
    ) -> None:
        self.metrics = metrics
        """Counters, histograms and gauges of the host."""

        self._cfg = cfg
        self._platform = platform
        self._documents = documents
        self._dialer = dialer
        self._promotions = promotions
        self._clock = clock
        # The incarnation only distinguishes the starts of one host; no
        # decision uses the incarnation as a time.
        self._incarnation = time.time_ns()
        self._rng = random.Random(self._incarnation)
        self._watches: list[PrimaryWatch] = []

    def start(self) -> None:
        """Start the components that run in the background."""
        self.directory.subscribe_groups(self._watch_group)
        self._membership.register_handlers(self._peer_server, self._peers)
        self._membership.subscribe_live(self._on_live_hosts)
        self._membership.subscribe_versions(self._config_exchange.on_versions)
        self.configuration.subscribe(self._config_exchange.on_applied)
        self.configuration.subscribe(self._set_limits)
        self.configuration.subscribe(lambda table: self.sessions.check_keys())
        self._update_hosts()
        gevent.spawn_later(START_S, self._update_limits)
        self._peer_server.register(
            ReachQuestion,
            lambda question, _: self._vote.on_reach_question(question),
        )
        self._peer_server.register(
            LeaderNotice,
            lambda notice, _: self.changer.on_leader_notice(notice),
        )
        self._peer_server.register(
            OrderNotice,
            lambda notice, _: self.changer.on_order_notice(notice),
        )
        self._peer_server.register(
            EvidenceQuestion,
            lambda question, _: self._evidence.on_question(question),
        )
        self._peer_server.register(
            ConfigurationQuestion,
            lambda question, _: self.configuration.on_question(question),
        )
        self._peer_server.register(
            AdmissionQuestion,
            lambda question, _: self._admissions.on_question(question),
        )
        self._isolation.register_handlers(self._peer_server)
        if self._relayed is not None:
            self._peer_server.register(
                ChangesQuestion,
                lambda question, _: self._relayed.relay.on_question(question),
            )
        self._peer_server.register(RelayedCalls, self.relay_server.on_calls)
        self._peer_server.register(EndLease, self.relay_server.on_end)
        self._peer_server.register_close(self.relay_server.on_peer_closed)
        self._register_gauges()
        self._peer_listener.start()
        self._membership.start()
        self._follower.start()
        self._config_exchange.start()
        self._registration.start()
        self._isolation.start()
        self._maintenance.start()
        events.HOST_STARTED.log(host=self._cfg.host, zone=self._cfg.zone)

    def on_settings_changed(self) -> None:
        """Log that changed settings take effect at the next start only."""
        events.SETTINGS_KEPT.log(host=self._cfg.host)

    def drain(self, stop_accepting: Callable[[], None]) -> None:
        """Drain the sessions, then stop.

        Parameters
        ----------
        stop_accepting : Callable[[], None]
            Ends the intake of callers; see `SessionRegistry.drain`.
        """
        events.HOST_DRAINING.log(
            host=self._cfg.host, sessions=len(self.sessions)
        )

        def stop_intake() -> None:
            self.relay_server.refuse()
            stop_accepting()

        began_at = self._clock.now()
        gevent.spawn(self._leave)
        self.sessions.drain(
            self._cfg.grace_s,
            lambda: self.relay_server.lease_count,
            stop_intake,
        )
        events.DRAIN_ENDED.log(
            host=self._cfg.host,
            connections=self.sessions.connection_count,
            busy=self.sessions.busy_count,
            leases=self.relay_server.lease_count,
            took_ms=round(1000 * (self._clock.now() - began_at)),
        )
        self.stop()

    def stop(self) -> None:
        """Stop every component within ``STOP_TIMEOUT_S``.

        Answers to other hosts that are ready are sent. The waits run side by
        side, so that they end within the grace period together.
        """
        for watch in self._watches:
            watch.stop()
        if self._relayed is not None:
            self._relayed.stop()
        self._follower.stop()
        self._config_exchange.stop()
        self._admissions.stop()
        self._isolation.stop()
        self._maintenance.stop()
        self._membership.stop()
        gevent.joinall(
            [
                gevent.spawn(self._peer_listener.stop, PEER_ANSWERS_TIMEOUT_S),
                gevent.spawn(self._registration.stop),
                gevent.spawn(self._peers.close),
            ],
            timeout=STOP_TIMEOUT_S,
        )
        events.HOST_STOPPED.log(
            host=self._cfg.host, connections=self.sessions.connection_count
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers to this host."""
        if self.sessions.is_draining or not self.directory.is_loaded:
            return False
        return not self._isolation.is_isolated

    @cached_property
    def directory(self) -> GroupDirectory:
        """Routes, groups and member accesses."""
        return GroupDirectory(
            self._cfg.host,
            self._cfg.zone,
            self._dialer,
            self._peers,
            self._clock,
            self.metrics,
            self.find_leader,
        )

    @cached_property
    def sessions(self) -> SessionRegistry:
        """Open sessions."""
        return SessionRegistry(self._clock)

    @cached_property
    def factory(self) -> SessionFactory:
        """Creates the callers' sessions."""
        runner = StatementRunner(
            self._cfg.zone,
            self._exchanger,
            self._primary_wait,
            self._clock,
            self.metrics,
            self._commits,
        )
        return SessionFactory(
            self._cfg.zone,
            self.directory,
            runner,
            self._exchanger,
            self._primary_wait,
            self._admissions,
            self._clock,
            self.metrics,
            self._commits,
        )

    @cached_property
    def routes(self) -> RouteExplainer:
        """Explains where this host would send requests."""
        # Imported here, since the import would slow the start of every host.
        from trefoilpulley_node.direct.route_explainer import RouteExplainer

        return RouteExplainer(
            self._cfg.host,
            self._cfg.zone,
            self.directory,
            self.sessions,
            self._primary_wait,
            self._admissions,
            self._clock,
        )

    @cached_property
    def _limits(self) -> CustomerLimits:
        return CustomerLimits(
            self._cfg.host, self._cfg.limit_bounds, self._clock.now()
        )

    @cached_property
    def _admissions(self) -> AdmissionExchange:
        return AdmissionExchange(
            self._cfg.host,
            self._limits,
            self._peers,
            self._clock,
            self.metrics,
            LimitRefusals(self.metrics),
        )

    @cached_property
    def _exchanger(self) -> Exchanger:
        return Exchanger(self._clock, self.metrics)

    @cached_property
    def _primary_wait(self) -> PrimaryWait:
        return PrimaryWait(
            self._clock, self._cfg.drain_s, self._is_change_open
        )

    @cached_property
    def _commits(self) -> CommitCheck:
        return CommitCheck(
            self._clock,
            self._is_change_open,
            self._claims.last_round,
            self._claims.term_starts,
            self._claims.refresh,
            lambda: self._isolation.is_isolated,
        )

    def _is_change_open(self, group: Group) -> bool:
        return self._claims.is_open(group.state)

    @cached_property
    def _host_entry(self) -> HostEntry:
        cfg = self._cfg
        return HostEntry(
            cfg.host,
            cfg.region,
            cfg.zone,
            cfg.listen,
            cfg.peer_listen,
            capacity=cfg.capacity,
        )

    @cached_property
    def _membership(self) -> MembershipRunner:
        membership = Membership(
            self._host_entry,
            self._incarnation,
            [s.name for s in self._cfg.seeds],
            self._rng,
        )
        return MembershipRunner(membership, self._clock, self._cfg.seeds)

    @cached_property
    def _peer_server(self) -> PeerServer:
        cfg = self._cfg
        return PeerServer(cfg.host, self._incarnation, cfg.peer_secret)

    @cached_property
    def _peers(self) -> Peers:
        cfg = self._cfg
        return Peers(
            PeerHello(cfg.host, cfg.zone, self._incarnation, cfg.peer_secret),
            self._peer_server,
            self._membership.find_peer_endpoint,
            lambda member: None,
            is_compressed=self._is_in_other_zone,
            observe=self._isolation.observe,
        )

    @cached_property
    def _peer_listener(self) -> Listener:
        return Listener(self._cfg.peer_listen, PEER_CODEC, self._peer_server)

    @cached_property
    def _registration(self) -> HostRegistration:
        return HostRegistration(
            self._host_entry, self._platform, self._clock, self._rng
        )

    @cached_property
    def _claims(self) -> ClaimStore:
        return ClaimStore(
            self._cfg.host,
            self._platform,
            self._registered_hosts,
            self._clock,
        )

    @cached_property
    def _rosters(self) -> RosterStore:
        return RosterStore(self._platform)

    @cached_property
    def _roster_keeper(self) -> RosterKeeper:
        return RosterKeeper(
            self._cfg.host,
            self._rosters,
            self._prober,
            self._vote,
            self._registered_hosts,
            self._clock,
        )

    @cached_property
    def _prober(self) -> MemberProber:
        return MemberProber(self._exchanger, self._dialer, self._clock)

    @cached_property
    def _evidence(self) -> EvidenceExchange:
        return EvidenceExchange(
            self._cfg.host,
            self._peers,
            self._registered_hosts,
            self.directory.groups,
            self._clock,
            self._rng,
        )

    @cached_property
    def relay_server(self) -> RelayServer:
        """Relays requests of other hosts to members."""
        return RelayServer(self.directory.groups, self._exchanger, self._clock)

    @cached_property
    def _vote(self) -> HostVote:
        return HostVote(
            self._cfg.host,
            self._prober,
            self._peers,
            self._registered_hosts,
            self.directory.groups,
            self._clock,
            self.find_roster,
            lambda name: self._claims.term_starts(name),
        )

    @cached_property
    def changer(self) -> PrimaryChanger:
        """Changes primaries."""
        return PrimaryChanger(
            self._cfg.host,
            self._prober,
            self._vote,
            self._claims,
            self._promotion_runner,
            self._leaders,
            self._judge,
            self._registered_hosts,
            lambda: self._hosts.live,
            self.directory.groups,
            self._clock,
        )

    @cached_property
    def _judge(self) -> CommitJudge:
        return CommitJudge(self._rosters)

    @cached_property
    def _settler(self) -> ChangeSettler:
        return ChangeSettler(
            self._cfg.host,
            self.changer,
            self._prober,
            self._claims,
            self._promotion_runner,
            self._leaders,
            self._judge,
            self._registered_hosts,
            lambda: self._hosts.live,
            self._clock,
        )

    @cached_property
    def _leaders(self) -> LeaderRecorder:
        return LeaderRecorder(
            self._cfg.host,
            self._prober,
            self._claims,
            self._peers,
            self._registered_hosts,
            self._clock,
        )

    @cached_property
    def _promotion_runner(self) -> PromotionRunner:
        return PromotionRunner(
            self._cfg.host,
            self._prober,
            self._claims,
            self._promotions,
            self._leaders,
            lambda: self._registration.first_lease,
            self._clock,
            self.metrics,
        )

    @cached_property
    def _follower(self) -> PlatformFollower:
        return PlatformFollower(
            self._relayed or self._platform,
            self._documents,
            self.configuration,
            self.directory,
            self._on_host_list,
            self._on_claim,
            self._on_roster,
            self._on_read,
            self._clock,
        )

    @cached_property
    def _relayed(self) -> RelayedPlatform | None:
        if not isinstance(self._platform, PositionedPlatform):
            return None
        return RelayedPlatform(
            self._platform,
            RelayChoice(self._cfg.host, self._cfg.zone, self._rng),
            self._documents,
            self._peers,
            self._clock,
            self.metrics,
        )

    @cached_property
    def configuration(self) -> ConfigHolder:
        """Configuration in force, as other hosts are told it."""
        return ConfigHolder(self._documents, self.directory)

    @cached_property
    def _config_exchange(self) -> ConfigExchange:
        return ConfigExchange(
            ConfigInquiry(
                self._cfg.host, self._cfg.zone, self._rng, self._clock.now()
            ),
            self.configuration,
            self._peers,
            lambda: self._follower.is_following,
            lambda: self.directory.live_hosts,
            self._membership.set_versions,
            self._clock,
            self.metrics,
        )

    @cached_property
    def _hosts(self) -> HostView:
        return HostView(
            self._host_entry,
            lambda: self._follower.hosts,
            self._membership.find_entry,
            lambda: self._membership.live_hosts,
            self.sessions,
        )

    @cached_property
    def _maintenance(self) -> HostMaintenance:
        return HostMaintenance(
            self.directory,
            self._follower,
            self._claims,
            self._roster_keeper,
            self.relay_server,
            self.sessions,
            self._primary_wait,
            self._isolation,
        )

    @cached_property
    def _isolation(self) -> IsolationWatch:
        cfg = self._cfg
        return IsolationWatch(
            IsolationDetector(
                cfg.host, cfg.zone, self._rng, self._clock.now()
            ),
            lambda: self._peers,
            lambda: self._hosts.live,
            self._list_primaries,
            self._clock,
            self.metrics,
        )

    def _list_primaries(self) -> list[GroupContact]:
        return [
            self._describe_primary(g) for g in self.directory.groups.values()
        ]

    def _describe_primary(self, group: Group) -> GroupContact:
        health = group.state.members.get(group.state.primary or '')
        return GroupContact(
            health.record.zone if health else None,
            self._primary_wait.is_lost(group),
            health.last_answer_at if health else float('-inf'),
        )

    def _is_in_other_zone(self, host: str) -> bool:
        return self._registered_hosts().get(host) != self._cfg.zone

    def _registered_hosts(self) -> dict[str, str]:
        return self._hosts.registered

    def _on_live_hosts(self, live: LiveHosts) -> None:
        self._update_hosts()

    def _leave(self) -> None:
        # The limits of this host get new owners at once.
        self._update_limits()
        self._membership.leave()

    def _update_hosts(self) -> None:
        hosts = self._hosts
        self._isolation.set_hosts(hosts.registered)
        zones, capacities = hosts.live_zones, hosts.capacities
        self.directory.set_hosts(zones, capacities)
        self._update_limits()
        if self._relayed is not None:
            self._relayed.set_hosts(
                len(hosts.registered), zones[self._cfg.zone], capacities
            )

    def _update_limits(self) -> None:
        hosts = self._hosts
        self._limits.set_hosts(
            hosts.live,
            hosts.registered,
            hosts.capacities,
            self._clock.now(),
        )

    def _set_limits(self, table: RouteTable) -> None:
        customers = table.customers.customers if table.customers else {}
        self._limits.set_customers(customers, self._clock.now())

    def _on_host_list(self, entries: tuple[HostEntry, ...]) -> None:
        self._membership.set_host_list(entries)
        self._update_hosts()

    def _on_claim(self, name: str, claim: Claim, entry: KeyValue) -> None:
        is_announced = self._claims.record_claim(
            name, claim, entry.mod_revision, entry.era
        )
        if is_announced and self._follower.is_synchronized:
            self.changer.on_claim(name, claim)
        self.changer.on_leader(name)

    def _on_roster(
        self, name: str, roster: CommitRoster, entry: KeyValue
    ) -> None:
        self._rosters.record(name, roster, entry.mod_revision, entry.era)

    def _on_read(self, era: int) -> None:
        self._claims.begin_era(era)
        self._rosters.begin_era(era)
        self._registration.begin_era(era)
        if not self._follower.is_synchronized:
            self.changer.on_first_read()

    def _register_gauges(self) -> None:
        register = self.metrics.register_gauge
        directory = self.directory
        register('sessions', lambda: len(self.sessions))
        register('connections', lambda: directory.open_connections)
        register('leases', lambda: self.relay_server.lease_count)
        register('waiting', lambda: directory.waiting_requests)
        register('in_flight', lambda: directory.in_flight_statements)
        register('members_paced', lambda: directory.paced_members)
        register('isolated', lambda: self._isolation.is_isolated)
        register('groups_lost', lambda: self._maintenance.lost_group_count)
        register('configuration_version', lambda: directory.table.version)
        register('customers', lambda: self.configuration.customer_count)
        register('customers_left_out', lambda: self.configuration.fault_count)
        register('service_followed', lambda: self._follower.is_following)
        register('service_answer_age_seconds', lambda: self._follower.age_s)
        register(
            'service_followed_directly',
            lambda: self._relayed is None or self._relayed.is_direct,
        )
        register('service_era', lambda: self._platform.era)
        register('lease_age_seconds', lambda: self._registration.lease_age_s)
        register('live_hosts', lambda: len(self._hosts.live))

    def find_roster(self, group: str) -> CommitRoster | None:
        """Return the members that may have confirmed a group's commits.

        ``None`` if the host knows none.
        """
        roster = self._rosters.find(group).in_force
        return roster if roster.members else None

    def find_leader(self, group: str) -> str:
        """Return the leader that changes of a group's primary have confirmed.

        Before the first change, it is the first primary that was known; empty
        if there is none.
        """
        leader = self._claims.leader_of(group)
        if leader:
            return leader
        known = self.directory.groups.get(group)
        return (known.state.last_primary if known else None) or ''

    def dump(self) -> ProxyState:
        """Return the state of the host."""
        return make_state(
            self._cfg,
            self.directory,
            len(self.sessions),
            self._hosts.live,
            self._hosts.registered,
            self._isolation,
            self.configuration.source,
            self._limits,
            self._relayed.relays if self._relayed else (),
            self.find_roster,
            self._clock.now(),
        )

    def _watch_group(self, group: Group) -> None:
        watch = PrimaryWatch(
            group,
            self._prober,
            self._vote,
            self.changer,
            self._settler,
            self._evidence,
            self._clock,
            self.metrics,
        )
        self._watches.append(watch)
        watch.start()
