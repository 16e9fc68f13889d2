"""Sends requests on a connection and evaluates the replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.session_state import alias_of
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import RollBack
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.direct.upstream_session import UpstreamFailed
from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_node.direct.member_session import SessionSetting
from trefoilpulley_node.direct.statement_request import StatementInterrupted

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.upstream_session import Call
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.position import Position
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.member_access import MemberAccess
    from trefoilpulley_node.direct.member_session import MemberSession
    from trefoilpulley_node.direct.statement_request import StatementRequest


class Exchanger:
    """Sends requests on connections and updates the member's health.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Counts the outcomes of statements sent to members.
    """

    def __init__(self, clock: Clock, metrics: DirectMetrics) -> None:
        self._clock = clock
        self._metrics = metrics

    def exchange(
        self,
        access: MemberAccess,
        conn: MemberSession,
        calls: Sequence[Call],
        deadline: float,
        setting: SessionSetting | None = None,
        kind: str = '',
    ) -> Result[tuple[Reply, ...], Failure]:
        """Send requests and record how the member answered.

        Parameters
        ----------
        access : MemberAccess
            Access to the member.
        conn : MemberSession
            Session with the member.
        calls : Sequence[Call]
            Requests.
        deadline : float
            Time by which the member must answer, in seconds.
        setting : SessionSetting, optional
            Session values that the requests need.
        kind : str
            Database name of the route; empty for requests of hosts.
        """
        health = access.health
        sent_at = self._clock.now()
        timeout_s = max(0.001, deadline - sent_at)
        health.in_flight += 1
        in_flight = access.on_sending(conn, sent_at)
        try:
            result = conn.exchange(calls, timeout_s, setting)
        except StatementInterrupted as exc:
            exc.has_sent = True
            raise
        finally:
            health.in_flight -= 1
            access.on_sent(conn)
        now = self._clock.now()
        has_failed = not isinstance(result, Success) or any(
            isinstance(r.failure, UpstreamFailed) for r in result.unwrap()
        )
        health.failure_rate.record(has_failed, now)
        if isinstance(result, Success):
            access.on_answer(conn, result.unwrap()[-1].position, now)
            access.on_served(conn, now - sent_at, now)
            is_statement = isinstance(calls[0], RunStatement)
            access.on_replies(
                conn,
                result.unwrap(),
                in_flight,
                now - sent_at if is_statement else None,
            )
            replies = result.unwrap()
            if any(isinstance(r.failure, Overloaded) for r in replies):
                health.pace.on_busy(now)
            elif kind and all(r.failure is None for r in replies):
                health.pace.on_served(
                    _name_work(kind, calls, conn), now - sent_at, now
                )
        return result

    def run(
        self,
        access: MemberAccess,
        conn: MemberSession,
        request: StatementRequest,
        floor: Position | None,
        is_proof_needed: bool,
        deadline: float,
    ) -> Result[Reply, Failure]:
        """Run a statement, with a proof of leadership where one is needed.

        The proof is a read-write transaction that is opened after the
        statement: a member that leads at that time also led while the
        statement ran.
        """
        result = self._run(
            access, conn, request, floor, is_proof_needed, deadline
        )
        is_done = isinstance(result, Success)
        self._metrics.count(
            'tries',
            request.route.freshness.value,
            'write' if request.run.is_write else 'read',
            _role_of(access, request),
            'done' if is_done else result.failure().code,
        )
        return result

    def _run(
        self,
        access: MemberAccess,
        conn: MemberSession,
        request: StatementRequest,
        floor: Position | None,
        is_proof_needed: bool,
        deadline: float,
    ) -> Result[Reply, Failure]:
        calls: list[Call] = [_statement(request, floor)]
        if is_proof_needed:
            calls += (OpenTransaction(is_read_only=False), RollBack())
        setting = SessionSetting(request.session, request.prepared)
        sent_at = self._clock.now()
        kind = request.route.database
        result = self.exchange(access, conn, calls, deadline, setting, kind)
        if not isinstance(result, Success):
            return result
        reply, *others = result.unwrap()
        if reply.failure is not None:
            return Failed(reply.failure)
        if is_proof_needed:
            proof = others[0]
            if proof.failure is not None:
                return Failed(
                    NotPrimary('member could not prove its leadership')
                )
            record_proof(request.group, access, sent_at, proof.position)
            member = access.health.record.member
            if not request.group.state.is_confirmed(member):
                return Failed(NotPrimary('leader is not confirmed'))
        return Success(reply)

    def open_transaction(
        self,
        access: MemberAccess,
        conn: MemberSession,
        group: Group,
        call: OpenTransaction,
        deadline: float,
        setting: SessionSetting | None = None,
    ) -> Result[None, Failure]:
        """Open a transaction; a read-write transaction proves leadership.

        The session values that the first statement needs are sent along, so
        that the statement does not wait for them.
        """
        sent_at = self._clock.now()
        result = self.exchange(access, conn, (call,), deadline, setting)
        if not isinstance(result, Success):
            return result
        reply = result.unwrap()[0]
        if reply.failure is not None:
            return Failed(reply.failure)
        if not call.is_read_only:
            record_proof(group, access, sent_at, reply.position)
            if not group.state.is_confirmed(access.health.record.member):
                return Failed(NotPrimary('leader is not confirmed'))
        return Success(None)


def record_proof(
    group: Group, access: MemberAccess, sent_at: float, position: Position
) -> None:
    """Record that a member has proved its leadership of a group.

    A member that is not, or no longer, one of the group proves nothing of it.
    """
    member = access.health.record.member
    if group.find_access(member) is not access:
        return
    if group.state.on_leadership_proof(member, sent_at, position):
        group.notify_primary_changed()


def _role_of(access: MemberAccess, request: StatementRequest) -> str:
    is_primary = access.health.record.member == request.group.state.primary
    return 'primary' if is_primary else 'replica'


def _name_work(kind: str, calls: Sequence[Call], conn: MemberSession) -> str:
    """Return a name for work of similar duration; empty without a statement.

    A read with a floor runs at a replica. Relayed requests take longer by the
    way to the holder and its queue.
    """
    statements = [c for c in calls if isinstance(c, RunStatement)]
    if not statements:
        return ''
    role = 'primary' if statements[0].floor is None else 'replica'
    return f'{kind} {role} {len(calls)} {type(conn).__name__}'


def _statement(
    request: StatementRequest, floor: Position | None
) -> RunStatement:
    alias = alias_of(request.prepared) if request.prepared else ''
    return RunStatement(request.run.request_id, request.run.text, alias, floor)
