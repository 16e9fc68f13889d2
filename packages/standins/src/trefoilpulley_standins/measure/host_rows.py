"""Rows of a host on the page of capacity."""

from __future__ import annotations

from trefoilpulley_standins.measure.row import BYTES_BUDGET
from trefoilpulley_standins.measure.row import CALLER_AIM_KIB
from trefoilpulley_standins.measure.row import CPU_BUDGET
from trefoilpulley_standins.measure.row import MEMORY_BUDGET_KIB
from trefoilpulley_standins.measure.row import Row
from trefoilpulley_standins.measure.row import STATEMENTS_AIM
from trefoilpulley_standins.measure import sizing
from trefoilpulley_standins.measure.terms import Line
from trefoilpulley_standins.measure.terms import Single
from trefoilpulley_standins.measure.terms import Stated

_M = sizing.MEMBERS_A_HOST
_CHANGES_PER_S = sizing.HOST_CHANGES_A_DAY / sizing.DAY_S
_REPLACED_PER_S = sizing.HOST_CHANGES_A_DAY / 2 / sizing.DAY_S
_CONFIGURED_PER_S = sizing.CHANGES_A_DAY / sizing.DAY_S


def _cpu(key: str, size: float, of: str, rate: float, per: str) -> Line:
    return Line(key, size, of, rate, per, is_rate_of_ms=True)


_MEMBER_FRAMES = Line('member-frame', sizing.MEMBER_FRAMES_PER_S, 'frames/s')
_SERVED = Line(
    'coordination-frame',
    sizing.SERVED_FRAMES_PER_S,
    'frames/s served',
    has_base=False,
)
_AGE_PROBES = Line('age-probe-bytes', _M, 'members')
_MEMBERSHIP = (
    Line('membership-bytes-zones', sizing.ZONES, 'zones', 2, 'ways'),
    Line(
        'membership-bytes-hosts',
        sizing.HOSTS_IN_ZONE - 8,
        'more hosts in the zone',
        2,
        'ways',
        has_base=False,
    ),
)
_REPLACED = Single(
    'event a host is replaced', 2 * _REPLACED_PER_S, 'a second, both ways'
)
_CONFIGURED = Single(
    'event the configuration changes',
    2 * _CONFIGURED_PER_S,
    'a second, both ways',
)
_HOSTS_DOCUMENT = Line(
    'hosts-document',
    sizing.HOSTS,
    'hosts',
    2 * 1024 * _CHANGES_PER_S,
    'B/s for each KiB',
)
_RANKING = _cpu(
    'ranking-cpu',
    sizing.HOSTS,
    'hosts',
    _CHANGES_PER_S,
    'changes/s',
)
_TAKE_HOSTS = _cpu(
    'hosts-document-cpu',
    sizing.HOSTS,
    'hosts',
    _CHANGES_PER_S,
    'lists/s',
)
_CONTROL_CPU = Line('control-cpu', _M, 'members')
_DIGESTS = Line('digest-frame', sizing.DIGEST_FRAMES_PER_S, 'frames/s')
_PROBES = Line(
    'coordination-frame', sizing.PROBE_FRAMES_PER_S, 'frames/s sent'
)
_MEMORY = (
    Line('control-memory', _M, 'members'),
    Line('hosts-memory', sizing.HOSTS, 'hosts'),
    Line('databases-memory', sizing.DATABASES, 'databases'),
    Line('coordinator-memory', sizing.DATABASES_A_SHARD, 'databases'),
)

