"""Detection that this host is isolated together with its zone.

Load pattern: an availability zone is partitioned from the others while
callers still reach its hosts. These hosts cannot reach most primaries and
refuse most requests. The load balancer moves the callers to other zones only
when no host of the zone is ready. All hosts of the zone must therefore detect
the isolation within about a second, and none may report itself as ready again
while the partition lasts.
"""

from __future__ import annotations

from dataclasses import dataclass
import enum
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.remote_contact import RemoteContact

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    import random

PROBE_TIMEOUT_S = 0.35
"""Timeout of the probes of a check, in seconds.

Longer than the retransmission timeout of TCP (0.2 s) and the processing time
of a busy host.
"""

CHECK_INTERVAL_S = 0.5
"""Least time between the starts of two checks, in seconds."""

REMOTE_PROBES = 3
"""Hosts of each other zone that a check probes.

With three in ten packets lost, a probe on an open connection is answered in
time with a probability of about 0.78 (one loss is repaired by the first
retransmission); six probes all fail once in some 10,000 checks. The second
wave, over other connections, makes this rarer.
"""

SECOND_WAVE_DELAY_S = 0.1
"""Time without an answer after which more probes are sent, in seconds.

Longer than a round trip between zones of one region, and early enough for one
retransmission before the timeout. The other hosts of the zone are notified at
the same time, so that their own checks end soon after this one.
"""

LOCAL_PROBES = 2
"""Hosts of the own zone that a check probes."""

REDIALS = 2
"""New connections to each probed host of a zone with few hosts.

A lost first packet of a connection is sent again after a second only, which
is too late, so that more than one connection is tried.
"""

MAX_TICK_GAP_S = 0.3
"""Time between two ticks above which this host was suspended, in seconds.

Shorter than the probe timeout: after a shorter pause the answers that have
arrived are read before the timeout.
"""

START_PERIOD_S = 5.0
"""Time for which a host that starts does not count as isolated, in seconds.

Ends with the first answer from another zone. When all hosts start together,
those that are ready first reach no others. A host that starts in an isolated
zone learns from the others of the zone that they are isolated: a single host
that reports itself as ready keeps all callers in the zone.
"""

MIN_ISOLATION_S = 1.0
"""Least time for which an isolated host is not ready, in seconds.

The load balancer checks once per second and would see no shorter time.
"""

CONFIRMATION_PERIOD_S = 2.0
"""Age up to which a check without any answer confirms the next, in seconds."""

NOTICE_LIMIT = 32
"""Most hosts to which one host sends a notice.

Bounds the messages in zones of some hundred hosts, where several hosts detect
a partition at the same time.
"""

NOTICE_ROUNDS = 2
"""Checks in a row after which notices are sent, in case one is lost."""

NOTICE_INTERVAL_S = 1.0
"""Time after a notice of another host without notices of this host.

In seconds; the other host has sent its notice to the zone already.
"""


@dataclass(frozen=True, slots=True)
class GroupContact:
    """What this host knows of the primary of one group."""

    zone: str | None
    """Availability zone of the primary; ``None`` if no primary is known."""

    is_lost: bool
    """Whether the primary is unknown or does not answer."""

    answered_at: float
    """Time of the last answer of the primary, in seconds."""


@dataclass(frozen=True, slots=True)
class Reachability:
    """Groups and hosts that a host reaches at one time."""

    groups: int
    """Groups that serve a route."""

    groups_lost: int
    """Groups whose primary does not answer or is unknown."""

    hosts: int
    """Registered hosts, including this host."""

    reachable_hosts: int
    """Hosts that answer, including this host."""

    @property
    def has_lost_half(self) -> bool:
        """Whether at least half of the groups lack a primary."""
        return self.groups > 0 and 2 * self.groups_lost >= self.groups

    @property
    def is_isolated(self) -> bool:
        """Whether this host, rather than the other hosts, is isolated.

        The connection to the platform's service is not considered: a watch
        on a broken connection cannot be told from a watch without changes.
        """
        return self.has_lost_half and 2 * self.reachable_hosts < self.hosts


class CheckTrigger(enum.Enum):
    """Why a check is run."""

    SILENCE = 'silence'
    """Calls of this host to other zones were not answered."""

    NOTICE = 'notice'
    """Another host of the zone reaches no other zone."""

    REPEAT = 'repeat'
    """The check before had no answer from another zone."""


