"""Evidence on a host or a zone that does not answer."""

from __future__ import annotations

from enum import auto
from enum import Enum

INCONCLUSIVE_ROUNDS = 3
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


class Suspicion:
    """Collects what one's own probe and the helpers say.

    A helper that answers and denies is evidence. Helpers that are
    silent too are none, since the asking host may itself be cut off;
    only after several such rounds is the subject taken for gone.

    Parameters
    ----------
    denied_rounds_needed : int
        Rounds with a denial after which the subject is gone.
    """

    def __init__(self, denied_rounds_needed: int = 1) -> None:
        self._denied_rounds_needed = denied_rounds_needed
        self._outstanding = 0
        self._is_denied = False
        self._denied_rounds = 0
        self._silent_rounds = 0
        self._is_cleared = False

    def begin_round(self, questions: int) -> None:
        """Begin a round of some questions."""
        self._outstanding = questions
        self._is_denied = False

    def on_reached(self) -> Verdict:
        """Note that somebody has reached the subject."""
        self._is_cleared = True
        return Verdict.CLEARED

    def on_denied(self) -> Verdict:
        """Note that a helper could not reach the subject."""
        self._is_denied = True
        return self._close_question()

    def on_silence(self) -> Verdict:
        """Note a question without an answer."""
        return self._close_question()

    def _close_question(self) -> Verdict:
        self._outstanding -= 1
        if self._is_cleared or self._outstanding > 0:
            return Verdict.OPEN
        if self._is_denied:
            self._denied_rounds += 1
        else:
            self._silent_rounds += 1
        return self._judge()

    def _judge(self) -> Verdict:
        if self._denied_rounds >= self._denied_rounds_needed:
            return Verdict.CONFIRMED
        if self._silent_rounds >= INCONCLUSIVE_ROUNDS:
            return Verdict.CONFIRMED
        return Verdict.REPEAT