HOST_ROWS = (
    Row(
        'entry',
        'digests refreshed and served, at their bound',
        'B/s',
        (_DIGESTS,),
        'trefoilpulley_node.entry.views',
        BYTES_BUDGET,
    ),
    Row(
        'entry',
        'messages for refreshed digests, at their bound',
        'messages/s',
        (
            Stated(
                sizing.DIGEST_FRAMES_PER_S,
                'REFRESHES_PER_S asked and as many served, question and '
                'answer',
            ),
        ),
        'trefoilpulley_node.entry.views',
    ),
    Row(
        'entry, work',
        "memory of callers' connections",
        'KiB',
        (
            Line(
                'caller-memory',
                sizing.CALLERS_A_HOST,
                'callers',
                has_base=False,
            ),
        ),
        'trefoilpulley_node.entry.caller_server',
        CALLER_AIM_KIB * sizing.CALLERS_A_HOST,
    ),
    Row(
        'entry and pooler, work',
        'processor time of statements at full load',
        '% of a core',
        (
            Single(
                'overhead cpu_ms_a_statement',
                sizing.STATEMENTS_A_HOST,
                'statements/s',
                is_rate_of_ms=True,
            ),
        ),
        'trefoilpulley_node.pipeline.pipeline',
        100 * sizing.STATEMENTS_A_HOST / STATEMENTS_AIM,
    ),
    Row(
        'pooler',
        'members pooled',
        'members',
        (Stated(_M, '7,500 members / 1,600 hosts'),),
        'trefoilpulley_core.rendezvous',
    ),
    Row(
        'pooler',
        'control frames to and from members',
        'B/s',
        (_MEMBER_FRAMES,),
        'trefoilpulley_node.pooler.member_monitor',
        BYTES_BUDGET,
    ),
    Row(
        'pooler',
        'probes of ages and of coordinators',
        'B/s',
        (_AGE_PROBES, _SERVED),
        'trefoilpulley_node.pooler.age_prober',
        BYTES_BUDGET,
    ),
    Row(
        'pooler and all roles at rest',
        'processor time without statements',
        '% of a core',
        (_CONTROL_CPU,),
        'trefoilpulley_node.pooler.pooled_member',
        CPU_BUDGET,
    ),
    Row(
        'coordinator',
        'probes of one shard',
        'B/s',
        (_PROBES,),
        'trefoilpulley_core.coordination.polling',
        BYTES_BUDGET,
    ),
    Row(
        'coordinator',
        'messages for one shard',
        'messages/s',
        (
            Stated(
                sizing.PROBE_FRAMES_PER_S,
                'question and answer each MEMBER_INTERVAL_S',
            ),
        ),
        'trefoilpulley_core.coordination.polling',
    ),
    Row(
        'coordinator',
        'processor time of duties, 20 ticks/s',
        '% of a core',
        (_cpu('duty-tick-cpu', sizing.HOSTS, 'hosts', 20, 'ticks/s'),),
        'trefoilpulley_node.coordination.driver',
        CPU_BUDGET,
    ),
    Row(
        'coordinator',
        'processor time of the order of succession',
        '% of a core',
        (_RANKING,),
        'trefoilpulley_core.coordination.succession',
        CPU_BUDGET,
    ),
    Row(
        'coordinator',
        'memory of one shard',
        'KiB',
        (Line('coordinator-memory', sizing.DATABASES_A_SHARD, 'databases'),),
        'trefoilpulley_core.coordination.shard_coordinator',
        MEMORY_BUDGET_KIB,
    ),
    Row(
        'coordinator',
        'record of one shard in the service',
        'KiB',
        (Line('shard-record', sizing.DATABASES_A_SHARD, 'databases'),),
        'trefoilpulley_core.coordination.shard',
        1536.0,
    ),
    Row(
        'coordinator',
        'time of a change of primary',
        's',
        (
            Stated(
                sizing.POLL_INTERVAL_S,
                '28.8 members of a shard × MEMBER_INTERVAL_S',
            ),
            Single('demo failover_gap_s', 1, 'gap with 9 members'),
        ),
        'trefoilpulley_core.coordination.detection',
        6.0,
    ),
    Row(
        'watcher and relay',
        'time until a configuration is in force',
        's',
        (
            Line('spread-zones', sizing.ZONES, 'zones'),
            Line(
                'spread-hosts',
                sizing.HOSTS_IN_ZONE - 8,
                'more hosts in the zone',
                has_base=False,
            ),
        ),
        'trefoilpulley_core.configuration.spread',
        16.0,
    ),
    Row(
        'watcher and relay',
        'documents',
        'B/s',
        (_CONFIGURED, _HOSTS_DOCUMENT),
        'trefoilpulley_node.configuration_runner',
        BYTES_BUDGET,
    ),
    Row(
        'watcher and relay',
        'processor time of documents',
        '% of a core',
        (
            _TAKE_HOSTS,
            Line(
                'change-cpu',
                60 * _CONFIGURED_PER_S,
                'changes a minute',
                has_base=False,
            ),
        ),
        'trefoilpulley_core.configuration.holder',
        CPU_BUDGET,
    ),
    Row(
        'watcher and relay',
        'memory of the lists',
        'KiB',
        (
            Line('hosts-memory', sizing.HOSTS, 'hosts'),
            Line('databases-memory', sizing.DATABASES, 'databases'),
        ),
        'trefoilpulley_core.configuration.holder',
        MEMORY_BUDGET_KIB,
    ),
    Row(
        'membership',
        'messages',
        'messages/s',
        (Line('membership-messages-zones', sizing.ZONES, 'zones', 2, 'ways'),),
        'trefoilpulley_core.membership.failure_detector',
    ),
    Row(
        'membership',
        'bytes of a host',
        'B/s',
        (*_MEMBERSHIP, _REPLACED),
        'trefoilpulley_core.membership.news',
        BYTES_BUDGET,
    ),
    Row(
        'membership',
        'bytes of the busiest host (a relay)',
        'B/s',
        (Line('relay-bytes-zones', sizing.ZONES, 'zones', 2, 'ways'),),
        'trefoilpulley_core.membership.zone_watch',
        BYTES_BUDGET,
    ),
    Row(
        'membership',
        'processor time, without sockets',
        '% of a core',
        (Line('membership-cpu-zones', sizing.ZONES, 'zones'),),
        'trefoilpulley_core.membership.membership',
        CPU_BUDGET,
    ),
    Row(
        'membership',
        'memory of the list and the records',
        'KiB',
        (Line('hosts-memory', sizing.HOSTS, 'hosts'),),
        'trefoilpulley_core.membership.table',
        MEMORY_BUDGET_KIB,
    ),
    Row(
        'whole host',
        'control bytes, pooler and entry without a duty',
        'B/s',
        (
            _MEMBER_FRAMES,
            _DIGESTS,
            _AGE_PROBES,
            _SERVED,
            *_MEMBERSHIP,
            _REPLACED,
            _CONFIGURED,
            _HOSTS_DOCUMENT,
        ),
        'trefoilpulley_node.composition',
        BYTES_BUDGET,
    ),
    Row(
        'whole host',
        'processor time of control',
        '% of a core',
        (_CONTROL_CPU, _RANKING, _TAKE_HOSTS),
        'trefoilpulley_node.composition',
        CPU_BUDGET,
    ),
    Row(
        'whole host',
        'memory of control',
        'KiB',
        _MEMORY,
        'trefoilpulley_node.composition',
        MEMORY_BUDGET_KIB,
    ),
)
"""Rows of the host's roles."""
