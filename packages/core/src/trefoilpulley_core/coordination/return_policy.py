"""When the lead moves to another member by a handover."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.detection import SILENCE_S
from trefoilpulley_core.coordination.handover import HOLD_S
from trefoilpulley_core.coordination.layout import desired_primary
from trefoilpulley_core.coordination.layout import is_departing

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.detection import Detector
    from trefoilpulley_core.coordination.detection import MemberWatch
    from trefoilpulley_core.coordination.shard import DatabaseRecord
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.upstream import MemberStatus

RETURN_HOLD_S = 5.0
"""Time for which the home primary must be steady before a return."""

DEPARTURE_HOLD_S = 0.3
"""The same where the present primary is about to stop."""

DOUBLINGS_LIMIT = 6
"""Relapses after which the hold-down of a return grows no further."""

DEPARTURE_DOUBLINGS_LIMIT = 2
"""The same where the present primary is about to stop."""

PAUSE_DOUBLINGS_LIMIT = 3
"""Failed handovers of a stopping primary that lengthen its pause."""

CAUGHT_UP_S = 0.3
"""Greatest lag of a member that may take the lead."""

DEPARTURE_CAUGHT_UP_S = 1.0
"""The same where the present primary is about to stop."""

QUIET_S = 600.0
"""Time in the wanted layout after which relapses are forgotten."""

PAST_KEPT = 64
"""Positions of the primary that are kept to judge the lag."""


class ReturnPolicy:
    """Judges which member should take the lead, and when.

    Parameters
    ----------
    entry : DatabaseEntry
        Members of the database.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._entry = entry
        self._past: deque[tuple[float, Position]] = deque(maxlen=PAST_KEPT)
        self._steady_since: dict[str, float] = {}
        self._quiet_since: float | None = None

    def is_wanted(
        self, target: str, source: str, stopped: frozenset[str]
    ) -> bool:
        """Return whether the declarations still ask for a handover."""
        return target in self._targets(source, stopped)

    def is_quiet(
        self, leader: MemberStatus, stopped: frozenset[str], now: float
    ) -> bool:
        """Return whether the wanted layout has held for long."""
        wanted = desired_primary(self._entry, stopped).name
        if leader.member != wanted:
            self._quiet_since = None
            return False
        if self._quiet_since is None:
            self._quiet_since = now
        return now - self._quiet_since >= QUIET_S

    def choose_target(
        self,
        detector: Detector,
        record: DatabaseRecord,
        stopped: frozenset[str],
        now: float,
    ) -> str | None:
        """Return the member that should take the lead now, or ``None``."""
        leader = detector.leader
        self._note_leader(detector.watches[leader.member])
        hold_s = self._hold_s(leader.member, record, stopped)
        targets = self._targets(leader.member, stopped)
        lag_s = self._lag_s(leader.member, stopped)
        steady = (
            name
            for name in targets
            if self._steady_for(detector.watches[name], leader, lag_s, now)
            >= hold_s
        )
        return next(steady, None)

    def pause_s(
        self, source: str, record: DatabaseRecord, stopped: frozenset[str]
    ) -> float:
        """Return the longest hold of writes that a handover may take.

        A primary that is about to stop must move even where its
        replicas lag: a longer pause cuts nothing, a failover might.
        """
        if not self._is_departing(source, stopped):
            return HOLD_S
        return HOLD_S * 2 ** min(record.relapses, PAUSE_DOUBLINGS_LIMIT)

    def _targets(self, source: str, stopped: frozenset[str]) -> list[str]:
        wanted = desired_primary(self._entry, stopped).name
        if source == wanted:
            return []
        if not self._is_departing(source, stopped):
            return [wanted]
        return [
            m.name for m in self._entry.members if not is_departing(m, stopped)
        ]

    def _is_departing(self, name: str, stopped: frozenset[str]) -> bool:
        return is_departing(self._entry.find_member(name), stopped)

    def _lag_s(self, source: str, stopped: frozenset[str]) -> float:
        if self._is_departing(source, stopped):
            return DEPARTURE_CAUGHT_UP_S
        return CAUGHT_UP_S

    def _hold_s(
        self, source: str, record: DatabaseRecord, stopped: frozenset[str]
    ) -> float:
        if self._is_departing(source, stopped):
            doublings = min(record.relapses, DEPARTURE_DOUBLINGS_LIMIT)
            return DEPARTURE_HOLD_S * 2**doublings
        return RETURN_HOLD_S * 2 ** min(record.relapses, DOUBLINGS_LIMIT)

    def _note_leader(self, watch: MemberWatch) -> None:
        if not self._past or self._past[-1][0] < watch.answered_at:
            self._past.append((watch.answered_at, watch.status.history.last))

    def _steady_for(
        self,
        watch: MemberWatch,
        leader: MemberStatus,
        lag_s: float,
        now: float,
    ) -> float:
        if not self._is_steady(watch, leader, lag_s):
            if watch.status is not None:
                self._steady_since.pop(watch.status.member, None)
            return -1.0
        return now - self._steady_since.setdefault(watch.status.member, now)

    def _is_steady(
        self, watch: MemberWatch, leader: MemberStatus, lag_s: float
    ) -> bool:
        if not watch.is_answering or watch.status.term != leader.term:
            return False
        if watch.status.primary_contact_age_ms is None:
            return False
        if watch.status.primary_contact_age_ms / 1000 >= SILENCE_S:
            return False
        return self._is_caught_up(watch, lag_s)

    def _is_caught_up(self, watch: MemberWatch, lag_s: float) -> bool:
        limit = watch.answered_at - lag_s
        older = [p for at, p in self._past if at <= limit]
        return not older or watch.status.history.last >= older[-1]
