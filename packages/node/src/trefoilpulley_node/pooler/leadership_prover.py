"""Proves that a pooled primary still leads its group.

Reads that must see the present state require such a proof.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from returns.result import Success

from trefoilpulley_core.leadership import LeadershipProof
from trefoilpulley_core.peer import GetStatus
from trefoilpulley_core.peer import StatusReport

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.pooler.member_monitor import MemberMonitor

ROUND_TIMEOUT_S = 0.3
"""Longest wait for the members' answers in one round, in seconds."""


class LeadershipProver:
    """Asks the members of a group for their fenced terms.

    One round of requests serves all reads that wait for a proof.

    Parameters
    ----------
    entry : DatabaseEntry
        Database group.
    member : str
        Name of the pooled member whose leadership is proven.
    monitor : MemberMonitor
        Control connection to the pooled member.
    peers : Peers
        Sends requests to the poolers of the other members.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        entry: DatabaseEntry,
        member: str,
        monitor: MemberMonitor,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._others = [m.name for m in entry.members if m.name != member]
        self._majority = entry.majority
        self._monitor = monitor
        self._peers = peers
        self._clock = clock
        self._proof = LeadershipProof(len(entry.members))
        self._running_round: AsyncResult | None = None

    def age_ms(self) -> int | None:
        """Return the milliseconds since the last proof, or ``None``."""
        proven_at = self._proof.proven_at()
        if proven_at is None:
            return None
        return max(0, round(1000 * (self._clock.now() - proven_at)))

    def prove(self, since: float) -> bool:
        """Return whether the member is proven to have led.

        Parameters
        ----------
        since : float
            Monotonic time in seconds at which, or after which, the member
            must have led.
        """
        for _ in range(2):
            if self._proof.is_proven_since(since):
                return True
            self._run_round()
        return self._proof.is_proven_since(since)

    def _run_round(self) -> None:
        # A read that joins a running round may need a second round,
        # because the requests of the running round were sent before
        # the read arrived.
        if self._running_round is not None:
            self._running_round.wait()
            return
        self._running_round = AsyncResult()
        try:
            self._ask_all()
        finally:
            ended, self._running_round = self._running_round, None
            ended.set(None)

    def _ask_all(self) -> None:
        asked_at = self._clock.now()
        status = self._monitor.send_control(lambda link: link.status())
        if not isinstance(status, Success) or not status.unwrap().is_primary:
            self._proof.reset()
            return
        own_status = status.unwrap()
        self._proof.on_primary_status(
            own_status.term, own_status.fenced_term, asked_at
        )
        greenlets = [
            gevent.spawn(self._ask_member, name) for name in self._others
        ]
        answers_needed = self._majority - 1
        for _ in gevent.iwait(greenlets, timeout=ROUND_TIMEOUT_S):
            answers_needed -= 1
            if answers_needed <= 0 and self._proof.is_proven_since(asked_at):
                return

    def _ask_member(self, name: str) -> None:
        asked_at = self._clock.now()
        reply = self._peers.call_pooler(
            name, GetStatus(name), ROUND_TIMEOUT_S
        ).value_or(None)
        if isinstance(reply, StatusReport):
            self._proof.on_replica_status(
                name, reply.status.fenced_term, asked_at
            )
