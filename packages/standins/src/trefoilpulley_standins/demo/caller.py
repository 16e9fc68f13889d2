"""Callers of the demonstration, which send the recorded requests."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
import random
import time
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_client import connect
from trefoilpulley_client.errors import Error
from trefoilpulley_client.errors import OutcomeUnknownError
from trefoilpulley_client.retry import RetryPolicy
from trefoilpulley_core.failure import RunState
from trefoilpulley_standins.demo.journal import Entry
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.demo.workload import StepKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_client import Connection
    from trefoilpulley_standins.demo.workload import Step
    from trefoilpulley_standins.layout import Layout

RETRY_POLICY = RetryPolicy(deadline_s=8.0, attempt_timeout_s=1.5)
"""Deadline and timeout of the callers' retries."""

ROWS_PER_TRANSACTION = 2
"""Number of rows that each transaction writes."""


class Journal:
    """Log of the requests of all callers, and the clock of the run."""

    def __init__(self) -> None:
        self._started = time.monotonic()
        self.entries: list[Entry] = []
        """Finished requests in the order of completion."""

    @property
    def now_s(self) -> float:
        """Time since the start of the run, in seconds."""
        return time.monotonic() - self._started

    def sleep_until(self, at_s: float) -> None:
        """Sleep until ``at_s`` seconds after the start of the run."""
        gevent.sleep(max(at_s - self.now_s, 0))


class Caller:
    """Client session that changes its entry host between requests.

    The session token carries the session over to the next connection.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    journal : Journal
        Journal that receives an entry for each request.
    session : str
        Name of the session.
    steps : Iterable[Step]
        Steps of the session, ordered by time.
    seed : int
        Seed of the client's random choices, such as that of a host.
    """

    def __init__(
        self,
        layout: Layout,
        journal: Journal,
        session: str,
        steps: Iterable[Step],
        seed: int,
    ) -> None:
        self._layout = layout
        self._journal = journal
        self._session = session
        self._steps = steps
        self._rng = random.Random(seed)
        self._secrets = {t.tenant: t.secret for t in layout.hosts[0].tenants}
        self._hosts = [
            f'{r.endpoint.address}:{r.endpoint.port}' for r in layout.routes
        ]
        self._conn: Connection | None = None
        self._token = b''
        self._acknowledged_rows: Counter[str] = Counter()
        self._request_count = 0
        self._statements = _Statements(layout)

    def run(self) -> None:
        """Run each step at its scheduled time, then disconnect."""
        for step in self._steps:
            self._journal.sleep_until(step.at_ms / 1000)
            self._run_step(step)
        self._disconnect()

    def _run_step(self, step: Step) -> None:
        if step.kind is StepKind.ROAM:
            self._disconnect()
            return
        self._request_count += 1
        database = self._layout.databases[step.database].name
        entry = Entry(
            f'{self._session}-{self._request_count}',
            self._session,
            step.work_class,
            database,
            step.kind,
            self._journal.now_s,
            0.0,
            Verdict.ANSWERED,
            own_floor=self._acknowledged_rows[database],
            is_foreign=step.is_foreign,
        )
        try:
            finished = self._send(step, entry)
        except gevent.GreenletExit:
            now_s = self._journal.now_s
            finished = replace(entry, ended_s=now_s, verdict=Verdict.UNKNOWN)
            self._journal.entries.append(finished)
            raise
        if finished.verdict is Verdict.ANSWERED:
            self._acknowledged_rows[database] += finished.parts
        self._journal.entries.append(finished)

    def _send(self, step: Step, entry: Entry) -> Entry:
        try:
            entry = self._run_request(step, entry)
        except OutcomeUnknownError as exc:
            entry = self._look_up_outcome(entry, exc)
        except Error as exc:
            entry = _mark_failed(entry, exc)
        host = self._conn.host if self._conn else ''
        return replace(entry, ended_s=self._journal.now_s, host=host)

    def _run_request(self, step: Step, entry: Entry) -> Entry:
        conn = self._connect(step)
        if step.kind is StepKind.READ:
            return self._read(conn, entry)
        if step.kind is StepKind.WRITE:
            return self._write(conn, entry)
        return self._run_transaction(conn, entry)

    def _read(self, conn: Connection, entry: Entry) -> Entry:
        conn.autocommit = True
        cursor = conn.cursor(entry.work_class, entry.database)
        cursor.execute(self._statements.read, (entry.request, entry.session))
        request, last_id, own_rows = cursor.fetchone()
        return replace(
            entry,
            member=cursor.member,
            own_rows=own_rows,
            last_id=last_id,
            is_own_answer=request == entry.request,
        )

    def _write(self, conn: Connection, entry: Entry) -> Entry:
        conn.autocommit = True
        cursor = conn.cursor(entry.work_class, entry.database)
        cursor.execute(
            self._statements.write,
            (entry.request, entry.session, 1),
            request_id=entry.request,
        )
        return replace(
            entry,
            member=cursor.member,
            last_id=cursor.fetchone()[0],
            parts=1,
        )

    def _run_transaction(self, conn: Connection, entry: Entry) -> Entry:
        conn.autocommit = False
        cursor = conn.cursor(entry.work_class, entry.database)
        try:
            for part in range(1, ROWS_PER_TRANSACTION + 1):
                cursor.execute(
                    self._statements.write,
                    (entry.request, entry.session, part),
                )
            last_id = cursor.fetchone()[0]
            conn.commit(entry.request)
        finally:
            conn.rollback()
        return replace(
            entry,
            member=cursor.member,
            last_id=last_id,
            parts=ROWS_PER_TRANSACTION,
        )

    def _look_up_outcome(
        self, entry: Entry, exc: OutcomeUnknownError
    ) -> Entry:
        if entry.kind is StepKind.READ:
            return _mark_failed(entry, exc)
        try:
            self._conn.look_up(entry.request, entry.work_class, entry.database)
        except Error as lookup_error:
            return _mark_failed(entry, lookup_error)
        is_single = entry.kind is StepKind.WRITE
        return replace(entry, parts=1 if is_single else ROWS_PER_TRANSACTION)

    def _connect(self, step: Step) -> Connection:
        if self._conn is None:
            self._conn = connect(
                self._hosts,
                step.tenant,
                self._secrets[step.tenant],
                self._layout.databases[step.database].name,
                step.work_class,
                token=self._token,
                retry=RETRY_POLICY,
                rng=self._rng,
            )
        return self._conn

    def _disconnect(self) -> None:
        if self._conn is None:
            return
        self._token = self._conn.token
        self._conn.close()
        self._conn = None


class _Statements:
    def __init__(self, layout: Layout) -> None:
        table = layout.deployment.table
        self.read = (
            f'select ?, coalesce(max(id), 0), '
            f'(select count(*) from {table} where session = ?) from {table}'
        )
        self.write = (
            f'insert into {table} (request, session, part) '
            'values (?, ?, ?) returning id'
        )


def _mark_failed(entry: Entry, exc: Error) -> Entry:
    is_unknown = exc.run_state is RunState.UNKNOWN
    verdict = Verdict.UNKNOWN if is_unknown else Verdict.REFUSED
    return replace(entry, verdict=verdict, code=exc.code)
