"""State that one host keeps about the members of a database group."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.change_turn import ChangeTurn
from trefoilpulley_core.direct.evidence import EvidenceLog
from trefoilpulley_core.direct.failure_rate import FailureRate
from trefoilpulley_core.direct.member_pace import GroupBaseline
from trefoilpulley_core.direct.member_pace import MemberPace
from trefoilpulley_core.direct.member_pace import PaceReason
from trefoilpulley_core.direct.member_pace import PRIMARY_FRACTION
from trefoilpulley_core.direct.overload_period import OverloadPeriod
from trefoilpulley_core.position import BEGINNING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.direct.log_lineage import LogLineage
    from trefoilpulley_core.position import Position

INITIAL_LATENCY_S = 0.025
"""Latency assumed for a member without measurements, in seconds."""

LATENCY_WEIGHT = 0.1
"""Weight of a new statement in the moving average of the latency."""

LATENCY_HALF_LIFE_S = 2.0
"""Half-life of a member's measured latency, in seconds."""

INITIAL_LAG_S = 0.15
"""Lag assumed for a replica that has not answered yet, in seconds."""

MAX_LAG_S = 4.0
"""Maximum expected lag, in seconds; exceeds any route's maximum age."""

LAG_HALF_LIFE_S = 0.6
"""Half-life of the lag estimate after a refusal for lag, in seconds."""

LAG_WEIGHT = 0.2
"""Weight of a floor that the replica held in the average of its lag."""

LAG_MEASUREMENT_TTL_S = 0.5
"""Time for which a measured lag counts, in seconds.

Longer, a replica that has caught up would get no reads that show it.
"""

REFUSAL_HANDLING_S = 0.05
"""Longest time from the reply of a member to its evaluation, in seconds."""

LAG_AVOIDANCE_S = 0.25
"""Time for which a replica is avoided after it lacked a floor, in seconds."""

QUEUE_MEMORY_S = 0.5
"""Time for which a queue at a member is remembered, in seconds."""

BUSY_AVOIDANCE_S = 0.02
"""Time for which a member is avoided after it refused for load, in seconds."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Entry of one member in the platform's service."""

    member: str
    """Identifier of the member."""

    group: str
    """Database group of the member."""

    endpoint: Endpoint
    """Address of the member."""

    zone: str
    """Availability zone of the member."""

    is_primary: bool
    """Whether the member reports that it is the primary."""

    is_leaving: bool
    """Whether the member is about to stop."""

    incarnation: int = 0
    """Start time of the member; changes at each restart."""

    sequence: int = field(default=0, compare=False)
    """Count of the entry since the member's start."""

    leaving_since: float | None = field(default=None, compare=False)
    """Earliest time at which the member may have announced its stop.

    In seconds on this host's clock; ``None`` if the member is not leaving.
    """


@dataclass(frozen=True, slots=True)
class LeadershipProof:
    """Proof of a member that it leads its group."""

    member: str
    """Identifier of the member."""

    sent_at: float
    """Time at which the proving request was sent, in seconds."""

    position: Position
    """Position in the reply."""


