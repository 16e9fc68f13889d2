"""Probes of other hosts and the answers to theirs."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.commands import SeeVersions
from trefoilpulley_core.membership.messages import Probe
from trefoilpulley_core.membership.messages import ProbeAnswer
from trefoilpulley_core.membership.messages import Versions
from trefoilpulley_core.membership.outbox import Pending
from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import HostState

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.membership.news import NewsSpread
    from trefoilpulley_core.membership.outbox import Outbox
    from trefoilpulley_core.membership.reconciler import Reconciler

PROBE_TIMEOUT_S = 0.25
"""Longest wait for a probe's answer inside the zone, in seconds."""


class Probes:
    """Sends probes and learns from both sides of them.

    Parameters
    ----------
    outbox : Outbox
        Takes the calls.
    news : NewsSpread
        Takes what a probe tells of its parties.
    reconciler : Reconciler
        Takes the digests that differ.
    """

    def __init__(
        self, outbox: Outbox, news: NewsSpread, reconciler: Reconciler
    ) -> None:
        self.outbox = outbox
        """Takes the calls."""

        self.versions = Versions()
        """Newest documents that this host holds."""

        self._news = news
        self._table = news.table
        self._reconciler = reconciler

    def make(self) -> Probe:
        """Return a probe of this host's."""
        own = self._news.own
        return Probe(
            own.entry.name, own.incarnation, self._table.digest, self.versions
        )

    def send(
        self,
        host: str,
        on_reached: Callable[[float], None],
        on_silence: Callable[[float], None],
        timeout_s: float = PROBE_TIMEOUT_S,
    ) -> None:
        """Probe a host."""

        def on_answer(answer: Any, now: float) -> None:
            if not isinstance(answer, ProbeAnswer):
                on_silence(now)
                return
            self.on_answer(host, answer, now)
            on_reached(now)

        pending = Pending(on_answer, on_silence)
        self.outbox.call(host, self.make(), timeout_s, pending)

    def on_probe(self, probe: Probe, now: float) -> ProbeAnswer:
        """Return the answer to another host's probe."""
        self._see(probe.host, probe.incarnation, HostState.ALIVE)
        self.outbox.add(SeeVersions(probe.host, probe.versions))
        own = self._news.own
        differs = probe.digest != self._table.digest
        return ProbeAnswer(
            own.incarnation,
            self.versions,
            own.state is HostState.LEAVING,
            self._find_claim(probe),
            self._table.zone_digests() if differs else (),
        )

    def on_answer(self, host: str, answer: ProbeAnswer, now: float) -> None:
        """Learn from the answer to a probe."""
        state = HostState.LEAVING if answer.is_leaving else HostState.ALIVE
        self._see(host, answer.incarnation, state)
        self.outbox.add(SeeVersions(host, answer.versions))
        if answer.claim is not None:
            self._news.learn_host(answer.claim)
        if answer.zones:
            self._reconciler.on_difference(host, answer.zones, now)

    def _see(self, host: str, incarnation: int, state: HostState) -> None:
        known = self._table.find(host)
        if known is None:
            return
        self._news.learn_host(HostRecord(known.entry, incarnation, state))

    def _find_claim(self, probe: Probe) -> HostRecord | None:
        known = self._table.find(probe.host)
        if known is None or known.state is not HostState.DEAD:
            return None
        return known
