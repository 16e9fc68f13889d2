"""Proof that a primary still led at a given time."""

from __future__ import annotations

import math

_AGE_DECIMALS = 3


class LeadershipProof:
    """Dates the last time at which a primary surely led its term.

    A promotion fences a majority of the members at a higher term first.
    While the primary and enough replicas to make a majority with it are
    not fenced above the primary's term, nobody else can have led.

    Parameters
    ----------
    members : int
        Members of the database group, the primary included.
    """

    def __init__(self, members: int) -> None:
        self._replicas_needed = members // 2
        self._primary_at: float | None = None
        self._term = 0
        self._replicas: dict[str, float] = {}

    def on_primary(self, term: int, fenced_term: int, asked_at: float) -> None:
        """Take the primary's answer to a status request.

        Parameters
        ----------
        term : int
            Term that the member leads.
        fenced_term : int
            Lowest term that the member still accepts.
        asked_at : float
            Monotonic time at which the request left, in seconds.
        """
        if term != self._term:
            self.reset()
            self._term = term
        if fenced_term <= term:
            self._primary_at = asked_at

    def on_replica(
        self, member: str, fenced_term: int, asked_at: float
    ) -> None:
        """Take a replica's answer to a status request."""
        if fenced_term > self._term:
            self._replicas.pop(member, None)
            return
        known = self._replicas.get(member, asked_at)
        self._replicas[member] = max(known, asked_at)

    def reset(self) -> None:
        """Forget all, as after a change of the primary."""
        self._primary_at = None
        self._replicas.clear()

    def proven_at(self) -> float | None:
        """Return the latest time at which the primary surely led.

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
        """Return the greatest age of the primary's own data.

        A primary that was replaced behind a network partition holds old
        data; what it held when it surely led was all there was.

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
        """Return whether the primary surely led at a time."""
        proven_at = self.proven_at()
        return proven_at is not None and proven_at >= asked_at
