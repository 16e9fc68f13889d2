"""Schedule of the probes of a database's members."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.coordination.commands import Purpose
from trefoilpulley_core.peer import GetStatus

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.commands import CallDone
    from trefoilpulley_core.coordination.commands import Commands

MIN_PROBE_INTERVAL_S = 0.3
"""Shortest regular interval between probes of the same member, in seconds."""

MEMBER_INTERVAL_S = 0.15
"""Interval between probes by one process, over all its members, in seconds."""

URGENT_PROBE_INTERVAL_S = 0.1
"""Interval between probes while a failure is suspected, in seconds."""

PROBE_TIMEOUT_S = 0.25
"""Time limit for the answer to a probe, in seconds."""


def probe_interval_s(member_count: int) -> float:
    """Return the interval between probes of the same member, in seconds.

    Parameters
    ----------
    member_count : int
        Number of members that this process probes.
    """
    return max(MIN_PROBE_INTERVAL_S, member_count * MEMBER_INTERVAL_S)


class ProbeSchedule:
    """Spreads the probes of one database's members over time.

    Parameters
    ----------
    entry : DatabaseEntry
        Database and its members.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._database = entry.name
        self._members = [m.name for m in entry.members]
        self._due_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._pending: set[str] = set()
        self._phase = xxhash.xxh3_64_intdigest(entry.name.encode()) / 2**64
        self.is_urgent = True
        """Whether to probe at the interval of a suspected failure."""

    def on_tick(self, interval_s: float, now: float) -> Commands:
        """Return the probes that are due now."""
        if self.is_urgent:
            interval_s = min(interval_s, URGENT_PROBE_INTERVAL_S)
        due = [m for m in self._members if self._is_due(m, interval_s, now)]
        return tuple(self._probe(m, interval_s, now) for m in due)

    def on_call_done(self, done: CallDone) -> None:
        """Process the result of a call if it was a probe."""
        if done.call.purpose is Purpose.PROBE:
            self._pending.discard(done.call.member)

    def _is_due(self, member: str, interval_s: float, now: float) -> bool:
        if member in self._pending:
            return False
        due_at = self._due_at.get(member)
        if due_at is None or now >= due_at:
            return True
        # A shortened interval counts from the last probe. The probe that
        # was scheduled with the longer interval is not waited for.
        probed_at = self._probed_at.get(member)
        return probed_at is not None and now >= probed_at + interval_s

    def _probe(self, member: str, interval_s: float, now: float) -> CallMember:
        self._schedule_next(member, interval_s, now)
        self._probed_at[member] = now
        self._pending.add(member)
        return CallMember(
            self._database,
            member,
            GetStatus(member),
            PROBE_TIMEOUT_S,
            Purpose.PROBE,
        )

    def _schedule_next(
        self, member: str, interval_s: float, now: float
    ) -> None:
        if self.is_urgent:
            self._due_at[member] = now + interval_s
            return
        # Each member has a fixed phase, so a delayed probe does not shift
        # the later ones and the members' probes stay spread out.
        offset = self._members.index(member) / len(self._members)
        phase_s = interval_s * (offset + self._phase)
        periods = math.floor((now - phase_s) / interval_s) + 1
        self._due_at[member] = periods * interval_s + phase_s
