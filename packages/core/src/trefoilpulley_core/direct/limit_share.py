"""Share of the limits that the hosts of one side of a partition may grant.

Load pattern: a network partition of 86 hosts hides a zone. Both sides count
the operations of the same customers, and the sum of both must stay within the
limit, also after the leases of the hidden hosts have expired.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RAISE_DELAY_S = 1.0
"""Time after which a larger share takes effect, in seconds.

Hosts learn within about 1 s that a partition has ended. Until then the other
side may still grant its share.
"""

ORDERLY_STOP_S = 15.0
"""Longest time from the end of a host's work to that of its registration.

Applies to a host that stops in order. The lease of a host that is hidden
expires later than this.
"""

HIDDEN_MEMORY_S = 600.0
"""Time for which a hidden host counts after its lease, in seconds.

It may still count operations on the other side of a partition. A host that
has crashed for good lowers the share by one host for this time.
"""


class LimitShare:
    """Fraction of the known hosts that this host sees live."""

    def __init__(self) -> None:
        self._fraction: float | None = None
        self._raises: list[tuple[float, float]] = []
        self._registered: frozenset[str] = frozenset()
        self._live: frozenset[str] = frozenset()
        self._left_at: dict[str, float] = {}
        self._hidden: dict[str, float] = {}

    @property
    def known(self) -> frozenset[str]:
        """Hosts that are registered, live or hidden."""
        return self._registered | self._live | self._hidden.keys()

    @property
    def live(self) -> frozenset[str]:
        """Hosts that are live."""
        return self._live

    def update(
        self, live: Iterable[str], registered: Iterable[str], now: float
    ) -> None:
        """Set the live and the registered hosts.

        Parameters
        ----------
        live : Iterable[str]
            Names of the live hosts, this host included.
        registered : Iterable[str]
            Names of the registered hosts, this host included.
        now : float
            Time in seconds.
        """
        was_live, self._live = self._live, frozenset(live)
        for host in was_live - self._live:
            self._left_at[host] = now
        was_registered = self._registered
        self._registered = frozenset(registered)
        for host in was_registered - self._registered - self._live:
            # A host that was never seen live is taken for hidden.
            left_at = self._left_at.get(host, float('-inf'))
            if now - left_at > ORDERLY_STOP_S:
                self._hidden[host] = now + HIDDEN_MEMORY_S
        for host in self._live | self._registered:
            self._hidden.pop(host, None)
        for host in self._live:
            self._left_at.pop(host, None)
        self._refresh(now)

    def fraction(self, now: float) -> float:
        """Return the fraction that this side may grant, at a time in s."""
        if any(until <= now for until in self._hidden.values()):
            self._hidden = {h: t for h, t in self._hidden.items() if t > now}
            self._refresh(now)
        while self._raises and self._raises[0][0] <= now:
            self._fraction = self._raises.pop(0)[1]
        return self._fraction or 0.0

    def _refresh(self, now: float) -> None:
        fraction = len(self._live) / max(1, len(self.known))
        current = self._fraction
        if current is None or fraction <= current:
            self._fraction = fraction
            self._raises.clear()
            return
        # A drop below an announced raise replaces the larger raises.
        self._raises = [r for r in self._raises if r[1] < fraction]
        self._raises.append((now + RAISE_DELAY_S, fraction))
