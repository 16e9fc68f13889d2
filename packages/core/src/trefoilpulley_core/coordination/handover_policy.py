"""Decides when a handover moves a database to another primary."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.detection import PRIMARY_CONTACT_TIMEOUT_S
from trefoilpulley_core.coordination.handover import MAX_WRITE_PAUSE_S
from trefoilpulley_core.coordination.layout import desired_primary
from trefoilpulley_core.coordination.layout import is_departing

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.detection import FailureDetector
    from trefoilpulley_core.coordination.detection import MemberEvidence
    from trefoilpulley_core.coordination.shard import DatabaseRecord
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.upstream import MemberStatus

RETURN_HOLD_DOWN_S = 5.0
"""Time for which a return target must be eligible, in seconds.

The target of a return is the home primary.
"""

DEPARTURE_HOLD_DOWN_S = 0.3
"""Time for which a departure target must be eligible, in seconds.

A departure moves the database from a primary that is about to stop.
"""

MAX_RETURN_DOUBLINGS = 6
"""Maximum number of doublings of the hold-down of a return.

Each relapse adds one doubling.
"""

MAX_DEPARTURE_DOUBLINGS = 2
"""Maximum number of doublings of the hold-down of a departure."""

MAX_PAUSE_DOUBLINGS = 3
"""Maximum number of doublings of the write pause of a departure."""

MAX_RETURN_LAG_S = 0.3
"""Maximum lag of the home primary for a return, in seconds."""

MAX_DEPARTURE_LAG_S = 1.0
"""Maximum lag of the target when the primary is about to stop, in seconds."""

RELAPSE_RESET_S = 600.0
"""Time with the desired primary after which relapses are reset, in seconds."""

MAX_PRIMARY_POSITIONS = 64
"""Number of primary positions that are kept to estimate the lag."""


class HandoverPolicy:
    """Chooses the target and the time of a handover.

    Parameters
    ----------
    entry : DatabaseEntry
        Database and its members.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._entry = entry
        self._primary_positions: deque[tuple[float, Position]] = deque(
            maxlen=MAX_PRIMARY_POSITIONS
        )
        self._steady_since: dict[str, float] = {}
        self._stable_since: float | None = None

    def is_wanted(
        self, target: str, source: str, stopped: frozenset[str]
    ) -> bool:
        """Return whether a handover between two members is still needed."""
        return target in self._targets(source, stopped)

    def is_layout_stable(
        self, primary: MemberStatus, stopped: frozenset[str], now: float
    ) -> bool:
        """Return whether the desired primary has led long enough."""
        desired = desired_primary(self._entry, stopped).name
        if primary.member != desired:
            self._stable_since = None
            return False
        if self._stable_since is None:
            self._stable_since = now
        return now - self._stable_since >= RELAPSE_RESET_S

    def choose_target(
        self,
        detector: FailureDetector,
        record: DatabaseRecord,
        stopped: frozenset[str],
        now: float,
    ) -> str | None:
        """Return the target of a handover that is due, or ``None``."""
        primary = detector.primary
        self._record_primary_position(detector.evidence[primary.member])
        hold_down_s = self._hold_down_s(primary.member, record, stopped)
        targets = self._targets(primary.member, stopped)
        max_lag_s = self._max_lag_s(primary.member, stopped)
        steady = (
            name
            for name in targets
            if self._steady_duration_s(
                detector.evidence[name], primary, max_lag_s, now
            )
            >= hold_down_s
        )
        return next(steady, None)

    def max_pause_s(
        self, source: str, record: DatabaseRecord, stopped: frozenset[str]
    ) -> float:
        """Return the longest pause of writes for a handover, in seconds.

        A primary that is about to stop must be replaced even if its
        replicas lag. A longer pause only delays requests, whereas the
        failover after the stop may interrupt them.
        """
        if not self._is_departing(source, stopped):
            return MAX_WRITE_PAUSE_S
        return MAX_WRITE_PAUSE_S * 2 ** min(
            record.relapses, MAX_PAUSE_DOUBLINGS
        )

    def _targets(self, source: str, stopped: frozenset[str]) -> list[str]:
        desired = desired_primary(self._entry, stopped).name
        if source == desired:
            return []
        if not self._is_departing(source, stopped):
            return [desired]
        return [
            m.name for m in self._entry.members if not is_departing(m, stopped)
        ]

    def _is_departing(self, name: str, stopped: frozenset[str]) -> bool:
        return is_departing(self._entry.find_member(name), stopped)

    def _max_lag_s(self, source: str, stopped: frozenset[str]) -> float:
        if self._is_departing(source, stopped):
            return MAX_DEPARTURE_LAG_S
        return MAX_RETURN_LAG_S

    def _hold_down_s(
        self, source: str, record: DatabaseRecord, stopped: frozenset[str]
    ) -> float:
        if self._is_departing(source, stopped):
            doublings = min(record.relapses, MAX_DEPARTURE_DOUBLINGS)
            return DEPARTURE_HOLD_DOWN_S * 2**doublings
        return RETURN_HOLD_DOWN_S * 2 ** min(
            record.relapses, MAX_RETURN_DOUBLINGS
        )

    def _record_primary_position(self, evidence: MemberEvidence) -> None:
        if (
            not self._primary_positions
            or self._primary_positions[-1][0] < evidence.answered_at
        ):
            self._primary_positions.append(
                (evidence.answered_at, evidence.status.history.last)
            )

    def _steady_duration_s(
        self,
        evidence: MemberEvidence,
        primary: MemberStatus,
        max_lag_s: float,
        now: float,
    ) -> float:
        if not self._is_steady(evidence, primary, max_lag_s):
            if evidence.status is not None:
                self._steady_since.pop(evidence.status.member, None)
            return -1.0
        return now - self._steady_since.setdefault(evidence.status.member, now)

    def _is_steady(
        self, evidence: MemberEvidence, primary: MemberStatus, max_lag_s: float
    ) -> bool:
        if not evidence.is_answering or evidence.status.term != primary.term:
            return False
        if evidence.status.primary_contact_age_ms is None:
            return False
        if (
            evidence.status.primary_contact_age_ms / 1000
            >= PRIMARY_CONTACT_TIMEOUT_S
        ):
            return False
        return self._is_caught_up(evidence, max_lag_s)

    def _is_caught_up(
        self, evidence: MemberEvidence, max_lag_s: float
    ) -> bool:
        limit = evidence.answered_at - max_lag_s
        past = [p for at, p in self._primary_positions if at <= limit]
        return not past or evidence.status.history.last >= past[-1]
