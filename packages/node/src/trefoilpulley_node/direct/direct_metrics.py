"""Metrics of a host in the direct mode.

The values are kept in plain counters, so that a host starts without the
Prometheus library; `render` passes the values to that library. No label holds
a database, host, member or caller, so that the number of time series does not
grow with the deployment; at most 20 customers have a label of their own.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

PREFIX = 'trefoilpulley_'
"""Prefix of every metric name."""

BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
"""Upper bounds of the histogram buckets, in seconds."""

COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    'requests': (
        'Requests of callers by kind of route and outcome.',
        ('kind', 'outcome'),
    ),
    'tries': (
        'Statements sent to members, transactions included.',
        ('kind', 'work', 'role', 'outcome'),
    ),
    'store_calls': (
        "Calls to the platform's service by outcome.",
        ('call', 'outcome'),
    ),
    'sessions_refused': (
        'Sessions refused at their start, by reason.',
        ('reason',),
    ),
    'configuration_questions': (
        'Questions to other hosts for a newer configuration, by outcome.',
        ('outcome',),
    ),
    'watch_questions': (
        'Questions to relays for changes of the service, by outcome.',
        ('outcome',),
    ),
    'admissions': (
        'Operations of customers with a limit, by who counted them.',
        ('way', 'outcome'),
    ),
    'operations_refused': (
        'Operations refused for the limit of a customer, by customer.',
        ('customer',),
    ),
    'connections_opened': (
        'Connections to members that were opened, by reason.',
        ('reason',),
    ),
    'connections_closed': (
        'Connections to members that were closed, by reason.',
        ('reason',),
    ),
    'pace_steps': (
        'Steps of the pace of members that start or recover.',
        ('step', 'reason'),
    ),
    'isolation_checks': (
        'Checks whether hosts of other zones answer.',
        ('trigger', 'outcome'),
    ),
    'isolation_notices': (
        'Notices to hosts of the zone that no other zone answers.',
        (),
    ),
    'primary_changes': (
        'Changes of primary that this host ordered, by cause.',
        ('cause', 'outcome'),
    ),
}
"""Help text and labels of each counter."""

HISTOGRAMS: dict[str, tuple[str, tuple[str, ...]]] = {
    'request_seconds': (
        'Time from a request to its answer, by kind of route.',
        ('kind',),
    ),
    'floor_age_seconds': (
        'Age of the floors of reads at replicas.',
        (),
    ),
    'primary_gap_seconds': (
        'Time for which this host knew no primary that answers.',
        (),
    ),
}
"""Help text and labels of each histogram."""

GAUGES: dict[str, str] = {
    'sessions': 'Open sessions of callers.',
    'connections': 'Open connections to members.',
    'leases': 'Requests and transactions served for other hosts.',
    'waiting': 'Pieces of work that wait for a connection.',
    'in_flight': 'Statements at members.',
    'members_paced': 'Members that get less than their share of the work.',
    'isolated': 'Whether the host reports not ready because it is cut off.',
    'groups_lost': 'Groups whose primary does not answer.',
    'configuration_version': 'Version of the configuration in force.',
    'customers': 'Customers in force.',
    'customers_left_out': 'Entries of customers that are left out.',
    'service_followed': 'Whether a watch on the service is in force.',
    'service_answer_age_seconds': "Time since the service's last answer to "
    'a watch, this one or that of a relay.',
    'service_followed_directly': 'Whether no relay serves the watch.',
    'service_era': 'Era of the service in its answers.',
    'lease_age_seconds': "Time since this host's lease was renewed.",
    'live_hosts': 'Hosts that answer, this one included.',
    'log_bytes': 'Bytes of log that reached the reader.',
}
"""Help text of each gauge."""


class DirectMetrics:
    """Counters, histograms and gauges of one host."""

    def __init__(self) -> None:
        self._counters: dict[str, Counter[tuple[str, ...]]] = {
            name: Counter() for name in COUNTERS
        }
        self._histograms: dict[str, dict[tuple[str, ...], _Buckets]] = {
            name: defaultdict(_Buckets) for name in HISTOGRAMS
        }
        self._gauges: dict[str, Callable[[], float]] = {}
        self._read_dropped: Callable[[], Mapping[str, int]] = dict

    def count(self, name: str, *labels: str) -> None:
        """Increment a counter."""
        self._counters[name][labels] += 1

    def observe(self, name: str, seconds: float, *labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        self._histograms[name][labels].add(seconds)

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register the function that reads a gauge at each scrape."""
        if name not in GAUGES:
            raise KeyError(name)
        self._gauges[name] = read

    def register_dropped(self, read: Callable[[], Mapping[str, int]]) -> None:
        """Register the function that counts dropped log lines by event."""
        self._read_dropped = read

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # Imported here, since the import would slow the start of every host.
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self):
        """Yield the metric families, as the Prometheus library expects."""
        from prometheus_client import core

        for name, (help_text, labels) in COUNTERS.items():
            family = core.CounterMetricFamily(
                PREFIX + name, help_text, labels=labels
            )
            for values, count in sorted(self._counters[name].items()):
                family.add_metric(values, count)
            yield family
        for name, (help_text, labels) in HISTOGRAMS.items():
            family = core.HistogramMetricFamily(
                PREFIX + name, help_text, labels=labels
            )
            for values, buckets in sorted(self._histograms[name].items()):
                family.add_metric(values, buckets.cumulative(), buckets.total)
            yield family
        for name, read in sorted(self._gauges.items()):
            yield core.GaugeMetricFamily(
                PREFIX + name, GAUGES[name], value=read()
            )
        dropped = core.CounterMetricFamily(
            PREFIX + 'log_dropped',
            'Log lines that were dropped, by event.',
            labels=('event',),
        )
        for event, count in sorted(self._read_dropped().items()):
            dropped.add_metric((event,), count)
        yield dropped


class _Buckets:
    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        self._counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        buckets = []
        count = 0
        for bound, n in zip((*BUCKET_BOUNDS_S, float('inf')), self._counts):
            count += n
            label = '+Inf' if bound == float('inf') else str(bound)
            buckets.append((label, count))
        return buckets
