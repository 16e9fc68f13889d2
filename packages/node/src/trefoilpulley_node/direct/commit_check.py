"""Checks that a change of primary keeps a commit before it is acknowledged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import OutcomeUnknown
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from returns.result import Result

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.upstream_session import Reply
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.position import TermStart
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.statement_request import StatementRequest

SLOW_COMMIT_S = 0.25
"""Time of a commit from which the claim is read before the answer, in seconds.

A cut that holds a commit up for less does not make the hosts begin a change.
"""

POLL_INTERVAL_S = 0.05
"""Time between two looks whether a change is over, in seconds."""

ANSWER_MARGIN_S = 0.02
"""Time before the deadline at which the caller is answered, in seconds."""


class CommitCheck:
    """Withholds the answers to commits that a change of primary may lose.

    Load pattern: writes reach the old primary at the end of a cut, while an
    order to promote another member is out. A replica that has started since
    the others were told to hold confirms them.

    Only groups with synchronous replicas are checked: with asynchronous ones,
    a failover may lose what was acknowledged.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    is_change_open : Callable[[Group], bool], optional
        Tells whether a change of a group's primary may still have an effect.
    find_round : Callable[[str], int], optional
        Returns the number of a group's newest change.
    find_term_starts : Callable[[str], Iterable[TermStart]], optional
        Returns the starts of a group's terms that claims have told.
    read_claim : Callable[[str], bool], optional
        Reads the newest change of a group from the service; returns whether
        the service has answered.
    is_isolated : Callable[[], bool], optional
        Tells whether this host counts itself as cut off.
    """

    def __init__(
        self,
        clock: Clock,
        is_change_open: Callable[[Group], bool] = lambda _: False,
        find_round: Callable[[str], int] = lambda _: 0,
        find_term_starts: Callable[[str], Iterable[TermStart]] = lambda _: (),
        read_claim: Callable[[str], bool] = lambda _: True,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock = clock
        self._is_change_open = is_change_open
        self._find_round = find_round
        self._find_term_starts = find_term_starts
        self._read_claim = read_claim
        self._is_isolated = is_isolated

    def begin(self, group: Group) -> int:
        """Return the newest change that is known as a commit is sent."""
        return self._find_round(group.state.group)

    def confirm(
        self,
        request: StatementRequest,
        member: str,
        sent: tuple[float, int],
        reply: Reply,
    ) -> Result[Reply, Failure]:
        """Return the reply to a commit once no change of primary can lose it.

        Parameters
        ----------
        request : StatementRequest
            Write or COMMIT.
        member : str
            Member that has committed.
        sent : tuple[float, int]
            Time at which the request was sent, in seconds, and the newest
            change that was known then.
        reply : Reply
            Reply of the member.

        Returns
        -------
        Result[Reply, Failure]
            The reply, or `OutcomeUnknown` where the commit is not in the log
            that leads now, or where no log leads before the deadline.
        """
        group = request.group
        if not group.synchronous_replicas:
            return Success(reply)
        sent_at, sent_round = sent
        if not self._is_claim_known(group, sent_at):
            return self._withhold(request, reply, 'host is cut off')
        if self._find_round(group.state.group) == sent_round and (
            not self._is_change_open(group)
        ):
            return Success(reply)
        answer_at = request.deadline - ANSWER_MARGIN_S
        while True:
            is_kept = self._is_kept(group, member, reply.position)
            if is_kept:
                return Success(reply)
            remaining_s = answer_at - self._clock.now()
            if is_kept is False or remaining_s <= 0:
                return self._withhold(request, reply, 'change of primary')
            group.primary_changed.wait(min(POLL_INTERVAL_S, remaining_s))

    def _is_claim_known(self, group: Group, sent_at: float) -> bool:
        """Return whether this host would know of a change by now.

        A host that was cut off with the old primary may not know it yet.
        """
        duration_s = self._clock.now() - sent_at
        if duration_s < SLOW_COMMIT_S and not self._is_isolated():
            return True
        return self._read_claim(group.state.group) or not self._is_isolated()

    def _is_kept(
        self, group: Group, member: str, position: Position
    ) -> bool | None:
        """Return whether the log that leads has a commit.

        ``None`` if that is not known yet.
        """
        state = group.state
        if self._is_change_open(group) or state.primary is None:
            return None
        lineage = state.lineage
        lineage.merge(self._find_term_starts(state.group))
        if lineage.has_left(position):
            return False
        is_term_known = any(s.term > position.term for s in lineage.starts)
        return True if is_term_known or state.primary == member else None

    def _withhold(
        self, request: StatementRequest, reply: Reply, cause: str
    ) -> Result[Reply, Failure]:
        events.COMMIT_WITHHELD.log(
            request=request.run.request_id,
            group=request.route.group,
            position=str(reply.position),
            cause=cause,
        )
        return Failed(OutcomeUnknown(cause))
