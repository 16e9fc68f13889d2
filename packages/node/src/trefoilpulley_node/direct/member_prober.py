"""Sends health checks, status requests and replication commands to members."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.direct.connection_request import ConnectionRequest
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import AskStatus
from trefoilpulley_core.direct.upstream_session import ConnectionLimitReached
from trefoilpulley_core.direct.upstream_session import Demote
from trefoilpulley_core.direct.upstream_session import HoldReplication
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import ResumeReplication
from trefoilpulley_core.direct.upstream_session import RollBack
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_node.direct.exchange import record_proof

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.upstream_session import Call
    from trefoilpulley_core.direct.upstream_session import LogStatus
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.direct.upstream_session import UpstreamDialer
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.exchange import Exchanger

PROBE_PRIORITY = -1
"""Priority of this host's own requests, above that of every route."""

PROBE_TIMEOUT_S = 0.25
"""Timeout of a request to a member, in seconds."""

LAST_STATUS_TIMEOUT_S = 0.06
"""Time to wait for the remaining members once most answered, in seconds."""

MAX_STATUS_ATTEMPTS = 4
"""Attempts to read the status of a member without a free slot."""

STATUS_RETRY_INTERVAL_S = 0.03
"""Time before the status of a busy member is read again, in seconds."""

_NO_VALUES = SessionState()
_ASK_STATUS = AskStatus()


class MemberProber:
    """Sends this host's health checks and commands to members.

    Parameters
    ----------
    exchanger : Exchanger
        Sends requests on connections.
    dialer : UpstreamDialer
        Opens connections.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, exchanger: Exchanger, dialer: UpstreamDialer, clock: Clock
    ) -> None:
        self._exchanger = exchanger
        self._dialer = dialer
        self._clock = clock

    def verify_leader(self, group: Group, member: str) -> bool:
        """Return whether a member proves its leadership; record the proof."""
        sent_at = self._clock.now()
        reply = self._send(
            group, member, (OpenTransaction(is_read_only=False), RollBack())
        )
        if reply is None or reply.failure is not None:
            return False
        record_proof(group, group.accesses[member], sent_at, reply.position)
        return True

    def find_leader(self, group: Group) -> bool:
        """Ask all members at once; return whether the group has a primary."""
        greenlets = [
            gevent.spawn(self.verify_leader, group, member)
            for member in group.state.members
        ]
        for _ in gevent.iwait(greenlets, timeout=PROBE_TIMEOUT_S):
            if group.state.primary is not None:
                return True
        return group.state.primary is not None

    def can_connect(
        self, group: Group, member: str, endpoint: Endpoint | None = None
    ) -> bool:
        """Return whether a member accepts a new connection.

        Parameters
        ----------
        group : Group
            Group of the member.
        member : str
            Identifier of the member.
        endpoint : Endpoint, optional
            Address to use if the member is not in use any more.
        """
        access = group.find_access(member)
        if access is not None:
            record = access.health.record
        elif endpoint is not None:
            record = MemberRecord(
                member, group.state.group, endpoint, '', False, False
            )
        else:
            return False
        dialled = self._dialer.dial(record, PROBE_TIMEOUT_S)
        if isinstance(dialled, Success):
            dialled.unwrap().close()
        elif not isinstance(dialled.failure(), ConnectionLimitReached):
            return False
        if access is not None:
            access.local_pool.reach.on_answer(self._clock.now())
        return True

    def read_status(
        self,
        group: Group,
        member: str,
        call: AskStatus | HoldReplication = _ASK_STATUS,
    ) -> LogStatus | None:
        """Return the log status of a member, or ``None`` without an answer."""
        for _ in range(MAX_STATUS_ATTEMPTS):
            reply = self._send(group, member, (call,))
            if reply is None:
                return None
            if reply.status is not None:
                return reply.status
            if not isinstance(reply.failure, Overloaded):
                return None
            gevent.sleep(STATUS_RETRY_INTERVAL_S)
        return None

    def pause_replication(
        self, group: Group, statuses: Mapping[str, LogStatus]
    ) -> dict[str, LogStatus]:
        """Pause replication at the replicas; return their log statuses.

        While replication is paused, a replica that is not promoted can't
        confirm a commit of a primary that this host can't reach.
        """
        term = 1 + max((s.term for s in statuses.values()), default=0)
        return self.read_statuses(
            group, tuple(statuses), HoldReplication(term)
        )

    def resume_replication(self, group: Group, members: Iterable[str]) -> None:
        """Resume replication at replicas after a change was abandoned."""
        for member in members:
            gevent.spawn(self._send, group, member, (ResumeReplication(),))

    def read_statuses(
        self,
        group: Group,
        members: tuple[str, ...],
        call: AskStatus | HoldReplication = _ASK_STATUS,
    ) -> dict[str, LogStatus]:
        """Return the log status of each member that answers in time."""
        greenlets = {
            m: gevent.spawn(self.read_status, group, m, call) for m in members
        }
        majority = len(group.state.members) // 2 + 1
        answer_count = 0
        for greenlet in gevent.iwait(
            list(greenlets.values()), timeout=2 * PROBE_TIMEOUT_S
        ):
            answer_count += greenlet.value is not None
            if answer_count >= majority:
                break
        gevent.joinall(list(greenlets.values()), timeout=LAST_STATUS_TIMEOUT_S)
        statuses = {m: g.value for m, g in greenlets.items()}
        gevent.killall(list(greenlets.values()), block=False)
        return {m: s for m, s in statuses.items() if s is not None}

    def demote(self, group: Group, member: str, term: int) -> LogStatus | None:
        """Demote a primary of a lower term; return its log status."""
        reply = self._send(group, member, (Demote(term),))
        return reply.status if reply else None

    def _send(
        self, group: Group, member: str, calls: tuple[Call, ...]
    ) -> Reply | None:
        access = group.find_access(member)
        if access is None:
            return None
        deadline = self._clock.now() + PROBE_TIMEOUT_S
        acquired = access.acquire(
            ConnectionRequest(
                PROBE_PRIORITY, deadline, deadline, deadline, is_internal=True
            ),
            _NO_VALUES,
        )
        if not isinstance(acquired, Success):
            return None
        conn = acquired.unwrap()
        try:
            result = self._exchanger.exchange(access, conn, calls, deadline)
        except gevent.GreenletExit:
            access.discard(conn)
            raise
        access.release(conn)
        return result.unwrap()[0] if isinstance(result, Success) else None
