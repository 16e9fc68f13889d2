"""Runs the demonstration."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_standins.demo.caller import Caller
from trefoilpulley_standins.demo.caller import Journal
from trefoilpulley_standins.demo.checker import Checker
from trefoilpulley_standins.demo.checker import MemberRows
from trefoilpulley_standins.demo.control_client import ControlClient
from trefoilpulley_standins.demo.journal import dump_journal
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.demo.observer import Observer
from trefoilpulley_standins.demo.record import recording_path
from trefoilpulley_standins.demo.report import Report
from trefoilpulley_standins.demo.script import FaultScript
from trefoilpulley_standins.demo.tenants import find_writing_tenant
from trefoilpulley_standins.demo.tenants import make_foreign_steps
from trefoilpulley_standins.demo.workload import load_workload
from trefoilpulley_standins.demo.workload import RECORDED_SESSIONS
from trefoilpulley_standins.demo.workload import RECORDING_DURATION_MS
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

READY_TIMEOUT_S = 10.0
"""Time limit for all hosts to apply the declarations, in seconds."""

CALLERS_TIMEOUT_S = 12.0
"""Time limit for callers to finish after the recording, in seconds."""

CATCH_UP_TIMEOUT_S = 5.0
"""Time limit for replicas to catch up at the end, in seconds."""

WRITE_ONLY_SESSIONS_PER_DATABASE = 16
"""Number of write-only sessions per database, which reveal write gaps."""

WRITE_ONLY_INTERVAL_MS = 1600
"""Interval between writes of a write-only session, in milliseconds."""

_POLL_INTERVAL_S = 0.1


def run_demo(
    deployment: Deployment,
    directory: Path,
    seed: int,
    report_progress: Callable[[str], None],
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
    report_progress : Callable[[str], None]
        Callback that receives progress messages.
    """
    layout = make_layout(deployment, directory / 'run', seed)
    processes = start_deployment(layout, directory / 'run')
    control = ControlClient(layout)
    observer = Observer(layout)
    try:
        _wait_ready(layout, control)
        journal = Journal()
        script = FaultScript(
            layout, processes, control, observer, journal, report_progress
        )
        callers = _spawn_callers(layout, journal, seed)
        script.run()
        remaining_s = (
            RECORDING_DURATION_MS / 1000 + CALLERS_TIMEOUT_S - journal.now_s
        )
        gevent.joinall(callers, timeout=remaining_s)
        gevent.killall(callers)
        dump_journal(directory / 'journal.jsonl', journal.entries)
        members = _read_members(layout, observer)
    finally:
        observer.close()
        processes.stop()
    checker = Checker(journal.entries, members, load_declarations(deployment))
    return _make_report(checker, script)


def _wait_ready(layout: Layout, control: ControlClient) -> None:
    with gevent.Timeout(READY_TIMEOUT_S):
        while not all(control.revision_of(r.endpoint) for r in layout.routes):
            gevent.sleep(_POLL_INTERVAL_S)


def _spawn_callers(
    layout: Layout, journal: Journal, seed: int
) -> list[gevent.Greenlet]:
    steps: dict[int, list[Step]] = defaultdict(list)
    for step in _list_steps(layout.deployment):
        steps[step.session].append(step)
    callers = [
        Caller(layout, journal, f's{n}', session_steps, seed * 1000 + n)
        for n, session_steps in steps.items()
    ]
    return [gevent.spawn(caller.run) for caller in callers]


def _list_steps(deployment: Deployment) -> tuple[Step, ...]:
    recorded = load_workload(recording_path(deployment.name))
    write_only = tuple(_make_write_only_steps(deployment))
    first_session = (
        RECORDED_SESSIONS
        + deployment.databases * WRITE_ONLY_SESSIONS_PER_DATABASE
    )
    return (
        *recorded,
        *write_only,
        *make_foreign_steps(deployment, first_session),
    )


def _make_write_only_steps(deployment: Deployment) -> Iterator[Step]:
    writers = [
        find_writing_tenant(deployment, n) for n in range(deployment.databases)
    ]
    sessions = deployment.databases * WRITE_ONLY_SESSIONS_PER_DATABASE
    for number in range(sessions):
        database = number % deployment.databases
        first_ms = number * WRITE_ONLY_INTERVAL_MS // sessions
        for at_ms in range(
            first_ms, RECORDING_DURATION_MS, WRITE_ONLY_INTERVAL_MS
        ):
            yield Step(
                at_ms,
                RECORDED_SESSIONS + number,
                StepKind.WRITE,
                writers[database],
                deployment.write_class,
                database,
            )


def _read_members(
    layout: Layout, observer: Observer
) -> tuple[MemberRows, ...]:
    with gevent.Timeout(CATCH_UP_TIMEOUT_S):
        while not all(observer.is_settled(d) for d in layout.databases):
            gevent.sleep(_POLL_INTERVAL_S)
    return tuple(
        MemberRows(d.name, m.name, observer.read_rows(m))
        for d in layout.databases
        for m in d.members
    )


def _make_report(checker: Checker, script: FaultScript) -> Report:
    observations = script.observations
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
        checker.count_cut_by_planned_stop(observations.stops),
        checker.replica_read_share(),
        checker.write_gap_s(database, observations.cut_at_s),
        checker.write_gap_s(database, observations.healed_at_s),
        observations.config_in_force_s,
        checker.class_reports(),
    )
