"""Whether a host itself reaches a member, apart from all other hosts.

Load pattern: a network partition cuts some hosts off from a primary while
others reach it. A host that is cut off can still have its requests served
through other hosts, so that "requests are answered" and "this host reaches the
member" are different facts. Votes on a lost primary and the refusals of a
connection holder need the second one.

A dial that is cut short by a request's deadline says little on its own. The
time that dials have waited in vain is therefore added up until the member
answers: the requests of transactions alone, which allow 0.3 s to open, would
otherwise never show that a member is unreachable.
"""

from __future__ import annotations


class OwnReach:
    """Answers of one member to this host, and their absence.

    A host without connections to the member counts the requests that others
    relay for it as its own.
    """

    def __init__(self) -> None:
        self.is_refusing_early = False
        """Whether requests are refused while the member does not answer.

        Set at the holders of the connections to the member, so that the
        requests can go to another holder.
        """

        self.failing_since: float | None = None
        """Time of the first failure since the last answer, in seconds."""

        self.last_answer_at = float('-inf')
        """Time of the last answer of any kind, in seconds."""

        self.in_flight = 0
        """Requests of this host that are in flight at the member."""

        self.unanswered_since = float('-inf')
        """Time since which requests have been in flight, in seconds."""

        self._waited_s = 0.0
        self._waited_until = float('-inf')

    @property
    def is_refusing(self) -> bool:
        """Whether a request would only wait for a dial timeout here."""
        return self.is_refusing_early and self.failing_since is not None

    def on_sending(self, now: float) -> None:
        """Record that a request is sent to the member."""
        self.in_flight += 1
        if self.in_flight == 1:
            self.unanswered_since = now

    def on_sent(self) -> None:
        """Record that a request was answered or has failed."""
        self.in_flight -= 1

    def on_answer(self, now: float) -> None:
        """Record an answer of the member."""
        self.last_answer_at = now
        self.failing_since = None
        self._waited_s = 0.0

    def on_unreachable(self, now: float) -> None:
        """Record that the member did not answer."""
        if self.failing_since is None:
            self.failing_since = now

    def count_dial_timeout(self, began_at: float, now: float) -> float:
        """Return how long dials have waited in vain, in seconds.

        Counts since the last answer; dials that wait side by side count once.

        Parameters
        ----------
        began_at : float
            Start of a dial that got no answer, in seconds.
        now : float
            Present time in seconds.
        """
        since = max(began_at, self._waited_until, self.last_answer_at)
        self._waited_s += max(0.0, now - since)
        self._waited_until = now
        return self._waited_s

    def is_silent(self, now: float, timeout_s: float) -> bool:
        """Return whether requests in flight have gone unanswered too long."""
        if not self.in_flight:
            return False
        answered_at = max(self.last_answer_at, self.unanswered_since)
        return now - answered_at > timeout_s
