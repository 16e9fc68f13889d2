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

_US_A_MS = 1000.0


class Part(StrEnum):
    """Purpose of a message."""

    MEMBERSHIP = 'membership'
    DOCUMENTS = 'documents'
    DIGESTS = 'digests'
    COORDINATION = 'coordination'
    MEMBERS = 'members'
    WORK = 'work'


CONTROL_PARTS = tuple(p for p in Part if p is not Part.WORK)
"""Kinds of traffic that count as control traffic."""

PEER_PARTS = {
    'Probe': Part.MEMBERSHIP,
    'ProbeAnswer': Part.MEMBERSHIP,
    'ProbeForMe': Part.MEMBERSHIP,
    'ProbeReport': Part.MEMBERSHIP,
    'News': Part.MEMBERSHIP,
    'Exchange': Part.MEMBERSHIP,
    'PeerHello': Part.MEMBERSHIP,
    'PeerWelcome': Part.MEMBERSHIP,
    'Document': Part.DOCUMENTS,
    'FetchDocument': Part.DOCUMENTS,
    'GetDigest': Part.DIGESTS,
    'Digests': Part.DIGESTS,
    'GetStatus': Part.COORDINATION,
    'StatusReport': Part.COORDINATION,
    'FenceMember': Part.COORDINATION,
    'PromoteMember': Part.COORDINATION,
    'FollowMember': Part.COORDINATION,
    'PauseWrites': Part.COORDINATION,
    'PauseReport': Part.COORDINATION,
    'ResumeWrites': Part.COORDINATION,
    'WarmConnections': Part.COORDINATION,
}
"""Traffic kind by type of message between hosts; others are work."""

MEMBER_PARTS = {
    'Status': Part.MEMBERS,
    'MemberReport': Part.MEMBERS,
    'StillAlive': Part.MEMBERS,
    'WatchProgress': Part.MEMBERS,
    'Fence': Part.MEMBERS,
    'Promote': Part.MEMBERS,
    'Follow': Part.MEMBERS,
}
"""Traffic kind by type of message with members; others are work."""


@dataclass
class PartTraffic:
    """Messages and bytes by kind of traffic, in both directions."""

    messages: Counter[Part] = field(default_factory=Counter)
    """Number of messages by kind of traffic."""

    sizes: Counter[Part] = field(default_factory=Counter)
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


def count_parts(first: HostSample, last: HostSample) -> PartTraffic:
    """Return the traffic of one host between two samples."""
    traffic = PartTraffic()
    for side, parts in (('peers', PEER_PARTS), ('members', MEMBER_PARTS)):
        messages = last.messages(side) - first.messages(side)
        sizes = last.sizes(side) - first.sizes(side)
        for kind, number in messages.items():
            part = parts.get(kind, Part.WORK)
            traffic.messages[part] += number
            framing = number * FRAME_OVERHEAD_BYTES
            traffic.sizes[part] += sizes[kind] + framing
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
        Figure('members moved', _count_moved(window)),
        Figure('members a host before', _share_before(window)),
    ]
    return tuple(sorted(figures, key=lambda f: f.name))


def _make_host_figures(window: Window) -> Iterator[Figure]:
    pairs = window.pairs
    spans = [last.at_s - first.at_s for first, last in pairs]
    traffic = [count_parts(*pair) for pair in pairs]
    cpu = [
        (last.cpu_s - first.cpu_s) / span
        for (first, last), span in zip(pairs, spans, strict=True)
    ]
    yield Figure('hosts', len(pairs))
    yield Figure('cpu share mean', statistics.fmean(cpu))
    yield Figure('cpu share most', max(cpu))
    rss = [last.rss_kb for _, last in pairs]
    yield Figure('rss KB mean', statistics.fmean(rss))
    yield Figure('rss KB most', max(rss))
    pooled = [len(last.pooled) for _, last in pairs]
    yield Figure('members pooled mean', statistics.fmean(pooled))
    acting = [last.acting_shards for _, last in pairs]
    yield Figure('shards acting sum', sum(acting))
    yield Figure('callers', sum(last.callers for _, last in pairs))
    used = [last.state['entry']['databases_in_use'] for _, last in pairs]
    yield Figure('databases in use mean', statistics.fmean(used))
    yield from _make_part_figures(traffic, spans)


def _make_part_figures(
    traffic: list[PartTraffic], spans: list[float]
) -> Iterator[Figure]:
    messages: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for one, span in zip(traffic, spans, strict=True):
        for part in Part:
            messages[part] += one.messages[part] / span / len(traffic)
            sizes[part] += one.sizes[part] / span / len(traffic)
    for part in Part:
        yield Figure(f'{part} messages/s mean', messages[part])
        yield Figure(f'{part} bytes/s mean', sizes[part])
    total = sum(messages[p] for p in CONTROL_PARTS)
    yield Figure('control messages/s mean', total)
    total_bytes = sum(sizes[p] for p in CONTROL_PARTS)
    yield Figure('control bytes/s mean', total_bytes)
    most = [
        sum(one.sizes[p] for p in CONTROL_PARTS) / span
        for one, span in zip(traffic, spans, strict=True)
    ]
    yield Figure('control bytes/s most', max(most))


def _make_service_figures(window: Window) -> Iterator[Figure]:
    span = window.after.at_s - window.before.at_s
    before, after = window.before.calls, window.after.calls
    for kind in ('reads', 'writes', 'leases', 'watches'):
        made = after[kind] - before[kind]
        yield Figure(f'service {kind}/s', made / span)
    yield Figure('service calls/s', _count_calls(after - before) / span)
    yield Figure('service calls at the start', _count_calls(before))


def _count_calls(calls: Counter[str]) -> int:
    return sum(n for kind, n in calls.items() if '/' not in kind)


def _make_caller_figures(window: Window, callers: Callers) -> Iterator[Figure]:
    span = window.after.at_s - window.before.at_s
    answered = callers.outcomes['answered']
    refused = sum(callers.outcomes.values()) - answered
    yield Figure('statements/s', answered / span)
    yield Figure('refused', refused)
    if answered:
        for share in (50, 99):
            taken_us = callers.histogram.get_value_at_percentile(share)
            yield Figure(f'answer p{share} ms', taken_us / _US_A_MS)


def _count_moved(window: Window) -> int:
    before = {m: h.host for h in window.before.hosts for m in h.pooled}
    after = [(m, h.host) for h in window.after.hosts for m in h.pooled]
    return len({m for m, host in after if before.get(m, host) != host})


def _share_before(window: Window) -> float:
    pooled = {m for h in window.before.hosts for m in h.pooled}
    return len(pooled) / len(window.before.hosts)
