"""Slopes of the memory of a host's state and of the cost of changes."""

from __future__ import annotations

from dataclasses import dataclass
import random
import time
import tracemalloc
from typing import Any
from typing import TYPE_CHECKING
import zlib

from trefoilpulley_core.catalog import Catalog
from trefoilpulley_core.configuration.document import decode_databases
from trefoilpulley_core.configuration.document import decode_hosts
from trefoilpulley_core.configuration.document import encode_databases
from trefoilpulley_core.configuration.document import encode_hosts
from trefoilpulley_core.coordination.database import TickContext
from trefoilpulley_core.coordination.duty import Duty
from trefoilpulley_core.coordination.shard import DatabaseRecord
from trefoilpulley_core.coordination.shard import encode_shard
from trefoilpulley_core.coordination.shard import ShardRecord
from trefoilpulley_core.coordination.shard import SHARDS_PER_ZONE
from trefoilpulley_core.coordination.shard import TermGrant
from trefoilpulley_core.coordination.shard_coordinator import ShardCoordinator
from trefoilpulley_core.coordination.succession import MAX_SHARDS_PER_TICK
from trefoilpulley_core.coordination.succession import Succession
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.membership.live_hosts import LiveHosts
from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_node.coordination.observer import DeploymentObserver
from trefoilpulley_node.directory import Directory
from trefoilpulley_standins.measure.catalogue import make_databases
from trefoilpulley_standins.measure.catalogue import make_hosts
from trefoilpulley_standins.measure.catalogue import ZONES
from trefoilpulley_standins.measure.slopes import fit_slope
from trefoilpulley_standins.measure.slopes import Point

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from trefoilpulley_standins.measure.slopes import Slope

COMMAND = 'python -m trefoilpulley_standins.measure state'
"""Command that measures these slopes."""

HOSTS = (200, 400, 800, 1200, 1600)
"""Numbers of hosts in the measured lists."""

DATABASES = (250, 500, 1000, 1750, 2500)
"""Numbers of databases in the measured lists."""

SHARD_SIZES = (2, 5, 10, 20)
"""Numbers of databases in the measured shards."""

FIXED_DATABASES = 2500
"""Number of databases while the number of hosts varies."""

GRANTS_PER_DATABASE = 2
"""Terms granted in advance in each database's record."""

_BYTES_PER_KIB = 1024.0
_MS_PER_S = 1000.0
_TIMING_REPEATS = 5
_TICKS_PER_TIMING = 50
_RANKING_TICKS = 2 * SHARDS_PER_ZONE * ZONES // MAX_SHARDS_PER_TICK


@dataclass(frozen=True, slots=True)
class _Figure:
    key: str
    subject: str
    against: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


def measure_slopes(report_progress: Callable[[str], None]) -> Iterator[Slope]:
    """Measure each figure at its sizes and yield the fitted slope."""
    for figure in _FIGURES:
        report_progress(f'{figure.subject} against {figure.against}')
        yield fit_slope(
            figure.key,
            figure.subject,
            figure.against,
            figure.unit,
            [Point(size, figure.measure(size)) for size in figure.sizes],
            COMMAND,
        )


def _allocated_kib(make: Callable[[], Any]) -> float:
    make()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / _BYTES_PER_KIB


def _cpu_time_ms(action: Callable[[], Any]) -> float:
    durations_s = []
    for _ in range(_TIMING_REPEATS):
        started = time.process_time()
        action()
        durations_s.append(time.process_time() - started)
    return min(durations_s) * _MS_PER_S


def _hosts_kib(count: int) -> float:
    data = encode_hosts(make_hosts(count))

    def make() -> Any:
        hosts = decode_hosts(data).unwrap()
        membership = Membership(hosts[0], 1, (), random.Random(1))
        membership.on_host_list(hosts)
        return hosts, membership, membership.live_hosts

    return _allocated_kib(make)


def _databases_kib(count: int) -> float:
    data = encode_databases(make_databases(count))

    def make() -> Any:
        databases = decode_databases(data).unwrap()
        directory = Directory(lambda: Catalog(databases), lambda: None, '')
        directory.find_database('')
        succession = Succession()
        succession.update((), databases)
        return databases, directory, succession

    return _allocated_kib(make)


def _hosts_document_kib(count: int) -> float:
    return len(zlib.compress(encode_hosts(make_hosts(count)))) / _BYTES_PER_KIB


def _databases_document_kib(count: int) -> float:
    data = encode_databases(make_databases(count))
    return len(zlib.compress(data)) / _BYTES_PER_KIB


def _hosts_document_ms(count: int) -> float:
    data = zlib.compress(encode_hosts(make_hosts(count)))
    hosts = make_hosts(count)
    membership = Membership(hosts[0], 1, (), random.Random(1))
    membership.on_host_list(hosts)

    def apply_document() -> None:
        decoded = decode_hosts(zlib.decompress(data)).unwrap()
        membership.on_host_list(decoded)

    return _cpu_time_ms(apply_document)


