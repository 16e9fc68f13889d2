"""Rows of the page of capacity."""

from __future__ import annotations

from trefoilpulley_core.connection_pacer import OPENS_PER_S
from trefoilpulley_standins.measure.host_rows import HOST_ROWS
from trefoilpulley_standins.measure.row import READS_BUDGET
from trefoilpulley_standins.measure.row import Row
from trefoilpulley_standins.measure.row import WRITES_BUDGET
from trefoilpulley_standins.measure import sizing
from trefoilpulley_standins.measure.terms import Line
from trefoilpulley_standins.measure.terms import Single
from trefoilpulley_standins.measure.terms import Stated

_REGION_HOSTS = sizing.HOSTS_IN_ZONE * sizing.ZONES_A_REGION
_ZONE_CALLERS = sizing.CALLERS / sizing.ZONES
_OTHER_HOSTS = _REGION_HOSTS - sizing.HOSTS_IN_ZONE

ROWS = (
    *HOST_ROWS,
    Row(
        'service',
        'reads in the quiet',
        'calls/s',
        (
            Line('shard-reads', sizing.SHARDS, 'shards', has_base=False),
            Line(
                'document-calls-zones',
                sizing.ZONES,
                'zones',
                sizing.ZONES,
                'zones',
            ),
        ),
        'trefoilpulley_core.coordination.duty',
        READS_BUDGET,
    ),
    Row(
        'service',
        'watches that wait, one call each',
        'calls',
        (Stated(2 * sizing.ZONES, '2 prefixes × 26 watchers'),),
        'trefoilpulley_core.configuration.spread',
        READS_BUDGET,
    ),
    Row(
        'service',
        'renewals of leases in the quiet, at the most',
        'calls/s',
        (Stated(sizing.SHARDS, 'a holder for each shard / RENEW_S'),),
        'trefoilpulley_core.coordination.duty',
        WRITES_BUDGET,
    ),
    Row(
        'service',
        "reads in a region's start, were all hosts to start at once",
        'calls',
        (Line('start-calls', _REGION_HOSTS, 'hosts'),),
        'trefoilpulley_node.document_reader',
        READS_BUDGET,
    ),
    Row(
        'service',
        'calls in the busiest second after an outage',
        'calls/s',
        (
            Line('return-calls-zones', sizing.ZONES, 'zones'),
            Stated(
                4 * sizing.SHARDS,
                'lease, read, claim and load of each shard',
                is_guess=True,
            ),
        ),
        'trefoilpulley_node.coordination.duty_runner',
        READS_BUDGET,
    ),
    Row(
        'a lost host',
        'members whose pooling moves',
        'members',
        (Line('moved-members', sizing.MEMBERS_A_HOST, 'members a host'),),
        'trefoilpulley_core.rendezvous',
    ),
    Row(
        'a lost host',
        'time to open the connections of one member at the pace',
        's',
        (Stated(16 / OPENS_PER_S, '16 connections / OPENS_PER_S'),),
        'trefoilpulley_core.connection_pacer',
        6.0,
    ),
    Row(
        'a lost zone',
        'processor time to take its callers at each other host',
        'core-seconds',
        (
            Single(
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
            Stated(
                sizing.MEMBERS / sizing.ZONES / _OTHER_HOSTS,
                '288 members / the hosts of the other zones',
            ),
        ),
        'trefoilpulley_core.membership.live_hosts',
    ),
)
"""Rows in the order of the page."""
