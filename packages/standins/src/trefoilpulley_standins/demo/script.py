"""Schedule of the faults of the demonstration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_client import connect
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.declarations import PlannedStop
from trefoilpulley_standins.demo.caller import RETRY_POLICY
from trefoilpulley_standins.demo.checker import StopWindow
from trefoilpulley_standins.demo.tenants import find_writing_tenant

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_standins.demo.caller import Journal
    from trefoilpulley_standins.demo.control_client import ControlClient
    from trefoilpulley_standins.demo.observer import Observer
    from trefoilpulley_standins.layout import Layout
    from trefoilpulley_standins.processes import Processes

CHANGE_AT_S = 4.0
"""Time of the configuration change, in seconds."""

KILL_AT_S = 7.0
"""Time at which an entry host is killed, in seconds."""

DELIST_DELAY_S = 2.0
"""Delay before the killed host leaves the platform's catalog, in seconds."""

CUT_AT_S = 11.0
"""Time at which a primary's zone is partitioned, in seconds."""

HEAL_AT_S = 19.0
"""Time at which the partition ends, in seconds."""

OUTAGE_AT_S = 20.0
"""Time at which the platform service goes down, in seconds."""

OUTAGE_S = 6.0
"""Duration of the service outage, in seconds."""

FAILBACK_TIMEOUT_S = 18.0
"""Time limit for the failback after the outage, in seconds."""

STOP_TIMEOUT_S = 8.0
"""Time limit for a planned stop to move its primary, in seconds."""

SETTLE_TIME_S = 2.0
"""Time after the move that counts as part of the stop, in seconds."""

CONFIGURATION_TIMEOUT_S = 10.0
"""Time limit for all hosts to apply a configuration, in seconds."""

_POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class Observations:
    """Times and outcomes observed while the faults ran."""

    config_in_force_s: float | None = None
    """Time until all hosts applied the configuration, in seconds."""

    cut_at_s: float = 0.0
    """Time at which the primary was partitioned, in seconds."""

    healed_at_s: float = 0.0
    """Time at which the partition ended, in seconds."""

    has_returned: bool = False
    """Whether the home primary became primary again."""

    stops: tuple[StopWindow, ...] = ()
    """Time spans of the planned stops."""


