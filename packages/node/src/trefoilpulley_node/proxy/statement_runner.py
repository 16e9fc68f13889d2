"""Runs single statements: reads anywhere they may, writes once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.queue import Empty
from gevent.queue import SimpleQueue
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.proxy.placement import place_read
from trefoilpulley_core.proxy.upstream_session import UnknownStatement
from trefoilpulley_core.proxy.upstream_session import UpstreamFailed
from trefoilpulley_core.proxy.upstream_session import UpstreamTimedOut
from trefoilpulley_node import events
from trefoilpulley_node.proxy.exchange import prove

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.proxy.placement import Placement
    from trefoilpulley_core.proxy.upstream_session import Reply
    from trefoilpulley_node.proxy.exchange import Exchanger
    from trefoilpulley_node.proxy.lent_session import LentSession
    from trefoilpulley_node.proxy.primary_wait import PrimaryWait
    from trefoilpulley_node.proxy.proxy_metrics import ProxyMetrics
    from trefoilpulley_node.proxy.work import Work

READ_TRIES = 5
"""Members that a read may be sent to, repeats included."""

HEDGE_S = 0.25
"""Silence after which a read is sent to another member as well.

Above the time of the slowest statement behind a full queue of a member.
"""

HEDGE_FACTOR = 6.0
"""The same in mean times of a statement, where that is longer."""

BUSY_BACKOFF_S = 0.01
"""Pause before a statement that met no free slot is sent again."""

WRITE_TRIES = 6
"""Times that a write which has not run may be sent."""


class _Race:
    """Tries of one read; the first whole answer counts."""

    def __init__(self) -> None:
        self.results: SimpleQueue = SimpleQueue()
        self.sessions: set[LentSession] = set()
        self.is_over = False

    def end(self) -> None:
        """Let no try be sent any more that has not been sent yet.

        The caller may change its values as soon as it has its answer.
        """
        self.is_over = True
        gevent.joinall([gevent.spawn(s.withdraw) for s in self.sessions])


class StatementRunner:
    """Runs statements outside of transactions.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    exchanger : Exchanger
        Runs requests on connections.
    primary_wait : PrimaryWait
        Waits for a change of primary that is nearly over.
    clock : Clock
        Monotonic time.
    metrics : ProxyMetrics
        Counts what members answer.
    """

    def __init__(
        self,
        zone: str,
        exchanger: Exchanger,
        primary_wait: PrimaryWait,
        clock: Clock,
        metrics: ProxyMetrics,
    ) -> None:
        self._metrics = metrics
        self._zone = zone
        self._exchanger = exchanger
        self._primary_wait = primary_wait
        self._clock = clock

    def read(self, work: Work) -> Result[Reply, Failure]:
        """Run a read where its route allows it.

        A member that refuses, breaks or stays silent is passed over for
        another; the first whole answer counts.
        """
        race = _Race()
        try:
            return self._race(work, race)
        finally:
            race.end()

    def _race(self, work: Work, race: _Race) -> Result[Reply, Failure]:
        excluded: set[str] = set()
        running = 0
        has_run = False
        failure: Failure = NoUpstream('no member may serve the read')
        for _ in range(READ_TRIES):
            place = self._place(work, frozenset(excluded))
            if place is None and running == 0:
                if self._primary_wait.is_serving(work.group):
                    # Every member has refused, for load or for lag.
                    break
                if not self._primary_wait.wait(work):
                    break
                excluded.clear()
                continue
            if place is not None:
                excluded.add(place.member)
                gevent.spawn(self._try_read, work, place, race)
                running += 1
            outcome = self._next_outcome(work, place, race)
            if outcome is None:
                continue
            running -= 1
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            has_run = has_run or failure.run_state is not RunState.NOT_RUN
            if isinstance(failure, Overloaded):
                gevent.sleep(BUSY_BACKOFF_S)
            if isinstance(failure, UnknownStatement | NotPrimary):
                excluded.discard(place.member if place else '')
            if isinstance(failure, UpstreamFailed):
                break
        while running and self._clock.now() < work.deadline:
            outcome = self._next_outcome(work, None, race)
            if outcome is None:
                break
            running -= 1
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
        return Failed(_read_failure(failure, has_run or running > 0))

    def write(self, work: Work) -> Result[Reply, Failure]:
        """Run a write at the primary, at most once.

        It is sent again only after a member said that it has not run.
        """
        failure: Failure = NoUpstream('no primary is known')
        for _ in range(WRITE_TRIES):
            primary = work.group.state.primary
            pool = work.group.pool_of(primary) if primary else None
            if pool is None or self._primary_wait.is_lost(work.group):
                if not self._primary_wait.wait(work):
                    return Failed(failure)
                continue
            done = self._try_write(work, pool)
            if isinstance(done, Success):
                return done
            failure = done.failure()
            if failure.run_state is not RunState.NOT_RUN:
                return Failed(_write_failure(failure))
            if isinstance(failure, NotPrimary):
                work.group.state.on_not_leading(primary)
                work.group.attention.set()
            elif isinstance(failure, Overloaded):
                gevent.sleep(BUSY_BACKOFF_S)
            elif isinstance(failure, NoUpstream):
                if not self._primary_wait.wait(work):
                    break
            if self._clock.now() >= work.deadline:
                break
        return Failed(failure)

    def _place(self, work: Work, excluded: frozenset[str]) -> Placement | None:
        now = self._clock.now()
        state = work.group.state
        floor = state.evidence.read_floor(work.route, work.floor, now)
        if self._primary_wait.is_lost(work.group) and state.primary:
            excluded = excluded | {state.primary}
        return place_read(state, floor, self._zone, excluded, now)

    def _next_outcome(
        self, work: Work, place: Placement | None, race: _Race
    ) -> Result[Reply, Failure] | None:
        now = self._clock.now()
        left_s = work.deadline - now
        if place is not None:
            health = work.group.state.members.get(place.member)
            if health is not None:
                hedge_s = max(HEDGE_S, HEDGE_FACTOR * health.expected_s(now))
                left_s = min(left_s, hedge_s)
        try:
            return race.results.get(timeout=max(0.0, left_s))
        except Empty:
            return None

    def _try_read(self, work: Work, place: Placement, race: _Race) -> None:
        race.results.put(self._read_at(work, place, race))

    def _read_at(
        self, work: Work, place: Placement, race: _Race
    ) -> Result[Reply, Failure]:
        pool = work.group.pool_of(place.member)
        if pool is None:
            return Failed(NoUpstream('member has left'))
        lent = pool.acquire(
            work.route.priority, work.deadline, work.session, work.admit_by
        )
        if not isinstance(lent, Success):
            return lent
        conn = lent.unwrap()
        if race.is_over:
            pool.release(conn)
            return Failed(NoUpstream('answered elsewhere'))
        floor = place.floor
        position = floor.position if floor else None
        race.sessions.add(conn)
        done = self._exchanger.run(
            pool, conn, work, position, floor is None, work.deadline
        )
        race.sessions.discard(conn)
        pool.release(conn)
        now = self._clock.now()
        health = pool.health
        if isinstance(done, Success):
            if floor is not None:
                health.on_floor_held(now - floor.at)
                self._metrics.observe('floor_age_seconds', now - floor.at)
            return done
        failure = done.failure()
        if isinstance(failure, ReplicaBehind) and floor is not None:
            health.on_floor_missing(now - floor.at, now)
        elif isinstance(failure, Overloaded):
            health.on_busy(now)
        elif isinstance(failure, NotPrimary) and floor is None:
            work.group.state.on_not_leading(place.member)
            work.group.attention.set()
        elif not isinstance(failure, UnknownStatement):
            self._note_trouble(work, failure)
        events.STATEMENT_RETRIED.log(
            request=work.run.request_id,
            group=work.route.group,
            member=place.member,
            failure=failure.code,
            detail=failure.detail,
            floor_age_ms=round(1000 * (now - floor.at)) if floor else None,
        )
        return done

    def _try_write(self, work: Work, pool) -> Result[Reply, Failure]:
        lent = pool.acquire(
            work.route.priority, work.deadline, work.session, work.admit_by
        )
        if not isinstance(lent, Success):
            return lent
        conn = lent.unwrap()
        sent_at = self._clock.now()
        done = self._exchanger.run(
            pool, conn, work, None, False, work.deadline
        )
        pool.release(conn)
        if isinstance(done, Success):
            reply = done.unwrap()
            prove(work.group, pool, sent_at, reply.position)
            work.floor.at = self._clock.now()
            work.floor.position = reply.position
        elif isinstance(done.failure(), Overloaded):
            pool.health.on_busy(self._clock.now())
        else:
            self._note_trouble(work, done.failure())
        return done

    def _note_trouble(self, work: Work, failure: Failure) -> None:
        is_broken = failure.run_state is not RunState.NOT_RUN
        if is_broken or isinstance(failure, NoUpstream):
            work.group.attention.set()


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
