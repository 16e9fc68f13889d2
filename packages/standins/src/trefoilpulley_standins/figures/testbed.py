"""Running deployment under load, as the parts use it."""

from __future__ import annotations

from collections import defaultdict
from contextlib import contextmanager
from itertools import takewhile
import json
import time
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
from trefoilpulley_standins.demo.workload import Step
from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.figures.marks import HostLogs
from trefoilpulley_standins.starting import load_declarations
from trefoilpulley_standins.starting import start_deployment

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from pathlib import Path

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_standins.layout import Layout
    from trefoilpulley_standins.processes import Processes

READY_TIMEOUT_S = 15.0
"""Time limit for all hosts to apply the declarations, in seconds."""

CALLERS_TIMEOUT_S = 12.0
"""Time limit for callers to finish after the load, in seconds."""

CATCH_UP_TIMEOUT_S = 10.0
"""Time limit for replicas to catch up at the end, in seconds."""

_POLL_INTERVAL_S = 0.05


class Testbed:
    """Running deployment with its load and the clients to control it.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    processes : Processes
        Processes of the deployment.
    directory : Path
        Directory of the settings files, logs and journal.
    seed : int
        Seed of the callers.
    """

    def __init__(
        self,
        layout: Layout,
        processes: Processes,
        directory: Path,
        seed: int,
    ) -> None:
        self.layout = layout
        """Layout of the running deployment."""

        self.processes = processes
        """Processes of the deployment."""

        self.control = ControlClient(layout)
        """Control client of the service and the links."""

        self.observer = Observer(layout)
        """Direct access to the members."""

        self._directory = directory
        self._seed = seed
        self._callers: list[gevent.Greenlet] = []
        self._has_ended = False

    def begin_load(self, steps: Iterable[Step]) -> None:
        """Wait until all hosts are ready, then start the sessions."""
        with gevent.Timeout(READY_TIMEOUT_S):
            while not self._is_configured():
                gevent.sleep(_POLL_INTERVAL_S)
        steps_by_session: dict[int, list[Step]] = defaultdict(list)
        for step in steps:
            steps_by_session[step.session].append(step)
        self.journal = Journal()
        self._started_at = time.time()
        self._callers = [
            gevent.spawn(self._make_session_caller(n, s).run)
            for n, s in steps_by_session.items()
        ]

    def end_load(self) -> Checker:
        """Stop the load, write the journal and return a checker of the run.

        Waits until the replicas have caught up with their primaries.
        """
        self._has_ended = True
        gevent.joinall(self._callers, timeout=CALLERS_TIMEOUT_S)
        gevent.killall(self._callers)
        dump_journal(self._directory / 'journal.jsonl', self.journal.entries)
        members = self._read_members()
        return self.make_checker(self.journal.entries, members)

    def make_checker(
        self, entries: Iterable, members: tuple[MemberRows, ...] = ()
    ) -> Checker:
        """Return a checker of the given journal entries."""
        declarations = load_declarations(self.layout.deployment)
        return Checker(entries, members, declarations)

    @property
    def home_primaries(self) -> tuple[MemberRows, ...]:
        """Home primaries of all databases, without rows."""
        return tuple(
            MemberRows(d.name, d.members[0].name, ())
            for d in self.layout.databases
        )

    def host_logs(self) -> HostLogs:
        """Return the log files of the hosts."""
        return HostLogs(self._directory, self._started_at)

    def save_states(self, when: str) -> None:
        """Write the state dump of each host to the directory of the run."""
        for route in self.layout.routes:
            state = self.control.state_of(route.endpoint)
            path = self._directory / f'state-{when}-{route.host}.json'
            text = json.dumps(state, indent=1, default=str)
            path.write_text(text, encoding='utf-8')

    def wait_until(self, check: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until a check succeeds; return whether it did in time."""
        deadline = self.journal.now_s + timeout_s
        while not check():
            if self.journal.now_s > deadline:
                return False
            gevent.sleep(_POLL_INTERVAL_S)
        return True

    def primary_of(self, database: DatabaseEntry) -> str:
        """Return the member that acknowledged the database's latest write.

        Returns an empty string before the first acknowledged write.
        """
        for entry in reversed(self.journal.entries):
            if entry.kind is StepKind.READ or not entry.member:
                continue
            is_answered = entry.verdict is Verdict.ANSWERED
            if is_answered and entry.database == database.name:
                return entry.member
        return ''

    def has_home_primaries(self, databases: Iterable[DatabaseEntry]) -> bool:
        """Return whether all databases are written at their home primaries."""
        return all(self.primary_of(d) == d.members[0].name for d in databases)

    def _is_configured(self) -> bool:
        routes = self.layout.routes
        return all(self.control.revision_of(r.endpoint) for r in routes)

    def _make_session_caller(self, number: int, steps: list[Step]) -> Caller:
        return Caller(
            self.layout,
            self.journal,
            f's{number}',
            takewhile(lambda _: not self._has_ended, steps),
            self._seed * 1000 + number,
        )

    def _read_members(self) -> tuple[MemberRows, ...]:
        databases = self.layout.databases
        with gevent.Timeout(CATCH_UP_TIMEOUT_S):
            while not all(self.observer.is_settled(d) for d in databases):
                gevent.sleep(_POLL_INTERVAL_S)
        return tuple(
            MemberRows(d.name, m.name, self.observer.read_rows(m))
            for d in databases
            for m in d.members
        )


@contextmanager
def open_testbed(
    layout: Layout, directory: Path, seed: int
) -> Iterator[Testbed]:
    """Start a deployment, and stop it when the context ends."""
    processes = start_deployment(layout, directory)
    testbed = Testbed(layout, processes, directory, seed)
    try:
        yield testbed
    finally:
        testbed.observer.close()
        processes.stop()
