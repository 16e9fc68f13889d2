"""State of the links between all zones."""

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
    """Quality and cuts of each direction.

    Parameters
    ----------
    qualities : Iterable[Quality]
        Behaviour at the start.
    """

    def __init__(self, qualities: Iterable[Quality]) -> None:
        self._qualities = {q.pair: q for q in qualities}
        self._healed: dict[ZonePair, Event] = {}
        self.bytes_carried: Counter[ZonePair] = Counter()
        """Bytes that have crossed, by direction."""

    def quality(self, pair: ZonePair) -> Quality:
        """Return the behaviour of a direction."""
        return self._qualities.get(pair) or Quality(pair)

    def apply_order(self, order: LinkOrder) -> None:
        """Put an order in force."""
        self._qualities.update({q.pair: q for q in order.qualities})
        if order.cuts is not None:
            self._cut(frozenset(order.cuts))

    def wait_until_healed(self, pair: ZonePair) -> None:
        """Wait while a direction is cut."""
        while pair in self._healed:
            self._healed[pair].wait()

    def _cut(self, cuts: frozenset[ZonePair]) -> None:
        for pair in [p for p in self._healed if p not in cuts]:
            self._healed.pop(pair).set()
        for pair in cuts:
            self._healed.setdefault(pair, Event())
