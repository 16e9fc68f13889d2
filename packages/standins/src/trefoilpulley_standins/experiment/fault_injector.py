"""Injects the faults and configuration changes of an experiment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_standins.demo.control_client import ControlClient
from trefoilpulley_standins.experiment.spec import Fault
from trefoilpulley_standins.experiment.spec import FaultKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_standins.experiment.spec import Experiment
    from trefoilpulley_standins.layout import Layout
    from trefoilpulley_standins.processes import Processes

_MINUTE_S = 60.0


class FaultInjector:
    """Injects the faults and configuration changes of one point.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    processes : Processes
        Processes of the deployment.
    report_progress : Callable[[str], None]
        Callback that receives progress messages.
    """

    def __init__(
        self,
        layout: Layout,
        processes: Processes,
        report_progress: Callable[[str], None],
    ) -> None:
        self._processes = processes
        self._control = ControlClient(layout)
        self._report_progress = report_progress
        self._greenlets: list[gevent.Greenlet] = []
        self.changes = 0
        """Number of configuration changes made so far."""

    def start(self, experiment: Experiment) -> None:
        """Schedule the faults and start the configuration changes."""
        self._greenlets = [
            gevent.spawn_later(fault.at_s, self._inject, fault)
            for fault in experiment.faults
        ]
        changes_per_min = experiment.load.changes_per_min
        if changes_per_min:
            self._greenlets.append(
                gevent.spawn(self._change_repeatedly, changes_per_min)
            )

    def stop(self) -> None:
        """Cancel all pending faults and configuration changes."""
        gevent.killall(self._greenlets)

    def _inject(self, fault: Fault) -> None:
        self._report_progress(f'    {fault.kind} {fault.target}')
        match fault.kind:
            case FaultKind.KILL_HOST:
                self._processes.kill(fault.target)
            case FaultKind.START_HOST:
                self._processes.start_host(fault.target)
            case FaultKind.CUT_ZONE:
                self._control.cut_zone(fault.target)
            case FaultKind.HEAL:
                self._control.heal()
            case FaultKind.SERVICE_DOWN | FaultKind.SERVICE_UP:
                is_down = fault.kind is FaultKind.SERVICE_DOWN
                self._control.set_service_down(is_down)

    def _change_repeatedly(self, changes_per_min: float) -> None:
        while True:
            gevent.sleep(_MINUTE_S / changes_per_min)
            self._control.declare_stops(())
            self.changes += 1
