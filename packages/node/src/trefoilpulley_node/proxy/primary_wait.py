"""Waits for a change of primary, as long as that serves the caller.

Load pattern: while a primary is gone, work for it arrives at the full
rate. Work whose time ends before the change should be over is turned away
at once, so that its caller loses no time; the rest waits in line and runs
as soon as the new primary has proved itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.proxy.directory import Group
    from trefoilpulley_node.proxy.work import Work

FAILOVER_S = 1.3
"""Time from the loss of a primary to the lead of the next, in seconds.

Detection, agreement and the platform's promotion together.
"""

SEARCH_S = 0.15
"""Time to find a primary that moved, in seconds."""

LOST_AFTER_S = 0.1
"""Time without an answer after a failure that makes a primary lost."""

LEAVING_WORK_S = 5.0
"""Time for which a leaving primary takes new work, in seconds.

A handover takes less than a second; two may fail before.
"""

RUN_SHARE = 0.15
"""Part of a statement's time that is kept for running it."""


class PrimaryWait:
    """Decides whether to wait for a primary, and waits.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def is_lost(self, group: Group) -> bool:
        """Return whether the primary does not answer this host."""
        state = group.state
        health = state.members.get(state.primary or '')
        if health is None:
            return True
        now = self._clock.now()
        leaving = health.leaving_since
        if leaving is not None and now - leaving > LEAVING_WORK_S:
            return True
        failing = health.failing_since
        return failing is not None and now - failing > LOST_AFTER_S

    def is_serving(self, group: Group) -> bool:
        """Return whether the primary answers, so that no other comes."""
        state = group.state
        health = state.members.get(state.primary or '')
        if health is None or health.failing_since is not None:
            return False
        return not self.is_lost(group)

    def wait(self, work: Work) -> bool:
        """Wait for a primary; false where it would come too late."""
        now = self._clock.now()
        if now < work.group.state.no_failover_until:
            return False
        spare_s = RUN_SHARE * (work.deadline - work.arrived_at)
        latest = work.deadline - spare_s
        if self._due_at(work.group, now) > latest:
            return False
        return work.group.changed.wait(max(0.0, latest - now))

    def _due_at(self, group: Group, now: float) -> float:
        state = group.state
        if state.failover_due_at > now:
            return state.failover_due_at
        health = state.members.get(state.primary or '')
        if health is not None and health.failing_since is not None:
            return max(now + SEARCH_S, health.failing_since + FAILOVER_S)
        return now + SEARCH_S
