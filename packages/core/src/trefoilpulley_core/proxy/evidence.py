"""Proved positions of a primary, from which reads take their floor."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.proxy.routes import ReadFreshness

if TYPE_CHECKING:
    from trefoilpulley_core.position import Position
    from trefoilpulley_core.proxy.routes import Route

AGE_MARGIN_S = 0.15
"""Part of the accepted age kept for the way to the member, in seconds.

Covers a connection's set-up and a queued request at the client's link.
"""

EVIDENCE_RETENTION_S = 10.0
"""Time for which evidence is kept, in seconds; above any route's age."""

MIN_EVIDENCE_INTERVAL_S = 0.05
"""Least time between two pieces of evidence that are kept, in seconds."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Position that a proved primary held after a moment."""

    at: float
    """Time at which the proving request left, in seconds."""

    position: Position
    """Position that the primary then showed."""


@dataclass
class SessionFloor:
    """Newest commit of a session."""

    at: float = float('-inf')
    """Time at which its acknowledgement arrived, in seconds."""

    position: Position = BEGINNING
    """Position of the commit."""


class EvidenceLog:
    """Evidence of one database group at one host.

    Every commit acknowledged before a piece of evidence's request left
    is in a log that holds its position, or was rolled back by a later
    promotion.
    """

    def __init__(self) -> None:
        self._kept: deque[Evidence] = deque()

    @property
    def newest(self) -> Evidence | None:
        """Newest evidence, or ``None``."""
        return self._kept[-1] if self._kept else None

    def record(self, at: float, position: Position) -> None:
        """Keep the position that a leader alone could show.

        Parameters
        ----------
        at : float
            Time at which the proving request left, in seconds.
        position : Position
            Position in the reply.
        """
        if position.index == 0:
            return
        kept = self._kept
        if kept and (at < kept[-1].at or position < kept[-1].position):
            return
        if len(kept) > 1 and at - kept[-2].at < MIN_EVIDENCE_INTERVAL_S:
            kept.pop()
        kept.append(Evidence(at, position))
        while kept and kept[0].at < at - EVIDENCE_RETENTION_S:
            kept.popleft()

    def find(self, since: float) -> Evidence | None:
        """Return the oldest evidence no older than a moment."""
        return next((e for e in self._kept if e.at >= since), None)

    def read_floor(
        self, route: Route, session: SessionFloor, now: float
    ) -> Evidence | None:
        """Return the floor of a read at a replica.

        Parameters
        ----------
        route : Route
            Route of the read.
        session : SessionFloor
            Newest commit of the session.
        now : float
            Present time in seconds.

        Returns
        -------
        Evidence | None
            Position that the replica must hold and the time since which
            it has been known, or ``None`` where only a proved primary
            may serve.
        """
        if route.freshness is ReadFreshness.PRIMARY:
            return None
        base = self.find(now - route.max_age_s + AGE_MARGIN_S)
        if base is None:
            return None
        if route.freshness is ReadFreshness.BOUNDED or session.at <= base.at:
            return base
        later = self.find(session.at)
        if later is not None and later.position.term > session.position.term:
            # A promotion since then may have rolled the commit back; then
            # no log will ever hold it.
            return later
        if session.position <= base.position:
            return base
        return Evidence(session.at, session.position)
