"""Configuration changes, a planned stop and leaving upstreams."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Presence
from trefoilpulley_core.declarations import PlannedStop
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.figures.classes import measure_classes
from trefoilpulley_standins.figures.gaps import find_failback
from trefoilpulley_standins.figures.gaps import find_failover
from trefoilpulley_standins.figures.gaps import find_primary_changes
from trefoilpulley_standins.figures.load import make_fault_load
from trefoilpulley_standins.figures.part import Measurement
from trefoilpulley_standins.figures.part import Part
from trefoilpulley_standins.figures.violations import count_violations

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_standins.demo.workload import Step
    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.figures.gaps import PrimaryChange
    from trefoilpulley_standins.figures.testbed import Testbed

FIRST_CHANGE_AT_S = 2.0
"""Time of the first configuration change, in seconds."""

CHANGE_COUNT = 6
"""Number of configuration changes before the planned stop."""

CHANGE_INTERVAL_S = 0.7
"""Interval between two configuration changes, in seconds."""

MOVE_TIMEOUT_S = 10.0
"""Time limit for the primary to move away, in seconds."""

FAILBACK_TIMEOUT_S = 28.0
"""Time limit for the failback after the stop, in seconds."""

SETTLE_TIME_S = 1.0
"""Time after a move that counts as part of the move, in seconds."""

LEAVING_OBSERVATION_S = 4.0
"""Time for which work at leaving upstreams is observed, in seconds."""


@dataclass(frozen=True, slots=True)
class WrittenRevision:
    """Configuration revision written during the run."""

    number: int
    """Number of the revision."""

    at_s: float
    """Time at which the revision was written, in seconds."""


class PlannedChanges(Part):
    """Configuration changes, a planned stop and two leaving upstreams."""

    name = 'planned'

    def make_load(self, deployment: Deployment) -> tuple[Step, ...]:
        """Return the recorded workload and write-only sessions."""
        return make_fault_load(deployment)

    def run(self, testbed: Testbed) -> Iterator[Measurement]:
        """Make the planned changes and yield the figures of each."""
        revisions = self._write_revisions(testbed)
        stopped = testbed.layout.databases[1]
        began_s = self._stop_zone(testbed, stopped)
        resumed_s = self._resume(testbed, stopped)
        marked_s = self._mark_leaving(testbed)
        yield from count_violations(testbed.end_load(), 'planned')
        for revision in revisions:
            yield self._measure_revision(testbed, revision)
        changes = find_primary_changes(testbed.journal.entries)
        name = stopped.name
        failover = find_failover(changes, name, began_s)
        yield from _measure_move(testbed, 'planned stop', failover, began_s)
        home = stopped.members[0].name
        failback = find_failback(changes, name, home, resumed_s)
        yield from _measure_move(
            testbed, 'return after planned stop', failback, 0.0
        )
        for label, member in self._leaving_members(testbed):
            yield _measure_leaving(testbed, label, member, marked_s)

    def _write_revisions(self, testbed: Testbed) -> list[WrittenRevision]:
        revisions: list[WrittenRevision] = []
        for number in range(CHANGE_COUNT):
            at_s = FIRST_CHANGE_AT_S + number * CHANGE_INTERVAL_S
            testbed.journal.sleep_until(at_s)
            began_s = testbed.journal.now_s
            revision = testbed.control.declare_stops(())
            revisions.append(WrittenRevision(revision, began_s))
        testbed.journal.sleep_until(testbed.journal.now_s + CHANGE_INTERVAL_S)
        return revisions

    def _stop_zone(self, testbed: Testbed, database: DatabaseEntry) -> float:
        began_s = testbed.journal.now_s
        home = database.members[0]
        stop = PlannedStop('figures', database.ledger, home.zone)
        testbed.control.declare_stops((stop,))
        testbed.wait_until(
            lambda: testbed.primary_of(database) != home.name, MOVE_TIMEOUT_S
        )
        testbed.journal.sleep_until(testbed.journal.now_s + SETTLE_TIME_S)
        return began_s

    def _resume(self, testbed: Testbed, database: DatabaseEntry) -> float:
        resumed_s = testbed.journal.now_s
        testbed.control.declare_stops(())
        testbed.wait_until(
            lambda: testbed.has_home_primaries((database,)), FAILBACK_TIMEOUT_S
        )
        testbed.journal.sleep_until(testbed.journal.now_s + SETTLE_TIME_S)
        return resumed_s

    def _leaving_members(
        self, testbed: Testbed
    ) -> tuple[tuple[str, str], ...]:
        first, _, third = testbed.layout.databases
        return (
            ('replica', first.members[1].name),
            ('primary', third.members[0].name),
        )

    def _mark_leaving(self, testbed: Testbed) -> float:
        names = {member for _, member in self._leaving_members(testbed)}
        databases = tuple(
            replace(
                d,
                members=tuple(
                    replace(m, presence=Presence.LEAVING)
                    if m.name in names
                    else m
                    for m in d.members
                ),
            )
            for d in testbed.layout.databases
        )
        marked_s = testbed.journal.now_s
        testbed.control.write_databases(databases)
        testbed.journal.sleep_until(marked_s + LEAVING_OBSERVATION_S)
        return marked_s

    def _measure_revision(
        self, testbed: Testbed, revision: WrittenRevision
    ) -> Measurement:
        first: dict[str, float] = {}
        for document in testbed.host_logs().documents():
            has_revision = document.revision >= revision.number
            if document.kind == 'configuration' and has_revision:
                first.setdefault(document.host, document.at_s - revision.at_s)
        is_on_all_hosts = len(first) == len(testbed.layout.hosts)
        worst_s = max(first.values()) if is_on_all_hosts else None
        return Measurement('configuration in force s', worst_s, len(first))


def _measure_move(
    testbed: Testbed,
    label: str,
    change: PrimaryChange | None,
    declared_s: float,
) -> Iterator[Measurement]:
    yield Measurement(
        f'{label}, gap s', None if change is None else change.gap_s
    )
    if change is None:
        return
    began_s = declared_s or change.last_ack_s - SETTLE_TIME_S
    ended_s = change.first_ack_s + SETTLE_TIME_S
    cut = sum(
        e.verdict is not Verdict.ANSWERED
        and began_s <= e.began_s < ended_s
        and e.database == change.database
        for e in testbed.journal.entries
    )
    yield Measurement(f'{label}, requests cut', cut)
    yield from measure_classes(testbed, 'return', began_s, ended_s)


def _measure_leaving(
    testbed: Testbed, label: str, member: str, marked_s: float
) -> Measurement:
    times = [
        e.began_s - marked_s
        for e in testbed.journal.entries
        if e.member == member and e.verdict is Verdict.ANSWERED
    ]
    last_work_s = max(times, default=0.0)
    value = (
        None
        if last_work_s > LEAVING_OBSERVATION_S - SETTLE_TIME_S
        else max(last_work_s, 0.0)
    )
    return Measurement(f'leaving {label}, last new work s', value, len(times))
