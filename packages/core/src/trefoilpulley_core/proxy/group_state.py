"""What one host knows of the members of a database group."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.proxy.evidence import EvidenceLog

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.position import Position

INITIAL_LATENCY_S = 0.025
"""Time of a statement assumed before the first one, in seconds."""

LATENCY_WEIGHT = 0.1
"""Weight of a new statement in the mean time of statements."""

LATENCY_HALF_LIFE_S = 2.0
"""Time in which half of what was seen of a member's speed fades."""

INITIAL_LAG_S = 0.15
"""Lag assumed of a replica before it has answered, in seconds."""

MAX_LAG_S = 4.0
"""Longest lag that is expected; above any route's age, in seconds."""

LAG_HALF_LIFE_S = 0.6
"""Time in which half of a refusal for lag fades, in seconds."""

LAG_WEIGHT = 0.2
"""Weight of a floor that was held in the lag that is expected."""

LAG_AVOIDANCE_S = 0.25
"""Time for which a replica that was behind is not asked, in seconds."""

BUSY_AVOIDANCE_S = 0.02
"""Time for which a member that refused for load is avoided, in seconds."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member as the platform lists it."""

    member: str
    """Identifier of the member."""

    group: str
    """Database group of the member."""

    endpoint: Endpoint
    """Address of the member."""

    zone: str
    """Availability zone of the member."""

    is_primary: bool
    """Whether the member takes itself for the primary."""

    is_leaving: bool
    """Whether the member is about to stop."""

    incarnation: int = 0
    """Moment of the member's start; changes where it starts anew."""


class MemberHealth:
    """How one member has answered this host.

    Parameters
    ----------
    record : MemberRecord
        Entry of the member.
    """

    def __init__(self, record: MemberRecord) -> None:
        self.record = record
        self.latency_s = INITIAL_LATENCY_S
        """Recent mean time of a statement, in seconds."""

        self.last_served_at = float('-inf')
        """Time of the last statement that was served, in seconds."""

        self.lag_s = INITIAL_LAG_S
        """Age of a floor that the member held, as of ``last_missing_at``."""

        self.last_missing_at = float('-inf')
        """Time of the last refusal for lag, in seconds."""

        self.in_flight = 0
        """Statements of this host at the member."""

        self.unanswered_since = float('-inf')
        """Time since which statements have been in flight, in seconds."""

        self.last_answer_at = float('-inf')
        """Time of the last answer of any kind, in seconds."""

        self.failing_since: float | None = None
        """Time of the first failure since the last answer, in seconds."""

        self.leaving_since: float | None = None
        """Time since which it is known to leave, in seconds."""

        self.avoid_until = float('-inf')
        """Time until which reads go elsewhere, in seconds."""

        self.position: Position = BEGINNING
        """Greatest position that the member has shown."""

    def on_answer(self, now: float, position: Position) -> None:
        """Note an answer of the member."""
        self.last_answer_at = now
        self.failing_since = None
        if position > self.position:
            self.position = position

    def on_served(self, duration_s: float, now: float) -> None:
        """Note how long a statement took."""
        self.latency_s = self.expected_s(now)
        self.latency_s += LATENCY_WEIGHT * (duration_s - self.latency_s)
        self.last_served_at = now

    def on_reported_latency(self, expected_s: float, now: float) -> None:
        """Take the time of a statement that another host expects.

        That host sees more statements at the member than this one.
        """
        self.latency_s = expected_s
        self.last_served_at = now

    def expected_s(self, now: float) -> float:
        """Return the expected time of a statement, in seconds.

        What was seen fades while the member is not used, so that one
        that was slow is tried again.
        """
        age_s = now - self.last_served_at
        if age_s <= 0:
            return self.latency_s
        kept = 0.5 ** (age_s / LATENCY_HALF_LIFE_S)
        return INITIAL_LATENCY_S + kept * (self.latency_s - INITIAL_LATENCY_S)

    def expected_lag_s(self, now: float) -> float:
        """Return the age of a floor that the member should hold.

        A refusal fades, since a replica that is not asked never shows
        that it has caught up.
        """
        age_s = now - self.last_missing_at
        kept = 0.5 ** (max(0.0, age_s) / LAG_HALF_LIFE_S)
        return INITIAL_LAG_S + kept * (self.lag_s - INITIAL_LAG_S)

    def on_floor_missing(self, floor_age_s: float, now: float) -> None:
        """Note that the member lacked a floor of an age."""
        self.lag_s = max(
            self.expected_lag_s(now), min(2 * floor_age_s, MAX_LAG_S)
        )
        self.last_missing_at = now
        self.avoid_until = now + LAG_AVOIDANCE_S

    def on_floor_held(self, floor_age_s: float) -> None:
        """Note that the member held a floor of an age."""
        if floor_age_s < self.lag_s:
            self.lag_s += LAG_WEIGHT * (floor_age_s - self.lag_s)

    def update_leaving(self, now: float) -> None:
        """Note that the member is about to stop, or no longer is."""
        if not self.record.is_leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = now

    def on_busy(self, now: float) -> None:
        """Note that the member refused work for load."""
        self.avoid_until = max(self.avoid_until, now + BUSY_AVOIDANCE_S)

    def on_unreachable(self, now: float) -> None:
        """Note that the member did not answer."""
        if self.failing_since is None:
            self.failing_since = now


