"""Overhead of a statement through one host compared with the member."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
import json
from pathlib import Path
import time
from typing import TYPE_CHECKING

import gevent
from hdrh.histogram import HdrHistogram
import psutil

from trefoilpulley_core.caller import Answer
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.upstream import Statement
from trefoilpulley_standins.experiment.callers import open_caller_channel
from trefoilpulley_standins.experiment.callers import READ_CLASS
from trefoilpulley_standins.experiment.callers import READ_SQL
from trefoilpulley_standins.experiment.groups import GroupedProcesses
from trefoilpulley_standins.experiment.probe import Probe
from trefoilpulley_standins.experiment.spec import Size
from trefoilpulley_standins.starting import make_layout
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.member_codec import MEMBER_CODEC
from trefoilpulley_wire.member_codec import MemberResult
from trefoilpulley_wire.member_codec import Read

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_standins.layout import Layout
    from trefoilpulley_wire.channel import Channel

OUTPUT = Path('build/measure/overhead.json')
"""File of the measured figures."""

MEASURED_PAIRS = 2000
"""Pairs of one statement to the member and one through the host."""

WARM_UP_PAIRS = 300
"""Pairs that are sent before the measured pairs."""

CONCURRENT_CALLERS = 32
"""Concurrent callers while the throughput is measured."""

THROUGHPUT_DURATION_S = 8.0
"""Duration of the throughput measurement, in seconds."""

IDLE_CALLERS = 2000
"""Idle connections that are opened to measure their memory."""

LATENCY_ROUNDS = 3
"""Rounds of the latency measurement.

