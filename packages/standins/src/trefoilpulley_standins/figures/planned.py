"""Configuration changes, a planned stop and leaving upstreams."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Presence
from trefoilpulley_core.declarations import PlannedStop
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.figures.classes import judge_classes
from trefoilpulley_standins.figures.gaps import find_changes
from trefoilpulley_standins.figures.gaps import find_failover
from trefoilpulley_standins.figures.gaps import find_return
from trefoilpulley_standins.figures.load import make_fault_load
from trefoilpulley_standins.figures.part import Finding
from trefoilpulley_standins.figures.part import Part
from trefoilpulley_standins.figures.violations import count_violations

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_standins.demo.workload import Step
    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.figures.gaps import Change
    from trefoilpulley_standins.figures.scene import Scene

FIRST_CHANGE_AT_S = 2.0
"""Time of the first configuration change, in seconds."""

CHANGES = 6
"""Number of configuration changes before the planned stop."""

CHANGE_INTERVAL_S = 0.7
"""Interval between two configuration changes, in seconds."""

MOVE_TIMEOUT_S = 10.0
"""Time limit for the primary to move away, in seconds."""

FAILBACK_TIMEOUT_S = 28.0
"""Time limit for the failback after the stop, in seconds."""

SETTLE_TIME_S = 1.0
"""Time after a move that belongs to it, in seconds."""

LEAVING_S = 4.0
"""Time for which work at leaving upstreams is observed, in seconds."""


@dataclass(frozen=True, slots=True)
class Revision:
    """Configuration revision written during the run."""

    number: int
    """Number of the revision."""

    at_s: float
    """Time at which the revision was written, in seconds."""


class Planned(Part):
    """Configuration changes, a planned stop and two leaving upstreams."""

    name = 'planned'

    def make_load(self, deployment: Deployment) -> tuple[Step, ...]:
        """Return the recorded workload and write-only sessions."""
        return make_fault_load(deployment)

    def run(self, scene: Scene) -> Iterator[Finding]:
        """Make the planned changes and yield the figures of each."""
        changed = self._change_often(scene)
        stopped = scene.layout.databases[1]
        began_s = self._stop_zone(scene, stopped)
        resumed_s = self._resume(scene, stopped)
        noticed_s = self._let_leave(scene)
        yield from count_violations(scene.end_load(), 'planned')
        for revision in changed:
            yield self._judge_revision(scene, revision)
        changes = find_changes(scene.journal.entries)
        name = stopped.name
        away = find_failover(changes, name, began_s)
        yield from _judge_move(scene, 'planned stop', away, began_s)
        home = stopped.members[0].name
        back = find_return(changes, name, home, resumed_s)
        yield from _judge_move(scene, 'return after planned stop', back, 0.0)
        for what, member in self._leaving(scene):
            yield _judge_leaving(scene, what, member, noticed_s)

    def _change_often(self, scene: Scene) -> list[Revision]:
        changed: list[Revision] = []
        for number in range(CHANGES):
            at_s = FIRST_CHANGE_AT_S + number * CHANGE_INTERVAL_S
            scene.journal.sleep_until(at_s)
            began_s = scene.journal.now_s
            revision = scene.orders.declare_stops(())
            changed.append(Revision(revision, began_s))
        scene.journal.sleep_until(scene.journal.now_s + CHANGE_INTERVAL_S)
        return changed

    def _stop_zone(self, scene: Scene, database: DatabaseEntry) -> float:
        began_s = scene.journal.now_s
        home = database.members[0]
        stop = PlannedStop('figures', database.ledger, home.zone)
        scene.orders.declare_stops((stop,))
        scene.wait(
            lambda: scene.leader_of(database) != home.name, MOVE_TIMEOUT_S
        )
        scene.journal.sleep_until(scene.journal.now_s + SETTLE_TIME_S)
        return began_s

    def _resume(self, scene: Scene, database: DatabaseEntry) -> float:
        resumed_s = scene.journal.now_s
        scene.orders.declare_stops(())
        scene.wait(lambda: scene.is_home((database,)), FAILBACK_TIMEOUT_S)
        scene.journal.sleep_until(scene.journal.now_s + SETTLE_TIME_S)
        return resumed_s

    def _leaving(self, scene: Scene) -> tuple[tuple[str, str], ...]:
        first, _, third = scene.layout.databases
        return (
            ('replica', first.members[1].name),
            ('primary', third.members[0].name),
        )

    def _let_leave(self, scene: Scene) -> float:
        names = {member for _, member in self._leaving(scene)}
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
            for d in scene.layout.databases
        )
        noticed_s = scene.journal.now_s
        scene.orders.write_databases(databases)
        scene.journal.sleep_until(noticed_s + LEAVING_S)
        return noticed_s

    def _judge_revision(self, scene: Scene, revision: Revision) -> Finding:
        first: dict[str, float] = {}
        for done in scene.logs().documents():
            is_new = done.revision >= revision.number
            if done.kind == 'configuration' and is_new:
                first.setdefault(done.host, done.at_s - revision.at_s)
        is_whole = len(first) == len(scene.layout.hosts)
        worst_s = max(first.values()) if is_whole else None
        return Finding('configuration in force s', worst_s, len(first))


def _judge_move(
    scene: Scene, what: str, change: Change | None, declared_s: float
) -> Iterator[Finding]:
    yield Finding(f'{what}, gap s', None if change is None else change.gap_s)
    if change is None:
        return
    began_s = declared_s or change.last_s - SETTLE_TIME_S
    ended_s = change.first_s + SETTLE_TIME_S
    cut = sum(
        e.verdict is not Verdict.ANSWERED
        and began_s <= e.began_s < ended_s
        and e.database == change.database
        for e in scene.journal.entries
    )
    yield Finding(f'{what}, requests cut', cut)
    yield from judge_classes(scene, 'return', began_s, ended_s)


def _judge_leaving(
    scene: Scene, what: str, member: str, noticed_s: float
) -> Finding:
    times = [
        e.began_s - noticed_s
        for e in scene.journal.entries
        if e.member == member and e.verdict is Verdict.ANSWERED
    ]
    last_s = max(times, default=0.0)
    value = None if last_s > LEAVING_S - SETTLE_TIME_S else max(last_s, 0.0)
    return Finding(f'leaving {what}, last new work s', value, len(times))
