"""Decides through whom a host follows the platform's service.

Load pattern: 80 to 90 hosts in three zones follow the service, each with a
watch that returns after 5 s and at every change of any key. Two hosts of each
zone can watch for all. When a relay dies, its 28 askers must not all turn to
the service at the same moment, and during an outage of the service they must
not call it every second.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.watch_relay_messages import ChangesStatus
from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    import random

MAX_DIRECT_HOSTS = 24
"""Number of registered hosts up to which each host follows the service."""

MIN_ZONE_HOSTS = 3
"""Live hosts of a zone from which some ask others."""

RELAYS = 2
"""Hosts of each zone that follow the service for the others."""

MAX_WAIT_MS = 1000
"""Time for which a relay holds a question, in milliseconds."""

START_WAIT_MS = 300
"""Time that the second pair has to start to follow, in milliseconds.

It exceeds the first call of a watch that goes on, which takes 100 ms.
"""

SILENCE_S = 2.0
"""Time for which a relay that did not answer is not asked, in seconds."""

REFUSAL_S = 1.0
"""Time for which a relay that cannot serve is not asked, in seconds.

A relay that has lost the service tries again after 1 s at most.
"""

ASKED_S = 10.0
"""Time for which a host follows the service after a question, in seconds."""

MAX_DIRECT_DELAY_S = 1.0
"""Longest delay before a host turns to the service, in seconds."""

MAX_REFUSED_DELAY_S = 3.0
"""Longest such delay if all relays have answered, in seconds.

Four hosts that have lost the service show that it is probably out. The delay
leaves two of the 5 s in which a configuration must be in force.
"""

MIN_RETURN_S = 5.0
"""Least time before a host returns to the relays, in seconds."""

MAX_RETURN_S = 10.0
"""Greatest time before a host returns to the relays, in seconds."""

RELAY_RETRY_S = 0.8
"""Time until a relay tries the service again that is out, in seconds."""

MIN_HANDOVER_S = 0.1
"""Least time before a host first asks the relays, in seconds."""

MAX_HANDOVER_S = 0.6
"""Greatest time before a host first asks the relays, in seconds."""

MAX_REREAD_DELAY_S = 3.0
"""Longest delay before a read of all keys, in seconds.

A relay whose history begins anew has all hosts of its zone read again.
"""

ZONE_TRIES_PER_S = 4
"""Bound on the tries of a zone's askers at a service that is out, per second.

With fewer hosts, each host tries every `MIN_RETURN_S` at most.
"""


@dataclass(frozen=True, slots=True)
class AskRelay:
    """Ask a relay for changes."""

    relay: str
    """Name of the relay."""

    wait_ms: int
    """Time for which the relay may hold the question, in milliseconds."""


@dataclass(frozen=True, slots=True)
class FollowService:
    """Follow the service directly."""

    duration_s: float | None
    """Time after which to decide again, in seconds; ``None``: no time."""


@dataclass(frozen=True, slots=True)
class AwaitTurn:
    """Wait before turning to the service."""

    duration_s: float
    """Time in seconds."""


@dataclass(frozen=True, slots=True)
class ReadAgain:
    """Read all keys again, since the relays cannot continue."""

    delay_s: float
    """Time before the read, in seconds."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Neither the relays nor the service can be followed for now."""