class GroupState:
    """Members, primary and evidence of one database group.

    Parameters
    ----------
    group : str
        Name of the group.
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self.members: dict[str, MemberHealth] = {}
        """Members by identifier."""

        self.primary: str | None = None
        """Member that proved last to lead, or is listed as primary."""

        self.term = 0
        """Highest term in which a leader proved itself."""

        self.evidence = EvidenceLog()
        """Proved positions."""

        self.last_proof_at = float('-inf')
        """Time at which the last proof's request left, in seconds."""

        self.failover_due_at = float('-inf')
        """Time at which a change of primary should be over."""

        self.no_failover_until = float('-inf')
        """Time until which no change of primary is coming."""

        self.asked_at = float('-inf')
        """Time of the last request for the group, in seconds."""

    def update(self, records: Iterable[MemberRecord]) -> None:
        """Take the platform's present entries of the group."""
        by_name = {r.member: r for r in records}
        self._forget(by_name)
        for record in by_name.values():
            known = self.members.get(record.member)
            if known is None:
                self.members[record.member] = MemberHealth(record)
                continue
            if known.record.incarnation != record.incarnation:
                known = self.members[record.member] = MemberHealth(record)
                continue
            if record.is_primary and not known.record.is_primary:
                self.primary = record.member
            known.record = record
        if self.primary not in self.members:
            self.primary = self._listed_primary()

    def on_leadership_proof(
        self, member: str, sent_at: float, position: Position
    ) -> bool:
        """Note that a member has proved to lead.

        Parameters
        ----------
        member : str
            Identifier of the member.
        sent_at : float
            Time at which the proving request left, in seconds.
        position : Position
            Position in the reply.

        Returns
        -------
        bool
            Whether the primary changed by it.
        """
        self.term = max(self.term, position.term)
        self.evidence.record(sent_at, position)
        self.last_proof_at = max(self.last_proof_at, sent_at)
        is_change = self.primary != member
        self.primary = member
        return is_change

    def on_not_leading(self, member: str) -> None:
        """Note that a member refused as it does not lead."""
        if self.primary == member:
            self.primary = None

    def members_except(self, member: str | None) -> tuple[str, ...]:
        """Return the members but one."""
        return tuple(m for m in self.members if m != member)

    def _listed_primary(self) -> str | None:
        listed = [m for m, h in self.members.items() if h.record.is_primary]
        return listed[0] if listed else None

    def _forget(self, present: Mapping[str, MemberRecord]) -> None:
        for member in [m for m in self.members if m not in present]:
            del self.members[member]
