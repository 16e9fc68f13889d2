"""Failover after a partition, a kill and a pause, and each failback."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import fields
import os
import signal
from typing import TYPE_CHECKING

from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.figures.classes import measure_classes
from trefoilpulley_standins.figures.gaps import find_failback
from trefoilpulley_standins.figures.gaps import find_failover
from trefoilpulley_standins.figures.gaps import find_primary_changes
from trefoilpulley_standins.figures.gaps import split_gap
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

OUTAGE_AT_S = 2.0
"""Time at which the part with an outage takes the service down."""

CUT_AT_S = 3.0
"""Time at which the third database's home zone is partitioned."""

HEAL_AT_S = 10.0
"""Time at which the partition ends, in seconds."""

KILL_AT_S = 11.5
"""Time at which the first database's home primary is killed."""

PAUSE_AT_S = 12.0
"""Time at which the second database's home primary is paused."""

RESTART_AT_S = 19.0
"""Time at which both primaries and the service are up again."""

FAILBACK_TIMEOUT_S = 16.0
"""Time limit for the failback of all databases, in seconds."""

FAILBACK_MARGIN_S = 1.0
"""Time around a failback that counts as part of it, in seconds."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault injected at a primary."""

    name: str
    """Name of the fault in the figures."""

    database: DatabaseEntry
    """Database whose primary fails."""

    at_s: float
    """Time of the fault, in seconds."""

    ended_s: float
    """Time at which the fault ended, in seconds."""


class Failover(Part):
    """Three faults in one run, each at the primary of another database.

    Parameters
    ----------
    is_service_out : bool
        Whether the platform service is down during the faults.
    """

    def __init__(self, is_service_out: bool) -> None:
        self.name = 'failover-out' if is_service_out else 'failover'
        self._is_service_out = is_service_out
        self._service_label = 'service out' if is_service_out else 'service up'

    def make_load(self, deployment: Deployment) -> tuple[Step, ...]:
        """Return the recorded workload and write-only sessions."""
        return make_fault_load(deployment)

    def run(self, testbed: Testbed) -> Iterator[Measurement]:
        """Inject the faults, await all failbacks and yield the figures."""
        faults = self._inject_faults(testbed)
        testbed.wait_until(
            lambda: testbed.has_home_primaries(testbed.layout.databases),
            FAILBACK_TIMEOUT_S,
        )
        testbed.journal.sleep_until(testbed.journal.now_s + FAILBACK_MARGIN_S)
        checker = testbed.end_load()
        yield from count_violations(checker, self._service_label)
        changes = find_primary_changes(testbed.journal.entries)
        yield from measure_classes(testbed, 'normal', 1.0, OUTAGE_AT_S)
        for fault in faults:
            yield from self._measure_failover(testbed, fault, changes)
            yield from self._measure_failback(testbed, fault, changes)

    def _inject_faults(self, testbed: Testbed) -> tuple[Fault, ...]:
        first, second, third = testbed.layout.databases
        journal = testbed.journal
        if self._is_service_out:
            journal.sleep_until(OUTAGE_AT_S)
            testbed.control.set_service_down(True)
        testbed.save_states('before-cut')
        journal.sleep_until(CUT_AT_S)
        cut_s = journal.now_s
        testbed.control.cut_zone(third.members[0].zone)
        journal.sleep_until(HEAL_AT_S)
        testbed.control.heal()
        healed_s = journal.now_s
        journal.sleep_until(KILL_AT_S)
        killed_s = journal.now_s
        testbed.processes.kill(first.members[0].name)
        journal.sleep_until(PAUSE_AT_S)
        paused_s = journal.now_s
        pid = testbed.processes.pid_of(second.members[0].name)
        os.kill(pid, signal.SIGSTOP)
        journal.sleep_until(RESTART_AT_S)
        os.kill(pid, signal.SIGCONT)
        testbed.processes.restart_member(first.members[0].name)
        if self._is_service_out:
            testbed.control.set_service_down(False)
        restarted_s = journal.now_s
        return (
            Fault('cut', third, cut_s, healed_s),
            Fault('death', first, killed_s, restarted_s),
            Fault('pause', second, paused_s, restarted_s),
        )

    def _measure_failover(
        self,
        testbed: Testbed,
        fault: Fault,
        changes: tuple[PrimaryChange, ...],
    ) -> Iterator[Measurement]:
        condition = f'{self._service_label}, {fault.name}'
        change = find_failover(changes, fault.database.name, fault.at_s)
        gap_s = None if change is None else change.gap_s
        yield Measurement(f'failover gap s, {condition}', gap_s)
        if change is None:
            return
        parts = split_gap(change, fault.at_s, testbed.host_logs().promotions())
        if parts is not None:
            for field in fields(parts):
                value = getattr(parts, field.name)
                yield Measurement(f'{field.name}, {condition}', value)
        phase = f'failover, {self._service_label}'
        yield from measure_classes(
            testbed, phase, fault.at_s, change.first_ack_s
        )

    def _measure_failback(
        self,
        testbed: Testbed,
        fault: Fault,
        changes: tuple[PrimaryChange, ...],
    ) -> Iterator[Measurement]:
        home = fault.database.members[0].name
        change = find_failback(changes, fault.database.name, home, fault.at_s)
        after = f'return after {fault.name}'
        gap_s = None if change is None else change.gap_s
        yield Measurement(f'{after}, gap s', gap_s)
        if change is None:
            return
        yield Measurement(
            f'{after}, comes s', change.first_ack_s - fault.ended_s
        )
        began_s = change.last_ack_s - FAILBACK_MARGIN_S
        ended_s = change.first_ack_s + FAILBACK_MARGIN_S
        failed_requests = [
            e
            for e in testbed.journal.entries
            if e.database == fault.database.name
            and began_s <= e.began_s < ended_s
            and e.verdict is not Verdict.ANSWERED
        ]
        yield Measurement(f'{after}, requests cut', len(failed_requests))
        yield from measure_classes(testbed, 'return', began_s, ended_s)
