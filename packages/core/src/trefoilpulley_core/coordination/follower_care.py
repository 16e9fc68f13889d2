"""Tells members that do not follow the primary to do so."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.coordination.commands import Purpose
from trefoilpulley_core.peer import FollowMember

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.coordination.detection import Detector
    from trefoilpulley_core.coordination.detection import MemberWatch
    from trefoilpulley_core.upstream import MemberStatus

REPEAT_S = 1.0
"""Time between two orders to the same member."""

LOST_CONTACT_S = 1.0
"""Time without the primary after which a replica is told again."""

CARE_TIMEOUT_S = 1.0
"""Longest wait for the reply to an order."""


class FollowerCare:
    """Keeps the replicas of one database on its primary.

    Parameters
    ----------
    entry : DatabaseEntry
        Members of the database.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._database = entry.name
        self._told_at: dict[str, float] = {}

    def on_tick(self, detector: Detector, now: float) -> Commands:
        """Return the orders that are due."""
        leader = detector.leader
        strays = [
            w.status.member
            for w in detector.answering
            if w.status.member != leader.member and _is_stray(w, leader)
        ]
        return tuple(
            self._tell(m, leader, now) for m in strays if self._is_due(m, now)
        )

    def _is_due(self, member: str, now: float) -> bool:
        told_at = self._told_at.get(member)
        return told_at is None or now >= told_at + REPEAT_S

    def _tell(
        self, member: str, leader: MemberStatus, now: float
    ) -> CallMember:
        self._told_at[member] = now
        return CallMember(
            self._database,
            member,
            FollowMember(member, leader.term, leader.member),
            CARE_TIMEOUT_S,
            Purpose.CARE,
        )


def _is_stray(watch: MemberWatch, leader: MemberStatus) -> bool:
    status = watch.status
    if status.is_primary or status.term < leader.term:
        return True
    return watch.contact_age_s >= LOST_CONTACT_S
