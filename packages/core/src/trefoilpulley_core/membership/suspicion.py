"""Evidence on a host or a zone that does not answer."""

from __future__ import annotations

from enum import auto
from enum import Enum

MAX_SILENT_ROUNDS = 3
"""Rounds without any helper's word after which silence is enough."""


class Verdict(Enum):
    """Results of a round of evidence."""

    OPEN = auto()
    """Answers are still out."""

    CLEARED = auto()
    """Somebody has reached the subject."""

    REPEAT = auto()
    """The evidence is not enough yet."""

    CONFIRMED = auto()
    """The subject is gone."""


class SuspicionRounds:
    """Collects what one's own probe and the helpers say.

    A helper that answers and denies is evidence. Helpers that are
    silent too are none, since the asking host may itself be cut off;
    only after several such rounds is the subject taken for gone.

    Parameters
    ----------
    min_unreachable_rounds : int
        Rounds with a denial after which the subject is gone.
    """

    def __init__(self, min_unreachable_rounds: int = 1) -> None:
        self._min_unreachable_rounds = min_unreachable_rounds
        self._outstanding = 0
        self._is_reported_unreachable = False
        self._unreachable_rounds = 0
        self._silent_rounds = 0
        self._is_cleared = False

    def begin_round(self, probes: int) -> None:
        """Begin a round of some questions."""
        self._outstanding = probes
        self._is_reported_unreachable = False

    def on_reached(self) -> Verdict:
        """Note that somebody has reached the subject."""
        self._is_cleared = True
        return Verdict.CLEARED

    def on_unreachable_report(self) -> Verdict:
        """Note that a helper could not reach the subject."""
        self._is_reported_unreachable = True
        return self._finish_probe()

    def on_no_answer(self) -> Verdict:
        """Note a question without an answer."""
        return self._finish_probe()

    def _finish_probe(self) -> Verdict:
        self._outstanding -= 1
        if self._is_cleared or self._outstanding > 0:
            return Verdict.OPEN
        if self._is_reported_unreachable:
            self._unreachable_rounds += 1
        else:
            self._silent_rounds += 1
        return self._decide()

    def _decide(self) -> Verdict:
        if self._unreachable_rounds >= self._min_unreachable_rounds:
            return Verdict.CONFIRMED
        if self._silent_rounds >= MAX_SILENT_ROUNDS:
            return Verdict.CONFIRMED
        return Verdict.REPEAT
