"""Pooler role: runs pooled work and control messages at members."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import WritesPaused
from trefoilpulley_core import peer as messages
from trefoilpulley_node import events
from trefoilpulley_node.pooler.age_prober import AgeProber
from trefoilpulley_node.pooler.pooled_member import PooledMember
from trefoilpulley_node.pooler.pooled_work import PooledStatementRunner
from trefoilpulley_node.pooler.transactions import PoolerTransactions

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.slots import SlotQueue
    from trefoilpulley_core.upstream import MemberStatus
    from trefoilpulley_core.upstream import StatementResult
    from trefoilpulley_node.peer_server import PeerIdentity
    from trefoilpulley_node.peer_server import PeerServer
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.pooler.member_link import MemberLink


class Pooler:
    """Serves the work and control messages for the members that it pools.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    make_queue : Callable[[MemberEntry], SlotQueue]
        Creates the slot queue of a member.
    find_database : Callable[[str], DatabaseEntry | None]
        Returns a database by name.
    find_member : Callable[[str], tuple[DatabaseEntry, MemberEntry] | None]
        Returns a member and its database by the member's name.
    peers : Peers
        Sends requests to other hosts.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        clock: Clock,
        make_queue: Callable[[MemberEntry], SlotQueue],
        find_database: Callable[[str], DatabaseEntry | None],
        find_member: Callable[[str], tuple[DatabaseEntry, MemberEntry] | None],
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._make_queue = make_queue
        self._find_database = find_database
        self._find_member = find_member
        self._work = PooledStatementRunner(clock)
        self._peers = peers
        self._rng = rng
        self._probers: dict[str, AgeProber] = {}
        self.transactions = PoolerTransactions(self._work)
        """Transactions that entry hosts have open at this pooler."""

        self.members: dict[str, PooledMember] = {}
        """Members pooled by this host, by name."""

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handlers of the role's messages."""
        server.register(messages.PooledRead, self.on_read)
        server.register(messages.PooledWrite, self.on_write)
        server.register(messages.PooledResolve, self.on_resolve)
        server.register(messages.PooledBegin, self.on_begin)
        server.register(messages.PooledRun, self.on_run)
        server.register(messages.PooledCommit, self.on_commit)
        server.register(messages.PooledRollback, self.on_rollback)
        server.register(messages.GetDigest, self.on_get_digest)
        server.register(messages.GetStatus, self.on_get_status)
        server.register(messages.FenceMember, self.on_fence)
        server.register(messages.PromoteMember, self.on_promote)
        server.register(messages.FollowMember, self.on_follow)
        server.register(messages.PauseWrites, self.on_pause)
        server.register(messages.ResumeWrites, self.on_resume)
        server.register(messages.WarmConnections, self.on_warm)
        server.register_close(self.transactions.on_peer_lost)

    def ensure_member(self, name: str) -> PooledMember | None:
        """Return a pooled member, and start pooling it first if necessary."""
        member = self.members.get(name)
        if member is not None:
            return member
        lookup = self._find_member(name)
        if lookup is None:
            return None
        database, entry = lookup
        member = PooledMember(
            database,
            entry,
            self._make_queue(entry),
            self._peers,
            self._clock,
            self._rng,
        )
        self.members[name] = member
        member.start()
        prober = AgeProber(
            member, self._find_database, self._peers, self._clock
        )
        self._probers[name] = prober
        prober.start()
        return member

    def release_member(self, name: str) -> None:
        """Stop pooling a member that another host owns.

        A member whose slots are in use or awaited stays pooled.
        """
        member = self.members.get(name)
        if member is None or member.pool.slots_in_use or member.pool.waiting:
            return
        del self.members[name]
        self._probers.pop(name).stop()
        member.stop()

    def stop(self) -> None:
        """Stop pooling all members."""
        for prober in self._probers.values():
            prober.stop()
        for member in self.members.values():
            member.stop()

    def on_read(self, req: messages.PooledRead, peer: PeerIdentity) -> Any:
        """Handle a request to run a read."""
        return self._run_at_member(req.scope.member, self._work.read, req)

    def on_write(self, req: messages.PooledWrite, peer: PeerIdentity) -> Any:
        """Handle a request to run a write."""
        return self._run_at_member(req.scope.member, self._work.write, req)

    def on_resolve(
        self, req: messages.PooledResolve, peer: PeerIdentity
    ) -> Any:
        """Handle a request to look up the outcome of a write."""
        return self._run_at_member(req.scope.member, self._work.resolve, req)

    def on_begin(self, req: messages.PooledBegin, peer: PeerIdentity) -> Any:
        """Handle a request to begin a transaction."""
        member = self.ensure_member(req.scope.member)
        if member is None:
            return _make_failure(NoUpstream('unknown member'), None)
        begun = self.transactions.begin(member, req, peer)
        if not isinstance(begun, Success):
            return _make_failure(begun.failure(), member)
        return messages.PooledBegun(begun.unwrap())

    def on_run(self, req: messages.PooledRun, peer: PeerIdentity) -> Any:
        """Handle a request to run a statement in a transaction."""
        return self._make_reply(self.transactions.run(req, peer), None)

    def on_commit(self, req: messages.PooledCommit, peer: PeerIdentity) -> Any:
        """Handle a request to commit a transaction."""
        return self._make_reply(self.transactions.commit(req, peer), None)

    def on_rollback(
        self, req: messages.PooledRollback, peer: PeerIdentity
    ) -> Any:
        """Handle a request to roll back a transaction."""
        ended = self.transactions.rollback(req.transaction, peer)
        if not isinstance(ended, Success):
            return _make_failure(ended.failure(), None)
        return messages.PooledDone()

    def on_get_digest(
        self, req: messages.GetDigest, peer: PeerIdentity
    ) -> messages.Digests:
        """Return the digests of the requested members."""
        members = (self.ensure_member(name) for name in req.members)
        return messages.Digests(
            tuple(m.make_digest() for m in members if m is not None)
        )

    def on_get_status(
        self, req: messages.GetStatus, peer: PeerIdentity
    ) -> Any:
        """Handle a request for the status of a member."""
        return self._send_control(req.member, lambda link: link.status())

    def on_fence(self, req: messages.FenceMember, peer: PeerIdentity) -> Any:
        """Make a member refuse all terms below the requested one."""
        return self._send_control(
            req.member, lambda link: link.fence(req.term)
        )

    def on_promote(
        self, req: messages.PromoteMember, peer: PeerIdentity
    ) -> Any:
        """Make a member the primary of a term."""
        return self._send_control(
            req.member, lambda link: link.promote(req.term)
        )

    def on_follow(self, req: messages.FollowMember, peer: PeerIdentity) -> Any:
        """Make a member a replica of the requested primary."""
        return self._send_control(
            req.member, lambda link: link.follow(req.term, req.primary)
        )

    def on_pause(self, req: messages.PauseWrites, peer: PeerIdentity) -> Any:
        """Pause the writes of a member for a handover."""
        member = self.ensure_member(req.member)
        if member is None:
            return _make_failure(NoUpstream('unknown member'), None)
        if not member.pool.try_pause_writes(
            req.handover_id, req.hold_ms / 1000
        ):
            return _make_failure(
                WritesPaused('another handover has paused the writes'), member
            )
        events.WRITES_PAUSED.log(member=req.member, handover=req.handover_id)
        return messages.PauseReport(member.pool.writes_running)

    def on_resume(self, req: messages.ResumeWrites, peer: PeerIdentity) -> Any:
        """Resume the writes of a member."""
        member = self.ensure_member(req.member)
        if member is not None:
            member.pool.resume_writes(req.handover_id)
            events.WRITES_RESUMED.log(
                member=req.member, handover=req.handover_id
            )
        return messages.PooledDone()

    def on_warm(
        self, req: messages.WarmConnections, peer: PeerIdentity
    ) -> Any:
        """Open idle connections to a member ahead of work."""
        member = self.ensure_member(req.member)
        if member is not None:
            member.pool.warm(req.count)
        return messages.PooledDone()

    def _run_at_member(
        self,
        name: str,
        run: Callable[[PooledMember, Any], Result[StatementResult, Failure]],
        req: Any,
    ) -> Any:
        member = self.ensure_member(name)
        if member is None:
            return _make_failure(NoUpstream('unknown member'), None)
        return self._make_reply(run(member, req), member)

    def _make_reply(
        self,
        result: Result[StatementResult, Failure],
        member: PooledMember | None,
    ) -> Any:
        if not isinstance(result, Success):
            return _make_failure(result.failure(), member)
        digest = None if member is None else member.make_digest()
        return messages.PooledResult(result.unwrap(), digest)

    def _send_control(
        self,
        name: str,
        call: Callable[[MemberLink], Result[MemberStatus, Failure]],
    ) -> Any:
        member = self.ensure_member(name)
        if member is None:
            return _make_failure(NoUpstream('unknown member'), None)
        reply: Result[MemberStatus, Failure] = member.monitor.send_control(
            call
        )
        if not isinstance(reply, Success):
            return _make_failure(_as_member_failure(reply.failure()), member)
        return messages.StatusReport(reply.unwrap())


def _as_member_failure(failure: Failure) -> Failure:
    """Distinguish an unreachable member from an unreachable pooler.

    `PeerUnreachable` in a reply would mean that the pooler itself could
    not be reached.
    """
    if isinstance(failure, PeerUnreachable):
        return NoUpstream('member does not answer')
    return failure


def _make_failure(
    failure: Failure, member: PooledMember | None
) -> messages.PooledFailure:
    digest = None if member is None else member.make_digest()
    return messages.PooledFailure(failure.code, failure.detail, digest)
