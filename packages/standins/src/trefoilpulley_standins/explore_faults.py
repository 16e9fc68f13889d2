"""Deliberate faults that an exploration must detect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.promotion import Promotion
from trefoilpulley_standins.explore_state import ExploredState

if TYPE_CHECKING:
    from trefoilpulley_standins.explore_member import ModelMember


class NoMajorityPromotion(Promotion):
    """Promotes a member as soon as any one member is fenced."""

    def _is_fenced_enough(self, now: float) -> bool:
        return bool(self._fenced)


class ShortestLogPromotion(Promotion):
    """Promotes the fenced member with the shortest log."""

    def _most_advanced(self) -> str:
        return min(self._fenced, key=lambda n: self._fenced[n].history.last)


class NoMajorityState(ExploredState):
    """Uses `NoMajorityPromotion`."""

    def make_promotion(
        self, term: int, names: list[str], now: float
    ) -> Promotion:
        """Return the faulty promotion."""
        return NoMajorityPromotion(self.entry, term, names, now)


class ShortestLogState(ExploredState):
    """Uses `ShortestLogPromotion`."""

    def make_promotion(
        self, term: int, names: list[str], now: float
    ) -> Promotion:
        """Return the faulty promotion."""
        return ShortestLogPromotion(self.entry, term, names, now)


class SharedTermsState(ExploredState):
    """Grants the same terms to both coordinators."""

    def next_term(self, index: int) -> int:
        """Return a term that the other coordinator also uses."""
        return 2 + self.promotion_counts[index]


class OneCopyState(ExploredState):
    """Acknowledges writes that only the primary holds."""

    def copies_needed(self) -> int:
        """Return one, which is less than a majority."""
        return 1

    def on_write(self, primary: ModelMember) -> None:
        """Acknowledge the write without waiting for a replica."""
        self.update_acknowledged(primary)


FAULTY_RULES: dict[str, type[ExploredState]] = {
    'no-majority': NoMajorityState,
    'shortest-log': ShortestLogState,
    'shared-terms': SharedTermsState,
    'one-copy': OneCopyState,
}
"""States with a deliberate fault, by the name of the fault."""
