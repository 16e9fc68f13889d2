"""Orders members that don't follow the primary to follow it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.commands import CallMember
from trefoilpulley_core.coordination.commands import Purpose
from trefoilpulley_core.peer import FollowMember

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.coordination.detection import FailureDetector
    from trefoilpulley_core.coordination.detection import MemberEvidence
    from trefoilpulley_core.upstream import MemberStatus

ORDER_RETRY_INTERVAL_S = 1.0
"""Interval between orders to the same member, in seconds."""

MAX_CONTACT_AGE_S = 1.0
"""Age of the last primary contact that triggers an order, in seconds."""

ORDER_TIMEOUT_S = 1.0
"""Time limit for the reply to an order, in seconds."""


class ReplicaRedirector:
    """Makes the members of one database follow its primary.

    Parameters
    ----------
    entry : DatabaseEntry
        Database and its members.
    """

    def __init__(self, entry: DatabaseEntry) -> None:
        self._database = entry.name
        self._ordered_at: dict[str, float] = {}

    def on_tick(self, detector: FailureDetector, now: float) -> Commands:
        """Return the `FollowMember` calls that are due."""
        primary = detector.primary
        misdirected = [
            e.status.member
            for e in detector.answering
            if e.status.member != primary.member
            and _is_misdirected(e, primary)
        ]
        return tuple(
            self._order(m, primary, now)
            for m in misdirected
            if self._is_due(m, now)
        )

    def _is_due(self, member: str, now: float) -> bool:
        ordered_at = self._ordered_at.get(member)
        return ordered_at is None or now >= ordered_at + ORDER_RETRY_INTERVAL_S

    def _order(
        self, member: str, primary: MemberStatus, now: float
    ) -> CallMember:
        self._ordered_at[member] = now
        return CallMember(
            self._database,
            member,
            FollowMember(member, primary.term, primary.member),
            ORDER_TIMEOUT_S,
            Purpose.REDIRECT,
        )


def _is_misdirected(evidence: MemberEvidence, primary: MemberStatus) -> bool:
    status = evidence.status
    if status.is_primary or status.term < primary.term:
        return True
    return evidence.contact_age_s >= MAX_CONTACT_AGE_S
