"""Decides when a host asks other hosts for a newer configuration.

Load pattern: the platform's service is refused, silent or cut off for some
hosts, or has come back from an older copy, while operators change routes or
remove a key of a customer at another part of the deployment. The change must
be in force everywhere within 5 s of the operators' write. Hosts that follow
the service must not pay for this, so that nothing is asked while the service
tells every host the same; the probes of the membership carry the version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    import random

MAX_SILENCE_S = 1.0
"""Time without the service after which other hosts are asked, in seconds.

A host that follows the service has a new configuration earlier than this after
another host has it.
"""

MIN_ROUND_INTERVAL_S = 0.8
"""Least time between two rounds of questions, in seconds."""

MAX_ROUND_INTERVAL_S = 1.2
"""Greatest time between two rounds of questions, in seconds.

The jitter keeps hosts that lost the service together from asking together.
"""


class ConfigInquiry:
    """Decides whom to ask for a newer configuration, and when.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Availability zone of this host.
    rng : random.Random
        Chooses hosts and intervals.
    now : float
        Time in seconds.
    """

    def __init__(
        self, host: str, zone: str, rng: random.Random, now: float
    ) -> None:
        self._host = host
        self._zone = zone
        self._rng = rng
        self._followed_at = now
        self._next_round_at = now
        self._newer: str | None = None
        self._newer_since = 0.0

    def on_version(
        self, host: str, version: int, own_version: int, now: float
    ) -> None:
        """Record the version that another host says it has in force."""
        if version <= own_version:
            if host == self._newer:
                self._newer = None
        elif self._newer is None:
            self._newer, self._newer_since = host, now

    def on_applied(self) -> None:
        """Forget the host with a newer version once one is in force here."""
        self._newer = None

    def begin_round(
        self,
        is_following: bool,
        is_enabled: bool,
        live: Mapping[str, Sequence[str]],
        now: float,
    ) -> tuple[str, ...]:
        """Return the hosts to ask now, one after the other.

        Parameters
        ----------
        is_following : bool
            Whether this host follows the service.
        is_enabled : bool
            Whether to ask hosts that have announced nothing newer: the
            deployment has customers, or this host has no configuration.
        live : Mapping[str, Sequence[str]]
            Live hosts by availability zone.
        now : float
            Time in seconds.
        """
        if is_following:
            self._followed_at = now
        is_silent = now - self._followed_at >= MAX_SILENCE_S
        hosts = []
        if self._newer is not None and (
            # What the service is about to tell is not asked for.
            is_silent or now - self._newer_since >= MAX_SILENCE_S
        ):
            hosts.append(self._newer)
            # The next probe names a host again if this one does not answer.
            self._newer = None
        if is_silent and is_enabled and now >= self._next_round_at:
            self._next_round_at = now + self._rng.uniform(
                MIN_ROUND_INTERVAL_S, MAX_ROUND_INTERVAL_S
            )
            hosts.extend(self._choose(live))
        return tuple(dict.fromkeys(hosts))

    def _choose(self, live: Mapping[str, Sequence[str]]) -> tuple[str, ...]:
        """Return one host of this zone and one of another zone.

        A zone that is cut off from the service as a whole learns from the
        other zones. With fewer zones or hosts, two of those there are.
        """
        near = [h for h in live.get(self._zone, ()) if h != self._host]
        far = [h for z, hs in live.items() if z != self._zone for h in hs]
        chosen = self._rng.sample(near, min(1 if far else 2, len(near)))
        return (
            *chosen,
            *self._rng.sample(far, min(2 - len(chosen), len(far))),
        )
