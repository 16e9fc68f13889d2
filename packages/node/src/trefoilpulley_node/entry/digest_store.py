"""Newest digest of each member in use."""

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
"""Round trip assumed before the first is seen, in milliseconds."""

_SMOOTHING = 0.2
_NEVER = float('-inf')


@dataclass(eq=False, slots=True)
class _Known:
    digest: MemberDigest | None = None
    observed_at: float = _NEVER
    round_trip_ms: float = INITIAL_ROUND_TRIP_MS


class DigestStore:
    """What an entry host has heard of each member."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def observed_at(self, member: str) -> float:
        """Return the time at which the newest digest was asked for."""
        known = self._known.get(member)
        return _NEVER if known is None else known.observed_at

    def put(self, digest: MemberDigest, sent_at: float) -> bool:
        """Keep a digest; false where a newer one is held.

        Parameters
        ----------
        digest : MemberDigest
            Digest of a member.
        sent_at : float
            Monotonic time at which its request left, in seconds.
        """
        known = self._known.setdefault(digest.member, _Known())
        if sent_at < known.observed_at:
            return False
        known.digest = digest
        known.observed_at = sent_at
        return True

    def put_round_trip(self, member: str, round_trip_ms: float) -> None:
        """Smooth the round trip to a member's pooler."""
        known = self._known.setdefault(member, _Known())
        delta_ms = round_trip_ms - known.round_trip_ms
        known.round_trip_ms += _SMOOTHING * delta_ms

    def drop_digest(self, member: str) -> None:
        """Forget the digest of a member whose pooler did not answer."""
        known = self._known.get(member)
        if known is not None:
            known.digest = None
            known.observed_at = _NEVER

    def forget(self, member: str) -> None:
        """Forget a member that is no longer in use."""
        self._known.pop(member, None)

    def view(
        self, member: MemberEntry, stopping_zones: Collection[str]
    ) -> MemberView:
        """Return what is known of a member."""
        known = self._known.get(member.name) or _Known()
        is_leaving = member.presence is Presence.LEAVING
        return MemberView(
            member.name,
            member.zone,
            known.digest,
            known.observed_at,
            known.round_trip_ms,
            is_leaving or member.zone in stopping_zones,
        )
