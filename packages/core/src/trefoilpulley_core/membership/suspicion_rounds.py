"""Evaluation of the probes of a suspected host or zone."""

from __future__ import annotations

from enum import auto
from enum import Enum

MAX_SILENT_ROUNDS = 3
"""Rounds without any report after which a suspicion is confirmed."""


class Verdict(Enum):
    """Result of a round of probes."""

    OPEN = auto()
    """Probes of the round are still outstanding."""

    CLEARED = auto()
    """A host has reached the subject."""

    REPEAT = auto()
    """The reports do not suffice for a verdict; another round is needed."""

    CONFIRMED = auto()
    """The subject is considered lost."""


class SuspicionRounds:
    """Counts the rounds of direct and indirect probes of one subject.

    An indirect prober that reports the subject as unreachable is evidence
    of a failure. Indirect probers that do not answer are no evidence, since
    the requesting host may itself be partitioned. Only after several rounds
    without any report is the subject considered lost.

    Parameters
    ----------
    min_unreachable_rounds : int
        Number of rounds with a report of an unreachable subject after which
        the subject is considered lost.
    """

    def __init__(self, min_unreachable_rounds: int = 1) -> None:
        self._min_unreachable_rounds = min_unreachable_rounds
        self._outstanding = 0
        self._is_reported_unreachable = False
        self._unreachable_rounds = 0
        self._silent_rounds = 0
        self._is_cleared = False

    def begin_round(self, probes: int) -> None:
        """Begin a round with a number of direct and indirect probes."""
        self._outstanding = probes
        self._is_reported_unreachable = False

    def on_reached(self) -> Verdict:
        """Record that a host has reached the subject."""
        self._is_cleared = True
        return Verdict.CLEARED

    def on_unreachable_report(self) -> Verdict:
        """Record that an indirect prober could not reach the subject."""
        self._is_reported_unreachable = True
        return self._finish_probe()

    def on_no_answer(self) -> Verdict:
        """Record a direct or indirect probe without an answer."""
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