class FaultScript:
    """Runs the faults one after another at their times.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    processes : Processes
        Processes of the deployment.
    control : ControlClient
        Control client of the deployment.
    observer : Observer
        Direct access to the members.
    journal : Journal
        Journal whose clock times the faults.
    report_progress : Callable[[str], None]
        Callback that receives progress messages.
    """

    def __init__(
        self,
        layout: Layout,
        processes: Processes,
        control: ControlClient,
        observer: Observer,
        journal: Journal,
        report_progress: Callable[[str], None],
    ) -> None:
        self._layout = layout
        self._processes = processes
        self._control = control
        self._observer = observer
        self._journal = journal
        self._report_progress = report_progress
        self._killed_host = ''
        self.observations = Observations()
        """Times and outcomes observed so far."""

    @property
    def cut_database(self) -> DatabaseEntry:
        """Database whose primary is partitioned."""
        return self._layout.databases[0]

    @property
    def stopped_database(self) -> DatabaseEntry:
        """Database whose primary is in the stopped zone."""
        return self._layout.databases[1]

    def run(self) -> None:
        """Run all faults in order."""
        self._change_configuration()
        self._kill_host()
        self._cut_primary()
        self._take_service_down()
        self._await_failback()
        self._stop_zone()

    def _change_configuration(self) -> None:
        self._journal.sleep_until(CHANGE_AT_S)
        began = self._journal.now_s
        revision = self._control.declare_stops(())
        if self._wait_until(
            lambda: self._is_applied(revision), CONFIGURATION_TIMEOUT_S
        ):
            self.observations.config_in_force_s = round(
                self._journal.now_s - began, 3
            )
        self._report(f'revision {revision} of the declarations is in force')

    def _kill_host(self) -> None:
        self._journal.sleep_until(KILL_AT_S)
        home = self.cut_database.members[0].zone
        route = next(r for r in self._layout.routes if r.zone != home)
        self._begin_transaction(route.host)
        self._processes.kill(route.host)
        self._killed_host = route.host
        self._report(f'{route.host} killed in the middle of a transaction')
        gevent.spawn_later(DELIST_DELAY_S, self._delist_killed_host)

    def _begin_transaction(self, host: str) -> None:
        cfg = next(h for h in self._layout.hosts if h.host == host)
        route = next(r for r in self._layout.routes if r.host == host)
        work = self._layout.deployment
        database = self.stopped_database
        tenant = find_writing_tenant(
            work, self._layout.databases.index(database)
        )
        conn = connect(
            [f'{route.endpoint.address}:{route.endpoint.port}'],
            tenant,
            next(t.secret for t in cfg.tenants if t.tenant == tenant),
            database.name,
            work.write_class,
            retry=RETRY_POLICY,
        )
        conn.cursor().execute(
            f'insert into {work.table} (request, session, part) '
            "values ('killed', 'killed', 1)"
        )

    def _cut_primary(self) -> None:
        self._journal.sleep_until(CUT_AT_S)
        home = self.cut_database.members[0]
        self.observations.cut_at_s = self._journal.now_s
        self._control.cut_zone(home.zone)
        self._report(f'{home.name} partitioned with its zone {home.zone}')
        self._journal.sleep_until(HEAL_AT_S)
        self._control.heal()
        self.observations.healed_at_s = self._journal.now_s
        self._report('partition ended')

    def _take_service_down(self) -> None:
        self._journal.sleep_until(OUTAGE_AT_S)
        self._control.set_service_down(True)
        self._report("the platform's service is down")
        gevent.sleep(OUTAGE_S)
        self._control.set_service_down(False)
        self._report("the platform's service is back")

    def _await_failback(self) -> None:
        home = self.cut_database.members[0].name
        self.observations.has_returned = self._wait_until(
            lambda: self._is_primary(self.cut_database, home),
            FAILBACK_TIMEOUT_S,
        )
        outcome = (
            'is primary again'
            if self.observations.has_returned
            else 'is not primary'
        )
        self._report(f'{home} {outcome}')

    def _stop_zone(self) -> None:
        database = self.stopped_database
        primary = self._observer.find_primary(database)
        if primary is None:
            return
        zone = database.find_member(primary.member).zone
        began = self._journal.now_s
        stop = PlannedStop('demo', database.ledger, zone)
        self._control.declare_stops((stop,))
        has_moved = self._wait_until(
            lambda: not self._is_primary(database, primary.member),
            STOP_TIMEOUT_S,
        )
        outcome = 'stepped down' if has_moved else 'is still primary'
        self._report(f'planned stop of {zone}: {primary.member} {outcome}')
        gevent.sleep(SETTLE_TIME_S)
        self.observations.stops = (
            StopWindow(database.name, began, self._journal.now_s),
        )

    def _is_primary(self, database: DatabaseEntry, member: str) -> bool:
        primary = self._observer.find_primary(database)
        return primary is not None and primary.member == member

    def _is_applied(self, revision: int) -> bool:
        return all(
            self._control.revision_of(r.endpoint) >= revision
            for r in self._layout.routes
            if r.host != self._killed_host
        )

    def _delist_killed_host(self) -> None:
        self._control.write_hosts(
            tuple(
                HostEntry(h.host, h.region, h.zone, h.listen, h.peer_listen)
                for h in self._layout.hosts
                if h.host != self._killed_host
            )
        )

    def _wait_until(self, check: Callable[[], bool], timeout_s: float) -> bool:
        deadline = self._journal.now_s + timeout_s
        while not check():
            if self._journal.now_s > deadline:
                return False
            gevent.sleep(_POLL_INTERVAL_S)
        return True

    def _report(self, text: str) -> None:
        self._report_progress(f'{self._journal.now_s:6.2f} s  {text}')
