"""Lets requests wait for a new primary while waiting can help the caller.

Load pattern: while a primary is lost, its requests arrive at the full rate. A
request whose deadline comes before the expected end of the change is refused
at once, so that its caller loses no time. Other requests wait and run as soon
as the new primary has proved its leadership.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.direct.statement_request import StatementRequest

EXPECTED_FAILOVER_S = 1.3
"""Expected time until a new primary leads after a loss, in seconds.

Covers detection, the vote and the platform's promotion.
"""

EXPECTED_SEARCH_S = 0.15
"""Expected time to find the new primary after a change, in seconds."""

LOST_TIMEOUT_S = 0.1
"""Time after which a failing primary counts as lost, in seconds.

Counted from its first failure since its last answer.
"""

DEFAULT_DRAIN_S = 7.0
"""Time after its announcement for which a leaving member serves, in seconds.

Applies where the settings do not tell another one.
"""

LEAVING_MARGIN_S = 2.0
"""Part of that time in which a leaving primary gets no requests, in seconds.

Covers the wait of a request for a connection, here or at a holder, and a
retry.
"""

RUN_TIME_FACTOR = 0.15
"""Fraction of a statement's time limit that is reserved to run it."""


class PrimaryWait:
    """Decides whether a request waits for a primary, and waits.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    drain_s : float
        Time after its announcement for which a leaving member serves, in
        seconds.
    is_change_open : Callable[[Group], bool], optional
        Tells whether a change of a group's primary may still have an effect.
    """

    def __init__(
        self,
        clock: Clock,
        drain_s: float = DEFAULT_DRAIN_S,
        is_change_open: Callable[[Group], bool] = lambda _: False,
    ) -> None:
        self._clock = clock
        self._is_change_open = is_change_open
        self._max_leaving_s = max(0.0, drain_s - LEAVING_MARGIN_S)

    def is_lost(self, group: Group) -> bool:
        """Return whether the primary does not answer this host."""
        state = group.state
        health = state.members.get(state.primary or '')
        if health is None:
            return True
        now = self._clock.now()
        leaving_since = health.record.leaving_since
        if (
            leaving_since is not None
            and now - leaving_since > self._max_leaving_s
        ):
            return True
        failing_since = health.failing_since
        return (
            failing_since is not None and now - failing_since > LOST_TIMEOUT_S
        )

    def is_in_doubt(self, group: Group) -> bool:
        """Return whether a commit of the primary may be lost by a change.

        With synchronous replicas, no commit may be acknowledged while another
        member may be promoted.
        """
        return bool(group.synchronous_replicas) and self._is_change_open(group)

    def is_serving(self, group: Group) -> bool:
        """Return whether the primary answers and no change is expected."""
        state = group.state
        health = state.members.get(state.primary or '')
        if health is None or health.failing_since is not None:
            return False
        return not self.is_lost(group)

    def wait(self, request: StatementRequest) -> bool:
        """Wait for a primary; return whether one was found in time."""
        now = self._clock.now()
        wait_until = self.find_wait_end(
            request.group, request.arrived_at, request.deadline, now
        )
        if wait_until is None:
            return False
        return request.group.primary_changed.wait(max(0.0, wait_until - now))

    def find_wait_end(
        self, group: Group, arrived_at: float, deadline: float, now: float
    ) -> float | None:
        """Return until when a request waits, or ``None`` if it does not.

        Parameters
        ----------
        group : Group
            Group of the request.
        arrived_at : float
            Time of the request's arrival, in seconds.
        deadline : float
            Time by which the request must be answered, in seconds.
        now : float
            Current time in seconds.
        """
        if now < group.state.no_primary_change_until:
            return None
        run_time_s = RUN_TIME_FACTOR * (deadline - arrived_at)
        wait_until = deadline - run_time_s
        if self.expected_at(group, now) > wait_until:
            return None
        return wait_until

    def expected_at(self, group: Group, now: float) -> float:
        """Return when a primary is expected to be known, in seconds."""
        state = group.state
        if state.primary_change_due_at > now:
            return state.primary_change_due_at
        health = state.members.get(state.primary or '')
        if health is not None and health.failing_since is not None:
            return max(
                now + EXPECTED_SEARCH_S,
                health.failing_since + EXPECTED_FAILOVER_S,
            )
        return now + EXPECTED_SEARCH_S
