"""Runs the demonstration."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_standins.demo.caller import Caller
from trefoilpulley_standins.demo.caller import Journal
from trefoilpulley_standins.demo.checker import Checker
from trefoilpulley_standins.demo.checker import MemberRows
from trefoilpulley_standins.demo.journal import dump_journal
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.demo.observer import Observer
from trefoilpulley_standins.demo.orders import Orders
from trefoilpulley_standins.demo.record import recording_of
from trefoilpulley_standins.demo.report import Report
from trefoilpulley_standins.demo.script import Script
from trefoilpulley_standins.demo.tenants import find_writer
from trefoilpulley_standins.demo.tenants import make_foreign_steps
from trefoilpulley_standins.demo.workload import DURATION_MS
from trefoilpulley_standins.demo.workload import load_workload
from trefoilpulley_standins.demo.workload import SESSIONS
from trefoilpulley_standins.demo.workload import Step
from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.starting import load_declarations
from trefoilpulley_standins.starting import make_layout
from trefoilpulley_standins.starting import start_deployment

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path

    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.layout import Layout

READY_LIMIT_S = 10.0
"""Time limit for all hosts to apply the declarations, in seconds."""

CALLERS_LIMIT_S = 12.0
"""Time limit for callers to finish after the recording, in seconds."""

SETTLE_LIMIT_S = 5.0
"""Time limit for replicas to catch up at the end, in seconds."""

STEADY_SESSIONS = 16
"""Number of write-only sessions per database, which reveal write gaps."""

STEADY_INTERVAL_MS = 1600
"""Interval between writes of a write-only session, in milliseconds."""

_POLL_S = 0.1


def run_demo(
    deployment: Deployment,
    directory: Path,
    seed: int,
    say: Callable[[str], None],
) -> Report:
    """Start a deployment, run load and faults, and report the results.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    directory : Path
        Directory of the journal, the settings files and the logs.
    seed : int
        Seed of the links and the callers.
    say : Callable[[str], None]
        Callback that receives progress messages.
    """
    layout = make_layout(deployment, directory / 'run', seed)
    processes = start_deployment(layout, directory / 'run')
    orders = Orders(layout)
    observer = Observer(layout)
    try:
        _wait_ready(layout, orders)
        journal = Journal()
        script = Script(layout, processes, orders, observer, journal, say)
        callers = _spawn_callers(layout, journal, seed)
        script.run()
        left_s = DURATION_MS / 1000 + CALLERS_LIMIT_S - journal.now_s
        gevent.joinall(callers, timeout=left_s)
        gevent.killall(callers)
        dump_journal(directory / 'journal.jsonl', journal.entries)
        members = _read_members(layout, observer)
    finally:
        observer.close()
        processes.stop()
    checker = Checker(journal.entries, members, load_declarations(deployment))
    return _judge(checker, script)


def _wait_ready(layout: Layout, orders: Orders) -> None:
    with gevent.Timeout(READY_LIMIT_S):
        while not all(orders.revision_of(r.endpoint) for r in layout.routes):
            gevent.sleep(_POLL_S)


def _spawn_callers(
    layout: Layout, journal: Journal, seed: int
) -> list[gevent.Greenlet]:
    steps: dict[int, list[Step]] = defaultdict(list)
    for step in _list_steps(layout.deployment):
        steps[step.session].append(step)
    callers = [
        Caller(layout, journal, f's{n}', own, seed * 1000 + n)
        for n, own in steps.items()
    ]
    return [gevent.spawn(caller.run) for caller in callers]


def _list_steps(deployment: Deployment) -> tuple[Step, ...]:
    recorded = load_workload(recording_of(deployment.name))
    steady = tuple(_make_steady_writes(deployment))
    free = SESSIONS + deployment.databases * STEADY_SESSIONS
    return (*recorded, *steady, *make_foreign_steps(deployment, free))


def _make_steady_writes(deployment: Deployment) -> Iterator[Step]:
    writers = [find_writer(deployment, n) for n in range(deployment.databases)]
    sessions = deployment.databases * STEADY_SESSIONS
    for number in range(sessions):
        database = number % deployment.databases
        first_ms = number * STEADY_INTERVAL_MS // sessions
        for at_ms in range(first_ms, DURATION_MS, STEADY_INTERVAL_MS):
            yield Step(
                at_ms,
                SESSIONS + number,
                StepKind.WRITE,
                writers[database],
                deployment.write_class,
                database,
            )


def _read_members(
    layout: Layout, observer: Observer
) -> tuple[MemberRows, ...]:
    with gevent.Timeout(SETTLE_LIMIT_S):
        while not all(observer.is_settled(d) for d in layout.databases):
            gevent.sleep(_POLL_S)
    return tuple(
        MemberRows(d.name, m.name, observer.read_rows(m))
        for d in layout.databases
        for m in d.members
    )


def _judge(checker: Checker, script: Script) -> Report:
    marks = script.marks
    database = script.cut_database.name
    return Report(
        checker.count(Verdict.ANSWERED),
        checker.count(Verdict.REFUSED),
        checker.count(Verdict.UNKNOWN),
        checker.count_lost(),
        checker.count_doubled(),
        checker.count_mixed(),
        checker.count_wrong_answers(),
        checker.count_ryw_violations(),
        checker.count_stale(),
        checker.count_false_not_run(),
        checker.count_cut(marks.stops),
        checker.replica_read_share(),
        checker.write_gap_s(database, marks.cut_at_s),
        checker.write_gap_s(database, marks.healed_at_s),
        marks.config_in_force_s,
        checker.describe_classes(),
    )
