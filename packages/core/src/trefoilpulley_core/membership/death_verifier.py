"""Check of verdicts that come from a host that may have been cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.record import HostState

if TYPE_CHECKING:
    from trefoilpulley_core.membership.news import NewsSpread
    from trefoilpulley_core.membership.outbox import Outbox
    from trefoilpulley_core.membership.probes import Probes
    from trefoilpulley_core.membership.record import HostRecord
    from trefoilpulley_core.membership.record import ZoneRecord

VERIFY_TIMEOUT_S = 0.5
"""Longest wait for the answer of a host that is said to be dead."""


class DeathVerifier:
    """Probes a host that is said to be dead before it believes it.

    A host that was cut off has taken its peers for dead. When the link
    comes back its records reach them before they can refute; without
    the question, live hosts would be left out for a moment.

    Parameters
    ----------
    news : NewsSpread
        Takes what has been checked.
    probes : Probes
        Sends the questions.
    outbox : Outbox
        Takes the messages to the host concerned.
    """

    def __init__(
        self, news: NewsSpread, probes: Probes, outbox: Outbox
    ) -> None:
        self._news = news
        self._table = news.table
        self._probes = probes
        self._outbox = outbox
        self._checking: set[str] = set()

    def on_wake(self) -> None:
        """Give up the questions that a pause has interrupted."""
        self._checking.clear()

    def learn(self, news: News) -> None:
        """Merge records, the verdicts among them once checked."""
        for record in news.hosts:
            if self._is_doubtful(record):
                self._check_host(record)
            else:
                self._news.learn_host(record)
        for zone_record in news.zones:
            if self._is_zone_doubtful(zone_record):
                self._check_zone(zone_record)
            else:
                self._news.learn_zone(zone_record)

    def _is_doubtful(self, record: HostRecord) -> bool:
        known = self._table.find(record.entry.name)
        if known is None or known.incarnation == 0:
            return False
        if record.state is not HostState.DEAD or known == self._news.own:
            return False
        return known.state is not HostState.DEAD and record.supersedes(known)

    def _is_zone_doubtful(self, record: ZoneRecord) -> bool:
        known = self._table.find_zone(record.zone)
        if not record.is_lost or not record.supersedes(known):
            return False
        is_held_lost = known is not None and known.is_lost
        return not is_held_lost and record.zone != self._news.zone

    def _check_host(self, record: HostRecord) -> None:
        name = record.entry.name
        if name in self._checking:
            return
        self._checking.add(name)
        self._outbox.tell(name, News((record,)))

        def on_silence(now: float) -> None:
            self._checking.discard(name)
            self._news.learn_host(record)

        self._probes.send(
            name,
            lambda now: self._checking.discard(name),
            on_silence,
            VERIFY_TIMEOUT_S,
        )

    def _check_zone(self, record: ZoneRecord) -> None:
        hosts = self._table.live_hosts.hosts_of(record.zone)
        if not hosts:
            self._news.learn_zone(record)
            return
        if record.zone in self._checking:
            return
        self._checking.add(record.zone)

        def on_reached(now: float) -> None:
            self._checking.discard(record.zone)
            self._news.refute_loss(record)

        def on_silence(now: float) -> None:
            self._checking.discard(record.zone)
            self._news.learn_zone(record)

        self._probes.send(hosts[0], on_reached, on_silence, VERIFY_TIMEOUT_S)