def _databases_document_ms(count: int) -> float:
    data = zlib.compress(encode_databases(make_databases(count)))
    return _cpu_time_ms(
        lambda: decode_databases(zlib.decompress(data)).unwrap()
    )


def _make_duty(count: int) -> tuple[Duty, tuple[Any, ...], tuple[Any, ...]]:
    hosts = make_hosts(count)
    databases = make_databases(FIXED_DATABASES)
    duty = Duty(f'{hosts[0].name}@1')
    for _ in range(_RANKING_TICKS):
        duty.on_tick(hosts, databases, 0.0)
    return duty, hosts, databases


def _tick_ms(count: int) -> float:
    duty, hosts, databases = _make_duty(count)
    zones: dict[str, list[str]] = {}
    for host in hosts:
        zones.setdefault(host.zone, []).append(host.name)
    live = LiveHosts(
        '', 1, tuple(ZoneHosts(z, '', tuple(h)) for z, h in zones.items())
    )
    catalog = Catalog(databases, hosts)
    declarations = Declarations()
    observer = DeploymentObserver(
        lambda: catalog, lambda: declarations, lambda: live
    )

    def tick() -> None:
        view = observer.observe()
        duty.on_tick(view.live_hosts, view.catalog.databases, 0.0)

    tick()
    return (
        _cpu_time_ms(lambda: [tick() for _ in range(_TICKS_PER_TIMING)])
        / _TICKS_PER_TIMING
    )


def _rank_ms(count: int) -> float:
    duty, hosts, databases = _make_duty(count)
    succession = duty.succession

    def rank() -> None:
        for live in (hosts[1:], hosts):
            for _ in range(_RANKING_TICKS):
                succession.update(live, databases)

    return _cpu_time_ms(rank) / 2


def _make_record(name: str) -> DatabaseRecord:
    grants = tuple(
        TermGrant(8 + n, f'entry-host-{n:04d}@1765000000000000000')
        for n in range(GRANTS_PER_DATABASE)
    )
    return DatabaseRecord(
        name, 7, f'{name}/a', 7 + GRANTS_PER_DATABASE, grants
    )


def _shard_record_kib(count: int) -> float:
    names = [d.name for d in make_databases(count)]
    record = ShardRecord({n: _make_record(n) for n in names})
    return len(encode_shard(record)) / _BYTES_PER_KIB


def _coordinator_kib(count: int) -> float:
    entries = make_databases(count)
    record = ShardRecord({e.name: _make_record(e.name) for e in entries})
    contexts = [TickContext(e, frozenset(), 1.0, True) for e in entries]

    def make() -> Any:
        shard = ShardCoordinator(1, 'entry-host-0000@1765000000000000000')
        shard.on_loaded(encode_shard(record), 1, 0.0)
        shard.on_tick(contexts, True, 0.0)
        return shard

    return _allocated_kib(make)


_FIGURES = (
    _Figure(
        'hosts-memory',
        'memory of the list and the records of hosts',
        'hosts listed',
        'KiB',
        HOSTS,
        _hosts_kib,
    ),
    _Figure(
        'databases-memory',
        'memory of the list of databases, its index and the shards',
        'databases listed',
        'KiB',
        DATABASES,
        _databases_kib,
    ),
    _Figure(
        'hosts-document',
        'size of the list of hosts, compressed',
        'hosts listed',
        'KiB',
        HOSTS,
        _hosts_document_kib,
    ),
    _Figure(
        'databases-document',
        'size of the list of databases, compressed',
        'databases listed',
        'KiB',
        DATABASES,
        _databases_document_kib,
    ),
    _Figure(
        'hosts-document-cpu',
        'processor time to take a list of hosts',
        'hosts listed',
        'ms',
        HOSTS,
        _hosts_document_ms,
    ),
    _Figure(
        'databases-document-cpu',
        'processor time to take a list of databases',
        'databases listed',
        'ms',
        DATABASES,
        _databases_document_ms,
    ),
    _Figure(
        'duty-tick-cpu',
        'processor time of a tick of the duties in the quiet',
        'live hosts',
        'ms',
        HOSTS,
        _tick_ms,
    ),
    _Figure(
        'ranking-cpu',
        'processor time to rank the hosts for all shards anew',
        'live hosts',
        'ms',
        HOSTS,
        _rank_ms,
    ),
    _Figure(
        'shard-record',
        'size of the record of a shard',
        'databases of the shard',
        'KiB',
        SHARD_SIZES,
        _shard_record_kib,
    ),
    _Figure(
        'coordinator-memory',
        'memory of the coordinator of a shard',
        'databases of the shard',
        'KiB',
        SHARD_SIZES,
        _coordinator_kib,
    ),
)
