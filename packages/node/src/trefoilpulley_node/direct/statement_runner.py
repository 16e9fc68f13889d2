"""Runs statements that are not part of a transaction.

A read runs at any member that its route allows. A write runs at the primary,
at most once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.queue import Empty
from gevent.queue import SimpleQueue
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.placement import place_read
from trefoilpulley_core.direct.placement_bounds import find_bounds
from trefoilpulley_core.direct.placement_bounds import place_write
from trefoilpulley_core.direct.upstream_session import UnknownStatement
from trefoilpulley_core.direct.upstream_session import UpstreamFailed
from trefoilpulley_core.direct.upstream_session import UpstreamTimedOut
from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState
from trefoilpulley_node.direct.exchange import record_proof
from trefoilpulley_node.direct.member_session import SetupFailed
from trefoilpulley_node.direct.statement_request import StatementInterrupted
from trefoilpulley_node import events

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.placement import Placement
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.commit_check import CommitCheck
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.exchange import Exchanger
    from trefoilpulley_node.direct.member_session import MemberSession
    from trefoilpulley_node.direct.primary_wait import PrimaryWait
    from trefoilpulley_node.direct.statement_request import StatementRequest

MAX_READ_ATTEMPTS = 5
"""Attempts to send a read, repetitions at the same member included."""

MAX_FAILED_MEMBERS = 2
"""Members at which a read may fail before its caller gets the failure.

A read that fails at two members most likely fails at each of them.
"""

MIN_HEDGE_DELAY_S = 0.25
"""Minimum delay before a hedged request is sent, in seconds.

A hedged request sends a read without an answer to a second member as well. The
delay exceeds the duration of the slowest statement behind a full queue of a
member.
"""

HEDGE_DELAY_FACTOR = 6.0
"""Delay before a hedged request, in mean durations of a statement.

