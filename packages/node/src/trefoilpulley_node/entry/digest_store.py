"""Keeps the newest digest of each member in use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Presence
from trefoilpulley_core.routing import MemberView

if TYPE_CHECKING:
    from collections.abc import Collection

    from trefoilpulley_core.catalog import MemberEntry
    from trefoilpulley_core.peer import MemberDigest

INITIAL_ROUND_TRIP_MS = 10.0
"""Round trip assumed before the first measurement, in milliseconds."""

_SMOOTHING_FACTOR = 0.2
"""Weight of a new measurement in the moving average of the round trip."""

_NEVER = float('-inf')


@dataclass(eq=False, slots=True)
class _MemberData:
    digest: MemberDigest | None = None
    observed_at: float = _NEVER
    round_trip_ms: float = INITIAL_ROUND_TRIP_MS


class DigestStore:
    """Newest digest of, and round trip to, each member."""

    def __init__(self) -> None:
        self._members: dict[str, _MemberData] = {}

    def observed_at(self, member: str) -> float:
        """Return the time at which the newest digest was requested.

        The time is monotonic and in seconds, and minus infinity if no
        digest is stored.
        """
        member_data = self._members.get(member)
        return _NEVER if member_data is None else member_data.observed_at

    def put(self, digest: MemberDigest, sent_at: float) -> bool:
        """Store a digest unless a newer one is stored already.

        Parameters
        ----------
        digest : MemberDigest
            Digest of a member.
        sent_at : float
            Monotonic time at which the request for the digest was sent, in
            seconds.

        Returns
        -------
        bool
            Whether the digest was stored.
        """
        member_data = self._members.setdefault(digest.member, _MemberData())
        if sent_at < member_data.observed_at:
            return False
        member_data.digest = digest
        member_data.observed_at = sent_at
        return True

    def put_round_trip(self, member: str, round_trip_ms: float) -> None:
        """Add a measurement to the smoothed round trip of a member."""
        member_data = self._members.setdefault(member, _MemberData())
        delta_ms = round_trip_ms - member_data.round_trip_ms
        member_data.round_trip_ms += _SMOOTHING_FACTOR * delta_ms

    def drop_digest(self, member: str) -> None:
        """Delete the digest of a member whose pooler did not answer."""
        member_data = self._members.get(member)
        if member_data is not None:
            member_data.digest = None
            member_data.observed_at = _NEVER

    def remove(self, member: str) -> None:
        """Delete all data of a member that is no longer in use."""
        self._members.pop(member, None)

    def view(
        self, member: MemberEntry, stopping_zones: Collection[str]
    ) -> MemberView:
        """Return the routing view of a member."""
        member_data = self._members.get(member.name) or _MemberData()
        is_leaving = member.presence is Presence.LEAVING
        return MemberView(
            member.name,
            member.zone,
            member_data.digest,
            member_data.observed_at,
            member_data.round_trip_ms,
            is_leaving or member.zone in stopping_zones,
        )
