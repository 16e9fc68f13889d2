"""Sessions with a member on connections that other hosts hold."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_core.proxy.connection_holders import rank_holders
from trefoilpulley_core.proxy.evidence_messages import read_report
from trefoilpulley_core.proxy.relay_messages import EndLease
from trefoilpulley_core.proxy.relay_messages import RelayedCalls
from trefoilpulley_core.proxy.relay_messages import RelayedReplies
from trefoilpulley_core.proxy.relay_messages import RelayRefused
from trefoilpulley_core.proxy.upstream_session import Reply
from trefoilpulley_core.proxy.upstream_session import TransactionState
from trefoilpulley_node import events
from trefoilpulley_node.peers import read_failure
from trefoilpulley_node.proxy.lent_session import LentSession

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.proxy.connection_holders import ConnectionHolders
    from trefoilpulley_core.proxy.group_state import GroupState
    from trefoilpulley_core.proxy.group_state import MemberHealth
    from trefoilpulley_core.proxy.group_state import MemberRecord
    from trefoilpulley_core.proxy.relay_messages import RelayedReply
    from trefoilpulley_core.proxy.upstream_session import Call
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.proxy.lent_session import SessionSetting
    from trefoilpulley_wire.channel import Channel

HOLDER_TRIES = 3
"""Holders that a request may be offered to before it is given up."""

HOLDER_PAUSE_S = 0.8
"""Time for which a holder that did not answer is passed over, in seconds.

Membership takes about as long to find that a host is dead.
"""

HOLDER_DIAL_S = 0.15
"""Longest wait for a connection to a holder, in seconds."""

WITHDRAW_TIMEOUT_S = 0.1
"""Longest wait for a holder to confirm that a lease has ended, in seconds.

A holder that is paused reads the request and its end together.
"""

REPLY_SLACK_S = 0.03
"""Time that a holder's answer may take beyond the member's, in seconds.

A holder tells a member that stays silent apart from its own silence.
"""


class RelayedAccess:
    """Sessions of this host with one member, through its holders.

    Parameters
    ----------
    host : str
        Name of this host.
    group : GroupState
        What is known of the member's group.
    health : MemberHealth
        How the member answers this host.
    peers : Peers
        Other hosts.
    clock : Clock
        Monotonic time.
    """

    _leases = count(1)

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
        self._passed_over: dict[str, float] = {}

    @property
    def holders(self) -> tuple[str, ...]:
        """Holders to try, those that answered first."""
        now = self._clock.now()
        self._passed_over = {
            h: t for h, t in self._passed_over.items() if now < t
        }
        return tuple(
            sorted(self._holders, key=lambda h: h in self._passed_over)
        )

    @property
    def is_used(self) -> bool:
        """Whether the member is reached through other hosts."""
        return bool(self._holders) and self._host not in self._holders

    def update(self, holders: ConnectionHolders) -> None:
        """Take the hosts that hold the member's connections."""
        member = self._health.record.member
        self._holders = rank_holders(member, self._host, holders)

    def open(self, priority: int, admit_by: float | None) -> RelayedSession:
        """Return a session; it takes a connection with its first use."""
        return RelayedSession(self, next(self._leases), priority, admit_by)

    def find_channel(self, holder: str) -> Result[Channel, Failure]:
        """Return the channel to a holder."""
        found = self._peers.open_channel(holder, HOLDER_DIAL_S)
        if not isinstance(found, Success):
            self.on_silent(holder)
        return found

    @property
    def record(self) -> MemberRecord:
        """Entry of the member."""
        return self._health.record

    def now(self) -> float:
        """Return the present time in seconds."""
        return self._clock.now()

    def on_replies(self, replies: RelayedReplies, asked_at: float) -> None:
        """Learn what the holder knows of the member and its group."""
        self._health.on_reported_latency(
            replies.expected_ms / 1000, self._clock.now()
        )
        found = read_report(replies.evidence, asked_at)
        if found is not None:
            self._group.evidence.record(found.at, found.position)

    def on_silent(self, holder: str) -> None:
        """Pass a holder over for a while."""
        now = self._clock.now()
        if holder not in self._passed_over:
            events.HOLDER_PASSED_OVER.log(
                member=self._health.record.member, holder=holder
            )
        self._passed_over[holder] = now + HOLDER_PAUSE_S

    def on_member_missed(self) -> None:
        """Note that the member does not answer its holders."""
        self._health.on_unreachable(self._clock.now())


