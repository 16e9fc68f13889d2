"""Exchange of whole zones' records where two tables differ."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.messages import Exchange
from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.outbox import PendingCall

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from trefoilpulley_core.membership.news import Dissemination
    from trefoilpulley_core.membership.outbox import Outbox
    from trefoilpulley_core.membership.record import ZoneDigest

EXCHANGE_TIMEOUT_S = 2.0
"""Longest wait for another host's records, in seconds."""

SETTLE_TIME_S = 1.0
"""Time that news is given to arrive before records are exchanged."""

EXCHANGE_INTERVAL_S = 5.0
"""Time after which records are exchanged amid changes, in seconds."""


class Reconciler:
    """Mends what news has missed.

    Parameters
    ----------
    news : Dissemination
        Holds the records.
    outbox : Outbox
        Takes the calls.
    learn : Callable[[News], None]
        Takes another host's records.
    """

    def __init__(
        self,
        dissemination: Dissemination,
        outbox: Outbox,
        learn: Callable[[News], None],
    ) -> None:
        self._dissemination = dissemination
        self._learn = learn
        self._table = dissemination.table
        self._outbox = outbox
        self._seen_version = 0
        self._changed_at = 0.0
        self._exchanged_at = 0.0
        self._is_running = False
        self.is_joined = False
        """Whether another host has given its records."""

    def on_tick(self, now: float) -> None:
        """Note whether the table has changed."""
        if self._table.version != self._seen_version:
            self._seen_version = self._table.version
            self._changed_at = now

    def on_process_resumed(self) -> None:
        """Give up the exchange that a pause has interrupted."""
        self._is_running = False

    def join(self, host: str) -> None:
        """Ask a host for all of its records."""
        if not self._is_running:
            self._exchange(host, (), News((self._dissemination.own,)))

    def on_digest_difference(
        self, host: str, digests: Iterable[ZoneDigest], now: float
    ) -> None:
        """Exchange the records that differ, if news had its time."""
        if self._is_running or not self._is_due(now):
            return
        zones = self._table.differing_zones(digests)
        if zones:
            self._exchanged_at = now
            self._exchange(host, zones, self._table.records_of(zones))

    def on_exchange(self, exchange: Exchange) -> News:
        """Merge another host's records and return what it lacks."""
        answer = self._table.records_newer_than(exchange.zones, exchange.news)
        self._learn(exchange.news)
        return answer

    def _is_due(self, now: float) -> bool:
        self.on_tick(now)
        if now - self._changed_at >= SETTLE_TIME_S:
            return True
        return now - self._exchanged_at >= EXCHANGE_INTERVAL_S

    def _exchange(self, host: str, zones: tuple[str, ...], news: News) -> None:
        self._is_running = True
        pending = PendingCall(self._on_answer, self._on_failure)
        message = Exchange(zones, news)
        self._outbox.call(host, message, EXCHANGE_TIMEOUT_S, pending)

    def _on_answer(self, answer: Any, now: float) -> None:
        self._is_running = False
        if isinstance(answer, News):
            self.is_joined = True
            self._learn(answer)

    def _on_failure(self, now: float) -> None:
        self._is_running = False
