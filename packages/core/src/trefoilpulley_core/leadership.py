"""Proof that a primary was not replaced before a given time."""

from __future__ import annotations

import math

_AGE_DECIMALS = 3
"""Decimals of an age in milliseconds that are kept before rounding up."""


class LeadershipProof:
    """Determines the latest time at which a primary is proven to have led.

    A promotion first fences a majority of the members at a higher term.
    While a majority, including the primary, is not fenced above the
    primary's term, no other member can have become the primary.

    Parameters
    ----------
    members : int
        Number of members of the database group, including the primary.
    """

    def __init__(self, members: int) -> None:
        self._replicas_needed = members // 2
        self._primary_at: float | None = None
        self._term = 0
        self._replicas: dict[str, float] = {}

    def on_primary_status(
        self, term: int, fenced_term: int, asked_at: float
    ) -> None:
        """Process the primary's answer to a status request.

        Parameters
        ----------
        term : int
            Term of the primary.
        fenced_term : int
            Lowest term that the primary still accepts.
        asked_at : float
            Monotonic time at which the request was sent, in seconds.
        """
        if term != self._term:
            self.reset()
            self._term = term
        if fenced_term <= term:
            self._primary_at = asked_at

    def on_replica_status(
        self, member: str, fenced_term: int, asked_at: float
    ) -> None:
        """Process a replica's answer to a status request."""
        if fenced_term > self._term:
            self._replicas.pop(member, None)
            return
        last_asked_at = self._replicas.get(member, asked_at)
        self._replicas[member] = max(last_asked_at, asked_at)

    def reset(self) -> None:
        """Discard all answers, for example after a change of the primary."""
        self._primary_at = None
        self._replicas.clear()

    def proven_at(self) -> float | None:
        """Return the latest time at which the primary provably led.

        Returns
        -------
        float | None
            Monotonic time in seconds, or ``None`` without proof.
        """
        if self._primary_at is None:
            return None
        newest = sorted(self._replicas.values(), reverse=True)
        if len(newest) < self._replicas_needed:
            return None
        if not self._replicas_needed:
            return self._primary_at
        return min(self._primary_at, newest[self._replicas_needed - 1])

    def age_ms(self, now: float) -> int | None:
        """Return the upper bound of the age of the primary's data.

        A primary that was replaced during a network partition holds
        outdated data. At the last time at which the primary provably
        led, its data was complete.

        Returns
        -------
        int | None
            Age in milliseconds, or ``None`` without proof.
        """
        proven_at = self.proven_at()
        if proven_at is None:
            return None
        age_ms = round((now - proven_at) * 1000, _AGE_DECIMALS)
        return max(0, math.ceil(age_ms))

    def is_proven_since(self, asked_at: float) -> bool:
        """Return whether the primary provably led at a time."""
        proven_at = self.proven_at()
        return proven_at is not None and proven_at >= asked_at