class RelayedSession(LentSession):
    """One session with a member on a connection of a holder's.

    Parameters
    ----------
    access : RelayedAccess
        Way to the holders.
    lease : int
        Number of the session, unique on this host.
    priority : int
        Importance of its work.
    admit_by : float | None
        Time by which its turn must come, in seconds; ``None`` for the
        deadline of its first request.
    """

    def __init__(
        self,
        access: RelayedAccess,
        lease: int,
        priority: int,
        admit_by: float | None,
    ) -> None:
        self._access = access
        self._lease = lease
        self._priority = priority
        self._admit_by = admit_by
        self._holder: str | None = None
        self._channel: Channel | None = None
        self._is_pinned = False
        self._is_withdrawn = False

    @property
    def is_usable(self) -> bool:
        """Whether it can be given back; it keeps no connection then."""
        return not self._is_pinned

    def exchange(
        self,
        calls: Sequence[Call],
        timeout_s: float,
        setting: SessionSetting | None = None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests through a holder and return the replies."""
        until = self._access.now() + timeout_s
        if self._is_pinned:
            done = self._ask(calls, until, setting)
            if not isinstance(done, RelayRefused):
                return done
            self.close()
            return Failed(read_failure(done.failure))
        failure: Failure = NoUpstream('no holder answers')
        missed = 0
        for holder in self._access.holders[:HOLDER_TRIES]:
            if self._is_withdrawn or self._access.now() >= until:
                break
            found = self._access.find_channel(holder)
            if not isinstance(found, Success):
                continue
            if self._is_withdrawn:
                break
            self._holder, self._channel = holder, found.unwrap()
            done = self._ask(calls, until, setting)
            if not isinstance(done, RelayRefused):
                return done
            failure = read_failure(done.failure)
            missed += done.is_member_missed
        if missed > 1:
            self._access.on_member_missed()
        return Failed(failure)

    def withdraw(self) -> None:
        """Wait until the holder sends nothing of it any more.

        The caller goes on after an answer from elsewhere and may change
        its values, which a statement sent later would run without.
        """
        self._is_withdrawn = True
        channel = self._channel
        if channel is not None and channel.is_open:
            channel.call(EndLease(self._lease), WITHDRAW_TIMEOUT_S)

    def close(self) -> None:
        """End the lease; the holder rolls back what is open."""
        channel, self._channel = self._channel, None
        self._is_pinned = False
        if channel is not None and channel.is_open:
            channel.notify(EndLease(self._lease))

    def _ask(
        self,
        calls: Sequence[Call],
        until: float,
        setting: SessionSetting | None,
    ) -> Result[tuple[Reply, ...], Failure] | RelayRefused:
        """Ask the holder; a refusal says that nothing was sent."""
        asked_at = self._access.now()
        remaining_s = max(0.001, until - asked_at)
        admit_by = until if self._admit_by is None else self._admit_by
        record = self._access.record
        message = RelayedCalls(
            record.group,
            record.member,
            self._lease,
            self._priority,
            round(1000 * remaining_s),
            round(1000 * max(0.0, min(admit_by, until) - asked_at)),
            tuple(calls),
            dict(setting.session.values) if setting else None,
            setting.prepared if setting else None,
            self._is_pinned,
        )
        answered = self._channel.call(message, remaining_s + REPLY_SLACK_S)
        if not isinstance(answered, Success):
            self._access.on_silent(self._holder)
            self.close()
            return Failed(PeerUnreachable('holder gave no answer'))
        match answered.unwrap():
            case RelayRefused() as refusal:
                return refusal
            case RelayedReplies() as answer:
                self._access.on_replies(answer, asked_at)
                replies = tuple(_unpack(r) for r in answer.replies)
                state = replies[-1].state
                self._is_pinned = state is not TransactionState.IDLE
                return Success(replies)
            case PooledFailure() as failure:
                self._is_pinned = False
                return Failed(read_failure(failure))
            case _:
                self.close()
                return Failed(PeerUnreachable('unknown answer of a holder'))


def _unpack(packed: RelayedReply) -> Reply:
    failure = packed.failure
    return Reply(
        packed.rows,
        packed.signature,
        read_failure(failure) if failure else None,
        packed.state,
        packed.position,
        packed.status,
    )