class MemberHealth:
    """Latency, lag and failures of one member as seen by this host.

    Parameters
    ----------
    record : MemberRecord
        Entry of the member.
    pace : MemberPace, optional
        Part of its fair share that the member gets from this host.
    evidence : EvidenceLog, optional
        Proved positions of the group, which show the lag of a position.
    """

    def __init__(
        self,
        record: MemberRecord,
        pace: MemberPace | None = None,
        evidence: EvidenceLog | None = None,
    ) -> None:
        self.record = record
        self._evidence = evidence or EvidenceLog()
        self.pace = pace or MemberPace()
        """Part of its fair share that the member gets from this host."""

        self.latency_s = INITIAL_LATENCY_S
        """Recent mean latency of a statement, in seconds."""

        self.last_served_at = float('-inf')
        """Time of the last statement that the member served, in seconds."""

        self.lag_s = INITIAL_LAG_S
        """Estimated lag at ``last_lag_refusal_at``, in seconds."""

        self.lag_measured_at = float('-inf')
        """Time at which a position has shown the lag, in seconds."""

        self.last_lag_refusal_at = float('-inf')
        """Time of the member's last refusal for lag, in seconds."""

        self.overload = OverloadPeriod()
        """Period in which work for the member was refused for load."""

        self.failure_rate = FailureRate()
        """Fraction of the statements that failed recently."""

        self.in_flight = 0
        """Statements of this host that are in flight at the member."""

        self.last_answer_at = float('-inf')
        """Time of the last answer by any path, in seconds."""

        self.queued_at = float('-inf')
        """Last time at which work waited for the member, in seconds."""

        self.failing_since: float | None = None
        """Time of the first failure since the last answer, in seconds.

        ``None`` if the member has not failed since then, by any path: a
        member that answers through other hosts is not failing.
        """

        self.avoid_until = float('-inf')
        """Time until which reads avoid the member, in seconds."""

        self.position: Position = BEGINNING
        """Greatest position that the member has reported."""

    def on_answer(self, now: float, position: Position) -> None:
        """Record an answer of the member."""
        self.last_answer_at = now
        if self.failing_since is not None:
            self.pace.begin(PaceReason.RECOVERED)
        self.failing_since = None
        if position > self.position:
            self.position = position
        self._measure_lag(now, position)

    def on_served(self, duration_s: float, now: float) -> None:
        """Record the latency of a statement."""
        self.latency_s = self.expected_latency_s(now)
        self.latency_s += LATENCY_WEIGHT * (duration_s - self.latency_s)
        self.last_served_at = now

    def on_reported_latency(self, expected_s: float, now: float) -> None:
        """Adopt the expected latency that a connection holder reports.

        The holder sends more statements to the member than this host, so
        that the holder's estimate is more accurate.
        """
        self.latency_s = expected_s
        self.last_served_at = now

    def has_queue(self, now: float) -> bool:
        """Return whether work waited for the member recently.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        return now - self.queued_at <= QUEUE_MEMORY_S

    def expected_latency_s(self, now: float) -> float:
        """Return the expected latency of a statement, in seconds.

        The estimate decays to the initial latency while the member is not
        used, so that a member that was slow is tried again.
        """
        age_s = now - self.last_served_at
        if age_s <= 0:
            return self.latency_s
        decay = 0.5 ** (age_s / LATENCY_HALF_LIFE_S)
        return INITIAL_LATENCY_S + decay * (self.latency_s - INITIAL_LATENCY_S)

    def expected_lag_s(self, now: float) -> float:
        """Return the age of a floor that the member should hold, in seconds.

        The estimate decays after a refusal, because a replica that gets no
        reads cannot show that it has caught up.
        """
        measured_age_s = now - self.lag_measured_at
        if measured_age_s <= LAG_MEASUREMENT_TTL_S:
            return self.lag_s
        age_s = now - max(self.last_lag_refusal_at, self.lag_measured_at)
        decay = 0.5 ** (max(0.0, age_s) / LAG_HALF_LIFE_S)
        return INITIAL_LAG_S + decay * (self.lag_s - INITIAL_LAG_S)

    def on_floor_missing(self, floor_age_s: float, now: float) -> None:
        """Record that the member lacked a floor of the given age.

        The position in the refusal shows the lag, if there is evidence of it.
        Other reads, whose floors are older, then still use the member.
        """
        self.last_lag_refusal_at = now
        if now - self.lag_measured_at <= REFUSAL_HANDLING_S:
            self.lag_s = max(self.lag_s, floor_age_s)
            return
        self.lag_s = max(
            self.expected_lag_s(now), min(2 * floor_age_s, MAX_LAG_S)
        )
        self.avoid_until = now + LAG_AVOIDANCE_S

    def on_floor_held(self, floor_age_s: float) -> None:
        """Record that the member held a floor of the given age."""
        if floor_age_s < self.lag_s:
            self.lag_s += LAG_WEIGHT * (floor_age_s - self.lag_s)

    def _measure_lag(self, now: float, position: Position) -> None:
        """Measure the lag of a replica that has reported a position.

        A replica that lacks nothing that is known may lag all the same, by
        less than the age of the newest evidence.
        """
        newest = self._evidence.newest
        if position.index == 0 or newest is None:
            return
        passed_at = self._evidence.passed_at(position)
        if passed_at is None:
            lag_s = min(self.expected_lag_s(now), now - newest.at)
        else:
            lag_s = min(now - passed_at, MAX_LAG_S)
        self.lag_s = max(lag_s, INITIAL_LAG_S)
        self.lag_measured_at = now

    def on_busy(self, now: float) -> None:
        """Record that the member refused a statement for load."""
        self.overload.on_refused(now)
        self.avoid_until = max(self.avoid_until, now + BUSY_AVOIDANCE_S)

    def on_unreachable(self, now: float) -> None:
        """Record that the member did not answer."""
        if self.failing_since is None:
            self.failing_since = now


class GroupState:
    """Members, primary and evidence of one database group.

    Parameters
    ----------
    group : str
        Name of the group.
    find_leader : Callable[[], str], optional
        Returns the member whose term every later change goes on from; empty
        where none is known.
    """

    def __init__(
        self, group: str, find_leader: Callable[[], str] = lambda: ''
    ) -> None:
        self.group = group
        self._find_leader = find_leader
        self.unconfirmed: LeadershipProof | None = None
        """Newest proof of a leader that a later change may pass over."""

        self.members: dict[str, MemberHealth] = {}
        """Members by identifier."""

        self.listed: tuple[MemberRecord, ...] = ()
        """Entries that the platform's service has.

        A member without one remains in `members` for a grace period.
        """

        self.primary: str | None = None
        """Member that last proved its leadership, else the listed primary."""

        self.primary_since = float('-inf')
        """Time of the first proof of the primary's leadership, in seconds."""

        self.has_holders = False
        """Whether a few hosts hold the members' connections for all hosts."""

        self.term = 0
        """Highest term in which a member proved its leadership."""

        self._baseline = GroupBaseline()
        self._last_primary: str | None = None
        self.evidence = EvidenceLog()
        """Proved positions."""

        self.last_proof_at = float('-inf')
        """Time at which the last proving request was sent, in seconds."""

        self.primary_change_due_at = float('-inf')
        """Time at which a change of primary should be complete, in seconds."""

        self.no_primary_change_until = float('-inf')
        """Time until which no change of primary is expected, in seconds."""

        self.turn = ChangeTurn()
        """Turn of this host to change the primary."""

        self.last_request_at = float('-inf')
        """Time of the last request for the group, in seconds."""

    @property
    def lineage(self) -> LogLineage:
        """Starts of the group's terms, as far as they are known."""
        return self.evidence.lineage

    def expect_change(self, due_at: float) -> None:
        """Expect a change of primary until a time, in seconds."""
        self.primary_change_due_at = due_at
        self.no_primary_change_until = float('-inf')

    def end_change(self, due_at: float) -> None:
        """Expect a change no more, unless another one is expected by now.

        Parameters
        ----------
        due_at : float
            Time until which the change was expected, in seconds.
        """
        if self.primary_change_due_at == due_at:
            self.primary_change_due_at = float('-inf')

    def update(
        self,
        records: Iterable[MemberRecord],
        unlisted: Container[str] = (),
    ) -> None:
        """Apply the platform's entries of the group.

        Parameters
        ----------
        records : Iterable[MemberRecord]
            Newest entry of each member of the group.
        unlisted : Container[str], optional
            Members whose entries have been removed.
        """
        by_name = {r.member: r for r in records}
        self.listed = tuple(
            r for r in by_name.values() if r.member not in unlisted
        )
        self._remove_absent(by_name)
        for record in by_name.values():
            health = self.members.get(record.member)
            if health is None:
                self._add(record, PaceReason.NEW)
                continue
            if health.record.incarnation != record.incarnation:
                self._add(record, PaceReason.RESTARTED)
                continue
            if (
                record.is_primary
                and not health.record.is_primary
                and self.is_confirmed(record.member)
            ):
                self.primary = record.member
                self._on_primary(record.member)
            health.record = record
        if self.primary not in self.members:
            self.primary = self._listed_primary()
            self._on_primary(self.primary)

    @property
    def last_primary(self) -> str | None:
        """Member that was the primary last."""
        return self._last_primary

    def is_confirmed(self, member: str) -> bool:
        """Return whether no later change passes over the lead of a member.

        The log of a new primary may lack acknowledged commits. Until every
        later change is known to go on from that log, such commits may come
        into force again, and reads of the present must not run without them.
        """
        return self._find_leader() in ('', member)

    def on_leader_confirmed(self) -> bool:
        """Record the proof of a leader that has been confirmed since.

        Returns
        -------
        bool
            Whether the leader was not the known primary before.
        """
        proof = self.unconfirmed
        if proof is None or not self.is_confirmed(proof.member):
            return False
        self.unconfirmed = None
        if proof.member not in self.members:
            return False
        return self.on_leadership_proof(
            proof.member, proof.sent_at, proof.position
        )

    def on_leadership_proof(
        self, member: str, sent_at: float, position: Position
    ) -> bool:
        """Record that a member has proved its leadership.

        A proof of a leader that is not confirmed is only kept for later.

        Parameters
        ----------
        member : str
            Identifier of the member.
        sent_at : float
            Time at which the proving request was sent, in seconds.
        position : Position
            Position in the reply.

        Returns
        -------
        bool
            Whether the member was not the known primary before.
        """
        if not self.is_confirmed(member):
            self.unconfirmed = LeadershipProof(member, sent_at, position)
            return False
        self.unconfirmed = None
        self.term = max(self.term, position.term)
        self.evidence.record(sent_at, position)
        self.last_proof_at = max(self.last_proof_at, sent_at)
        is_change = self.primary != member
        if is_change:
            self.primary_since = sent_at
            self.no_primary_change_until = float('-inf')
        self.primary = member
        self._on_primary(member)
        return is_change

    def on_not_leading(self, member: str) -> None:
        """Record that a member refused a request because it does not lead."""
        if self.primary == member:
            self.primary = None

    def members_except(self, member: str | None) -> tuple[str, ...]:
        """Return all members except the given one."""
        return tuple(m for m in self.members if m != member)

    def _add(self, record: MemberRecord, reason: PaceReason) -> None:
        """Add a member, or replace its former incarnation."""
        member = record.member
        pace = MemberPace(self._baseline, lambda: self._least_pace(member))
        self.members[member] = MemberHealth(record, pace, self.evidence)
        pace.begin(reason)

    def _on_primary(self, member: str | None) -> None:
        """Pace a member that was not the primary before."""
        if member is None or member == self._last_primary:
            return
        health = self.members.get(member)
        if health is not None and self._last_primary is not None:
            health.pace.begin(PaceReason.PROMOTED)
        self._last_primary = member

    def _least_pace(self, member: str) -> float:
        """Return the part of a member that the group cannot do without.

        The part is that of the other members that do not answer, and a fixed
        one at the primary.
        """
        others = [h for m, h in self.members.items() if m != member]
        missing = sum(h.failing_since is not None for h in others)
        least = missing / len(others) if others else 1.0
        if member == self.primary:
            least = max(least, PRIMARY_FRACTION)
        return least

    def _listed_primary(self) -> str | None:
        listed = [
            m
            for m, h in self.members.items()
            if h.record.is_primary and self.is_confirmed(m)
        ]
        return listed[0] if listed else None

    def _remove_absent(self, present: Mapping[str, MemberRecord]) -> None:
        for member in [m for m in self.members if m not in present]:
            del self.members[member]
