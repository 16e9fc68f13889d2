"""Figures of a point, computed from two samples and the callers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
import statistics
from typing import TYPE_CHECKING

from trefoilpulley_standins.experiment.result import Figure

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpulley_standins.experiment.callers import Callers
    from trefoilpulley_standins.experiment.probe import HostSample
    from trefoilpulley_standins.experiment.probe import Sample

FRAME_OVERHEAD_BYTES = 60
"""Size of the WebSocket, TCP and IP headers of a message, without ACKs."""

_US_PER_MS = 1000.0


class TrafficKind(StrEnum):
    """Purpose of a message."""

    MEMBERSHIP = 'membership'
    DOCUMENTS = 'documents'
    DIGESTS = 'digests'
    COORDINATION = 'coordination'
    MEMBERS = 'members'
    WORK = 'work'


CONTROL_TRAFFIC_KINDS = tuple(
    p for p in TrafficKind if p is not TrafficKind.WORK
)
"""Kinds of traffic that count as control traffic."""

PEER_TRAFFIC_KINDS = {
    'Probe': TrafficKind.MEMBERSHIP,
    'ProbeAnswer': TrafficKind.MEMBERSHIP,
    'ProbeForMe': TrafficKind.MEMBERSHIP,
    'ProbeReport': TrafficKind.MEMBERSHIP,
    'News': TrafficKind.MEMBERSHIP,
    'Exchange': TrafficKind.MEMBERSHIP,
    'PeerHello': TrafficKind.MEMBERSHIP,
    'PeerWelcome': TrafficKind.MEMBERSHIP,
    'Document': TrafficKind.DOCUMENTS,
    'FetchDocument': TrafficKind.DOCUMENTS,
    'GetDigest': TrafficKind.DIGESTS,
    'Digests': TrafficKind.DIGESTS,
    'GetStatus': TrafficKind.COORDINATION,
    'StatusReport': TrafficKind.COORDINATION,
    'FenceMember': TrafficKind.COORDINATION,
    'PromoteMember': TrafficKind.COORDINATION,
    'FollowMember': TrafficKind.COORDINATION,
    'PauseWrites': TrafficKind.COORDINATION,
    'PauseReport': TrafficKind.COORDINATION,
    'ResumeWrites': TrafficKind.COORDINATION,
    'WarmConnections': TrafficKind.COORDINATION,
}
"""Traffic kind by type of message between hosts; others are work."""

MEMBER_TRAFFIC_KINDS = {
    'Status': TrafficKind.MEMBERS,
    'MemberReport': TrafficKind.MEMBERS,
    'StillAlive': TrafficKind.MEMBERS,
    'WatchProgress': TrafficKind.MEMBERS,
    'Fence': TrafficKind.MEMBERS,
    'Promote': TrafficKind.MEMBERS,
    'Follow': TrafficKind.MEMBERS,
}
"""Traffic kind by type of message with members; others are work."""


@dataclass
class Traffic:
    """Messages and bytes by kind of traffic, in both directions."""

    messages: Counter[TrafficKind] = field(default_factory=Counter)
    """Number of messages by kind of traffic."""

    size_bytes: Counter[TrafficKind] = field(default_factory=Counter)
    """Number of bytes by kind of traffic, including headers."""


@dataclass(frozen=True, slots=True)
class Window:
    """Samples at the start and the end of a measurement window."""

    before: Sample
    """Sample at the start of the window."""

    after: Sample
    """Sample at the end of the window."""

    @property
    def pairs(self) -> list[tuple[HostSample, HostSample]]:
        """Both samples of each host process that ran for the whole window.

        A process is included only if both samples have a state dump.
        """
        first = {h.pid: h for h in self.before.hosts}
        return [
            (first[h.pid], h)
            for h in self.after.hosts
            if h.pid in first and h.state and first[h.pid].state
        ]


def count_traffic(first: HostSample, last: HostSample) -> Traffic:
    """Return the traffic of one host between two samples."""
    traffic = Traffic()
    for side, traffic_kinds in (
        ('peers', PEER_TRAFFIC_KINDS),
        ('members', MEMBER_TRAFFIC_KINDS),
    ):
        messages = last.messages(side) - first.messages(side)
        size_bytes = last.size_bytes(side) - first.size_bytes(side)
        for kind, number in messages.items():
            traffic_kind = traffic_kinds.get(kind, TrafficKind.WORK)
            traffic.messages[traffic_kind] += number
            framing_bytes = number * FRAME_OVERHEAD_BYTES
            traffic.size_bytes[traffic_kind] += (
                size_bytes[kind] + framing_bytes
            )
    return traffic


def make_figures(
    window: Window, callers: Callers, changes: int
) -> tuple[Figure, ...]:
    """Return the figures of a window, sorted by name.

    Parameters
    ----------
    window : Window
        Samples of the measurement window.
    callers : Callers
        Callers that recorded response times during the window.
    changes : int
        Number of configuration changes during the window.
    """
    figures = [
        *_make_host_figures(window),
        *_make_service_figures(window),
        *_make_caller_figures(window, callers),
        Figure('changes', changes),
        Figure('members moved', _count_moved_members(window)),
        Figure('members a host before', _members_per_host_before(window)),
    ]
    return tuple(sorted(figures, key=lambda f: f.name))


def _make_host_figures(window: Window) -> Iterator[Figure]:
    pairs = window.pairs
    spans_s = [last.at_s - first.at_s for first, last in pairs]
    traffic = [count_traffic(*pair) for pair in pairs]
    cpu_shares = [
        (last.cpu_s - first.cpu_s) / span_s
        for (first, last), span_s in zip(pairs, spans_s, strict=True)
    ]
    yield Figure('hosts', len(pairs))
    yield Figure('cpu share mean', statistics.fmean(cpu_shares))
    yield Figure('cpu share most', max(cpu_shares))
    rss = [last.rss_kb for _, last in pairs]
    yield Figure('rss KB mean', statistics.fmean(rss))
    yield Figure('rss KB most', max(rss))
    pooled_counts = [len(last.pooled_members) for _, last in pairs]
    yield Figure('members pooled mean', statistics.fmean(pooled_counts))
    acting = [last.acting_shards for _, last in pairs]
    yield Figure('shards acting sum', sum(acting))
    yield Figure('callers', sum(last.callers for _, last in pairs))
    used = [last.state['entry']['databases_in_use'] for _, last in pairs]
    yield Figure('databases in use mean', statistics.fmean(used))
    yield from _make_traffic_figures(traffic, spans_s)


def _make_traffic_figures(
    traffic: list[Traffic], spans_s: list[float]
) -> Iterator[Figure]:
    messages: Counter[str] = Counter()
    size_bytes: Counter[str] = Counter()
    for one, span_s in zip(traffic, spans_s, strict=True):
        for traffic_kind in TrafficKind:
            messages[traffic_kind] += (
                one.messages[traffic_kind] / span_s / len(traffic)
            )
            size_bytes[traffic_kind] += (
                one.size_bytes[traffic_kind] / span_s / len(traffic)
            )
    for traffic_kind in TrafficKind:
        yield Figure(f'{traffic_kind} messages/s mean', messages[traffic_kind])
        yield Figure(f'{traffic_kind} bytes/s mean', size_bytes[traffic_kind])
    total = sum(messages[p] for p in CONTROL_TRAFFIC_KINDS)
    yield Figure('control messages/s mean', total)
    total_bytes = sum(size_bytes[p] for p in CONTROL_TRAFFIC_KINDS)
    yield Figure('control bytes/s mean', total_bytes)
    most = [
        sum(one.size_bytes[p] for p in CONTROL_TRAFFIC_KINDS) / span_s
        for one, span_s in zip(traffic, spans_s, strict=True)
    ]
    yield Figure('control bytes/s most', max(most))


def _make_service_figures(window: Window) -> Iterator[Figure]:
    span_s = window.after.at_s - window.before.at_s
    before, after = window.before.calls, window.after.calls
    for kind in ('reads', 'writes', 'leases', 'watches'):
        made = after[kind] - before[kind]
        yield Figure(f'service {kind}/s', made / span_s)
    yield Figure('service calls/s', _count_calls(after - before) / span_s)
    yield Figure('service calls at the start', _count_calls(before))


def _count_calls(calls: Counter[str]) -> int:
    return sum(n for kind, n in calls.items() if '/' not in kind)


def _make_caller_figures(window: Window, callers: Callers) -> Iterator[Figure]:
    span_s = window.after.at_s - window.before.at_s
    answered = callers.outcomes['answered']
    refused = sum(callers.outcomes.values()) - answered
    yield Figure('statements/s', answered / span_s)
    yield Figure('refused', refused)
    if answered:
        for percentile in (50, 99):
            response_us = callers.histogram.get_value_at_percentile(percentile)
            yield Figure(f'answer p{percentile} ms', response_us / _US_PER_MS)


def _count_moved_members(window: Window) -> int:
    before = {m: h.host for h in window.before.hosts for m in h.pooled_members}
    after = [(m, h.host) for h in window.after.hosts for m in h.pooled_members]
    return len({m for m, host in after if before.get(m, host) != host})


def _members_per_host_before(window: Window) -> float:
    pooled = {m for h in window.before.hosts for m in h.pooled_members}
    return len(pooled) / len(window.before.hosts)
