"""Use of other hosts' connections to one member."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.connection_holders import ConnectionHolders
from trefoilpulley_core.direct.connection_holders import rank_customer_holders
from trefoilpulley_core.direct.connection_holders import rank_holders
from trefoilpulley_core.direct.evidence_messages import read_report
from trefoilpulley_core.direct.holder_order import HolderOrder
from trefoilpulley_core.direct.holder_order import HolderSearch
from trefoilpulley_core.direct.holder_order import Refusal
from trefoilpulley_node.direct.relayed_session import RelayedSession
from trefoilpulley_node import events

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.direct.relay_messages import RelayedReplies
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.member_pool import MemberPool
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_wire.channel import Channel

MAX_CACHED_RANKS = 1024
"""Customers whose ranked holders are cached."""

HOLDER_DIAL_TIMEOUT_S = 0.15
"""Timeout to connect to a holder, in seconds."""


class RelayClient:
    """Opens sessions with one member that are relayed through its holders.

    Parameters
    ----------
    host : str
        Name of this host.
    group : GroupState
        State of the member's group as known to this host.
    pool : MemberPool
        Connections of this host to the member, used where this host is the
        next holder in rank.
    peers : Peers
        Connections to the other hosts.
    clock : Clock
        Monotonic time.
    """

    _lease_numbers = count(1)

    def __init__(
        self,
        host: str,
        group: GroupState,
        pool: MemberPool,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._host = host
        self._group = group
        self.pool = pool
        """Connections of this host to the member."""

        self._health = pool.health
        self._peers = peers
        self._clock = clock
        self._holders = ConnectionHolders((), 1)
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._order = HolderOrder()

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._host

    @property
    def holders(self) -> tuple[str, ...]:
        """Holders in the order to try for work without a customer."""
        return self.holders_for('')

    def holders_for(self, customer: str) -> tuple[str, ...]:
        """Return the holders in the order to try for work of a customer.

        Holders that have failed lately come last.
        """
        now = self._clock.now()
        if self.pool.reach.own.is_refusing:
            # This host is a holder that does not reach the member itself.
            self._order.on_missed(self._host, now)
        else:
            self._order.on_served(self._host)
        return self._order.sort(self._rank(customer), now)

    @property
    def is_active(self) -> bool:
        """Whether this host reaches the member through other hosts only."""
        hosts = self._holders.hosts
        return bool(hosts) and self._host not in hosts

    def is_used_for(self, work: ConnectionRequest) -> bool:
        """Return whether work uses another host's connections first.

        A holder serves work without a customer itself.
        """
        if not work.customer or self._host not in self._holders.hosts:
            return self.is_active
        return self.holders_for(work.customer)[0] != self._host

    def has_next_holder(self, work: ConnectionRequest) -> bool:
        """Return whether another holder may serve what this host refused.

        Where this host reaches the member, the connections of other holders
        are of use only to customers; other work has its own holders at each
        host. This host's own requests stay here: they find out what this host
        itself reaches.
        """
        if len(self._holders.hosts) < 2 or self._clock.now() >= work.deadline:
            return False
        is_missed = self.pool.reach.own.is_refusing and not work.is_internal
        return is_missed or bool(work.customer)

    def classify_own_refusal(self) -> Refusal:
        """Return what the refusal of this host, as a holder, says."""
        if self.pool.reach.own.is_refusing:
            return Refusal.MEMBER_MISSED
        return Refusal.OTHER

    def search(
        self, work: ConnectionRequest, refused_here: Refusal | None
    ) -> HolderSearch:
        """Begin the search of a request for a holder.

        Parameters
        ----------
        work : ConnectionRequest
            Work of the request.
        refused_here : Refusal, optional
            What this host's refusal said, if it was asked before.
        """
        holders = self.holders_for(work.customer)
        if refused_here is not None:
            holders = tuple(h for h in holders if h != self._host)
        return HolderSearch(
            holders, len(self._holders.hosts) == 1, refused_here
        )

    def update(self, holders: ConnectionHolders) -> None:
        """Set the holders of the member."""
        if holders != self._holders:
            self._holders = holders
            self._ranks.clear()

    def open(
        self, work: ConnectionRequest, refused_here: Refusal | None = None
    ) -> RelayedSession:
        """Return a session, which leases a connection at its first use.

        Parameters
        ----------
        work : ConnectionRequest
            Work that the session is opened for.
        refused_here : Refusal, optional
            What this host's refusal said, if it was asked before.
        """
        return RelayedSession(
            self, next(self._lease_numbers), work, refused_here
        )

    def _rank(self, customer: str) -> tuple[str, ...]:
        ranked = self._ranks.get(customer)
        if ranked is None:
            record = self._health.record
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            if customer:
                ranked = rank_customer_holders(
                    record.group, customer, self._holders
                )
            else:
                ranked = rank_holders(record.member, self._host, self._holders)
            self._ranks[customer] = ranked
        return ranked

    def find_channel(self, holder: str) -> Result[Channel, Failure]:
        """Return the channel to a holder."""
        opened = self._peers.open_channel(holder, HOLDER_DIAL_TIMEOUT_S)
        if not isinstance(opened, Success):
            self.on_holder_timeout(holder)
        return opened

    @property
    def record(self) -> MemberRecord:
        """Entry of the member in the platform's service."""
        return self._health.record

    def now(self) -> float:
        """Return the present time in seconds."""
        return self._clock.now()

    def on_replies(
        self, holder: str, replies: RelayedReplies, asked_at: float
    ) -> None:
        """Record the expected latency and evidence that a holder reports."""
        now = self._clock.now()
        self._order.on_served(holder)
        if not self.pool.has_latency(now):
            self._health.on_reported_latency(replies.expected_ms / 1000, now)
        if replies.has_queue:
            self._health.queued_at = now
        evidence = read_report(replies.evidence, asked_at)
        if evidence is not None:
            self._group.evidence.record(evidence.at, evidence.position)

    def on_holder_timeout(self, holder: str) -> None:
        """Put a holder that did not answer into backoff."""
        if self._order.on_silent(holder, self._clock.now()):
            events.HOLDER_PASSED_OVER.log(
                member=self._health.record.member, holder=holder
            )

    def on_member_missed(self, holder: str) -> None:
        """Rank a holder that does not reach the member last for a time."""
        if self._order.on_missed(holder, self._clock.now()):
            events.HOLDER_CUT_OFF.log(
                member=self._health.record.member, holder=holder
            )

    def on_overloaded(self) -> None:
        """Record that a holder's queue for the member was too long."""
        self._health.overload.on_refused(self._clock.now())

    def on_member_unreachable(self) -> None:
        """Record that the member does not answer its holders."""
        now = self._clock.now()
        self._health.on_unreachable(now)
        if self.is_active:
            self.pool.on_unreachable(now)
