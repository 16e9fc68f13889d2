"""Proved log positions of a primary and the read floors based on them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.log_lineage import LogLineage
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.position import BEGINNING

if TYPE_CHECKING:
    from trefoilpulley_core.direct.routes import Route
    from trefoilpulley_core.position import Position

AGE_MARGIN_S = 0.15
"""Part of a route's maximum age reserved for reaching the member, in seconds.

The margin covers the set-up of a connection and the time that a request is
queued on the caller's connection.
"""

EVIDENCE_RETENTION_S = 10.0
"""Time for which evidence is kept, in seconds.

The time exceeds the maximum age of any route.
"""

MIN_EVIDENCE_INTERVAL_S = 0.05
"""Minimum time between two kept evidence entries, in seconds."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Log position that a proved primary reported."""

    at: float
    """Time at which the proving request was sent, in seconds."""

    position: Position
    """Position in the primary's reply."""


@dataclass
class SessionFloor:
    """Newest commit of a session at one group."""

    at: float = float('-inf')
    """Time at which the commit's acknowledgement arrived, in seconds."""

    position: Position = BEGINNING
    """Position of the commit."""


class EvidenceLog:
    """Evidence that one host has of one database group.

    A commit that was acknowledged before the request of an evidence entry
    was sent is in every log that holds the entry's position, or a later
    promotion rolled the commit back.
    """

    def __init__(self) -> None:
        self._entries: deque[Evidence] = deque()
        self.lineage = LogLineage()
        """Starts of the group's terms."""

    @property
    def newest(self) -> Evidence | None:
        """Newest evidence, or ``None`` if there is none."""
        return self._entries[-1] if self._entries else None

    def record(self, at: float, position: Position) -> None:
        """Keep the position that a proved primary reported.

        Parameters
        ----------
        at : float
            Time at which the proving request was sent, in seconds.
        position : Position
            Position in the reply.
        """
        if position.index == 0:
            return
        self.lineage.on_position(position)
        entries = self._entries
        if entries and (
            at < entries[-1].at or position < entries[-1].position
        ):
            return
        if len(entries) > 1 and at - entries[-2].at < MIN_EVIDENCE_INTERVAL_S:
            entries.pop()
        entries.append(Evidence(at, position))
        while entries and entries[0].at < at - EVIDENCE_RETENTION_S:
            entries.popleft()

    def passed_at(self, position: Position) -> float | None:
        """Return when the primary is first known to have passed a position.

        In seconds; ``None`` if it is not known to have passed it.
        """
        passed_at: float | None = None
        # Most replicas lack nothing, or only the newest entries.
        for entry in reversed(self._entries):
            if entry.position <= position:
                break
            passed_at = entry.at
        return passed_at

    def oldest_since(self, since: float) -> Evidence | None:
        """Return the oldest evidence at or after a time."""
        return next((e for e in self._entries if e.at >= since), None)

    def read_floor(
        self, route: Route, session: SessionFloor, now: float
    ) -> Evidence | None:
        """Return the position that a replica must hold to serve a read.

        Parameters
        ----------
        route : Route
            Route of the read.
        session : SessionFloor
            Newest commit of the session.
        now : float
            Current time in seconds.

        Returns
        -------
        Evidence | None
            Position that the replica must hold and the time since which
            the position has been known, or ``None`` if only a proved
            primary may serve the read.
        """
        if route.freshness is ReadFreshness.PRIMARY:
            return None
        base = self.oldest_since(now - route.max_age_s + AGE_MARGIN_S)
        if base is None:
            return None
        if route.freshness is ReadFreshness.BOUNDED or session.at <= base.at:
            return base
        later = self.oldest_since(session.at)
        if later is not None and later.position.term > session.position.term:
            # A promotion after the commit may have rolled the commit back.
            # In that case, no log will ever hold the commit's position.
            return later
        if session.position <= base.position:
            return base
        return Evidence(session.at, session.position)
