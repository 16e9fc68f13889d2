"""Sessions with a member that are relayed through other hosts.

A holder is a host that holds connections to the member.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.connection_holders import rank_holders
from trefoilpulley_core.direct.evidence_messages import read_report
from trefoilpulley_core.direct.relay_messages import EndLease
from trefoilpulley_core.direct.relay_messages import RelayedCalls
from trefoilpulley_core.direct.relay_messages import RelayedReplies
from trefoilpulley_core.direct.relay_messages import RelayRefused
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node.direct.member_session import MemberSession
from trefoilpulley_node import events
from trefoilpulley_node.peers import read_failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.connection_holders import ConnectionHolders
    from trefoilpulley_core.direct.connection_request import ConnectionRequest
    from trefoilpulley_core.direct.group_state import GroupState
    from trefoilpulley_core.direct.group_state import MemberHealth
    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.direct.relay_messages import RelayedReply
    from trefoilpulley_core.direct.upstream_session import Call
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.member_session import SessionSetting
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_wire.channel import Channel

MAX_HOLDER_ATTEMPTS = 3
"""Holders that a request is sent to before it fails."""

HOLDER_BACKOFF_S = 0.8
"""Time for which a holder that did not answer is tried last, in seconds.

Membership needs about the same time to detect a dead host.
"""

HOLDER_DIAL_TIMEOUT_S = 0.15
"""Timeout to connect to a holder, in seconds."""

CANCEL_TIMEOUT_S = 0.1
"""Timeout for a holder to confirm the end of a lease, in seconds.

A longer wait is not needed: a holder that is paused reads the request and its
end together.
"""

REPLY_MARGIN_S = 0.03
"""Time added to the timeout of a relayed request, in seconds.

With this margin, a holder can report that the member stays silent before the
holder itself is taken for silent.
"""


class RelayClient:
    """Opens sessions with one member that are relayed through its holders.

    Parameters
    ----------
    host : str
        Name of this host.
    group : GroupState
        State of the member's group as known to this host.
    health : MemberHealth
        Health of the member as seen from this host.
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
        health: MemberHealth,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._host = host
        self._group = group
        self._health = health
        self._peers = peers
        self._clock = clock
        self._holders: tuple[str, ...] = ()
        self._backoff_until: dict[str, float] = {}

    @property
    def holders(self) -> tuple[str, ...]:
        """Holders in the order to try; holders in backoff come last."""
        now = self._clock.now()
        self._backoff_until = {
            h: t for h, t in self._backoff_until.items() if now < t
        }
        return tuple(
            sorted(self._holders, key=lambda h: h in self._backoff_until)
        )

    @property
    def is_active(self) -> bool:
        """Whether this host reaches the member through other hosts only."""
        return bool(self._holders) and self._host not in self._holders

    def update(self, holders: ConnectionHolders) -> None:
        """Set the holders of the member."""
        member = self._health.record.member
        self._holders = rank_holders(member, self._host, holders)

    def open(self, work: ConnectionRequest) -> RelayedSession:
        """Return a session, which leases a connection at its first use."""
        return RelayedSession(self, next(self._lease_numbers), work)

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

    def on_replies(self, replies: RelayedReplies, asked_at: float) -> None:
        """Record the expected latency and evidence that a holder reports."""
        self._health.on_reported_latency(
            replies.expected_ms / 1000, self._clock.now()
        )
        evidence = read_report(replies.evidence, asked_at)
        if evidence is not None:
            self._group.evidence.record(evidence.at, evidence.position)

    def on_holder_timeout(self, holder: str) -> None:
        """Put a holder that did not answer into backoff."""
        now = self._clock.now()
        if holder not in self._backoff_until:
            events.HOLDER_PASSED_OVER.log(
                member=self._health.record.member, holder=holder
            )
        self._backoff_until[holder] = now + HOLDER_BACKOFF_S

    def on_overloaded(self) -> None:
        """Record that a holder's queue for the member was too long."""
        self._health.overload.on_refused(self._clock.now())

    def on_member_unreachable(self) -> None:
        """Record that the member does not answer its holders."""
        self._health.on_unreachable(self._clock.now())


