"""Single statements that a pooler runs for entry hosts."""

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

COPIES_TIMEOUT_S = 1.0
"""Longest wait for copies of a write, in seconds.

The entry host looks up the outcome again after that time.
"""

MAX_READ_ATTEMPTS = 2
"""Number of connections on which a read is attempted."""


class PooledStatementRunner:
    """Runs single statements and outcome look-ups at a member.

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
        """Run a read whose data include the floor and are fresh enough."""
        arrived_at = self._clock.now()
        if not member.monitor.is_reachable:
            return Failed(NoUpstream('member is unreachable'))
        waited = member.monitor.wait_for_position(
            req.floor, req.wait_ms / 1000
        )
        if not waited:
            return Failed(
                ReplicaBehind('log of the member does not hold the floor')
            )
        if not self._is_fresh(member, req.max_age_ms):
            return Failed(ReplicaBehind('data is older than the read allows'))
        result = self._read_at(member, req)
        if req.needs_leader and not member.prover.prove(arrived_at):
            return Failed(NotPrimary('member could not prove that it leads'))
        return result

    def write(
        self, member: PooledMember, req: PooledWrite
    ) -> Result[StatementResult, Failure]:
        """Run a write and wait until enough members hold it."""

        def run(
            link: MemberLink, term: int
        ) -> Result[StatementResult, Failure]:
            return link.write(req.statement, term, req.key)

        return self._run_at_primary(member, req, run)

    def resolve(
        self, member: PooledMember, req: PooledResolve
    ) -> Result[StatementResult, Failure]:
        """Look up an outcome, or abandon its key permanently."""

        def run(
            link: MemberLink, term: int
        ) -> Result[StatementResult, Failure]:
            return link.resolve(req.key, term)

        return self._run_at_primary(member, req, run)

    def confirm(
        self, member: PooledMember, result: StatementResult, copies: int
    ) -> Result[StatementResult, Failure]:
        """Wait until enough members hold the records of a statement.

        A write waits for the records that the write added, and a read waits
        for the records that the read has seen.
        """
        waited = member.monitor.copy_waiters.wait(
            member.monitor.status,
            result.position,
            result.term,
            copies,
            COPIES_TIMEOUT_S,
        )
        return waited.map(lambda _: result)

    def _is_fresh(self, member: PooledMember, max_age_ms: int | None) -> bool:
        if max_age_ms is None:
            return True
        member.requested_age = member.requested_age.updated_with(
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
        for _ in range(MAX_READ_ATTEMPTS):
            acquired = member.pool.acquire(req.scope, is_write=False)
            if not isinstance(acquired, Success):
                return acquired
            lease = acquired.unwrap()
            result = lease.link.read(req.statement, req.floor)
            member.pool.release(lease)
            if not _is_unreachable(result):
                return self._confirm_read(member, result, req.copies)
        return Failed(
            NoUpstream('connection to the member was lost during a read')
        )

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
            return Failed(NotPrimary('member is not the primary'))
        acquired = member.pool.acquire(req.scope, is_write=True)
        if not isinstance(acquired, Success):
            return acquired
        lease = acquired.unwrap()
        try:
            result = run(lease.link, _term_of(member))
        finally:
            member.pool.release(lease)
        if _is_unreachable(result):
            return Failed(
                OutcomeUnknown(
                    'connection to the member was lost during a write'
                )
            )
        if not isinstance(result, Success):
            return self._confirm_refusal(member, result, req.copies)
        return self.confirm(member, result.unwrap(), req.copies)

    def _confirm_refusal(
        self,
        member: PooledMember,
        result: Result[StatementResult, Failure],
        copies: int,
    ) -> Result[StatementResult, Failure]:
        # The refusal is final only once enough members hold the marker
        # of the abandoned key. Before that, a later primary could lack
        # the marker and run the write.
        if type(result.failure()) is not NotRun:
            return result
        status = member.monitor.send_control(lambda link: link.status())
        if not isinstance(status, Success):
            return Failed(OutcomeUnknown('connection to the primary was lost'))
        primary_status = status.unwrap()
        waited = member.monitor.copy_waiters.wait(
            primary_status,
            primary_status.history.last,
            primary_status.term,
            copies,
            COPIES_TIMEOUT_S,
        )
        return result if isinstance(waited, Success) else waited


def _term_of(member: PooledMember) -> int:
    return 0 if member.monitor.status is None else member.monitor.status.term


def _is_unreachable(result: Result[StatementResult, Failure]) -> bool:
    return not isinstance(result, Success) and isinstance(
        result.failure(), PeerUnreachable
    )
