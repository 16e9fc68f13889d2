"""Checks a run against the callers' journal and the members' rows."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.failure import NotAuthorized
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.demo.report import ClassReport
from trefoilpulley_standins.demo.report import ClassTarget
from trefoilpulley_standins.demo.workload import StepKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.declarations import WorkClass
    from trefoilpulley_standins.demo.journal import Entry


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Row that a member stores at the end of the run."""

    row_id: int
    """Row number, ascending in the order of the log."""

    request: str
    """Identifier of the request that wrote the row."""

    session: str
    """Name of the session that sent the request."""

    part: int
    """Position of the row within the request, counted from 1."""


@dataclass(frozen=True, slots=True)
class MemberRows:
    """All rows that one member stores at the end of the run."""

    database: str
    """Database of the member."""

    member: str
    """Name of the member."""

    rows: tuple[StoredRow, ...]
    """Rows in ascending order of their numbers."""


@dataclass(frozen=True, slots=True)
class StopWindow:
    """Time span of a planned stop, in seconds since the start."""

    database: str
    """Database whose primary was in the stopped zone."""

    began_s: float
    """Time at which the planned stop was declared."""

    ended_s: float
    """Time until which requests count as sent during the stop."""


class Checker:
    """Counts violations of the guarantees and summarizes the run.

    Parameters
    ----------
    entries : Iterable[Entry]
        Journal entries of the callers.
    members : tuple[MemberRows, ...]
        Rows of every member at the end of the run. The first member of
        each database is its primary at the start.
    declarations : Declarations
        Declarations that hold the classes of work and their targets.
    """

    def __init__(
        self,
        entries: Iterable[Entry],
        members: tuple[MemberRows, ...],
        declarations: Declarations,
    ) -> None:
        self._entries = sorted(entries, key=lambda e: e.ended_s)
        self._members = members
        self._declarations = declarations
        self._writes = [
            e for e in self._entries if e.kind is not StepKind.READ
        ]
        self._authorized = [e for e in self._entries if not e.is_foreign]
        self._reads = [e for e in self._entries if e.kind is StepKind.READ]
        self._parts_by_member = {
            (m.database, m.member): _group_parts_by_request(m.rows)
            for m in members
        }
        self._acknowledged_ids = _AcknowledgedIds(self._answered_writes())

    def count(self, verdict: Verdict) -> int:
        """Return the number of authorized requests with a verdict."""
        return sum(e.verdict is verdict for e in self._authorized)

    def count_lost(self) -> int:
        """Count acknowledged writes that are incomplete on any member."""
        return sum(
            any(len(parts) < e.parts for parts in self._parts_at_members(e))
            for e in self._answered_writes()
        )

    def count_doubled(self) -> int:
        """Count write requests that ran more than once."""
        return sum(
            any(_has_repeats(parts) for parts in self._parts_at_members(e))
            for e in self._writes
        )

    def count_mixed(self) -> int:
        """Count rows under the wrong session and partial transactions.

        Every row must carry the session that sent its request, and every
        member must store all rows of a transaction or none.
        """
        owners = {e.request: e.session for e in self._writes}
        foreign = sum(
            owners.get(row.request) != row.session
            for m in self._members
            for row in m.rows
        )
        partial = sum(
            any(
                0 < len(set(p)) < _expected_parts(e)
                for p in self._parts_at_members(e)
            )
            for e in self._writes
        )
        return foreign + partial

    def count_wrong_answers(self) -> int:
        """Count misrouted answers and unauthorized requests not denied.

        A misrouted answer belongs to another request. Requests for another
        tenant's database must be denied as unauthorized; any other outcome
        counts, even another failure.
        """
        misrouted = sum(not e.is_own_answer for e in self._answered_reads())
        return misrouted + self._count_not_denied()

    def count_ryw_violations(self) -> int:
        """Count reads that miss an earlier write of their own session."""
        return sum(e.own_rows < e.own_floor for e in self._answered_reads())

    def count_stale(self) -> int:
        """Count reads that miss a write that their class requires."""
        return sum(
            e.last_id
            < self._acknowledged_ids.highest_before(e.database, limit)
            for e in self._answered_reads()
            if (limit := self._freshness_bound_s(e)) is not None
        )

    def count_false_not_run(self) -> int:
        """Count writes that were reported as not run but did run."""
        return sum(
            any(self._parts_at_members(e))
            for e in self._writes
            if e.verdict is Verdict.REFUSED
        )

    def count_cut_by_planned_stop(self, windows: Iterable[StopWindow]) -> int:
        """Count requests sent during planned stops that got no answer."""
        return sum(
            e.verdict is not Verdict.ANSWERED
            and e.database == w.database
            and w.began_s <= e.began_s <= w.ended_s
            for w in windows
            for e in self._authorized
        )

    def replica_read_share(self) -> float:
        """Return the share of reads that a replica served.

        Reads of classes that require the current state of the primary are
        excluded. The primary at a given time is the member that acknowledged
        the latest write before that time.
        """
        allowed = [
            e for e in self._answered_reads() if self._allows_stale_reads(e)
        ]
        replicas = sum(
            e.member != self._primary_at(e.database, e.began_s)
            for e in allowed
        )
        return round(replicas / len(allowed), 4) if allowed else 0.0

    def write_gap_s(self, database: str, since_s: float) -> float | None:
        """Return the write gap at the first primary change after a time.

        The gap is the time in seconds between the last write acknowledged
        by one member and the first acknowledged by another; ``None`` if no
        change was observed.
        """
        last: Entry | None = None
        for e in self._answered_writes():
            if e.database != database or not e.member:
                continue
            if last and e.member != last.member and e.ended_s > since_s:
                return round(e.ended_s - last.ended_s, 3)
            last = e
        return None

    def class_reports(self) -> dict[str, ClassReport]:
        """Return the report of each class of work by its name."""
        return {
            c.name: self._make_class_report(c)
            for c in self._declarations.classes
        }

    def _count_not_denied(self) -> int:
        return sum(
            e.is_foreign and e.code != NotAuthorized.code
            for e in self._entries
        )

    def _make_class_report(self, work_class: WorkClass) -> ClassReport:
        sent = [e for e in self._authorized if e.work_class == work_class.name]
        times = sorted(
            (e.ended_s - e.began_s) * 1000
            for e in sent
            if e.verdict is Verdict.ANSWERED
        )
        target = work_class.promptness
        in_time = sum(t <= target.within_ms for t in times)
        return ClassReport(
            len(sent),
            round(in_time / len(sent), 4) if sent else 0.0,
            _percentile(times, 0.5),
            _percentile(times, 0.99),
            ClassTarget(target.within_ms, target.share),
        )

    def _answered_writes(self) -> list[Entry]:
        return [e for e in self._writes if e.verdict is Verdict.ANSWERED]

    def _answered_reads(self) -> list[Entry]:
        return [e for e in self._reads if e.verdict is Verdict.ANSWERED]

    def _parts_at_members(self, entry: Entry) -> list[list[int]]:
        return [
            parts.get(entry.request, [])
            for (database, _), parts in self._parts_by_member.items()
            if database == entry.database
        ]

    def _freshness_bound_s(self, entry: Entry) -> float | None:
        freshness = self._declarations.find_class(entry.work_class).freshness
        if freshness.kind is FreshnessKind.SESSION:
            return None
        return entry.began_s - (freshness.max_age_ms or 0) / 1000

    def _allows_stale_reads(self, entry: Entry) -> bool:
        freshness = self._declarations.find_class(entry.work_class).freshness
        return freshness.kind is not FreshnessKind.PRESENT

    def _primary_at(self, database: str, at_s: float) -> str:
        primary = next(
            m.member for m in self._members if m.database == database
        )
        for e in self._answered_writes():
            if e.ended_s > at_s:
                break
            if e.database == database and e.member:
                primary = e.member
        return primary


class _AcknowledgedIds:
    def __init__(self, writes: list[Entry]) -> None:
        self._times: dict[str, list[float]] = defaultdict(list)
        self._highest: dict[str, list[int]] = defaultdict(list)
        for e in writes:
            known = self._highest[e.database]
            known.append(max(e.last_id, known[-1] if known else 0))
            self._times[e.database].append(e.ended_s)

    def highest_before(self, database: str, at_s: float) -> int:
        """Return the highest row number acknowledged before a time."""
        count = bisect_left(self._times[database], at_s)
        return self._highest[database][count - 1] if count else 0


def _group_parts_by_request(
    rows: tuple[StoredRow, ...],
) -> dict[str, list[int]]:
    parts: dict[str, list[int]] = defaultdict(list)
    for row in rows:
        parts[row.request].append(row.part)
    return parts


def _has_repeats(parts: list[int]) -> bool:
    return any(count > 1 for count in Counter(parts).values())


def _expected_parts(entry: Entry) -> int:
    return 1 if entry.kind is StepKind.WRITE else 2


def _percentile(ordered: list[float], share: float) -> float | None:
    if not ordered:
        return None
    index = min(int(share * len(ordered)), len(ordered) - 1)
    return round(ordered[index], 1)
