"""Capacity page rows for the roles of a host."""

from __future__ import annotations

from trefoilpulley_standins.measure.row import BYTES_PER_S_BUDGET
from trefoilpulley_standins.measure.row import CALLER_MEMORY_TARGET_KIB
from trefoilpulley_standins.measure.row import CPU_BUDGET_PERCENT
from trefoilpulley_standins.measure.row import MEMORY_BUDGET_KIB
from trefoilpulley_standins.measure.row import Row
from trefoilpulley_standins.measure.row import STATEMENTS_PER_S_TARGET
from trefoilpulley_standins.measure import sizing
from trefoilpulley_standins.measure.terms import ConstantTerm
from trefoilpulley_standins.measure.terms import FigureTerm
from trefoilpulley_standins.measure.terms import SlopeTerm

_MEMBERS_PER_HOST = sizing.MEMBERS_PER_HOST
_HOST_CHANGES_PER_S = sizing.HOST_CHANGES_PER_DAY / sizing.DAY_S
_REPLACEMENTS_PER_S = sizing.HOST_CHANGES_PER_DAY / 2 / sizing.DAY_S
_CONFIGURATION_CHANGES_PER_S = (
    sizing.CONFIGURATION_CHANGES_PER_DAY / sizing.DAY_S
)


def _cpu_term(
    key: str, size: float, size_unit: str, rate: float, factor_unit: str
) -> SlopeTerm:
    return SlopeTerm(
        key, size, size_unit, rate, factor_unit, is_rate_of_ms=True
    )


_MEMBER_FRAME_BYTES = SlopeTerm(
    'member-frame', sizing.MEMBER_FRAMES_PER_S, 'frames/s'
)
_ANSWERED_PROBE_BYTES = SlopeTerm(
    'coordination-frame',
    sizing.ANSWERED_PROBE_FRAMES_PER_S,
    'frames/s served',
    has_base=False,
)
_AGE_PROBE_BYTES = SlopeTerm('age-probe-bytes', _MEMBERS_PER_HOST, 'members')
_MEMBERSHIP_BYTES = (
    SlopeTerm('membership-bytes-zones', sizing.ZONES, 'zones', 2, 'ways'),
    SlopeTerm(
        'membership-bytes-hosts',
        sizing.HOSTS_PER_ZONE - 8,
        'more hosts in the zone',
        2,
        'ways',
        has_base=False,
    ),
)
_REPLACEMENT_BYTES = FigureTerm(
    'event a host is replaced', 2 * _REPLACEMENTS_PER_S, 'a second, both ways'
)
_CONFIGURATION_CHANGE_BYTES = FigureTerm(
    'event the configuration changes',
    2 * _CONFIGURATION_CHANGES_PER_S,
    'a second, both ways',
)
_HOSTS_DOCUMENT_BYTES = SlopeTerm(
    'hosts-document',
    sizing.HOSTS,
    'hosts',
    2 * 1024 * _HOST_CHANGES_PER_S,
    'B/s for each KiB',
)
_RANKING_CPU = _cpu_term(
    'ranking-cpu',
    sizing.HOSTS,
    'hosts',
    _HOST_CHANGES_PER_S,
    'changes/s',
)
_HOSTS_DOCUMENT_CPU = _cpu_term(
    'hosts-document-cpu',
    sizing.HOSTS,
    'hosts',
    _HOST_CHANGES_PER_S,
    'lists/s',
)
_CONTROL_CPU = SlopeTerm('control-cpu', _MEMBERS_PER_HOST, 'members')
_DIGEST_BYTES = SlopeTerm(
    'digest-frame', sizing.DIGEST_FRAMES_PER_S, 'frames/s'
)
_PROBE_BYTES = SlopeTerm(
    'coordination-frame', sizing.PROBE_FRAMES_PER_S, 'frames/s sent'
)
_CONTROL_MEMORY = (
    SlopeTerm('control-memory', _MEMBERS_PER_HOST, 'members'),
    SlopeTerm('hosts-memory', sizing.HOSTS, 'hosts'),
    SlopeTerm('databases-memory', sizing.DATABASES, 'databases'),
    SlopeTerm('coordinator-memory', sizing.DATABASES_PER_SHARD, 'databases'),
)

