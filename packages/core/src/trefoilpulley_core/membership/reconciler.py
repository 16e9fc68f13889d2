"""Anti-entropy: exchange of the records in which two tables differ."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.messages import Exchange
from trefoilpulley_core.membership.messages import News
from trefoilpulley_core.membership.outbox import PendingCall

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from trefoilpulley_core.membership.dissemination import Dissemination
    from trefoilpulley_core.membership.outbox import Outbox
    from trefoilpulley_core.membership.record import ZoneDigest

EXCHANGE_TIMEOUT_S = 2.0
"""Timeout of an exchange of records, in seconds."""

SETTLE_TIME_S = 1.0
"""Time without changes before an exchange, in seconds.

Records that are being disseminated can arrive within this time.
"""

EXCHANGE_INTERVAL_S = 5.0
"""Time between two exchanges while records keep changing, in seconds."""


class Reconciler:
    """Exchanges the records that were lost in the dissemination.

    Parameters
    ----------
    dissemination : Dissemination
        Gives access to the table of records.
    outbox : Outbox
        Sends the calls.
    learn : Callable[[News], None]
        Merges another host's records.
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
        self._last_version = 0
        self._changed_at = 0.0
        self._exchanged_at = 0.0
        self._is_running = False
        self.is_joined = False
        """Whether another host has sent its records."""

    def on_tick(self, now: float) -> None:
        """Record the time of the last change of the table."""
        if self._table.version != self._last_version:
            self._last_version = self._table.version
            self._changed_at = now

    def on_process_resumed(self) -> None:
        """Discard the exchange that a process pause interrupted."""
        self._is_running = False

    def join(self, host: str) -> None:
        """Request all records of a host."""
        if not self._is_running:
            self._exchange(host, (), News((self._dissemination.own,)))

    def on_digest_difference(
        self, host: str, digests: Iterable[ZoneDigest], now: float
    ) -> None:
        """Exchange the records of the zones that differ, if one is due."""
        if self._is_running or not self._is_due(now):
            return
        zones = self._table.differing_zones(digests)
        if zones:
            self._exchanged_at = now
            self._exchange(host, zones, self._table.records_of(zones))

    def on_exchange(self, exchange: Exchange) -> News:
        """Merge a host's records and return this host's newer records."""
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
