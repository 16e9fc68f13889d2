"""Faulty copies of the rules, which an exploration must find out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.promotion import Promotion
from trefoilpulley_standins.explore_state import ExploredState

if TYPE_CHECKING:
    from trefoilpulley_standins.explore_member import ModelMember


class PromotionWithoutMajority(Promotion):
    """Promotes as soon as one member is fenced."""

    def _is_fenced_enough(self, now: float) -> bool:
        return bool(self._fenced)


class PromotionOfTheShortest(Promotion):
    """Promotes the member whose log is the shortest."""

    def _most_advanced(self) -> str:
        return min(self._fenced, key=lambda n: self._fenced[n].history.last)


class StateWithoutMajority(ExploredState):
    """Uses `PromotionWithoutMajority`."""

    def make_promotion(
        self, term: int, names: list[str], now: float
    ) -> Promotion:
        """Return the faulty promotion."""
        return PromotionWithoutMajority(self.entry, term, names, now)


class StateWithTheShortest(ExploredState):
    """Uses `PromotionOfTheShortest`."""

    def make_promotion(
        self, term: int, names: list[str], now: float
    ) -> Promotion:
        """Return the faulty promotion."""
        return PromotionOfTheShortest(self.entry, term, names, now)


class StateWithSharedTerms(ExploredState):
    """Grants the same terms to both coordinators."""

    def next_term(self, index: int) -> int:
        """Return a term that the other coordinator uses too."""
        return 2 + self.used[index]


class StateWithOneCopy(ExploredState):
    """Acknowledges what the primary alone holds."""

    def copies_needed(self) -> int:
        """Return too few members."""
        return 1

    def on_write(self, primary: ModelMember) -> None:
        """Acknowledge at once."""
        self.count_copies(primary)


FAULTY_RULES: dict[str, type[ExploredState]] = {
    'no-majority': StateWithoutMajority,
    'shortest-log': StateWithTheShortest,
    'shared-terms': StateWithSharedTerms,
    'one-copy': StateWithOneCopy,
}
"""Faulty copies by name."""