class CheckOutcome(enum.Enum):
    """Meaning of the answers to a check."""

    CONNECTED = 'connected'
    """A host of another zone has answered."""

    LOCAL_ONLY = 'local-only'
    """Only hosts of the own zone have answered, or it has no others."""

    NO_ANSWER = 'no-answer'
    """No host has answered: this host itself may be slow."""

    VOID = 'void'
    """This host was suspended during the check."""


@dataclass(frozen=True, slots=True)
class ReachabilityCheck:
    """Probes that are sent in parallel."""

    began_at: float
    """Time at which the probes are sent, in seconds."""

    trigger: CheckTrigger
    """Why the check is run."""

    remote: tuple[str, ...]
    """Hosts of other zones to probe."""

    local: tuple[str, ...]
    """Hosts of the own zone to probe."""

    is_dialled: bool
    """Whether hosts of other zones are probed by a new connection.

    On a connection from before a partition, TCP waits up to the length of the
    partition before it sends again. An isolated host would learn too late
    that the partition is over.
    """

    second: tuple[str, ...] = ()
    """Hosts of other zones to probe in the second wave."""

    redialled: tuple[str, ...] = ()
    """Hosts to probe again in the second wave, by a new connection.

    Used for a zone that has too few other hosts. A host may be repeated.
    """

    @property
    def all_remote(self) -> frozenset[str]:
        """Hosts of other zones in both waves."""
        return frozenset((*self.remote, *self.second))


