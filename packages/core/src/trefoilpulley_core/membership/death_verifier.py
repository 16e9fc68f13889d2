"""Verification of verdicts from a host that may have been partitioned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.record import HostState

if TYPE_CHECKING:
    from trefoilpulley_core.membership.dissemination import Dissemination
    from trefoilpulley_core.membership.outbox import Outbox
    from trefoilpulley_core.membership.prober import Prober
    from trefoilpulley_core.membership.record import HostRecord
    from trefoilpulley_core.membership.record import ZoneRecord

VERIFICATION_TIMEOUT_S = 0.5
"""Probe timeout of a host that was reported dead, in seconds."""


class DeathVerifier:
    """Probes a host that was reported dead before accepting the report.

    A host that was partitioned has declared its peers dead. When the
    partition heals, the other hosts receive these records before the peers
    can refute them. Without verification, live hosts would be excluded for
    a short time.

    Parameters
    ----------
    dissemination : Dissemination
        Receives the verified records.
    prober : Prober
        Probes the hosts that were reported dead.
    outbox : Outbox
        Sends a death report to the host that it concerns.
    """

    def __init__(
        self, dissemination: Dissemination, prober: Prober, outbox: Outbox
    ) -> None:
        self._dissemination = dissemination
        self._table = dissemination.table
        self._prober = prober
        self._outbox = outbox
        self._being_verified: set[str] = set()

    def on_process_resumed(self) -> None:
        """Discard the verifications that a process pause interrupted."""
        self._being_verified.clear()

    def learn(self, news: News) -> None:
        """Merge records; verify new reports of a dead host or zone first."""
        for record in news.hosts:
            if self._must_verify(record):
                self._verify_host(record)
            else:
                self._dissemination.learn_host(record)
        for zone_record in news.zones:
            if self._must_verify_zone(zone_record):
                self._verify_zone(zone_record)
            else:
                self._dissemination.learn_zone(zone_record)

    def _must_verify(self, record: HostRecord) -> bool:
        current = self._table.find_host(record.entry.name)
        if current is None or current.incarnation == 0:
            return False
        if (
            record.state is not HostState.DEAD
            or current == self._dissemination.own
        ):
            return False
        return current.state is not HostState.DEAD and record.supersedes(
            current
        )

    def _must_verify_zone(self, record: ZoneRecord) -> bool:
        current = self._table.find_zone(record.zone)
        if not record.is_lost or not record.supersedes(current):
            return False
        is_marked_lost = current is not None and current.is_lost
        return not is_marked_lost and record.zone != self._dissemination.zone

    def _verify_host(self, record: HostRecord) -> None:
        name = record.entry.name
        if name in self._being_verified:
            return
        self._being_verified.add(name)
        self._outbox.tell(name, News((record,)))

        def on_no_answer(now: float) -> None:
            self._being_verified.discard(name)
            self._dissemination.learn_host(record)

        self._prober.send(
            name,
            lambda now: self._being_verified.discard(name),
            on_no_answer,
            VERIFICATION_TIMEOUT_S,
        )

    def _verify_zone(self, record: ZoneRecord) -> None:
        hosts = self._table.live_hosts.hosts_of(record.zone)
        if not hosts:
            self._dissemination.learn_zone(record)
            return
        if record.zone in self._being_verified:
            return
        self._being_verified.add(record.zone)

        def on_reached(now: float) -> None:
            self._being_verified.discard(record.zone)
            self._dissemination.refute_loss(record)

        def on_no_answer(now: float) -> None:
            self._being_verified.discard(record.zone)
            self._dissemination.learn_zone(record)

        self._prober.send(
            hosts[0], on_reached, on_no_answer, VERIFICATION_TIMEOUT_S
        )
