"""Rounds of direct and indirect probes of a suspected host or zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.membership.messages import ProbeForMe
from trefoilpulley_core.membership.messages import ProbeReport
from trefoilpulley_core.membership.outbox import PendingCall
from trefoilpulley_core.membership.suspicion_rounds import SuspicionRounds
from trefoilpulley_core.membership.suspicion_rounds import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from typing import Any

    from trefoilpulley_core.membership.prober import Prober

INDIRECT_PROBE_TIMEOUT_S = 0.35
"""Timeout of the report of an indirect prober, in seconds."""


class SuspicionCheck:
    """Checks a suspicion by direct and indirect probes.

    Parameters
    ----------
    prober : Prober
        Sends the probes.
    choose_host : Callable[[], str]
        Returns the host to probe in the next round.
    choose_indirect_probers : Callable[[], Sequence[str]]
        Returns the hosts that are asked to probe the same host.
    on_reached : Callable[[float], None]
        Called once if any host reaches the probed host; takes the time.
    on_confirmed : Callable[[float], None]
        Called once if the suspicion is confirmed; takes the time.
    min_unreachable_rounds : int
        Number of rounds with a report of an unreachable host that confirm
        the suspicion.
    """

    def __init__(
        self,
        prober: Prober,
        choose_host: Callable[[], str],
        choose_indirect_probers: Callable[[], Sequence[str]],
        on_reached: Callable[[float], None],
        on_confirmed: Callable[[float], None],
        min_unreachable_rounds: int = 1,
    ) -> None:
        self._prober = prober
        self._choose_host = choose_host
        self._choose_indirect_probers = choose_indirect_probers
        self._on_reached = on_reached
        self._on_confirmed = on_confirmed
        self._suspicion = SuspicionRounds(min_unreachable_rounds)
        self._is_closed = False

    def begin_round(self) -> None:
        """Probe the host and ask other hosts to probe it."""
        host = self._choose_host()
        indirect_probers = self._choose_indirect_probers()
        self._suspicion.begin_round(1 + len(indirect_probers))
        self._prober.send(
            host,
            self._on_own_answer,
            self._on_no_answer,
            INDIRECT_PROBE_TIMEOUT_S,
        )
        for indirect_prober in indirect_probers:
            self._prober.outbox.call(
                indirect_prober,
                ProbeForMe(host),
                INDIRECT_PROBE_TIMEOUT_S,
                PendingCall(self._on_report, self._on_no_answer),
            )

    def _on_own_answer(self, now: float) -> None:
        self._act(self._suspicion.on_reached(), now)

    def _on_report(self, report: Any, now: float) -> None:
        if not isinstance(report, ProbeReport):
            self._on_no_answer(now)
        elif report.is_reachable:
            self._act(self._suspicion.on_reached(), now)
        else:
            self._act(self._suspicion.on_unreachable_report(), now)

    def _on_no_answer(self, now: float) -> None:
        self._act(self._suspicion.on_no_answer(), now)

    def _act(self, verdict: Verdict, now: float) -> None:
        if self._is_closed or verdict is Verdict.OPEN:
            return
        if verdict is Verdict.REPEAT:
            self.begin_round()
            return
        self._is_closed = True
        if verdict is Verdict.CLEARED:
            self._on_reached(now)
        else:
            self._on_confirmed(now)
