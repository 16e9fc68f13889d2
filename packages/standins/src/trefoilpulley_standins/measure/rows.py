"""All rows of the capacity page."""

from __future__ import annotations

from trefoilpulley_core.connection_pacer import OPENS_PER_S
from trefoilpulley_standins.measure.host_rows import HOST_ROWS
from trefoilpulley_standins.measure.row import READS_PER_S_BUDGET
from trefoilpulley_standins.measure.row import Row
from trefoilpulley_standins.measure.row import WRITES_PER_S_BUDGET
from trefoilpulley_standins.measure import sizing
from trefoilpulley_standins.measure.terms import ConstantTerm
from trefoilpulley_standins.measure.terms import FigureTerm
from trefoilpulley_standins.measure.terms import SlopeTerm

_REGION_HOSTS = sizing.HOSTS_PER_ZONE * sizing.ZONES_PER_REGION
_ZONE_CALLERS = sizing.CALLERS / sizing.ZONES
_OTHER_HOSTS = _REGION_HOSTS - sizing.HOSTS_PER_ZONE

ROWS = (
    *HOST_ROWS,
    Row(
        'service',
        'reads in the quiet',
        'calls/s',
        (
            SlopeTerm('shard-reads', sizing.SHARDS, 'shards', has_base=False),
            SlopeTerm(
                'document-calls-zones',
                sizing.ZONES,
                'zones',
                sizing.ZONES,
                'zones',
            ),
        ),
        'trefoilpulley_core.coordination.duty',
        READS_PER_S_BUDGET,
    ),
    Row(
        'service',
        'watches that wait, one call each',
        'calls',
        (ConstantTerm(2 * sizing.ZONES, '2 prefixes × 26 watchers'),),
        'trefoilpulley_core.configuration.sync',
        READS_PER_S_BUDGET,
    ),
    Row(
        'service',
        'renewals of leases in the quiet, at the most',
        'calls/s',
        (ConstantTerm(sizing.SHARDS, 'a holder for each shard / RENEW_S'),),
        'trefoilpulley_core.coordination.duty',
        WRITES_PER_S_BUDGET,
    ),
    Row(
        'service',
        "reads in a region's start, were all hosts to start at once",
        'calls',
        (SlopeTerm('start-calls', _REGION_HOSTS, 'hosts'),),
        'trefoilpulley_node.document_reader',
        READS_PER_S_BUDGET,
    ),
    Row(
        'service',
        'calls in the busiest second after an outage',
        'calls/s',
        (
            SlopeTerm('return-calls-zones', sizing.ZONES, 'zones'),
            ConstantTerm(
                4 * sizing.SHARDS,
                'lease, read, claim and load of each shard',
                is_estimate=True,
            ),
        ),
        'trefoilpulley_node.coordination.duty_runner',
        READS_PER_S_BUDGET,
    ),
    Row(
        'a lost host',
        'members whose pooling moves',
        'members',
        (
            SlopeTerm(
                'moved-members', sizing.MEMBERS_PER_HOST, 'members a host'
            ),
        ),
        'trefoilpulley_core.rendezvous',
    ),
    Row(
        'a lost host',
        'time to open the connections of one member at the pace',
        's',
        (ConstantTerm(16 / OPENS_PER_S, '16 connections / OPENS_PER_S'),),
        'trefoilpulley_core.connection_pacer',
        6.0,
    ),
    Row(
        'a lost zone',
        'processor time to take its callers at each other host',
        'core-seconds',
        (
            FigureTerm(
                'overhead cpu_ms_an_open',
                _ZONE_CALLERS / _OTHER_HOSTS / 1000,
                'thousand callers',
            ),
        ),
        'trefoilpulley_node.entry.caller_server',
    ),
    Row(
        'a lost zone',
        'members that each other host of the region takes over',
        'members',
        (
            ConstantTerm(
                sizing.MEMBERS / sizing.ZONES / _OTHER_HOSTS,
                '288 members / the hosts of the other zones',
            ),
        ),
        'trefoilpulley_core.membership.live_hosts',
    ),
)
"""Rows in the order of the page."""