HOST_ROWS = (
    Row(
        'entry',
        'digests refreshed and served, at their bound',
        'B/s',
        (_DIGEST_BYTES,),
        'trefoilpulley_node.entry.database_views',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'entry',
        'messages for refreshed digests, at their bound',
        'messages/s',
        (
            ConstantTerm(
                sizing.DIGEST_FRAMES_PER_S,
                'REFRESHES_PER_S asked and as many served, question and '
                'answer',
            ),
        ),
        'trefoilpulley_node.entry.database_views',
    ),
    Row(
        'entry, work',
        "memory of callers' connections",
        'KiB',
        (
            SlopeTerm(
                'caller-memory',
                sizing.CALLERS_PER_HOST,
                'callers',
                has_base=False,
            ),
        ),
        'trefoilpulley_node.entry.caller_server',
        CALLER_MEMORY_TARGET_KIB * sizing.CALLERS_PER_HOST,
    ),
    Row(
        'entry and pooler, work',
        'processor time of statements at full load',
        '% of a core',
        (
            FigureTerm(
                'overhead cpu_ms_a_statement',
                sizing.STATEMENTS_PER_S_PER_HOST,
                'statements/s',
                is_rate_of_ms=True,
            ),
        ),
        'trefoilpulley_node.pipeline.pipeline',
        100 * sizing.STATEMENTS_PER_S_PER_HOST / STATEMENTS_PER_S_TARGET,
    ),
    Row(
        'pooler',
        'members pooled',
        'members',
        (ConstantTerm(_MEMBERS_PER_HOST, '7,500 members / 1,600 hosts'),),
        'trefoilpulley_core.rendezvous',
    ),
    Row(
        'pooler',
        'control frames to and from members',
        'B/s',
        (_MEMBER_FRAME_BYTES,),
        'trefoilpulley_node.pooler.member_monitor',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'pooler',
        'probes of ages and of coordinators',
        'B/s',
        (_AGE_PROBE_BYTES, _ANSWERED_PROBE_BYTES),
        'trefoilpulley_node.pooler.age_prober',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'pooler and all roles at rest',
        'processor time without statements',
        '% of a core',
        (_CONTROL_CPU,),
        'trefoilpulley_node.pooler.pooled_member',
        CPU_BUDGET_PERCENT,
    ),
    Row(
        'coordinator',
        'probes of one shard',
        'B/s',
        (_PROBE_BYTES,),
        'trefoilpulley_core.coordination.probe_schedule',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'coordinator',
        'messages for one shard',
        'messages/s',
        (
            ConstantTerm(
                sizing.PROBE_FRAMES_PER_S,
                'question and answer each MEMBER_INTERVAL_S',
            ),
        ),
        'trefoilpulley_core.coordination.probe_schedule',
    ),
    Row(
        'coordinator',
        'processor time of duties, 20 ticks/s',
        '% of a core',
        (_cpu_term('duty-tick-cpu', sizing.HOSTS, 'hosts', 20, 'ticks/s'),),
        'trefoilpulley_node.coordination.driver',
        CPU_BUDGET_PERCENT,
    ),
    Row(
        'coordinator',
        'processor time of the order of succession',
        '% of a core',
        (_RANKING_CPU,),
        'trefoilpulley_core.coordination.succession',
        CPU_BUDGET_PERCENT,
    ),
    Row(
        'coordinator',
        'memory of one shard',
        'KiB',
        (
            SlopeTerm(
                'coordinator-memory', sizing.DATABASES_PER_SHARD, 'databases'
            ),
        ),
        'trefoilpulley_core.coordination.shard_coordinator',
        MEMORY_BUDGET_KIB,
    ),
    Row(
        'coordinator',
        'record of one shard in the service',
        'KiB',
        (SlopeTerm('shard-record', sizing.DATABASES_PER_SHARD, 'databases'),),
        'trefoilpulley_core.coordination.shard',
        1536.0,
    ),
    Row(
        'coordinator',
        'time of a change of primary',
        's',
        (
            ConstantTerm(
                sizing.PROBE_INTERVAL_S,
                '28.8 members of a shard × MEMBER_INTERVAL_S',
            ),
            FigureTerm('demo failover_gap_s', 1, 'gap with 9 members'),
        ),
        'trefoilpulley_core.coordination.detection',
        6.0,
    ),
    Row(
        'watcher and relay',
        'time until a configuration is in force',
        's',
        (
            SlopeTerm('spread-zones', sizing.ZONES, 'zones'),
            SlopeTerm(
                'spread-hosts',
                sizing.HOSTS_PER_ZONE - 8,
                'more hosts in the zone',
                has_base=False,
            ),
        ),
        'trefoilpulley_core.configuration.sync',
        16.0,
    ),
    Row(
        'watcher and relay',
        'documents',
        'B/s',
        (_CONFIGURATION_CHANGE_BYTES, _HOSTS_DOCUMENT_BYTES),
        'trefoilpulley_node.configuration_runner',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'watcher and relay',
        'processor time of documents',
        '% of a core',
        (
            _HOSTS_DOCUMENT_CPU,
            SlopeTerm(
                'change-cpu',
                60 * _CONFIGURATION_CHANGES_PER_S,
                'changes a minute',
                has_base=False,
            ),
        ),
        'trefoilpulley_core.configuration.store',
        CPU_BUDGET_PERCENT,
    ),
    Row(
        'watcher and relay',
        'memory of the lists',
        'KiB',
        (
            SlopeTerm('hosts-memory', sizing.HOSTS, 'hosts'),
            SlopeTerm('databases-memory', sizing.DATABASES, 'databases'),
        ),
        'trefoilpulley_core.configuration.store',
        MEMORY_BUDGET_KIB,
    ),
    Row(
        'membership',
        'messages',
        'messages/s',
        (
            SlopeTerm(
                'membership-messages-zones', sizing.ZONES, 'zones', 2, 'ways'
            ),
        ),
        'trefoilpulley_core.membership.failure_detector',
    ),
    Row(
        'membership',
        'bytes of a host',
        'B/s',
        (*_MEMBERSHIP_BYTES, _REPLACEMENT_BYTES),
        'trefoilpulley_core.membership.dissemination',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'membership',
        'bytes of the busiest host (a relay)',
        'B/s',
        (SlopeTerm('relay-bytes-zones', sizing.ZONES, 'zones', 2, 'ways'),),
        'trefoilpulley_core.membership.zone_watch',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'membership',
        'processor time, without sockets',
        '% of a core',
        (SlopeTerm('membership-cpu-zones', sizing.ZONES, 'zones'),),
        'trefoilpulley_core.membership.membership',
        CPU_BUDGET_PERCENT,
    ),
    Row(
        'membership',
        'memory of the list and the records',
        'KiB',
        (SlopeTerm('hosts-memory', sizing.HOSTS, 'hosts'),),
        'trefoilpulley_core.membership.table',
        MEMORY_BUDGET_KIB,
    ),
    Row(
        'whole host',
        'control bytes, pooler and entry without a duty',
        'B/s',
        (
            _MEMBER_FRAME_BYTES,
            _DIGEST_BYTES,
            _AGE_PROBE_BYTES,
            _ANSWERED_PROBE_BYTES,
            *_MEMBERSHIP_BYTES,
            _REPLACEMENT_BYTES,
            _CONFIGURATION_CHANGE_BYTES,
            _HOSTS_DOCUMENT_BYTES,
        ),
        'trefoilpulley_node.composition',
        BYTES_PER_S_BUDGET,
    ),
    Row(
        'whole host',
        'processor time of control',
        '% of a core',
        (_CONTROL_CPU, _RANKING_CPU, _HOSTS_DOCUMENT_CPU),
        'trefoilpulley_node.composition',
        CPU_BUDGET_PERCENT,
    ),
    Row(
        'whole host',
        'memory of control',
        'KiB',
        _CONTROL_MEMORY,
        'trefoilpulley_node.composition',
        MEMORY_BUDGET_KIB,
    ),
)
"""Rows in the order of the page."""
