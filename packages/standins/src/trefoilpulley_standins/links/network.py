"""State of the links between the zones."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from gevent.event import Event

from trefoilpulley_standins.links.quality import Quality

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_standins.links.quality import ZonePair
    from trefoilpulley_standins.links.settings import LinkOrder


class Network:
    """Quality and cuts of each direction between two zones.

    Parameters
    ----------
    qualities : Iterable[Quality]
        Initial quality of the directions; perfect for any other direction.
    """

    def __init__(self, qualities: Iterable[Quality]) -> None:
        self._qualities = {q.pair: q for q in qualities}
        self._heal_events: dict[ZonePair, Event] = {}
        self.bytes_forwarded: Counter[ZonePair] = Counter()
        """Number of bytes forwarded in each direction."""

    def quality(self, pair: ZonePair) -> Quality:
        """Return the quality of a direction."""
        return self._qualities.get(pair) or Quality(pair)

    def apply_order(self, order: LinkOrder) -> None:
        """Apply new qualities and cuts."""
        self._qualities.update({q.pair: q for q in order.qualities})
        if order.cuts is not None:
            self._update_cuts(frozenset(order.cuts))

    def wait_until_healed(self, pair: ZonePair) -> None:
        """Wait until a direction is not cut."""
        while pair in self._heal_events:
            self._heal_events[pair].wait()

    def _update_cuts(self, cuts: frozenset[ZonePair]) -> None:
        for pair in [p for p in self._heal_events if p not in cuts]:
            self._heal_events.pop(pair).set()
        for pair in cuts:
            self._heal_events.setdefault(pair, Event())
