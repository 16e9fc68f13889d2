"""Share of reads served by replicas, by lag and routing policy."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.figures.load import make_read_load
from trefoilpulley_standins.figures.load import READ_CLASSES
from trefoilpulley_standins.figures.part import Measurement
from trefoilpulley_standins.figures.part import Part
from trefoilpulley_standins.figures.violations import count_violations
from trefoilpulley_standins.member.replication import REPLICATION_CODEC
from trefoilpulley_standins.member.replication import SetLag
from trefoilpulley_wire.dial import dial

if TYPE_CHECKING:
    from trefoilpulley_standins.demo.workload import Step
    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.figures.testbed import Testbed
    from trefoilpulley_standins.layout import Layout

LAGS_MS = (5.0, 50.0, 500.0)
"""Replication lags in milliseconds."""

WARMUP_S = 1.2
"""Time excluded after each change of the lag, in seconds."""

WINDOW_S = 4.0
"""Duration of the measurement at each lag, in seconds."""

SLOT_QUEUES = {'targets': 'deadline', 'thin': 'fifo', 'plain': 'fifo'}
"""Type of slot queue used with each routing policy."""


@dataclass(frozen=True, slots=True)
class LagWindow:
    """Time span in which reads are measured at one lag."""

    lag_ms: float
    """Replication lag in milliseconds."""

    began_s: float
    """Start of the time span, in seconds since the start of the load."""

    ended_s: float
    """End of the time span, in seconds since the start of the load."""


class Reads(Part):
    """Reads at several replication lags under one routing policy.

    Parameters
    ----------
    policy : str
        Routing policy of the hosts.
    """

    def __init__(self, policy: str) -> None:
        self.name = f'reads-{policy}'
        self._policy = policy

    def adapt_layout(self, layout: Layout) -> Layout:
        """Return the layout with the routing policy set on every host."""
        hosts = tuple(
            replace(h, routing=self._policy, slots=SLOT_QUEUES[self._policy])
            for h in layout.hosts
        )
        return replace(layout, hosts=hosts)

    def make_load(self, deployment: Deployment) -> tuple[Step, ...]:
        """Return the steps of sessions that write and read or only read."""
        return make_read_load(deployment)

    def run(self, testbed: Testbed) -> Iterator[Measurement]:
        """Measure the reads at each lag and yield the figures."""
        windows = [self._run_at_lag(testbed, lag_ms) for lag_ms in LAGS_MS]
        _set_lag(testbed, LAGS_MS[0])
        checker = testbed.end_load()
        yield from count_violations(checker, self.name)
        classes = READ_CLASSES[testbed.layout.deployment.name]
        for window in windows:
            yield self._measure_window(testbed, window, 'aged', classes.aged)
            yield self._measure_window(
                testbed, window, 'own write', classes.session
            )

    def _run_at_lag(self, testbed: Testbed, lag_ms: float) -> LagWindow:
        _set_lag(testbed, lag_ms)
        began_s = testbed.journal.now_s + WARMUP_S
        testbed.journal.sleep_until(began_s + WINDOW_S)
        ended_s = testbed.journal.now_s
        testbed.save_states(f'lag-{lag_ms:g}')
        return LagWindow(lag_ms, began_s, ended_s)

    def _measure_window(
        self, testbed: Testbed, window: LagWindow, label: str, read_class: str
    ) -> Measurement:
        reads = [
            e
            for e in testbed.journal.entries
            if e.work_class == read_class
            and window.began_s <= e.began_s < window.ended_s
        ]
        writes = [
            e for e in testbed.journal.entries if e.kind is not StepKind.READ
        ]
        checker = testbed.make_checker(
            (*reads, *writes), testbed.home_primaries
        )
        share = checker.replica_read_share()
        name = f'reads at replicas, {label}, {self._policy}'
        return Measurement(f'{name}, {window.lag_ms:g} ms', share, len(reads))


def _set_lag(testbed: Testbed, lag_ms: float) -> None:
    for endpoint in testbed.layout.replication.values():
        channel = dial(endpoint, REPLICATION_CODEC).unwrap()
        channel.notify(SetLag(lag_ms))
        channel.close()
