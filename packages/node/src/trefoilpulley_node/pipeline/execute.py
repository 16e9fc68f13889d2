"""Pipeline step that runs one attempt of a request at a member."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_core.peer import PooledRead
from trefoilpulley_core.peer import PooledResolve
from trefoilpulley_core.peer import PooledResult
from trefoilpulley_core.peer import PooledWrite
from trefoilpulley_core.peer import WorkScope
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.upstream import Statement
from trefoilpulley_node.peers import read_failure
from trefoilpulley_node.pipeline.request import DeliveredResult

if TYPE_CHECKING:
    from gevent.event import Event

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.routing import Route
    from trefoilpulley_node.entry.database_views import DatabaseViews
    from trefoilpulley_node.peers import Peers
    from trefoilpulley_node.pipeline.request import PipelineRequest

ANSWER_MARGIN_S = 1.5
"""Wait for the answer to a write after the deadline, in seconds."""

READ_TIMEOUT_FACTOR = 0.5
"""Fraction of the remaining time that one attempt of a read may take."""

MIN_READ_TIMEOUT_S = 0.02
"""Shortest timeout of one attempt of a read, in seconds."""


class Executor:
    """Runs requests at members by way of the members' poolers.

    Parameters
    ----------
    peers : Peers
        Sends requests to poolers.
    views : DatabaseViews
        Stores the digests that answers contain.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self, peers: Peers, views: DatabaseViews, clock: Clock
    ) -> None:
        self._peers = peers
        self._views = views
        self._clock = clock

    def execute(
        self, req: PipelineRequest, route: Route
    ) -> Result[DeliveredResult, Failure]:
        """Run one attempt of a request at the chosen member.

        A change of primary ends the wait for the answer to a write.
        """
        scope = self._scope(req, route)
        if req.work_class.work is WorkKind.WRITE:
            message = _make_write(req, scope)
            abort = self._views.primary_change_event(req.database.name)
            return self._send_request(
                route.member, message, scope, req.database.name, abort
            )
        message = _make_read(req, route, scope)
        return self._send_request(
            route.member, message, scope, req.database.name
        )

    def resolve(
        self, req: PipelineRequest, route: Route, remaining_s: float
    ) -> Result[DeliveredResult, Failure]:
        """Look up the outcome of a request, or abandon its key."""
        scope = WorkScope(
            route.member,
            req.tenant,
            req.work_class.name,
            max(1, round(1000 * remaining_s)),
        )
        message = PooledResolve(scope, req.key, req.copies)
        return self._send_request(
            route.member, message, scope, req.database.name
        )

    def _scope(self, req: PipelineRequest, route: Route) -> WorkScope:
        # The answer needs half a round trip to return from the pooler.
        return_delay_s = route.round_trip_ms / 2000
        left_s = req.deadline - return_delay_s - self._clock.now()
        return WorkScope(
            route.member,
            req.tenant,
            req.work_class.name,
            max(1, round(1000 * left_s)),
        )

    def _send_request(
        self,
        member: str,
        message: Any,
        scope: WorkScope,
        database: str,
        abort: Event | None = None,
    ) -> Result[DeliveredResult, Failure]:
        host = self._peers.find_pooler(member)
        if host is None:
            return Failed(NoUpstream('no host pools the member'))
        sent_at = self._clock.now()
        timeout_s = _timeout_s(message, scope)
        work = self._views.begin_request(database)
        try:
            reply = self._peers.call_host_raw(host, message, timeout_s, abort)
        finally:
            self._views.end_request(work)
        if not isinstance(reply, Success):
            self._views.on_unreachable(member)
            return reply
        return self._handle_reply(member, reply.unwrap(), sent_at)

    def _handle_reply(
        self, member: str, reply: Any, sent_at: float
    ) -> Result[DeliveredResult, Failure]:
        if not isinstance(reply, PooledResult | PooledFailure):
            return Failed(
                PeerUnreachable('pooler sent a reply of an unexpected type')
            )
        if reply.digest is not None:
            self._views.on_digest(reply.digest, sent_at)
        if isinstance(reply, PooledFailure):
            return Failed(read_failure(reply))
        age_ms = reply.digest.age_ms if reply.digest else None
        return Success(DeliveredResult(reply.result, member, age_ms or 0))


def _timeout_s(message: Any, scope: WorkScope) -> float:
    left_s = scope.remaining_ms / 1000
    if isinstance(message, PooledRead):
        return max(MIN_READ_TIMEOUT_S, READ_TIMEOUT_FACTOR * left_s)
    return left_s + ANSWER_MARGIN_S


def _make_write(req: PipelineRequest, scope: WorkScope) -> PooledWrite:
    statement = Statement(req.message.sql, req.message.parameters)
    return PooledWrite(scope, statement, req.key, req.copies)


def _make_read(
    req: PipelineRequest, route: Route, scope: WorkScope
) -> PooledRead:
    freshness = req.work_class.freshness
    is_present = freshness.kind is FreshnessKind.PRESENT
    needs_copies = is_present or req.floor is None
    return PooledRead(
        scope,
        Statement(req.message.sql, req.message.parameters),
        route.floor or req.floor or BEGINNING,
        freshness.max_age_ms,
        route.wait_ms,
        req.database.majority if needs_copies and route.is_primary else 0,
        is_present,
    )
