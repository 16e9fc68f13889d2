"""Runs the points of an experiment one after another."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import gevent
from hdrh.log import HistogramLogWriter
import psutil

from trefoilpulley_standins.experiment.callers import Callers
from trefoilpulley_standins.experiment.fault_injector import FaultInjector
from trefoilpulley_standins.experiment.figures import make_figures
from trefoilpulley_standins.experiment.figures import Window
from trefoilpulley_standins.experiment.groups import GroupedProcesses
from trefoilpulley_standins.experiment.probe import Probe
from trefoilpulley_standins.experiment.result import dump_results
from trefoilpulley_standins.experiment.result import PointResult
from trefoilpulley_standins.experiment.result import RESULTS_FILE
from trefoilpulley_standins.processes import ProcessError
from trefoilpulley_standins.starting import make_layout

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_standins.experiment.spec import Experiment
    from trefoilpulley_standins.layout import Layout

RESULTS_DIRECTORY = Path('build/experiments')
"""Default parent directory of the results."""

MAX_MEMORY_SHARE = 0.5
"""Share of used memory above which no point is started."""

MAX_START_ATTEMPTS = 3
"""Maximum number of attempts to start a deployment."""


class InsufficientMemory(RuntimeError):
    """Too much of the machine's memory is in use to start a point."""


def run_experiment(
    experiment: Experiment,
    directory: Path,
    report_progress: Callable[[str], None],
) -> tuple[PointResult, ...]:
    """Run all points and write the results after each point.

    Parameters
    ----------
    experiment : Experiment
        Validated experiment.
    directory : Path
        Directory of the results, settings files and logs.
    report_progress : Callable[[str], None]
        Callback that receives progress messages.

    Returns
    -------
    tuple[PointResult, ...]
        Results in the order of the points.
    """
    directory.mkdir(parents=True, exist_ok=True)
    results: list[PointResult] = []
    values = experiment.sweep.values
    for number, value in enumerate(values, 1):
        report_progress(
            f'{experiment.name} {number}/{len(values)}: '
            f'{experiment.sweep.path} = {value:g}'
        )
        _check_memory()
        results.append(
            _run_point(
                experiment.with_value(value), value, directory, report_progress
            )
        )
        dump_results(directory / RESULTS_FILE, results)
    return tuple(results)


def _check_memory() -> None:
    if psutil.virtual_memory().percent > MAX_MEMORY_SHARE * 100:
        raise InsufficientMemory()


def _run_point(
    experiment: Experiment,
    value: float,
    directory: Path,
    report_progress: Callable[[str], None],
) -> PointResult:
    point_dir = directory / f'run-{value:g}'
    layout, processes = _start(experiment, point_dir)
    point = _Point(experiment, layout, processes, report_progress)
    try:
        point.run()
    finally:
        processes.stop()
    _write_histogram(point.callers, directory / f'answers-{value:g}.hlog')
    return PointResult(
        experiment.name,
        experiment.sweep.path,
        value,
        experiment.seed,
        make_figures(
            point.window, point.callers, point.fault_injector.changes
        ),
    )


def _start(
    experiment: Experiment, directory: Path
) -> tuple[Layout, GroupedProcesses]:
    deployment = experiment.deployment.to_deployment()
    for attempts_left in reversed(range(MAX_START_ATTEMPTS)):
        layout = make_layout(deployment, directory, experiment.seed)
        processes = GroupedProcesses(layout, directory)
        try:
            processes.start()
            _wait_ready(layout, processes)
            return layout, processes
        except (ProcessError, gevent.Timeout):
            # Another process may have bound a port after it was chosen.
            processes.stop()
            if not attempts_left:
                raise


def _wait_ready(layout: Layout, processes: GroupedProcesses) -> None:
    probe = Probe(layout, processes)
    try:
        probe.wait_ready()
    finally:
        probe.close()


class _Point:
    def __init__(
        self,
        experiment: Experiment,
        layout: Layout,
        processes: GroupedProcesses,
        report_progress: Callable[[str], None],
    ) -> None:
        self._experiment = experiment
        self._probe = Probe(layout, processes)
        self.callers = Callers(layout, experiment.load, experiment.seed)
        self.fault_injector = FaultInjector(layout, processes, report_progress)
        self.window: Window

    def run(self) -> None:
        try:
            self.callers.start()
            gevent.sleep(self._experiment.settle_s)
            before = self._probe.take_sample()
            self.callers.begin_window()
            self.fault_injector.start(self._experiment)
            gevent.sleep(self._experiment.window_s)
            self.window = Window(before, self._probe.take_sample())
        finally:
            self.fault_injector.stop()
            self.callers.stop()
            self._probe.close()


def _write_histogram(callers: Callers, path: Path) -> None:
    with path.open('w', encoding='ascii') as file:
        log = HistogramLogWriter(file)
        log.output_log_format_version()
        log.output_legend()
        log.output_interval_histogram(callers.histogram)
