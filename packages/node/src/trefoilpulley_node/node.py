"""Starts, drains and stops an entry host process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_node.entry.entry_transactions import EntryTransactions
    from trefoilpulley_node.membership_runner import MembershipRunner
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.pipeline.admit import AdmissionFilter
    from trefoilpulley_node.pooler.pooler import Pooler
    from trefoilpulley_node.service import Service
    from trefoilpulley_node.settings import NodeSettings
    from trefoilpulley_wire.listener import Listener

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval between checks for running work while draining, in seconds."""

LEAVE_NOTICE_DELAY_S = 1.0
"""Wait until all peers know that this host leaves, in seconds."""


LAST_ANSWERS_TIMEOUT_S = 0.5
"""Wait for requests in progress when the process stops, in seconds."""


class Node:
    """Process of an entry host.

    Parameters
    ----------
    cfg : NodeSettings
        Settings of the process.
    services : Sequence[Service]
        Background services in the order in which they start.
    membership : MembershipRunner
        Tells the peers that this host leaves.
    caller_listener : Listener
        Accepts the connections of callers.
    peer_listener : Listener
        Accepts the connections of other hosts.
    admit : AdmissionFilter
        Refuses new requests while the host drains.
    pooler : Pooler
        Pooler role.
    peers : Peers
        Connections to other hosts.
    transactions : EntryTransactions
        Open transactions of callers.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        services: Sequence[Service],
        membership: MembershipRunner,
        caller_listener: Listener,
        peer_listener: Listener,
        admit: AdmissionFilter,
        pooler: Pooler,
        peers: Peers,
        transactions: EntryTransactions,
    ) -> None:
        self._cfg = cfg
        self._services = tuple(services)
        self._membership = membership
        self._caller_listener = caller_listener
        self._peer_listener = peer_listener
        self._admit = admit
        self._pooler = pooler
        self._peers = peers
        self._transactions = transactions

    def start(self) -> None:
        """Start all components; the listener for callers starts last."""
        self._peer_listener.start()
        for service in self._services:
            service.start()
        self._caller_listener.start()
        events.HOST_STARTED.log(host=self._cfg.host, zone=self._cfg.zone)

    def drain(self) -> None:
        """Refuse new work, finish running work, then stop."""
        events.HOST_DRAINING.log(host=self._cfg.host)
        self._admit.is_draining = True
        self._caller_listener.stop_accepting()
        self._membership.leave()
        # Peers send pooled work until they learn that this host leaves.
        gevent.sleep(LEAVE_NOTICE_DELAY_S)
        with gevent.Timeout(self._cfg.drain_s, False):
            while self._has_work():
                gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self.stop()

    def stop(self) -> None:
        """Stop all components.

        Requests that do not end at once are refused. Both listeners stop
        before the components that handle their requests.
        """
        self._admit.is_stopping = True
        self._caller_listener.stop(LAST_ANSWERS_TIMEOUT_S)
        self._peer_listener.stop(LAST_ANSWERS_TIMEOUT_S)
        for service in reversed(self._services):
            service.stop()
        self._pooler.stop()
        self._peers.close()
        events.HOST_STOPPED.log(host=self._cfg.host)

    def _has_work(self) -> bool:
        return bool(
            self._caller_listener.active_request_count
            or self._peer_listener.active_request_count
            or len(self._transactions)
            or len(self._pooler.transactions)
            or any(m.pool.slots_in_use for m in self._pooler.members.values())
        )