class RelayedSession(MemberSession):
    """One session with a member on a connection of a holder.

    Parameters
    ----------
    relay_client : RelayClient
        Client that opened the session.
    lease : int
        Number of the session, unique on this host.
    work : ConnectionRequest
        Work that the session is opened for.
    """

    def __init__(
        self,
        relay_client: RelayClient,
        lease: int,
        work: ConnectionRequest,
    ) -> None:
        self._relay_client = relay_client
        self._lease = lease
        self._work = work
        self._holder: str | None = None
        self._channel: Channel | None = None
        self._is_pinned = False
        self._is_cancelled = False

    @property
    def is_usable(self) -> bool:
        """Whether no lease is open, so that nothing needs to be closed."""
        return not self._is_pinned

    def exchange(
        self,
        calls: Sequence[Call],
        timeout_s: float,
        setting: SessionSetting | None = None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests through a holder and return the replies."""
        deadline = self._relay_client.now() + timeout_s
        if self._is_pinned:
            result = self._send(calls, deadline, setting)
            if not isinstance(result, RelayRefused):
                return result
            self.close()
            return Failed(read_failure(result.failure))
        failure: Failure = NoUpstream('no holder is reachable')
        unreachable_reports = 0
        for holder in self._relay_client.holders[:MAX_HOLDER_ATTEMPTS]:
            if self._is_cancelled or self._relay_client.now() >= deadline:
                break
            opened = self._relay_client.find_channel(holder)
            if not isinstance(opened, Success):
                continue
            if self._is_cancelled:
                break
            self._holder, self._channel = holder, opened.unwrap()
            result = self._send(calls, deadline, setting)
            if not isinstance(result, RelayRefused):
                return result
            failure = read_failure(result.failure)
            if isinstance(failure, Overloaded):
                self._relay_client.on_overloaded()
            unreachable_reports += result.is_member_missed
        if unreachable_reports > 1:
            self._relay_client.on_member_unreachable()
        return Failed(failure)

    def cancel_unsent(self) -> None:
        """Wait until the holder sends no more requests of this session.

        The caller continues with the reply of another member and may change
        its session values, and a statement sent later would run without these
        values.
        """
        self._is_cancelled = True
        channel = self._channel
        if channel is not None and channel.is_open:
            channel.call(EndLease(self._lease), CANCEL_TIMEOUT_S)

    def close(self) -> None:
        """End the lease; the holder rolls back an open transaction."""
        channel, self._channel = self._channel, None
        self._is_pinned = False
        if channel is not None and channel.is_open:
            channel.notify(EndLease(self._lease))

    def _send(
        self,
        calls: Sequence[Call],
        deadline: float,
        setting: SessionSetting | None,
    ) -> Result[tuple[Reply, ...], Failure] | RelayRefused:
        """Send requests to the holder.

        A refusal means that the member has got none of the requests.
        """
        asked_at = self._relay_client.now()
        remaining_s = max(0.001, deadline - asked_at)
        work = self._work
        admit_by = min(work.admit_by, deadline)
        record = self._relay_client.record
        message = RelayedCalls(
            record.group,
            record.member,
            self._lease,
            work.priority,
            round(1000 * remaining_s),
            round(1000 * max(0.0, admit_by - asked_at)),
            tuple(calls),
            dict(setting.session.values) if setting else None,
            setting.prepared if setting else None,
            self._is_pinned,
            round(1000 * (work.goal_at - asked_at)),
            work.kind,
            work.customer,
            work.is_transaction,
            work.is_internal,
        )
        answered = self._channel.call(message, remaining_s + REPLY_MARGIN_S)
        if not isinstance(answered, Success):
            self._relay_client.on_holder_timeout(self._holder)
            self.close()
            return Failed(PeerUnreachable('holder did not answer in time'))
        match answered.unwrap():
            case RelayRefused() as refusal:
                return refusal
            case RelayedReplies() as answer:
                self._relay_client.on_replies(answer, asked_at)
                replies = tuple(_unpack_reply(r) for r in answer.replies)
                state = replies[-1].state
                self._is_pinned = state is not TransactionState.IDLE
                return Success(replies)
            case PooledFailure() as failure:
                self._is_pinned = False
                return Failed(read_failure(failure))
            case _:
                self.close()
                return Failed(PeerUnreachable('holder sent an unknown reply'))


def _unpack_reply(packed: RelayedReply) -> Reply:
    failure = packed.failure
    return Reply(
        packed.rows,
        packed.signature,
        read_failure(failure) if failure else None,
        packed.state,
        packed.position,
        packed.status,
    )
