"""A caller's transaction, pinned to one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.direct.placement import place_read
from trefoilpulley_core.direct.placement_bounds import find_bounds
from trefoilpulley_core.direct.upstream_session import CommitTransaction
from trefoilpulley_core.direct.upstream_session import OpenTransaction
from trefoilpulley_core.direct.upstream_session import RollBack
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.failure import NotPrimary
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.failure import TransactionLost
from trefoilpulley_node.direct.exchange import record_proof
from trefoilpulley_node.direct.member_session import SessionSetting
from trefoilpulley_node.direct.member_session import SetupFailed
from trefoilpulley_node.direct.statement_runner import BUSY_BACKOFF_S
from trefoilpulley_node import events

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.placement import Placement
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.commit_check import CommitCheck
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.exchange import Exchanger
    from trefoilpulley_node.direct.member_access import MemberAccess
    from trefoilpulley_node.direct.member_session import MemberSession
    from trefoilpulley_node.direct.primary_wait import PrimaryWait
    from trefoilpulley_node.direct.statement_request import StatementRequest

MAX_OPEN_ATTEMPTS = 6
"""Attempts to open a transaction, repetitions at the same member included."""

OPEN_TIMEOUT_S = 0.3
"""Timeout to open a transaction, in seconds; opening needs no slot."""

STATEMENT_TIMEOUT_S = 0.45
"""Timeout of a statement inside a transaction, in seconds.