The round with the lowest median latency through the host counts, since it is
the least disturbed one.
"""

_ANSWER_TIMEOUT_S = 5.0
_MAX_LATENCY_US = 60_000_000
_US_PER_S = 1_000_000
_SIZE = Size(hosts_per_zone=1, databases=1, slots=32, connections=60)


@dataclass(frozen=True, slots=True)
class Overhead:
    """Figures of one measurement."""

    member_p50_ms: float
    """Median latency of a statement sent to the member, in milliseconds."""

    member_p99_ms: float
    """99th percentile of the latency at the member, in milliseconds."""

    host_p50_ms: float
    """Median latency of a statement through the host, in milliseconds."""

    host_p99_ms: float
    """99th percentile of the latency through the host, in milliseconds."""

    added_p50_ms: float
    """Difference of the medians, in milliseconds."""

    added_p99_ms: float
    """Difference of the 99th percentiles, in milliseconds."""

    cpu_ms_a_statement: float
    """CPU time of the host per statement at full load, in milliseconds."""

    statements_a_core: float
    """Statements per second that one core of the host could serve."""

    statements_per_s: float
    """Statements per second that the host served at full load."""

    refused: int
    """Number of statements rejected at full load."""

    kb_a_caller: float
    """Resident memory that each idle connection adds, in KiB."""

    cpu_ms_an_open: float
    """CPU time of the host per new connection, in milliseconds."""

    load_average: float
    """Load average of the machine over the last minute of the run."""


def measure_overhead(
    directory: Path, report_progress: Callable[[str], None]
) -> Overhead:
    """Start one host and one database and measure the overhead."""
    layout = make_layout(_SIZE.to_deployment(), directory, 1)
    processes = GroupedProcesses(layout, directory)
    try:
        processes.start()
        Probe(layout, processes).wait_ready()
        gevent.sleep(2.0)
        host = psutil.Process(processes.pid_of(layout.hosts[0].host))
        report_progress('latency')
        rounds = [_measure_latency(layout) for _ in range(LATENCY_ROUNDS)]
        member_times, host_times = min(
            rounds, key=lambda r: _percentile(r[1], 50)
        )
        report_progress('throughput')
        load = _measure_throughput(layout, host)
        report_progress('memory of callers')
        kb_a_caller, open_ms = _measure_connections(layout, host)
    finally:
        processes.stop()
    return Overhead(
        _percentile(member_times, 50),
        _percentile(member_times, 99),
        _percentile(host_times, 50),
        _percentile(host_times, 99),
        _percentile(host_times, 50) - _percentile(member_times, 50),
        _percentile(host_times, 99) - _percentile(member_times, 99),
        load.cpu_ms,
        1000 / load.cpu_ms,
        load.rate,
        load.refused,
        kb_a_caller,
        open_ms,
        psutil.getloadavg()[0],
    )


def write_overhead(overhead: Overhead) -> None:
    """Write the figures to `OUTPUT`."""
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(asdict(overhead), indent=1) + '\n')


def _measure_latency(layout: Layout) -> tuple[HdrHistogram, HdrHistogram]:
    member = layout.databases[0].members[0]
    member_channel = dial(member.endpoint, MEMBER_CODEC).unwrap()
    caller = open_caller_channel(layout, 0)
    member_times = HdrHistogram(1, _MAX_LATENCY_US, 3)
    host_times = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for number in range(WARM_UP_PAIRS + MEASURED_PAIRS):
        member_us = _elapsed_us(lambda: _read_member(member_channel))
        host_us = _elapsed_us(lambda n=number: _read_host(layout, caller, n))
        if number >= WARM_UP_PAIRS:
            member_times.record_value(member_us)
            host_times.record_value(host_us)
    member_channel.close()
    caller.close()
    return member_times, host_times


@dataclass(slots=True)
class _FullLoad:
    served: int = 0
    refused: int = 0
    rate: float = 0.0
    cpu_ms: float = 0.0


def _measure_throughput(layout: Layout, host: psutil.Process) -> _FullLoad:
    callers = [
        open_caller_channel(layout, n) for n in range(CONCURRENT_CALLERS)
    ]
    load = _FullLoad()

    def run(caller: Channel) -> None:
        while True:
            try:
                _read_host(layout, caller, load.served)
                load.served += 1
            except RuntimeError:
                load.refused += 1

    greenlets = [gevent.spawn(run, caller) for caller in callers]
    gevent.sleep(1.0)
    before = load.served, _cpu_s(host), time.monotonic()
    gevent.sleep(THROUGHPUT_DURATION_S)
    count = load.served - before[0]
    load.rate = count / (time.monotonic() - before[2])
    load.cpu_ms = 1000 * (_cpu_s(host) - before[1]) / count
    gevent.killall(greenlets)
    for caller in callers:
        caller.close()
    return load


def _measure_connections(
    layout: Layout, host: psutil.Process
) -> tuple[float, float]:
    before = host.memory_info().rss, _cpu_s(host)
    callers = [open_caller_channel(layout, n) for n in range(IDLE_CALLERS)]
    gevent.sleep(1.0)
    after = host.memory_info().rss, _cpu_s(host)
    for caller in callers:
        caller.close()
    kb_a_caller = (after[0] - before[0]) / 1024 / IDLE_CALLERS
    return kb_a_caller, 1000 * (after[1] - before[1]) / IDLE_CALLERS


def _read_member(channel: Channel) -> None:
    read = Read(Statement(READ_SQL), BEGINNING)
    reply = channel.call(read, _ANSWER_TIMEOUT_S).unwrap()
    if not isinstance(reply, MemberResult):
        raise RuntimeError(str(reply))


def _read_host(layout: Layout, channel: Channel, number: int) -> None:
    database = layout.databases[0].name
    request = Execute(f'o-{number}', READ_CLASS, database, READ_SQL)
    reply = channel.call(request, _ANSWER_TIMEOUT_S).unwrap()
    if not isinstance(reply, Answer):
        raise RuntimeError(str(reply))


def _elapsed_us(action: Callable[[], None]) -> int:
    started = time.monotonic()
    action()
    return max(1, int((time.monotonic() - started) * _US_PER_S))


def _cpu_s(process: psutil.Process) -> float:
    spent = process.cpu_times()
    return spent.user + spent.system


def _percentile(histogram: HdrHistogram, percent: float) -> float:
    return histogram.get_value_at_percentile(percent) / 1000
