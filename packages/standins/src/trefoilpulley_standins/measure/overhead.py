"""Cost of a statement through one host against the member alone."""

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
"""File of the figures."""

PAIRS = 2000
"""Statements of each kind, sent in turn."""

WARM_UP = 300
"""Pairs sent before."""

CALLERS = 32
"""Callers at once in the measurement of the throughput."""

THROUGHPUT_S = 8.0
"""Time of the measurement of the throughput, in seconds."""

IDLE_CALLERS = 2000
"""Connections opened to measure their memory."""

ROUNDS = 3
"""Rounds of the latency, of which the least disturbed counts."""

_ANSWER_LIMIT_S = 5.0
_LONGEST_US = 60_000_000
_US = 1_000_000
_SIZE = Size(hosts_per_zone=1, databases=1, slots=32, connections=60)


@dataclass(frozen=True, slots=True)
class Overhead:
    """Figures of one run."""

    member_p50_ms: float
    """Median time of a statement sent to the member."""

    member_p99_ms: float
    """99th percentile of it."""

    host_p50_ms: float
    """Median time of the statement sent through the host."""

    host_p99_ms: float
    """99th percentile of it."""

    added_p50_ms: float
    """Difference of the medians."""

    added_p99_ms: float
    """Difference of the 99th percentiles."""

    cpu_ms_a_statement: float
    """Processor time of the host for a statement at full load."""

    statements_a_core: float
    """Statements a second that one core of the host would serve."""

    statements_per_s: float
    """Statements a second that the host served."""

    refused: int
    """Statements refused at full load."""

    kb_a_caller: float
    """Resident memory that each idle caller's connection adds."""

    cpu_ms_an_open: float
    """Processor time of the host for a caller's new connection."""

    load_average: float
    """Load average of the machine over the run's last minute."""


def measure_overhead(directory: Path, say: Callable[[str], None]) -> Overhead:
    """Start one host and one database and measure them."""
    layout = make_layout(_SIZE.to_deployment(), directory, 1)
    processes = GroupedProcesses(layout, directory)
    try:
        processes.start()
        Probe(layout, processes).wait_ready()
        gevent.sleep(2.0)
        host = psutil.Process(processes.pid_of(layout.hosts[0].host))
        say('latency')
        rounds = [_measure_latency(layout) for _ in range(ROUNDS)]
        member, through = min(rounds, key=lambda r: _percentile(r[1], 50))
        say('throughput')
        load = _measure_throughput(layout, host)
        say('memory of callers')
        kb_a_caller, open_ms = _measure_opens(layout, host)
    finally:
        processes.stop()
    return Overhead(
        _percentile(member, 50),
        _percentile(member, 99),
        _percentile(through, 50),
        _percentile(through, 99),
        _percentile(through, 50) - _percentile(member, 50),
        _percentile(through, 99) - _percentile(member, 99),
        load.cpu_ms,
        1000 / load.cpu_ms,
        load.rate,
        load.refused,
        kb_a_caller,
        open_ms,
        psutil.getloadavg()[0],
    )


def write_overhead(overhead: Overhead) -> None:
    """Write the figures."""
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(asdict(overhead), indent=1) + '\n')


def _measure_latency(layout: Layout) -> tuple[HdrHistogram, HdrHistogram]:
    member = layout.databases[0].members[0]
    direct = dial(member.endpoint, MEMBER_CODEC).unwrap()
    caller = open_caller_channel(layout, 0)
    alone = HdrHistogram(1, _LONGEST_US, 3)
    through = HdrHistogram(1, _LONGEST_US, 3)
    for number in range(WARM_UP + PAIRS):
        alone_us = _time_us(lambda: _read_member(direct))
        through_us = _time_us(lambda n=number: _read_host(layout, caller, n))
        if number >= WARM_UP:
            alone.record_value(alone_us)
            through.record_value(through_us)
    direct.close()
    caller.close()
    return alone, through


@dataclass(slots=True)
class _FullLoad:
    served: int = 0
    refused: int = 0
    rate: float = 0.0
    cpu_ms: float = 0.0


def _measure_throughput(layout: Layout, host: psutil.Process) -> _FullLoad:
    callers = [open_caller_channel(layout, n) for n in range(CALLERS)]
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
    gevent.sleep(THROUGHPUT_S)
    count = load.served - before[0]
    load.rate = count / (time.monotonic() - before[2])
    load.cpu_ms = 1000 * (_cpu_s(host) - before[1]) / count
    gevent.killall(greenlets)
    for caller in callers:
        caller.close()
    return load


def _measure_opens(
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
    reply = channel.call(read, _ANSWER_LIMIT_S).unwrap()
    if not isinstance(reply, MemberResult):
        raise RuntimeError(str(reply))


def _read_host(layout: Layout, channel: Channel, number: int) -> None:
    database = layout.databases[0].name
    request = Execute(f'o-{number}', READ_CLASS, database, READ_SQL)
    reply = channel.call(request, _ANSWER_LIMIT_S).unwrap()
    if not isinstance(reply, Answer):
        raise RuntimeError(str(reply))


def _time_us(act: Callable[[], None]) -> int:
    started = time.monotonic()
    act()
    return max(1, int((time.monotonic() - started) * _US))


def _cpu_s(process: psutil.Process) -> float:
    spent = process.cpu_times()
    return spent.user + spent.system


def _percentile(histogram: HdrHistogram, share: float) -> float:
    return histogram.get_value_at_percentile(share) / 1000