The timeout exceeds the duration of the slowest statement behind a full queue
of a member. After the timeout, the transaction is rolled back and the caller
gets an error at once.
"""

ROLLBACK_TIMEOUT_S = 0.5
"""Timeout of a rollback before the connection is closed, in seconds."""


class CallerTransaction:
    """One transaction of a caller.

    Parameters
    ----------
    is_read_only : bool
        Whether the caller declared the transaction read-only.
    zone : str
        Availability zone of this host.
    exchanger : Exchanger
        Sends requests on connections.
    primary_wait : PrimaryWait
        Waits until a new primary is known.
    clock : Clock
        Monotonic time.
    commits : CommitCheck
        Checks commits before they are acknowledged.
    """

    def __init__(
        self,
        is_read_only: bool,
        zone: str,
        exchanger: Exchanger,
        primary_wait: PrimaryWait,
        clock: Clock,
        commits: CommitCheck,
    ) -> None:
        self._commits = commits
        self._is_read_only = is_read_only
        self._zone = zone
        self._exchanger = exchanger
        self._primary_wait = primary_wait
        self._clock = clock
        self._access: MemberAccess | None = None
        self._conn: MemberSession | None = None
        self._served_by: tuple[Route, Group] | None = None
        self._has_written = False
        self._has_opened = False
        self.is_failed = False
        """Whether the caller can only roll back."""

        self.has_sent_statement = False
        """Whether a statement of the caller was sent to a member."""

    @property
    def served_by(self) -> tuple[Route, Group] | None:
        """Route and group of the member at which the transaction is open.

        ``None`` before the first statement. A change of the route applies from
        the next transaction onward.
        """
        return self._served_by if self._conn is not None else None

    def run(self, request: StatementRequest) -> Result[Reply, Failure]:
        """Run a statement inside the transaction."""
        if self._conn is None:
            if not self._has_opened:
                # An attempt after a refusal is no fresh traffic.
                request.group.retry_budget.record_fresh(request.route.group)
                self._has_opened = True
            opened = self._open(request)
            if not isinstance(opened, Success):
                return self._abort(request, opened.failure())
        self._has_written = self._has_written or request.run.is_write
        deadline = min(
            request.deadline, self._clock.now() + STATEMENT_TIMEOUT_S
        )
        is_first = not self.has_sent_statement
        self.has_sent_statement = True
        result = self._exchanger.run(
            self._access, self._conn, request, None, False, deadline
        )
        if isinstance(result, Success):
            return result
        failure = result.failure()
        if isinstance(failure, Overloaded) and self._is_retry_allowed(
            request, is_first
        ):
            return self._retry(request)
        if isinstance(failure, NotPrimary):
            request.group.state.on_not_leading(
                self._access.health.record.member
            )
            request.group.check_requested.set()
        if failure.run_state is not RunState.NOT_RUN:
            request.group.check_requested.set()
        return self._abort(request, failure)

    def commit(self, request: StatementRequest) -> Result[Reply, Failure]:
        """Commit the transaction.

        Where the reply to the commit is lost and the transaction has written,
        the outcome is unknown.
        """
        if self._conn is None:
            opened = self._open(request)
            if not isinstance(opened, Success):
                return self._abort(request, opened.failure())
        if self._has_written and self._is_in_doubt(request.group):
            return self._abort(request, TransactionLost('change of primary'))
        access, conn = self._access, self._conn
        sent_at = self._clock.now()
        sent = sent_at, self._commits.begin(request.group)
        result = self._exchanger.exchange(
            access,
            conn,
            (CommitTransaction(request.run.request_id),),
            request.deadline,
            SessionSetting(request.session),
        )
        if not isinstance(result, Success):
            request.group.check_requested.set()
            failure = result.failure()
            if isinstance(failure, SetupFailed):
                return self._abort(request, failure)
            self._discard()
            if self._has_written:
                return Failed(OutcomeUnknown(failure.code))
            return Failed(TransactionLost(failure.code))
        reply = result.unwrap()[0]
        if reply.failure is not None:
            if isinstance(reply.failure, NotPrimary):
                request.group.state.on_not_leading(access.health.record.member)
                request.group.check_requested.set()
            self._end(reply)
            return Failed(self._commit_failure(reply.failure))
        self._end(reply)
        if not self._has_written:
            return Success(reply)
        member = access.health.record.member
        confirmed = self._commits.confirm(request, member, sent, reply)
        if isinstance(confirmed, Success):
            record_proof(request.group, access, sent_at, reply.position)
            request.floor.at = self._clock.now()
            request.floor.position = reply.position
        return confirmed

    def roll_back(self) -> None:
        """Roll back and release the connection."""
        if self._conn is None:
            return
        access, conn = self._access, self._conn
        self._access = self._conn = None
        deadline = self._clock.now() + ROLLBACK_TIMEOUT_S
        result = self._exchanger.exchange(
            access, conn, (RollBack(),), deadline
        )
        if not isinstance(result, Success):
            access.discard(conn)
        elif result.unwrap()[0].state is not TransactionState.IDLE:
            access.discard(conn)
        else:
            access.release(conn)

    def _is_retry_allowed(
        self, request: StatementRequest, is_first: bool
    ) -> bool:
        if not is_first or self._clock.now() >= request.deadline - 0.1:
            return False
        return request.group.retry_budget.try_spend(request.route.group)

    def _retry(self, request: StatementRequest) -> Result[Reply, Failure]:
        """Retry in a new transaction after the first statement got no slot."""
        self._access.health.on_busy(self._clock.now())
        self.roll_back()
        self.has_sent_statement = False
        self._has_written = False
        gevent.sleep(BUSY_BACKOFF_S)
        return self.run(request)

    def _open(self, request: StatementRequest) -> Result[None, Failure]:
        failure: Failure = NoUpstream('no member may open the transaction')
        excluded: set[str] = set()
        was_held_up = False
        budget = request.group.retry_budget
        for _ in range(MAX_OPEN_ATTEMPTS):
            if self._clock.now() >= request.deadline:
                break
            place = self._place(request, frozenset(excluded))
            if place is None:
                is_serving = self._primary_wait.is_serving(request.group)
                if is_serving and not self._is_in_doubt(request.group):
                    # Every member has refused to open the transaction, for
                    # overload or replication lag.
                    break
                if not self._primary_wait.wait(request):
                    break
                excluded.clear()
                continue
            if isinstance(failure, Overloaded) and not budget.try_spend(
                request.route.group
            ):
                break
            asked_at = self._clock.now()
            result = self._open_at(request, place)
            if isinstance(result, Success):
                return result
            failure = result.failure()
            self._on_open_failed(request, place, failure, excluded)
            if not was_held_up and self._is_held_up(
                request, place, failure, asked_at
            ):
                was_held_up = True
                excluded.discard(place.member)
        if failure.run_state is RunState.NOT_RUN:
            return Failed(failure)
        return Failed(TransactionLost(failure.code))

    def _on_open_failed(
        self,
        request: StatementRequest,
        place: Placement,
        failure: Failure,
        excluded: set[str],
    ) -> None:
        now = self._clock.now()
        state = request.group.state
        health = state.members.get(place.member)
        if isinstance(failure, ReplicaBehind) and place.floor and health:
            health.on_floor_missing(now - place.floor.at, now)
        if isinstance(failure, NotPrimary) and place.floor is None:
            state.on_not_leading(place.member)
            request.group.check_requested.set()
        elif not isinstance(failure, SetupFailed):
            excluded.add(place.member)
        is_broken = failure.run_state is not RunState.NOT_RUN
        if is_broken or isinstance(failure, NoUpstream | SetupFailed):
            request.group.check_requested.set()
        events.STATEMENT_RETRIED.log(
            request=request.run.request_id,
            group=request.route.group,
            member=place.member,
            failure=failure.code,
            detail=failure.detail,
            step='begin',
        )

    def _is_held_up(
        self,
        request: StatementRequest,
        place: Placement,
        failure: Failure,
        asked_at: float,
    ) -> bool:
        """Return whether one holder used up the time to open a transaction.

        The holder dials a member that it does not reach, and has sent nothing.
        The other holders of a primary may reach it. Once is enough: a holder
        that is passed over comes last in the second attempt.
        """
        if place.floor is not None or not isinstance(failure, NoUpstream):
            return False
        access = request.group.find_access(place.member)
        if access is None or not access.other_holders:
            return False
        is_timed_out = self._clock.now() - asked_at >= OPEN_TIMEOUT_S
        return is_timed_out and self._primary_wait.is_serving(request.group)

    def _is_in_doubt(self, group: Group) -> bool:
        """Return whether the transaction's commit could be lost."""
        return not self._is_read_only and self._primary_wait.is_in_doubt(group)

    def _place(
        self, request: StatementRequest, excluded: frozenset[str]
    ) -> Placement | None:
        state = request.group.state
        now = self._clock.now()
        is_lost = self._primary_wait.is_lost(request.group)
        bounds = find_bounds(
            state,
            request.route,
            request.floor,
            self._is_read_only,
            is_lost or self._is_in_doubt(request.group),
            excluded,
            now,
        )
        return place_read(
            state, bounds.floor, self._zone, bounds.excluded, now
        )

    def _open_at(
        self, request: StatementRequest, place: Placement
    ) -> Result[None, Failure]:
        access = request.group.find_access(place.member)
        if access is None:
            return Failed(NoUpstream('member has left the group'))
        acquired = access.acquire(
            request.connection_request(is_transaction=True), request.session
        )
        if not isinstance(acquired, Success):
            return acquired
        conn = acquired.unwrap()
        is_read_write = place.floor is None
        floor = None if is_read_write else place.floor.position
        call = OpenTransaction(not is_read_write, floor)
        deadline = min(request.deadline, self._clock.now() + OPEN_TIMEOUT_S)
        setting = SessionSetting(request.session, request.prepared)
        result = self._exchanger.open_transaction(
            access, conn, request.group, call, deadline, setting
        )
        if not isinstance(result, Success):
            access.release(conn)
            return result
        self._access, self._conn = access, conn
        self._served_by = request.route, request.group
        return result

    def _abort(
        self, request: StatementRequest, failure: Failure
    ) -> Result[Reply, Failure]:
        """End the transaction without a commit and return its failure."""
        self.is_failed = True
        self._discard()
        events.TRANSACTION_ABORTED.log(
            request=request.run.request_id,
            group=request.route.group,
            failure=failure.code,
            detail=failure.detail,
        )
        if failure.run_state is RunState.NOT_RUN:
            return Failed(failure)
        return Failed(TransactionLost(failure.code))

    def _commit_failure(self, failure: Failure) -> Failure:
        if failure.run_state is RunState.NOT_RUN:
            return failure
        if self._has_written:
            return OutcomeUnknown(failure.code)
        return TransactionLost(failure.code)

    def _end(self, reply: Reply) -> None:
        access, conn = self._access, self._conn
        if reply.state is TransactionState.IDLE:
            self._access = self._conn = None
            access.release(conn)
        else:
            self.roll_back()

    def _discard(self) -> None:
        if self._conn is not None:
            access, conn = self._access, self._conn
            self._access = self._conn = None
            access.discard(conn)