Applies where this delay is longer than ``MIN_HEDGE_DELAY_S``.
"""

BUSY_BACKOFF_S = 0.01
"""Backoff after a member had no free slot, in seconds."""

MAX_WRITE_ATTEMPTS = 6
"""Attempts to send a write that no member has run."""


class _HedgedRead:
    """Requests of one hedged read; the first successful reply is returned."""

    def __init__(self) -> None:
        self.results: SimpleQueue = SimpleQueue()
        self.sessions: set[MemberSession] = set()
        self.has_sent = False
        """Whether a request may have reached a member."""

        self.is_ended = False

    def cancel_unsent(self) -> None:
        """Cancel the requests that have not been sent yet.

        The caller may change its session values as soon as it has the reply,
        and a statement sent later would run without these values.
        """
        self.is_ended = True
        gevent.joinall([gevent.spawn(self._cancel, s) for s in self.sessions])

    def _cancel(self, session: MemberSession) -> None:
        """Cancel a request, unless its session serves another one by now."""
        if session in self.sessions:
            session.cancel_unsent()


class StatementRunner:
    """Runs statements that are not part of a transaction.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    exchanger : Exchanger
        Sends requests on connections.
    primary_wait : PrimaryWait
        Waits until a new primary is known.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Records the floor ages of reads at replicas.
    commits : CommitCheck
        Checks commits before they are acknowledged.
    """

    def __init__(
        self,
        zone: str,
        exchanger: Exchanger,
        primary_wait: PrimaryWait,
        clock: Clock,
        metrics: DirectMetrics,
        commits: CommitCheck,
    ) -> None:
        self._metrics = metrics
        self._commits = commits
        self._zone = zone
        self._exchanger = exchanger
        self._primary_wait = primary_wait
        self._clock = clock

    def read(self, request: StatementRequest) -> Result[Reply, Failure]:
        """Run a read at a member that its route allows.

        Where a member refuses the read, fails or stays silent, the read is
        sent to another member. The first successful reply is returned.
        """
        hedged = _HedgedRead()
        try:
            return self._run_hedged(request, hedged)
        except StatementInterrupted as exc:
            exc.has_sent = hedged.has_sent
            raise
        finally:
            hedged.cancel_unsent()

    def _run_hedged(
        self, request: StatementRequest, hedged: _HedgedRead
    ) -> Result[Reply, Failure]:
        excluded: set[str] = set()
        pending = 0
        has_run = False
        failed_members = 0
        failure: Failure = NoUpstream('no member may serve the read')
        budget = request.group.retry_budget
        budget.record_fresh(request.route.group)
        for _ in range(MAX_READ_ATTEMPTS):
            place = self._place(request, frozenset(excluded))
            if place is None and pending == 0:
                if self._primary_wait.is_serving(request.group):
                    # Every member has refused the read, for overload or
                    # replication lag.
                    break
                if not self._primary_wait.wait(request):
                    break
                excluded.clear()
                continue
            if place is None or (
                pending and not self._may_hedge(request, place)
            ):
                # The read waits for the answer, and a hedged request may be
                # possible later.
                pass
            elif isinstance(failure, Overloaded) and not (
                pending or budget.try_spend(request.route.group)
            ):
                break
            else:
                excluded.add(place.member)
                gevent.spawn(self._try_read, request, place, hedged)
                pending += 1
            outcome = self._wait_for_outcome(request, place, hedged)
            if outcome is None:
                continue
            pending -= 1
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            has_run = has_run or failure.run_state is not RunState.NOT_RUN
            if isinstance(failure, Overloaded):
                gevent.sleep(BUSY_BACKOFF_S)
            if isinstance(
                failure, UnknownStatement | NotPrimary | SetupFailed
            ):
                excluded.discard(place.member if place else '')
            if isinstance(failure, UpstreamFailed):
                failed_members += 1
                if failed_members == MAX_FAILED_MEMBERS:
                    break
        while pending and self._clock.now() < request.deadline:
            outcome = self._wait_for_outcome(request, None, hedged)
            if outcome is None:
                break
            pending -= 1
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
        return Failed(_read_failure(failure, has_run or pending > 0))

    def write(self, request: StatementRequest) -> Result[Reply, Failure]:
        """Run a write at the primary, at most once.

        The write is sent again only where the failure shows that no member has
        run it.
        """
        failure: Failure = NoUpstream('no primary is known')
        budget = request.group.retry_budget
        budget.record_fresh(request.route.group)
        for _ in range(MAX_WRITE_ATTEMPTS):
            wait = self._primary_wait
            is_lost = wait.is_lost(request.group) or wait.is_in_doubt(
                request.group
            )
            primary = place_write(request.group.state, is_lost)
            access = request.group.find_access(primary) if primary else None
            if access is None:
                if not self._primary_wait.wait(request):
                    return Failed(failure)
                continue
            result = self._try_write(request, access)
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if failure.run_state is not RunState.NOT_RUN:
                return Failed(_write_failure(failure))
            if isinstance(failure, NotPrimary):
                request.group.state.on_not_leading(primary)
                request.group.check_requested.set()
            elif isinstance(failure, Overloaded):
                if not budget.try_spend(request.route.group):
                    break
                gevent.sleep(BUSY_BACKOFF_S)
            elif isinstance(failure, NoUpstream):
                if not self._primary_wait.wait(request):
                    break
            if self._clock.now() >= request.deadline:
                break
        return Failed(failure)

    def _place(
        self, request: StatementRequest, excluded: frozenset[str]
    ) -> Placement | None:
        now = self._clock.now()
        state = request.group.state
        bounds = find_bounds(
            state,
            request.route,
            request.floor,
            True,
            self._primary_wait.is_lost(request.group),
            excluded,
            now,
        )
        return place_read(
            state, bounds.floor, self._zone, bounds.excluded, now
        )

    def _may_hedge(self, request: StatementRequest, place: Placement) -> bool:
        """Return whether a read may be sent to a further member as well.

        A hedged request at a full member would add to its load.
        """
        health = request.group.state.members.get(place.member)
        if health is None or health.overload.is_active(self._clock.now()):
            return False
        return request.group.retry_budget.try_spend(request.route.group)

    def _wait_for_outcome(
        self,
        request: StatementRequest,
        place: Placement | None,
        hedged: _HedgedRead,
    ) -> Result[Reply, Failure] | None:
        now = self._clock.now()
        timeout_s = request.deadline - now
        if place is not None:
            health = request.group.state.members.get(place.member)
            if health is not None:
                hedge_delay_s = max(
                    MIN_HEDGE_DELAY_S,
                    HEDGE_DELAY_FACTOR * health.expected_latency_s(now),
                )
                timeout_s = min(timeout_s, hedge_delay_s)
        try:
            return hedged.results.get(timeout=max(0.0, timeout_s))
        except Empty:
            return None

    def _try_read(
        self, request: StatementRequest, place: Placement, hedged: _HedgedRead
    ) -> None:
        hedged.results.put(self._read_at(request, place, hedged))

    def _read_at(
        self, request: StatementRequest, place: Placement, hedged: _HedgedRead
    ) -> Result[Reply, Failure]:
        access = request.group.find_access(place.member)
        if access is None:
            return Failed(NoUpstream('member has left the group'))
        acquired = access.acquire(
            request.connection_request(), request.session
        )
        if not isinstance(acquired, Success):
            return acquired
        conn = acquired.unwrap()
        if hedged.is_ended:
            access.release(conn)
            return Failed(NoUpstream('another member answered first'))
        floor = place.floor
        position = floor.position if floor else None
        hedged.sessions.add(conn)
        hedged.has_sent = True
        result = self._exchanger.run(
            access, conn, request, position, floor is None, request.deadline
        )
        hedged.sessions.discard(conn)
        access.release(conn)
        now = self._clock.now()
        health = access.health
        if isinstance(result, Success):
            if floor is not None:
                health.on_floor_held(now - floor.at)
                self._metrics.observe('floor_age_seconds', now - floor.at)
            return result
        failure = result.failure()
        if isinstance(failure, ReplicaBehind) and floor is not None:
            health.on_floor_missing(now - floor.at, now)
        elif isinstance(failure, Overloaded):
            health.on_busy(now)
        elif isinstance(failure, NotPrimary) and floor is None:
            request.group.state.on_not_leading(place.member)
            request.group.check_requested.set()
        elif not isinstance(failure, UnknownStatement):
            self._request_check(request, failure)
        events.STATEMENT_RETRIED.log(
            request=request.run.request_id,
            group=request.route.group,
            member=place.member,
            failure=failure.code,
            detail=failure.detail,
            floor_age_ms=round(1000 * (now - floor.at)) if floor else None,
        )
        return result

    def _try_write(
        self, request: StatementRequest, access
    ) -> Result[Reply, Failure]:
        acquired = access.acquire(
            request.connection_request(), request.session
        )
        if not isinstance(acquired, Success):
            return acquired
        conn = acquired.unwrap()
        sent_at = self._clock.now()
        sent = sent_at, self._commits.begin(request.group)
        result = self._exchanger.run(
            access, conn, request, None, False, request.deadline
        )
        access.release(conn)
        if isinstance(result, Success):
            member = access.health.record.member
            result = self._commits.confirm(
                request, member, sent, result.unwrap()
            )
        if isinstance(result, Success):
            reply = result.unwrap()
            record_proof(request.group, access, sent_at, reply.position)
            request.floor.at = self._clock.now()
            request.floor.position = reply.position
        elif isinstance(result.failure(), Overloaded):
            access.health.on_busy(self._clock.now())
        else:
            self._request_check(request, result.failure())
        return result

    def _request_check(
        self, request: StatementRequest, failure: Failure
    ) -> None:
        is_broken = failure.run_state is not RunState.NOT_RUN
        if is_broken or isinstance(failure, NoUpstream | SetupFailed):
            request.group.check_requested.set()


def _read_failure(failure: Failure, has_run: bool) -> Failure:
    if not has_run:
        if failure.run_state is RunState.NOT_RUN:
            return failure
        return NoUpstream(failure.code)
    if isinstance(failure, UpstreamTimedOut):
        return failure
    return UpstreamFailed(f'{failure.code} {failure.detail}')


def _write_failure(failure: Failure) -> Failure:
    if isinstance(failure, UpstreamFailed):
        return failure
    return OutcomeUnknown(f'{failure.code} {failure.detail}')