@dataclass(frozen=True, slots=True)
class IsolationEvidence:
    """Numbers on which the latest decision was based."""

    trigger: str
    """Why the check was run."""

    remote_probed: int
    """Hosts of other zones that were probed."""

    remote_answered: int
    """Hosts of other zones that answered."""

    local_probed: int
    """Other hosts of the own zone that were probed."""

    local_answered: int
    """Other hosts of the own zone that answered."""

    hosts: int
    """Registered hosts, including this host."""

    reachable_hosts: int
    """Hosts that count as reachable, including this host."""

    groups: int
    """Groups that serve a route."""

    groups_lost: int
    """Groups that count as without a primary."""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What follows from a check."""

    outcome: CheckOutcome
    """Meaning of the answers."""

    evidence: IsolationEvidence
    """Numbers of the check."""

    is_changed: bool = False
    """Whether the host has become isolated, or is no longer."""

    is_first: bool = False
    """Whether the check is the first in a row that reached no other zone."""

    replace: frozenset[str] = frozenset()
    """Hosts to which new connections are needed.

    On a connection from before the partition, TCP waits up to the length of
    the partition before it sends again.
    """


class IsolationDetector:
    """Decides when to probe, whom, and what the answers mean.

    In a deployment with a single zone, the other hosts of the zone take the
    place of the hosts of other zones.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Availability zone of this host.
    rng : random.Random
        Chooses the hosts to probe and to notify.
    now : float
        Time in seconds.
    """

    def __init__(
        self, host: str, zone: str, rng: random.Random, now: float
    ) -> None:
        self._host = host
        self._zone = zone
        self._rng = rng
        self._started_at = self._ticked_at = now
        self._contact = RemoteContact()
        self._remote: dict[str, tuple[str, ...]] = {}
        self._remote_names: frozenset[str] = frozenset()
        self._local: tuple[str, ...] = ()
        self._has_zones = False
        self._next_check_at = now
        self._resumed_at = float('-inf')
        self._noticed_at = float('-inf')
        self._is_noticed = False
        self._missed_checks = 0
        self._is_repeated = False
        self._unanswered_at = float('-inf')
        self._isolated_since: float | None = None
        self.evidence: IsolationEvidence | None = None
        """Numbers of the latest check while isolated; else of the change."""

    @property
    def is_isolated(self) -> bool:
        """Whether this host counts itself as isolated."""
        return self._isolated_since is not None

    def isolated_s(self, now: float) -> float:
        """Return for how long the host has been isolated, in seconds."""
        if self._isolated_since is None:
            return 0.0
        return now - self._isolated_since

    def set_hosts(self, registered: Mapping[str, str]) -> None:
        """Set the availability zone of each registered host.

        The hosts of other zones are kept when the last of them is no longer
        registered: in a partition their leases may expire.
        """
        zones: dict[str, list[str]] = {}
        for name in sorted(registered):
            if name != self._host:
                zones.setdefault(registered[name], []).append(name)
        local = tuple(zones.pop(self._zone, ()))
        if zones:
            if not self._has_zones:
                # Answers of the own zone counted until now.
                self._contact.forget_answers()
            self._has_zones = True
            self._remote = {z: tuple(names) for z, names in zones.items()}
            self._local = local
        elif self._has_zones:
            self._local = local
        else:
            self._remote = {self._zone: local} if local else {}
        self._remote_names = frozenset(
            h for names in self._remote.values() for h in names
        )

    def is_remote(self, host: str) -> bool:
        """Return whether calls to a host show the contact to other zones."""
        return host in self._remote_names

    def on_call(self, now: float) -> None:
        """Record the start of a call to a host of another zone."""
        self._contact.on_call(now)

    def on_call_ended(
        self, started_at: float, is_answered: bool, now: float
    ) -> None:
        """Record the end of a call to a host of another zone."""
        self._contact.on_call_ended(started_at, is_answered, now)

    def on_notice(self, now: float) -> None:
        """Record that a host of the zone reaches no other zone."""
        self._is_noticed = True
        self._noticed_at = now

    def begin_check(
        self, connected: Collection[str], now: float
    ) -> ReachabilityCheck | None:
        """Return the check to run now, if any; called at each tick.

        Parameters
        ----------
        connected : Collection[str]
            Hosts to which a connection is open.
        now : float
            Time in seconds.
        """
        self._note_time(now)
        if now < self._next_check_at or not self._remote:
            return None
        trigger = self._find_trigger(now)
        if trigger is None:
            return None
        self._is_noticed = False
        self._next_check_at = now + CHECK_INTERVAL_S
        return self._make_check(trigger, connected, now)

    def choose_notified(
        self,
        check: ReachabilityCheck,
        answered: Collection[str],
        live: Collection[str],
        now: float,
    ) -> tuple[str, ...]:
        """Return the hosts of the zone to notify at the second wave.

        Parameters
        ----------
        check : ReachabilityCheck
            Check of which no host of another zone has answered so far.
        answered : Collection[str]
            Hosts that answered its probes.
        live : Collection[str]
            Hosts that the membership takes for live.
        now : float
            Time in seconds.
        """
        if self._interpret(check, answered) is not CheckOutcome.LOCAL_ONLY:
            return ()
        if self._missed_checks >= NOTICE_ROUNDS:
            return ()
        if now - self._noticed_at < NOTICE_INTERVAL_S:
            return ()
        return self._sample(
            [h for h in self._local if h in live], NOTICE_LIMIT
        )

    def end_check(
        self,
        check: ReachabilityCheck,
        answered: Collection[str],
        live: Collection[str],
        groups: Iterable[GroupContact],
        now: float,
        isolated: Collection[str] = (),
    ) -> CheckResult:
        """Record the answers to a check and return what follows from them.

        Parameters
        ----------
        check : ReachabilityCheck
            Check that was run.
        answered : Collection[str]
            Hosts that answered its probes.
        live : Collection[str]
            Hosts that the membership takes for live.
        groups : Iterable[GroupContact]
            Primaries of the groups.
        now : float
            Time in seconds.
        isolated : Collection[str], optional
            Hosts that answered that they count themselves as isolated.
        """
        self._note_time(now)
        outcome = self._interpret(check, answered)
        reachability = self._count(check, outcome, live, tuple(groups))
        evidence = _make_evidence(check, answered, reachability)
        if outcome is CheckOutcome.VOID:
            self._is_repeated = True
            return CheckResult(outcome, evidence)
        replace: frozenset[str] = frozenset()
        if outcome is CheckOutcome.CONNECTED:
            if check.is_dialled and self._missed_checks:
                replace = self._remote_names
            is_changed = self._on_connected(reachability, now)
        else:
            is_zone_isolated = any(h in isolated for h in check.local)
            is_changed = self._on_missed(
                check, outcome, reachability, is_zone_isolated, now
            )
        if is_changed or self.is_isolated:
            self.evidence = evidence
        return CheckResult(
            outcome,
            evidence,
            is_changed,
            self._missed_checks == 1,
            replace,
        )

    def _note_time(self, now: float) -> None:
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self._resumed_at = now
            self._contact.on_resumed(now)
        self._ticked_at = now

    def _find_trigger(self, now: float) -> CheckTrigger | None:
        if self._is_repeated:
            return CheckTrigger.REPEAT
        if self._is_noticed:
            return CheckTrigger.NOTICE
        if self._contact.is_silent(now):
            return CheckTrigger.SILENCE
        return None

    def _make_check(
        self, trigger: CheckTrigger, connected: Collection[str], now: float
    ) -> ReachabilityCheck:
        first: list[str] = []
        second: list[str] = []
        redialled: list[str] = []
        for names in self._remote.values():
            chosen = self._choose_remote(names, connected)
            first += chosen
            if self.is_isolated:
                continue
            others = tuple(h for h in names if h not in chosen)
            second += self._choose_remote(others, connected)
            if len(others) < REMOTE_PROBES:
                redialled += chosen * REDIALS
        return ReachabilityCheck(
            now,
            trigger,
            tuple(first),
            self._sample(self._local, LOCAL_PROBES),
            self.is_isolated,
            tuple(second),
            tuple(redialled),
        )

    def _choose_remote(
        self, names: tuple[str, ...], connected: Collection[str]
    ) -> tuple[str, ...]:
        """Return the hosts of one zone to probe.

        All but one have an open connection where possible: a new connection
        needs several packets and is rarely made in time on a lossy link.
        """
        is_open = [h for h in names if h in connected]
        chosen = self._sample(is_open, REMOTE_PROBES - 1)
        others = [h for h in names if h not in chosen]
        return (*chosen, *self._sample(others, REMOTE_PROBES - len(chosen)))

    def _sample(self, names: Collection[str], count: int) -> tuple[str, ...]:
        return tuple(self._rng.sample(sorted(names), min(count, len(names))))

    def _interpret(
        self, check: ReachabilityCheck, answered: Collection[str]
    ) -> CheckOutcome:
        if any(h in answered for h in check.all_remote):
            return CheckOutcome.CONNECTED
        contact = self._contact
        if max(contact.answered_at, contact.silence_ended_at) >= (
            check.began_at
        ):
            return CheckOutcome.CONNECTED
        if check.began_at < self._resumed_at:
            return CheckOutcome.VOID
        if self._has_zones and not self._local:
            return CheckOutcome.LOCAL_ONLY
        if any(h in answered for h in check.local):
            return CheckOutcome.LOCAL_ONLY
        return CheckOutcome.NO_ANSWER

    def _count(
        self,
        check: ReachabilityCheck,
        outcome: CheckOutcome,
        live: Collection[str],
        groups: tuple[GroupContact, ...],
    ) -> Reachability:
        """Count the hosts and primaries that are reachable after a check.

        Where no other zone answers, its primaries are lost too unless they
        have answered since. The detection of each lost primary would take
        longer than the partition may last undetected.
        """
        known = {self._host, *self._local, *self._remote_names}
        reachable = {self._host, *(h for h in live if h in known)}
        lost = [g.is_lost for g in groups]
        if outcome is not CheckOutcome.CONNECTED:
            reachable -= self._remote_names
            if outcome is CheckOutcome.NO_ANSWER:
                reachable = {self._host}
            lost = [
                g.is_lost
                or (g.zone != self._zone and g.answered_at < check.began_at)
                for g in groups
            ]
        return Reachability(len(groups), sum(lost), len(known), len(reachable))

    def _on_connected(self, reachability: Reachability, now: float) -> bool:
        """Return whether the host is no longer isolated."""
        self._contact.on_connected()
        self._missed_checks = 0
        self._is_repeated = False
        self._unanswered_at = float('-inf')
        if self._isolated_since is None:
            return False
        if (
            reachability.has_lost_half
            or self.isolated_s(now) < MIN_ISOLATION_S
        ):
            self._is_repeated = True
            return False
        self._isolated_since = None
        return True

    def _on_missed(
        self,
        check: ReachabilityCheck,
        outcome: CheckOutcome,
        reachability: Reachability,
        is_zone_isolated: bool,
        now: float,
    ) -> bool:
        """Return whether the host has become isolated."""
        self._is_repeated = True
        self._missed_checks += 1
        if outcome is CheckOutcome.NO_ANSWER:
            last, self._unanswered_at = self._unanswered_at, check.began_at
            if check.began_at - last > CONFIRMATION_PERIOD_S:
                return False
        is_starting = (
            not (self._contact.has_answered or is_zone_isolated)
            and now - self._started_at < START_PERIOD_S
        )
        if self.is_isolated or is_starting or not reachability.is_isolated:
            return False
        self._isolated_since = now
        return True


def _make_evidence(
    check: ReachabilityCheck,
    answered: Collection[str],
    reachability: Reachability,
) -> IsolationEvidence:
    return IsolationEvidence(
        check.trigger.value,
        len(check.all_remote),
        sum(h in answered for h in check.all_remote),
        len(check.local),
        sum(h in answered for h in check.local),
        reachability.hosts,
        reachability.reachable_hosts,
        reachability.groups,
        reachability.groups_lost,
    )