class RelayChoice:
    """Decides whom to ask, when to follow directly and when to go back.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Availability zone of this host.
    rng : random.Random
        Spreads the hosts over time.
    """

    def __init__(self, host: str, zone: str, rng: random.Random) -> None:
        self._host = host
        self._zone = zone
        self._rng = rng
        self._is_enabled = False
        self._ranks: tuple[str, ...] = ()
        self._asked_until = float('-inf')
        self._avoided: dict[str, float] = {}
        self._failed: dict[str, bool] = {}
        self._last = ''
        self._wait_ms = 0
        self._has_expired = False
        self._is_era_over = False
        self._has_lost = False
        self._return_at: float | None = None
        self._is_fallback = False
        self._direct_at: float | None = None
        self._no_direct_before = float('-inf')
        self.is_direct = True
        """Whether this host follows the service directly."""

        self.relays: tuple[str, ...] = ()
        """Relays through which this host follows; empty if directly."""

    @property
    def is_relay(self) -> bool:
        """Whether this host is one of the first relays of its zone."""
        return self._is_enabled and self._host in self._ranks[:RELAYS]

    def set_hosts(
        self,
        registered: int,
        live: Sequence[str],
        weights: Mapping[str, float],
    ) -> bool:
        """Set the hosts; return whether the choice of relays has changed.

        Parameters
        ----------
        registered : int
            Number of registered hosts of the deployment.
        live : Sequence[str]
            Live hosts of this host's zone, this host included unless it is
            about to stop.
        weights : Mapping[str, float]
            Capacity by host.
        """
        before = self._is_enabled, self._ranks[: 2 * RELAYS]
        known = {h: weights[h] for h in live if h in weights}
        self._ranks = rank_hosts(f'watch/{self._zone}', live, known)
        self._is_enabled = (
            registered > MAX_DIRECT_HOSTS and len(live) >= MIN_ZONE_HOSTS
        )
        self._avoided = {
            h: at for h, at in self._avoided.items() if h in self._ranks
        }
        return before != (self._is_enabled, self._ranks[: 2 * RELAYS])

    def on_asked(self, now: float) -> None:
        """Record a question of another host, at a time in seconds."""
        self._asked_until = now + ASKED_S

    def next_step(
        self, now: float
    ) -> AskRelay | FollowService | AwaitTurn | ReadAgain | GiveUp:
        """Return what to do now, at a time in seconds."""
        if not self._is_enabled:
            self._follow_service()
            return FollowService(None)
        if self._is_needed(now) and now >= self._no_direct_before:
            self._follow_service()
            return FollowService(
                None if self.is_relay else self._asked_until - now
            )
        if self.is_direct:
            return self._find_way_back(now)
        if self._has_expired and (
            self._is_era_over or not self._usable(RELAYS, now)
        ):
            self._has_expired = self._is_era_over = False
            return ReadAgain(self._rng.uniform(0, MAX_REREAD_DELAY_S))
        if now >= self._no_direct_before:
            # The first two may be asked again before the next two have
            # failed, so that the time of the silence does not decide.
            if self._failed.keys() >= set(self._candidates(2 * RELAYS)):
                return self._turn_to_service(now)
        return self._ask_next(now) or GiveUp()

    def _ask_next(self, now: float) -> AskRelay | None:
        """Return a question to the first two, else to the next two."""
        relay = self._choose(RELAYS, now)
        if relay is not None:
            # A relay that has not served is asked for an answer at once.
            is_doubtful = relay in self._avoided
            return AskRelay(relay, 0 if is_doubtful else self._wait_ms)
        relay = self._choose(2 * RELAYS, now)
        if relay is not None:
            return AskRelay(relay, max(self._wait_ms, START_WAIT_MS))
        return None

    def _turn_to_service(
        self, now: float
    ) -> AskRelay | AwaitTurn | FollowService:
        """Follow the service after a delay, in which relays may return."""
        has_silent = any(self._failed.values())
        if self._direct_at is None:
            self._direct_at = now + self._rng.uniform(
                0, MAX_DIRECT_DELAY_S if has_silent else MAX_REFUSED_DELAY_S
            )
        if now >= self._direct_at:
            self._follow_service()
            self._is_fallback = True
            return self._find_way_back(now)
        if has_silent:
            return AwaitTurn(self._direct_at - now)
        question = self._ask_next(now)
        if question is not None:
            return question
        next_at = min(self._avoided[h] for h in self._candidates(RELAYS))
        return AwaitTurn(min(self._direct_at, next_at) - now)

    def on_answer(
        self,
        relay: str,
        status: ChangesStatus,
        now: float,
        is_era_over: bool = False,
    ) -> None:
        """Record the answer of a relay.

        Parameters
        ----------
        relay : str
            Name of the relay.
        status : ChangesStatus
            Status of the answer.
        now : float
            Time in seconds.
        is_era_over : bool
            Whether the relay follows the service in a newer era. The other
            relay is then not asked, as it may still be in the older one.
        """
        if status is ChangesStatus.OK:
            if self._has_lost:
                self._no_direct_before = now + self._rng.uniform(
                    MIN_RETURN_S, MAX_RETURN_S
                )
            self._has_lost = False
            self._avoided.pop(relay, None)
            self._failed.clear()
            self.is_direct = self._is_fallback = False
            self._has_expired = self._is_era_over = False
            self._return_at = self._direct_at = None
            self._wait_ms = MAX_WAIT_MS
            pair = self._ranks.index(relay) if relay in self._ranks else 0
            pair -= pair % RELAYS
            self.relays = self._ranks[pair : pair + RELAYS]
            return
        self._wait_ms = 0
        self._avoided[relay] = now + REFUSAL_S
        self._failed[relay] = False
        if status is ChangesStatus.EXPIRED and not self.is_direct:
            self._has_expired = True
            self._is_era_over = is_era_over

    def on_silence(self, relay: str, now: float) -> None:
        """Record that a relay has not answered, at a time in seconds."""
        self._wait_ms = 0
        self._avoided[relay] = now + SILENCE_S
        self._failed[relay] = True

    def on_service_lost(self, now: float) -> None:
        """Record that this host's own watch has failed.

        The host then asks the relays until its next try. A relay that no
        other one serves tries again soon, since others wait for it; any other
        host tries the later the more hosts its zone has.
        """
        if not self._is_enabled:
            return
        self._has_lost = self._is_needed(now)
        interval_s = max(MIN_RETURN_S, len(self._ranks) / ZONE_TRIES_PER_S)
        self._no_direct_before = now + (
            RELAY_RETRY_S
            if self._has_lost
            else interval_s * self._rng.uniform(1, 2)
        )
        self.is_direct = False
        self._return_at = self._direct_at = None

    def on_position_lost(self) -> None:
        """Follow the service, since no relay can be asked for changes."""
        if not self.is_direct:
            self._follow_service()

    def _follow_service(self) -> None:
        self.is_direct = True
        self._is_fallback = self._has_expired = self._is_era_over = False
        self._return_at = self._direct_at = None
        self._failed.clear()
        self.relays = ()

    def _find_way_back(self, now: float) -> AskRelay | FollowService:
        """Return a question to a relay if it is time to go back to them."""
        if self._return_at is None:
            self._return_at = self._draw_return(now)
        if now >= self._return_at:
            relay = self._choose(RELAYS, now)
            if relay is not None:
                return AskRelay(relay, 0)
            self._return_at = self._draw_return(now)
        return FollowService(self._return_at - now)

    def _draw_return(self, now: float) -> float:
        least_s, greatest_s = (
            (MIN_RETURN_S, MAX_RETURN_S)
            if self._is_fallback
            else (MIN_HANDOVER_S, MAX_HANDOVER_S)
        )
        return now + self._rng.uniform(least_s, greatest_s)

    def _is_needed(self, now: float) -> bool:
        """Return whether other hosts rely on the watch of this host."""
        return self.is_relay or now < self._asked_until

    def _candidates(self, count: int) -> list[str]:
        return [h for h in self._ranks[:count] if h != self._host]

    def _usable(self, count: int, now: float) -> list[str]:
        return [
            h
            for h in self._candidates(count)
            if now >= self._avoided.get(h, now)
        ]

    def _choose(self, count: int, now: float) -> str | None:
        """Return a relay of the first in rank, not the last one if possible.

        The first two are chosen before the next two.
        """
        usable = self._usable(count, now)
        if not usable:
            return None
        others = [h for h in usable if h != self._last] or usable
        self._last = others[0]
        return self._last
