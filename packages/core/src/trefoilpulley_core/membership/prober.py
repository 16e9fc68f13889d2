"""Probes of other hosts and answers to their probes."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.commands import CompareVersions
from trefoilpulley_core.membership.messages import Probe
from trefoilpulley_core.membership.messages import ProbeAnswer
from trefoilpulley_core.membership.messages import Versions
from trefoilpulley_core.membership.outbox import PendingCall
from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import HostState

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.membership.dissemination import Dissemination
    from trefoilpulley_core.membership.outbox import Outbox
    from trefoilpulley_core.membership.reconciler import Reconciler

PROBE_TIMEOUT_S = 0.25
"""Timeout of a probe inside the zone, in seconds."""


class Prober:
    """Sends and answers probes and processes the states they carry.

    Parameters
    ----------
    outbox : Outbox
        Sends the calls.
    dissemination : Dissemination
        Receives the states of the hosts that take part in a probe.
    reconciler : Reconciler
        Receives digests that differ from this host's.
    """

    def __init__(
        self,
        outbox: Outbox,
        dissemination: Dissemination,
        reconciler: Reconciler,
    ) -> None:
        self.outbox = outbox
        """Queue of outgoing commands."""

        self.versions = Versions()
        """Revisions of the documents that this host holds."""

        self._dissemination = dissemination
        self._table = dissemination.table
        self._reconciler = reconciler

    def make_probe(self) -> Probe:
        """Return a probe from this host."""
        own = self._dissemination.own
        return Probe(
            own.entry.name, own.incarnation, self._table.digest, self.versions
        )

    def send(
        self,
        host: str,
        on_reached: Callable[[float], None],
        on_no_answer: Callable[[float], None],
        timeout_s: float = PROBE_TIMEOUT_S,
    ) -> None:
        """Probe a host.

        Parameters
        ----------
        host : str
            Name of the host.
        on_reached : Callable[[float], None]
            Called with the time if the host answers.
        on_no_answer : Callable[[float], None]
            Called with the time if the host does not answer.
        timeout_s : float
            Timeout of the probe, in seconds.
        """

        def on_answer(answer: Any, now: float) -> None:
            if not isinstance(answer, ProbeAnswer):
                on_no_answer(now)
                return
            self.on_answer(host, answer, now)
            on_reached(now)

        pending = PendingCall(on_answer, on_no_answer)
        self.outbox.call(host, self.make_probe(), timeout_s, pending)

    def on_probe(self, probe: Probe, now: float) -> ProbeAnswer:
        """Return the answer to another host's probe."""
        self._learn_state(probe.host, probe.incarnation, HostState.ALIVE)
        self.outbox.add(CompareVersions(probe.host, probe.versions))
        own = self._dissemination.own
        is_different = probe.digest != self._table.digest
        return ProbeAnswer(
            own.incarnation,
            self.versions,
            own.state is HostState.LEAVING,
            self._find_death_record(probe),
            self._table.zone_digests() if is_different else (),
        )

    def on_answer(self, host: str, answer: ProbeAnswer, now: float) -> None:
        """Process the state and the digests in the answer to a probe."""
        state = HostState.LEAVING if answer.is_leaving else HostState.ALIVE
        self._learn_state(host, answer.incarnation, state)
        self.outbox.add(CompareVersions(host, answer.versions))
        if answer.claim is not None:
            self._dissemination.learn_host(answer.claim)
        if answer.zones:
            self._reconciler.on_digest_difference(host, answer.zones, now)

    def _learn_state(
        self, host: str, incarnation: int, state: HostState
    ) -> None:
        current = self._table.find_host(host)
        if current is None:
            return
        self._dissemination.learn_host(
            HostRecord(current.entry, incarnation, state)
        )

    def _find_death_record(self, probe: Probe) -> HostRecord | None:
        current = self._table.find_host(probe.host)
        if current is None or current.state is not HostState.DEAD:
            return None
        return current
