"""One statement on one lent connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.proxy.session_state import alias_of
from trefoilpulley_core.proxy.upstream_session import OpenTransaction
from trefoilpulley_core.proxy.upstream_session import RollBack
from trefoilpulley_core.proxy.upstream_session import RunStatement
from trefoilpulley_node.proxy.lent_session import SessionSetting

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.proxy.upstream_session import Call
    from trefoilpulley_core.proxy.upstream_session import Reply
    from trefoilpulley_node.proxy.directory import Group
    from trefoilpulley_node.proxy.lent_session import LentSession
    from trefoilpulley_node.proxy.member_access import MemberAccess
    from trefoilpulley_node.proxy.proxy_metrics import ProxyMetrics
    from trefoilpulley_node.proxy.work import Work


class Exchanger:
    """Runs requests on lent connections and learns from the replies.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    metrics : ProxyMetrics
        Counts what members answer.
    """

    def __init__(self, clock: Clock, metrics: ProxyMetrics) -> None:
        self._clock = clock
        self._metrics = metrics

    def exchange(
        self,
        pool: MemberAccess,
        conn: LentSession,
        calls: Sequence[Call],
        deadline: float,
        setting: SessionSetting | None = None,
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests and note how the member answered."""
        health = pool.health
        sent_at = self._clock.now()
        timeout_s = max(0.001, deadline - sent_at)
        health.in_flight += 1
        if health.in_flight == 1:
            health.unanswered_since = sent_at
        in_flight = health.in_flight
        try:
            done = conn.exchange(calls, timeout_s, setting)
        finally:
            health.in_flight -= 1
            pool.own.serve_line()
        now = self._clock.now()
        if isinstance(done, Success):
            health.on_answer(now, done.unwrap()[-1].position)
            health.on_served(now - sent_at, now)
            pool.on_replies(conn, done.unwrap(), in_flight)
        return done

    def run(
        self,
        pool: MemberAccess,
        conn: LentSession,
        work: Work,
        floor: Position | None,
        is_proof_needed: bool,
        deadline: float,
    ) -> Result[Reply, Failure]:
        """Run a statement, with a proof of leadership where needed.

        The proof is a plain transaction opened behind the statement: a
        member that still leads then led while the statement ran.
        """
        done = self._run(pool, conn, work, floor, is_proof_needed, deadline)
        is_done = isinstance(done, Success)
        self._metrics.count(
            'tries',
            work.route.freshness.value,
            'write' if work.run.is_write else 'read',
            _role_of(pool, work),
            'done' if is_done else done.failure().code,
        )
        return done

    def _run(
        self,
        pool: MemberAccess,
        conn: LentSession,
        work: Work,
        floor: Position | None,
        is_proof_needed: bool,
        deadline: float,
    ) -> Result[Reply, Failure]:
        calls: list[Call] = [_statement(work, floor)]
        if is_proof_needed:
            calls += (OpenTransaction(is_read_only=False), RollBack())
        setting = SessionSetting(work.session, work.prepared)
        sent_at = self._clock.now()
        done = self.exchange(pool, conn, calls, deadline, setting)
        if not isinstance(done, Success):
            return done
        reply, *others = done.unwrap()
        if reply.failure is not None:
            return Failed(reply.failure)
        if is_proof_needed:
            proof = others[0]
            if proof.failure is not None:
                return Failed(NotPrimary('lead could not be proved'))
            prove(work.group, pool, sent_at, proof.position)
        return Success(reply)

    def open_transaction(
        self,
        pool: MemberAccess,
        conn: LentSession,
        group: Group,
        call: OpenTransaction,
        deadline: float,
    ) -> Result[None, Failure]:
        """Open a transaction; a plain one proves the lead."""
        sent_at = self._clock.now()
        done = self.exchange(pool, conn, (call,), deadline)
        if not isinstance(done, Success):
            return done
        reply = done.unwrap()[0]
        if reply.failure is not None:
            return Failed(reply.failure)
        if not call.is_read_only:
            prove(group, pool, sent_at, reply.position)
        return Success(None)


def prove(
    group: Group, pool: MemberAccess, sent_at: float, position: Position
) -> None:
    """Note that a pool's member has proved to lead its group."""
    member = pool.health.record.member
    if group.state.on_leadership_proof(member, sent_at, position):
        group.on_primary()


def _role_of(pool: MemberAccess, work: Work) -> str:
    is_primary = pool.health.record.member == work.group.state.primary
    return 'primary' if is_primary else 'replica'


def _statement(work: Work, floor: Position | None) -> RunStatement:
    alias = alias_of(work.prepared) if work.prepared else ''
    return RunStatement(work.run.request_id, work.run.text, alias, floor)
