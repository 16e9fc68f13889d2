"""Statements and transactions that a pooler runs for entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import NotRun
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.failure import ReplicaBehind

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.peer import PooledRead
    from trefoilpulley_core.peer import PooledResolve
    from trefoilpulley_core.peer import PooledWrite
    from trefoilpulley_core.upstream import StatementResult
    from trefoilpulley_node.pooler.member_link import MemberLink
    from trefoilpulley_node.pooler.pooled_member import PooledMember

COPIES_WAIT_S = 1.0
"""Longest wait for copies before the entry host is asked to look again."""

READ_ATTEMPTS = 2
"""Connections that a read is tried on."""


class PooledWork:
    """Runs single statements at a member.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def read(
        self, member: PooledMember, req: PooledRead
    ) -> Result[StatementResult, Failure]:
        """Run a read that holds the floor and the stated age."""
        arrived_at = self._clock.now()
        if not member.monitor.is_reachable:
            return Failed(NoUpstream('member is not reachable'))
        waited = member.monitor.wait_for_position(
            req.floor, req.wait_ms / 1000
        )
        if not waited:
            return Failed(ReplicaBehind('floor is not reached'))
        if not self._is_fresh(member, req.max_age_ms):
            return Failed(ReplicaBehind('data is older than stated'))
        result = self._read_at(member, req)
        if req.needs_leader and not member.prover.prove(arrived_at):
            return Failed(NotPrimary('leadership can not be proven'))
        return result

    def write(
        self, member: PooledMember, req: PooledWrite
    ) -> Result[StatementResult, Failure]:
        """Run a write and wait until its copies are held."""

        def run(
            link: MemberLink, term: int
        ) -> Result[StatementResult, Failure]:
            return link.write(req.statement, term, req.key)

        return self._run_at_primary(member, req, run)

    def resolve(
        self, member: PooledMember, req: PooledResolve
    ) -> Result[StatementResult, Failure]:
        """Look an outcome up, or abandon its key for good."""

        def run(
            link: MemberLink, term: int
        ) -> Result[StatementResult, Failure]:
            return link.resolve(req.key, term)

        return self._run_at_primary(member, req, run)

    def confirm(
        self, member: PooledMember, result: StatementResult, copies: int
    ) -> Result[StatementResult, Failure]:
        """Wait until members hold what a result has written or seen."""
        waited = member.monitor.copy_waiters.wait(
            member.monitor.status,
            result.position,
            result.term,
            copies,
            COPIES_WAIT_S,
        )
        return waited.map(lambda _: result)

    def _is_fresh(self, member: PooledMember, max_age_ms: int | None) -> bool:
        if max_age_ms is None:
            return True
        member.wanted_age = member.wanted_age.after(
            max_age_ms, self._clock.now()
        )
        if member.is_primary:
            since = self._clock.now() - max_age_ms / 1000
            return member.prover.prove(since)
        age_ms = member.age_ms()
        return age_ms is not None and age_ms <= max_age_ms

    def _read_at(
        self, member: PooledMember, req: PooledRead
    ) -> Result[StatementResult, Failure]:
        result: Result[StatementResult, Failure] = Failed(NoUpstream())
        for _ in range(READ_ATTEMPTS):
            acquired = member.pool.acquire(req.scope, is_write=False)
            if not isinstance(acquired, Success):
                return acquired
            lease = acquired.unwrap()
            result = lease.link.read(req.statement, req.floor)
            member.pool.release(lease)
            if not _is_unreachable(result):
                return self._confirm_read(member, result, req.copies)
        return Failed(NoUpstream('connection broke in a read'))

    def _confirm_read(
        self,
        member: PooledMember,
        result: Result[StatementResult, Failure],
        copies: int,
    ) -> Result[StatementResult, Failure]:
        if not copies or not isinstance(result, Success):
            return result
        return self.confirm(member, result.unwrap(), copies)

    def _run_at_primary(
        self,
        member: PooledMember,
        req: PooledWrite | PooledResolve,
        run: Callable[[MemberLink, int], Result[StatementResult, Failure]],
    ) -> Result[StatementResult, Failure]:
        if not member.is_primary:
            return Failed(NotPrimary('member does not lead'))
        acquired = member.pool.acquire(req.scope, is_write=True)
        if not isinstance(acquired, Success):
            return acquired
        lease = acquired.unwrap()
        try:
            result = run(lease.link, _term_of(member))
        finally:
            member.pool.release(lease)
        if _is_unreachable(result):
            return Failed(OutcomeUnknown('connection broke in a write'))
        if not isinstance(result, Success):
            return self._confirm_refusal(member, result, req.copies)
        return self.confirm(member, result.unwrap(), req.copies)

    def _confirm_refusal(
        self,
        member: PooledMember,
        result: Result[StatementResult, Failure],
        copies: int,
    ) -> Result[StatementResult, Failure]:
        # An abandoned key is abandoned for good only once its marker
        # has its copies: a later primary could lack it until then.
        if type(result.failure()) is not NotRun:
            return result
        status = member.monitor.control(lambda link: link.status())
        if not isinstance(status, Success):
            return Failed(OutcomeUnknown('primary was lost'))
        seen = status.unwrap()
        waited = member.monitor.copy_waiters.wait(
            seen, seen.history.last, seen.term, copies, COPIES_WAIT_S
        )
        return result if isinstance(waited, Success) else waited


def _term_of(member: PooledMember) -> int:
    return 0 if member.monitor.status is None else member.monitor.status.term


def _is_unreachable(result: Result[StatementResult, Failure]) -> bool:
    return not isinstance(result, Success) and isinstance(
        result.failure(), PeerUnreachable
    )
