"""Share of reads served by replicas, by lag and routing policy."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.figures.load import make_read_load
from trefoilpulley_standins.figures.load import READ_CLASSES
from trefoilpulley_standins.figures.part import Finding
from trefoilpulley_standins.figures.part import Part
from trefoilpulley_standins.figures.violations import count_violations
from trefoilpulley_standins.member.replication import REPLICATION_CODEC
from trefoilpulley_standins.member.replication import SetLag
from trefoilpulley_wire.dial import dial

if TYPE_CHECKING:
    from trefoilpulley_standins.demo.workload import Step
    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.figures.scene import Scene
    from trefoilpulley_standins.layout import Layout

LAGS_MS = (5.0, 50.0, 500.0)
"""Replication lags in milliseconds."""

WARM_S = 1.2
"""Time excluded after each change of the lag, in seconds."""

WINDOW_S = 4.0
"""Duration of the measurement at each lag, in seconds."""

QUEUES = {'targets': 'deadline', 'thin': 'fifo', 'plain': 'fifo'}
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

    def adapt(self, layout: Layout) -> Layout:
        """Return the layout with the routing policy set on every host."""
        hosts = tuple(
            replace(h, routing=self._policy, slots=QUEUES[self._policy])
            for h in layout.hosts
        )
        return replace(layout, hosts=hosts)

    def make_load(self, deployment: Deployment) -> tuple[Step, ...]:
        """Return the steps of sessions that write and read or only read."""
        return make_read_load(deployment)

    def run(self, scene: Scene) -> Iterator[Finding]:
        """Measure the reads at each lag and yield the figures."""
        windows = [self._read_at(scene, lag_ms) for lag_ms in LAGS_MS]
        _set_lag(scene, LAGS_MS[0])
        checker = scene.end_load()
        yield from count_violations(checker, self.name)
        classes = READ_CLASSES[scene.layout.deployment.name]
        for window in windows:
            yield self._judge(scene, window, 'aged', classes.aged)
            yield self._judge(scene, window, 'own write', classes.session)

    def _read_at(self, scene: Scene, lag_ms: float) -> LagWindow:
        _set_lag(scene, lag_ms)
        began_s = scene.journal.now_s + WARM_S
        scene.journal.sleep_until(began_s + WINDOW_S)
        ended_s = scene.journal.now_s
        scene.keep_states(f'lag-{lag_ms:g}')
        return LagWindow(lag_ms, began_s, ended_s)

    def _judge(
        self, scene: Scene, window: LagWindow, what: str, read_class: str
    ) -> Finding:
        reads = [
            e
            for e in scene.journal.entries
            if e.work_class == read_class
            and window.began_s <= e.began_s < window.ended_s
        ]
        writes = [
            e for e in scene.journal.entries if e.kind is not StepKind.READ
        ]
        checker = scene.make_checker((*reads, *writes), scene.home_rows)
        share = checker.replica_read_share()
        name = f'reads at replicas, {what}, {self._policy}'
        return Finding(f'{name}, {window.lag_ms:g} ms', share, len(reads))


def _set_lag(scene: Scene, lag_ms: float) -> None:
    for endpoint in scene.layout.replication.values():
        channel = dial(endpoint, REPLICATION_CODEC).unwrap()
        channel.notify(SetLag(lag_ms))
        channel.close()
